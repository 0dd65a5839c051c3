//! The slice table: document, shares, giving up, takeover by silence.

use {
    dogwoodbridge::{
        freshness::Freshness,
        membership::{Member, MemberPorts, MemberState, View},
        slices::{
            Observed, Planner, SLICE_COUNT, SUSPECT_PERIOD_MS, Section, SliceTable, SlicesError,
            Slot, Step, TAKEOVER_WAIT_MS, UNKNOWN_WAIT_MS,
        },
    },
    std::collections::BTreeMap,
};

fn member(zone: usize, index: usize) -> Member {
    let byte = |n: usize| u8::try_from(n).expect("small");
    Member {
        node_id: format!("n-{zone}-{index:03}"),
        ip: [127, byte(zone), byte(index / 250), byte(index % 250 + 1)].into(),
        ports: MemberPorts {
            peer: 1,
            gossip: 2,
            rpc: 3,
            control: 4,
        },
        region: "r".to_owned(),
        zone: format!("z{zone}"),
        started_unix_ms: 1,
        incarnation: 0,
        state: MemberState::Alive,
        target: None,
    }
}

/// Nodes that all see the same members and write to one table.
struct Fleet {
    view: View,
    planners: Vec<Planner>,
    table: SliceTable,
    now_ms: u64,
    write_count: usize,
}

impl Fleet {
    fn new(zone_count: usize, zone_size: usize) -> Self {
        let zones = 0..zone_count;
        let members = zones.flat_map(|zone| (0..zone_size).map(move |index| member(zone, index)));
        let members: Vec<Member> = members.collect();
        let slots = members.iter().map(Slot::new);
        let planners: Vec<Planner> = slots.map(Planner::new).collect();
        Self {
            table: SliceTable::new(planners[0].own().clone()),
            view: View { members },
            planners,
            now_ms: 0,
            write_count: 0,
        }
    }

    fn set_state(&mut self, index: usize, state: MemberState) {
        self.view.members[index].state = state;
    }

    /// All planners look at the same table; one of those that would write
    /// succeeds, as with conditional writes.
    fn round(&mut self) -> Option<(String, Vec<Step>)> {
        self.now_ms += 500;
        let mut written = None;
        let members = self.view.members.iter();
        for (planner, member) in self.planners.iter_mut().zip(members) {
            let is_running = !matches!(member.state, MemberState::Dead | MemberState::Left);
            let observed = Observed {
                table: &self.table,
                view: &self.view,
                freshness: Freshness::Fresh,
                draining: member.state == MemberState::Draining,
                now_ms: self.now_ms,
            };
            let steps = if is_running {
                planner.plan(observed)
            } else {
                vec![]
            };
            if !steps.is_empty() && written.is_none() {
                written = Some((planner.own().clone(), steps));
            }
        }
        let (own, steps) = written?;
        self.table = self.table.with_steps(&own, &steps);
        self.write_count += 1;
        Some((own.node_id, steps))
    }

    fn settle(&mut self) {
        let mut quiet_count = 0;
        for _ in 0..2000 {
            quiet_count = if self.round().is_some() {
                0
            } else {
                quiet_count + 1
            };
            if quiet_count > 30 {
                return;
            }
        }
        panic!("the table does not settle: {} writes", self.write_count);
    }

    fn zone_counts(&self, section: Section) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        let slots = self.table.slots().iter();
        for (slot, count) in slots.zip(self.table.counts(section)) {
            *counts.entry(slot.zone.as_str()).or_default() += count;
        }
        counts
    }

    fn count(&self, section: Section, index: usize) -> usize {
        let slot = self.table.find(&self.view.members[index].node_id);
        slot.map_or(0, |slot| self.table.counts(section)[slot.index()])
    }
}

#[test]
fn a_fleet_of_580_shares_the_slices_in_a_few_kilobytes() {
    let mut fleet = Fleet::new(6, 97);
    fleet.settle();
    for section in Section::ALL {
        let counts = fleet.zone_counts(section);
        assert_eq!(counts.len(), 6, "{counts:?}");
        assert!(
            counts.values().all(|n| n.abs_diff(SLICE_COUNT / 6) < 100),
            "{counts:?}"
        );
    }
    let content = fleet.table.serialise();
    println!(
        "{} slots, {} bytes, {} writes",
        fleet.table.slots().len(),
        content.len(),
        fleet.write_count
    );
    assert!(content.len() < 8 << 10);
    assert_eq!(SliceTable::parse(&content), Ok(fleet.table));
}

/// A node dies. Its share of every workspace's rate lies idle, and keyed
/// orders that hash to it are refused, until a neighbour takes it over.
#[test]
fn a_dead_owner_is_marked_and_taken_over_after_the_wait() {
    let mut fleet = Fleet::new(2, 3);
    fleet.settle();
    let lost_count = fleet.count(Section::Quota, 1);
    assert!(lost_count > 0);
    fleet.set_state(1, MemberState::Dead);
    let (_, steps) = fleet.round().expect("a mark");
    assert!(matches!(&steps[..], [Step::Suspect { .. }]));
    let marked_ms = fleet.now_ms;
    let (taker, steps) = loop {
        if let Some(written) = fleet.round() {
            break written;
        }
    };
    assert!(matches!(&steps[..], [Step::Take { sections, .. }] if sections.len() == 2));
    assert!(fleet.now_ms >= marked_ms + TAKEOVER_WAIT_MS);
    assert!(taker.starts_with("n-0-"), "{taker}");
    assert_eq!(fleet.count(Section::Quota, 1), 0);
    fleet.settle();
    assert!(fleet.zone_counts(Section::Quota)["z0"] >= SLICE_COUNT * 2 / 5);
}

/// An owner was cut off for a moment and is suspected though it is alive. It
/// must not lose its slices while it can say so.
#[test]
fn a_live_owner_clears_its_mark() {
    let mut fleet = Fleet::new(2, 3);
    fleet.settle();
    let own_count = fleet.count(Section::Keys, 1);
    fleet.set_state(1, MemberState::Dead);
    fleet.round().expect("a mark");
    let own = fleet.planners[1].own().clone();
    assert_eq!(fleet.table.usable_slot(&own.node_id, own.ip), None);
    fleet.set_state(1, MemberState::Alive);
    let (writer, steps) = fleet.round().expect("an answer to the mark");
    assert_eq!(
        (writer, steps),
        (own.node_id.clone(), vec![Step::ClearMark])
    );
    assert!(fleet.table.usable_slot(&own.node_id, own.ip).is_some());
    fleet.settle();
    assert_eq!(fleet.count(Section::Keys, 1), own_count);
}

/// Nodes of a fleet start together and some know only a few members yet. They
/// took the slots of all others for gone: marks and clearings followed each
/// other a hundred times a second, and 7 of 10 requests inside their rate were
/// refused for the first 20 s.
#[test]
fn a_slot_that_is_not_known_yet_is_not_marked() {
    let fleet = Fleet::new(1, 2);
    let view = View {
        members: vec![fleet.view.members[1].clone()],
    };
    let mut planner = Planner::new(fleet.planners[1].own().clone());
    let mut plan = |now_ms| {
        planner.plan(Observed {
            table: &fleet.table,
            view: &view,
            freshness: Freshness::Fresh,
            draining: false,
            now_ms,
        })
    };
    assert_eq!(plan(0), []);
    assert_eq!(plan(UNKNOWN_WAIT_MS - 1), []);
    assert!(matches!(plan(UNKNOWN_WAIT_MS)[..], [Step::Suspect { .. }]));
}

/// Gossip does not reach an owner, but the platform does. It clears each mark
/// at once; the node that marks it must not answer each clearing with a mark.
#[test]
fn a_cleared_mark_is_not_set_again_at_once() {
    let mut fleet = Fleet::new(2, 3);
    fleet.settle();
    fleet.set_state(1, MemberState::Dead);
    fleet.round().expect("a mark");
    let own = fleet.planners[1].own().clone();
    fleet.table = fleet.table.with_steps(&own, &[Step::ClearMark]);
    let cleared_ms = fleet.now_ms;
    let (_, steps) = loop {
        if let Some(written) = fleet.round() {
            break written;
        }
    };
    assert!(matches!(&steps[..], [Step::Suspect { .. }]));
    assert!(fleet.now_ms >= cleared_ms + SUSPECT_PERIOD_MS);
}

/// A whole zone disappears. Its keys find new homes elsewhere; its quota
/// stays, since the zone may be alive behind a partition and go on serving
/// on it.
#[test]
fn quota_of_a_lost_zone_stays_with_it() {
    let mut fleet = Fleet::new(2, 2);
    fleet.settle();
    let quota_counts = fleet.zone_counts(Section::Quota)["z1"];
    for index in [2, 3] {
        fleet.set_state(index, MemberState::Dead);
    }
    fleet.settle();
    assert_eq!(fleet.zone_counts(Section::Quota)["z1"], quota_counts);
    assert_eq!(fleet.zone_counts(Section::Keys)["z1"], 0);
}

#[test]
fn a_draining_node_gives_everything_away() {
    let mut fleet = Fleet::new(2, 3);
    fleet.settle();
    fleet.set_state(4, MemberState::Draining);
    fleet.settle();
    for section in Section::ALL {
        assert_eq!(fleet.count(section, 4), 0);
        assert!(fleet.zone_counts(section)["z1"] > SLICE_COUNT / 4);
    }
}

/// An instance is replaced while its predecessor hangs. Both would use the
/// slot's slices if the name alone decided.
#[test]
fn a_replacement_at_another_address_waits_before_it_claims_its_slot() {
    let mut fleet = Fleet::new(1, 2);
    fleet.settle();
    fleet.view.members[1].ip = [127, 0, 9, 9].into();
    let own = Slot::new(&fleet.view.members[1]);
    fleet.planners[1] = Planner::new(own.clone());
    assert_eq!(fleet.table.usable_slot(&own.node_id, own.ip), None);
    let (_, steps) = fleet.round().expect("a mark on its own slot");
    assert!(matches!(&steps[..], [Step::Suspect { .. }]));
    let marked_ms = fleet.now_ms;
    let (_, steps) = loop {
        if let Some(written) = fleet.round() {
            break written;
        }
    };
    assert_eq!(steps, [Step::Claim]);
    assert!(fleet.now_ms >= marked_ms + TAKEOVER_WAIT_MS);
    assert!(fleet.table.usable_slot(&own.node_id, own.ip).is_some());
}

#[test]
fn nothing_is_planned_without_fresh_knowledge() {
    let mut fleet = Fleet::new(1, 2);
    for freshness in [Freshness::StoreDown, Freshness::CutOff] {
        let observed = Observed {
            table: &fleet.table,
            view: &fleet.view,
            freshness,
            draining: true,
            now_ms: 1,
        };
        assert_eq!(fleet.planners[0].plan(observed), []);
    }
}

#[test]
fn malformed_documents_are_refused() {
    let content = SliceTable::new(Slot::new(&member(0, 0))).serialise();
    for length in 0..content.len() - 1 {
        let parsed = SliceTable::parse(&content[..length]);
        assert!(
            matches!(
                parsed,
                Err(SlicesError::Malformed { .. } | SlicesError::SliceCount { .. })
            ),
            "{length}"
        );
    }
}
