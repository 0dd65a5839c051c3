//! How fast, and with how much traffic, a change of one member reaches all
//! nodes.

#[path = "membership_support/mod.rs"]
mod membership_support;

use {
    dogwoodbridge::membership::{MemberState, OwnState},
    membership_support::Fleet,
};

/// Time within which few callers are refused at a leaving target.
const KNOWN_LIMIT_MS: u64 = 500;
/// Time after which no updates of the start remain to be sent.
const SETTLED_MS: u64 = 40_000;
/// Maximum records of one change sent from one zone to another.
const MAX_SENDS_PER_ZONE_PAIR: usize = 8;

/// Targets leave under load. Nodes that receive the update late continue to
/// send requests there, each of which is refused and retried.
#[test]
fn drains_reach_a_hundred_nodes_within_half_a_second() {
    struct Case {
        name: &'static str,
        loss_ratio: f64,
        leaving: std::ops::Range<usize>,
    }
    let cases = [
        Case {
            name: "one target",
            loss_ratio: 0.0,
            leaving: 7..8,
        },
        Case {
            name: "lossy links",
            loss_ratio: 0.1,
            leaving: 7..8,
        },
        Case {
            name: "half a zone",
            loss_ratio: 0.0,
            leaving: 20..28,
        },
    ];
    for (seed, case) in (0..).zip(cases) {
        let mut fleet = Fleet::started_with_zone_seeds(6, 16, seed);
        while fleet.now_ms < SETTLED_MS {
            fleet.step();
        }
        assert!(fleet.all_see_each_other(), "{}", case.name);
        fleet.loss_ratio = case.loss_ratio;
        let state = OwnState {
            draining: true,
            ..OwnState::default()
        };
        for node in case.leaving.clone() {
            fleet.set_state(node, state.clone());
        }
        let node_ids: Vec<String> = case.leaving.map(|node| fleet.node_id(node)).collect();
        let is_known = |fleet: &Fleet| {
            let mut pairs =
                (0..fleet.nodes.len()).flat_map(|node| node_ids.iter().map(move |id| (node, id)));
            pairs.all(|(node, id)| fleet.member_state(node, id) == Some(MemberState::Draining))
        };
        let took_ms = fleet.run_until(KNOWN_LIMIT_MS, is_known);
        println!("{}: known after {took_ms} ms", case.name);
    }
}

/// Members change all the time. If every member sent each change to other
/// zones, the traffic between zones would grow with the square of the fleet.
#[test]
fn cross_zone_sends_of_a_change_do_not_grow_with_the_fleet() {
    struct Case {
        name: &'static str,
        zone_count: u8,
        nodes_per_zone: u8,
    }
    let cases = [
        Case {
            name: "small zones",
            zone_count: 4,
            nodes_per_zone: 8,
        },
        Case {
            name: "large zones",
            zone_count: 4,
            nodes_per_zone: 50,
        },
        Case {
            name: "two small zones",
            zone_count: 2,
            nodes_per_zone: 7,
        },
    ];
    for (seed, case) in (0..).zip(cases) {
        let mut fleet = Fleet::started_with_zone_seeds(case.zone_count, case.nodes_per_zone, seed);
        while fleet.now_ms < SETTLED_MS {
            fleet.step();
        }
        fleet.cross_zone_record_count = 0;
        let state = OwnState {
            draining: true,
            ..OwnState::default()
        };
        fleet.set_state(3, state);
        let node_id = fleet.node_id(3);
        fleet.run_until(KNOWN_LIMIT_MS, |fleet| {
            (0..fleet.nodes.len())
                .all(|node| fleet.member_state(node, &node_id) == Some(MemberState::Draining))
        });
        while fleet.now_ms < SETTLED_MS + 10_000 {
            fleet.step();
        }
        let zone_pair_count = usize::from(case.zone_count * (case.zone_count - 1));
        let max_count = MAX_SENDS_PER_ZONE_PAIR * zone_pair_count;
        let sent_count = fleet.cross_zone_record_count;
        println!("{}: {sent_count} records between zones", case.name);
        assert!(
            sent_count <= max_count,
            "{}: {sent_count} of {max_count}",
            case.name
        );
    }
}
