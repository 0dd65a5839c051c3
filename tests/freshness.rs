//! Freshness is derived from a node's polls of the platform and from replies to
//! its probes.

use dogwoodbridge::{
    documents::Versions,
    freshness::{FRESH_LIMIT_MS, Freshness, FreshnessTracker, REPLY_LIMIT_MS},
    membership::{Member, MemberPorts, MemberState, PeerStamp, View},
};

const NOW_MS: u64 = 100_000;
const VERSIONS_IN_FORCE: Versions = Versions([4, 5, 6, 0]);

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
    poll_age_ms: Option<u64>,
    slices_version: u64,
}

const fn reply(node_id: &'static str, zone: &'static str, poll_age_ms: Option<u64>) -> Reply {
    Reply {
        node_id,
        zone,
        probe_age_ms: 100,
        poll_age_ms,
        slices_version: 6,
    }
}

struct Case {
    name: &'static str,
    own_poll_age_ms: Option<u64>,
    versions_in_force: Versions,
    zone_c_state: MemberState,
    replies: Vec<Reply>,
    expected: Freshness,
    allows_quota: bool,
}

#[test]
fn state_follows_from_polls_and_replies() {
    let base = || Case {
        name: "no observations",
        own_poll_age_ms: None,
        versions_in_force: VERSIONS_IN_FORCE,
        zone_c_state: MemberState::Alive,
        replies: vec![],
        expected: Freshness::CutOff,
        allows_quota: false,
    };
    let all_zones_without_poll = || {
        vec![
            reply("a2", "a", None),
            reply("b1", "b", None),
            reply("c1", "c", None),
        ]
    };
    let cases = [
        base(),
        Case {
            name: "own poll",
            own_poll_age_ms: Some(FRESH_LIMIT_MS - 1),
            expected: Freshness::Fresh,
            allows_quota: true,
            ..base()
        },
        Case {
            name: "own poll too old",
            own_poll_age_ms: Some(FRESH_LIMIT_MS),
            ..base()
        },
        Case {
            name: "poll of another node",
            replies: vec![reply("b1", "b", Some(500))],
            expected: Freshness::Fresh,
            allows_quota: true,
            ..base()
        },
        Case {
            name: "poll of another node that holds a newer table",
            replies: vec![Reply {
                slices_version: 7,
                ..reply("b1", "b", Some(500))
            }],
            ..base()
        },
        Case {
            name: "all zones respond and none reaches the platform",
            replies: all_zones_without_poll(),
            expected: Freshness::StoreDown,
            allows_quota: true,
            ..base()
        },
        Case {
            name: "a zone does not respond",
            replies: vec![reply("a2", "a", None), reply("b1", "b", None)],
            allows_quota: true,
            ..base()
        },
        Case {
            name: "a zone does not respond and is declared dead",
            zone_c_state: MemberState::Dead,
            replies: vec![reply("a2", "a", None), reply("b1", "b", None)],
            allows_quota: true,
            ..base()
        },
        Case {
            name: "all members of a zone left",
            zone_c_state: MemberState::Left,
            replies: vec![reply("a2", "a", None), reply("b1", "b", None)],
            expected: Freshness::StoreDown,
            allows_quota: true,
            ..base()
        },
        Case {
            name: "only the own zone responds",
            replies: vec![reply("a2", "a", None)],
            allows_quota: true,
            ..base()
        },
        Case {
            name: "a member of the own zone holds a newer table",
            replies: vec![Reply {
                slices_version: 7,
                ..reply("a2", "a", Some(500))
            }],
            ..base()
        },
        Case {
            name: "own zone does not respond",
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
            name: "no slice table in force",
            versions_in_force: Versions([4, 5, 0, 0]),
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
            name: "a second member of another zone holds a newer table",
            replies: {
                let mut replies = all_zones_without_poll();
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
        tracker.set_versions_in_force(case.versions_in_force);
        let members = vec![
            member("a1", "a", MemberState::Alive),
            member("a2", "a", MemberState::Alive),
            member("b1", "b", MemberState::Alive),
            member("b2", "b", MemberState::Alive),
            member("c1", "c", case.zone_c_state),
        ];
        tracker.observe_zones(&View::new(members), []);
        if let Some(age_ms) = case.own_poll_age_ms {
            tracker.record_poll(NOW_MS - age_ms, VERSIONS_IN_FORCE);
        }
        for reply in &case.replies {
            tracker.record_reply(&PeerStamp {
                node_id: reply.node_id.to_owned(),
                zone: reply.zone.to_owned(),
                versions: Versions([4, 5, reply.slices_version, 0]),
                platform_seen_ms: reply.poll_age_ms.map(|age_ms| NOW_MS - age_ms),
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

/// A node is paused for a few seconds in the middle of a request. If it acted on
/// the state from before the pause, the request could run at two homes.
#[test]
fn a_snapshot_expires_during_a_pause() {
    let mut tracker = FreshnessTracker::new("a1", "a");
    tracker.record_poll(NOW_MS, Versions::default());
    let snapshot = tracker.snapshot(NOW_MS + 10);
    assert_eq!(snapshot.at(NOW_MS + FRESH_LIMIT_MS - 1), Freshness::Fresh);
    assert_eq!(snapshot.at(NOW_MS + FRESH_LIMIT_MS), Freshness::CutOff);
}

/// A node reads a new slice table and is paused before it applies it. It must
/// not use slices that the new table assigns to others.
#[test]
fn an_own_poll_counts_once_its_versions_are_in_force() {
    let mut tracker = FreshnessTracker::new("a1", "a");
    tracker.set_versions_in_force(VERSIONS_IN_FORCE);
    tracker.record_poll(NOW_MS, Versions([4, 5, 7, 0]));
    assert_eq!(tracker.snapshot(NOW_MS).freshness, Freshness::CutOff);
    tracker.set_versions_in_force(Versions([4, 5, 7, 0]));
    assert_eq!(tracker.snapshot(NOW_MS).freshness, Freshness::Fresh);
}

/// A member reports a poll that returned a newer slice table. Until this node
/// applies that table, it must not count as fresh.
#[test]
fn a_stamp_counts_once_the_newer_table_is_in_force() {
    let mut tracker = FreshnessTracker::new("a1", "a");
    tracker.set_versions_in_force(VERSIONS_IN_FORCE);
    tracker.record_reply(&PeerStamp {
        node_id: "b1".to_owned(),
        zone: "b".to_owned(),
        versions: Versions([4, 5, 7, 0]),
        platform_seen_ms: Some(NOW_MS),
        is_origin_failing: false,
        probe_sent_ms: NOW_MS,
    });
    assert_eq!(tracker.snapshot(NOW_MS).freshness, Freshness::CutOff);
    tracker.set_versions_in_force(Versions([4, 5, 7, 0]));
    assert_eq!(tracker.snapshot(NOW_MS).freshness, Freshness::Fresh);
}
