//! Freshness follows from own looks and replies to own probes.

use dogwoodbridge::{
    documents::Versions,
    freshness::{FRESH_LIMIT_MS, Freshness, FreshnessTracker, REPLY_LIMIT_MS},
    membership::{Member, MemberPorts, MemberState, PeerStamp, View},
};

const NOW_MS: u64 = 100_000;
const HELD: Versions = Versions([4, 5, 6, 0]);

fn member(node_id: &str, zone: &str, state: MemberState) -> Member {
    let ports = MemberPorts {
        peer: 1,
        gossip: 2,
        rpc: 3,
        control: 4,
    };
    Member {
        node_id: node_id.to_owned(),
        ip: [127, 0, 0, 1].into(),
        ports,
        region: "r".to_owned(),
        zone: zone.to_owned(),
        started_unix_ms: 1,
        incarnation: 0,
        state,
        target: None,
    }
}

struct Reply {
    node_id: &'static str,
    zone: &'static str,
    probe_age_ms: u64,
    look_age_ms: Option<u64>,
    slices_version: u64,
}

const fn reply(node_id: &'static str, zone: &'static str, look_age_ms: Option<u64>) -> Reply {
    Reply {
        node_id,
        zone,
        probe_age_ms: 100,
        look_age_ms,
        slices_version: 6,
    }
}

struct Case {
    name: &'static str,
    own_look_age_ms: Option<u64>,
    held: Versions,
    c_state: MemberState,
    replies: Vec<Reply>,
    expected: Freshness,
    allows_quota: bool,
}

#[test]
fn state_follows_from_looks_and_replies() {
    let base = || Case {
        name: "knows nothing",
        own_look_age_ms: None,
        held: HELD,
        c_state: MemberState::Alive,
        replies: vec![],
        expected: Freshness::CutOff,
        allows_quota: false,
    };
    let all_without_look = || {
        vec![
            reply("a2", "a", None),
            reply("b1", "b", None),
            reply("c1", "c", None),
        ]
    };
    let cases = [
        base(),
        Case {
            name: "own look",
            own_look_age_ms: Some(FRESH_LIMIT_MS - 1),
            expected: Freshness::Fresh,
            allows_quota: true,
            ..base()
        },
        Case {
            name: "own look too old",
            own_look_age_ms: Some(FRESH_LIMIT_MS),
            ..base()
        },
        Case {
            name: "look of another",
            replies: vec![reply("b1", "b", Some(500))],
            expected: Freshness::Fresh,
            allows_quota: true,
            ..base()
        },
        Case {
            name: "look of another that knows a newer table",
            replies: vec![Reply {
                slices_version: 7,
                ..reply("b1", "b", Some(500))
            }],
            ..base()
        },
        Case {
            name: "all zones answer and none reaches the platform",
            replies: all_without_look(),
            expected: Freshness::StoreDown,
            allows_quota: true,
            ..base()
        },
        Case {
            name: "a zone does not answer",
            replies: vec![reply("a2", "a", None), reply("b1", "b", None)],
            allows_quota: true,
            ..base()
        },
        Case {
            name: "a zone that does not answer and is taken for dead",
            c_state: MemberState::Dead,
            replies: vec![reply("a2", "a", None), reply("b1", "b", None)],
            allows_quota: true,
            ..base()
        },
        Case {
            name: "a zone that left",
            c_state: MemberState::Left,
            replies: vec![reply("a2", "a", None), reply("b1", "b", None)],
            expected: Freshness::StoreDown,
            allows_quota: true,
            ..base()
        },
        Case {
            name: "only the own zone answers",
            replies: vec![reply("a2", "a", None)],
            allows_quota: true,
            ..base()
        },
        Case {
            name: "a zone mate knows a newer table",
            replies: vec![Reply {
                slices_version: 7,
                ..reply("a2", "a", Some(500))
            }],
            ..base()
        },
        Case {
            name: "own zone does not answer",
            replies: vec![reply("b1", "b", None), reply("c1", "c", None)],
            ..base()
        },
        Case {
            name: "a reply is too old",
            replies: vec![
                reply("a2", "a", None),
                reply("b1", "b", None),
                Reply {
                    probe_age_ms: REPLY_LIMIT_MS,
                    ..reply("c1", "c", None)
                },
            ],
            allows_quota: true,
            ..base()
        },
        Case {
            name: "no slice table held",
            held: Versions([4, 5, 0, 0]),
            replies: vec![
                Reply {
                    slices_version: 0,
                    ..reply("a2", "a", None)
                },
                Reply {
                    slices_version: 0,
                    ..reply("b1", "b", None)
                },
                Reply {
                    slices_version: 0,
                    ..reply("c1", "c", None)
                },
            ],
            ..base()
        },
        Case {
            name: "one of a zone knows a newer table",
            replies: {
                let mut replies = all_without_look();
                replies.push(Reply {
                    slices_version: 7,
                    ..reply("b2", "b", Some(500))
                });
                replies
            },
            allows_quota: true,
            ..base()
        },
    ];
    for case in cases {
        let mut tracker = FreshnessTracker::new("a1", "a");
        tracker.hold_versions(case.held);
        let members = vec![
            member("a1", "a", MemberState::Alive),
            member("a2", "a", MemberState::Alive),
            member("b1", "b", MemberState::Alive),
            member("b2", "b", MemberState::Alive),
            member("c1", "c", case.c_state),
        ];
        tracker.observe_zones(&View { members }, []);
        if let Some(age_ms) = case.own_look_age_ms {
            tracker.platform_seen(NOW_MS - age_ms, HELD);
        }
        for reply in &case.replies {
            tracker.reply(&PeerStamp {
                node_id: reply.node_id.to_owned(),
                zone: reply.zone.to_owned(),
                versions: Versions([4, 5, reply.slices_version, 0]),
                platform_seen_ms: reply.look_age_ms.map(|age_ms| NOW_MS - age_ms),
                is_origin_failing: false,
                probe_sent_ms: NOW_MS - reply.probe_age_ms,
            });
        }
        let snapshot = tracker.snapshot(NOW_MS);
        assert_eq!(snapshot.freshness, case.expected, "{}", case.name);
        let allows_quota = snapshot.allows_quota(NOW_MS);
        assert_eq!(allows_quota, case.allows_quota, "{}", case.name);
    }
}

/// A node is stopped for a few seconds and goes on in the middle of a
/// request. It would act on the state from before the stop, and an order
/// could run at two homes.
#[test]
fn a_snapshot_from_before_a_pause_is_worth_nothing() {
    let mut tracker = FreshnessTracker::new("a1", "a");
    tracker.platform_seen(NOW_MS, Versions::default());
    let snapshot = tracker.snapshot(NOW_MS + 10);
    assert_eq!(snapshot.at(NOW_MS + FRESH_LIMIT_MS - 1), Freshness::Fresh);
    assert_eq!(snapshot.at(NOW_MS + FRESH_LIMIT_MS), Freshness::CutOff);
}

/// A node reads a new slice table and is stopped before it follows it. It
/// would go on with slices that the table gave to others.
#[test]
fn an_own_look_counts_once_what_it_showed_is_followed() {
    let mut tracker = FreshnessTracker::new("a1", "a");
    tracker.hold_versions(HELD);
    tracker.platform_seen(NOW_MS, Versions([4, 5, 7, 0]));
    assert_eq!(tracker.snapshot(NOW_MS).freshness, Freshness::CutOff);
    tracker.hold_versions(Versions([4, 5, 7, 0]));
    assert_eq!(tracker.snapshot(NOW_MS).freshness, Freshness::Fresh);
}

#[test]
fn a_stamp_counts_once_the_newer_table_is_held() {
    let mut tracker = FreshnessTracker::new("a1", "a");
    tracker.hold_versions(HELD);
    tracker.reply(&PeerStamp {
        node_id: "b1".to_owned(),
        zone: "b".to_owned(),
        versions: Versions([4, 5, 7, 0]),
        platform_seen_ms: Some(NOW_MS),
        is_origin_failing: false,
        probe_sent_ms: NOW_MS,
    });
    assert_eq!(tracker.snapshot(NOW_MS).freshness, Freshness::CutOff);
    tracker.hold_versions(Versions([4, 5, 7, 0]));
    assert_eq!(tracker.snapshot(NOW_MS).freshness, Freshness::Fresh);
}
