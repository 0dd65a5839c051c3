//! How fast a change of one node is known to all.

#[path = "membership_support/mod.rs"]
mod membership_support;

use {
    dogwoodbridge::membership::{MemberState, OwnState},
    membership_support::Fleet,
};

/// Within which callers that are refused at a leaving target are few.
const KNOWN_LIMIT_MS: u64 = 500;
/// After a start nothing is left to tell.
const SETTLED_MS: u64 = 40_000;
/// Records of one change that cross from one zone to another.
const MAX_SENDS_PER_ZONE_PAIR: usize = 8;

/// Pattern: targets leave while callers press. Nodes that hear of it late go on
/// sending requests there, each of which is refused and sent again.
#[test]
fn drains_are_known_to_a_hundred_nodes_within_half_a_second() {
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
        let mut fleet = Fleet::started(6, 16, seed);
        while fleet.now_ms < SETTLED_MS {
            fleet.step();
        }
        assert!(fleet.all_see_each_other(), "{}", case.name);
        fleet.loss_ratio = case.loss_ratio;
        let state = OwnState {
            draining: true,
            ..OwnState::default()
        };
        for host in case.leaving.clone() {
            fleet.set_state(host, state.clone());
        }
        let names: Vec<String> = case.leaving.map(|host| fleet.name(host)).collect();
        let is_known = |fleet: &Fleet| {
            let mut pairs =
                (0..fleet.hosts.len()).flat_map(|host| names.iter().map(move |n| (host, n)));
            pairs.all(|(host, name)| fleet.state_at(host, name) == Some(MemberState::Draining))
        };
        let took_ms = fleet.run_until(KNOWN_LIMIT_MS, is_known);
        println!("{}: known after {took_ms} ms", case.name);
    }
}

/// Pattern: members change all day. Every member used to send each change to
/// other zones, so that bytes between zones grew with the square of the fleet.
#[test]
fn a_change_crosses_between_zones_as_often_in_a_large_fleet() {
    struct Case {
        name: &'static str,
        zone_count: u8,
        per_zone: u8,
    }
    let cases = [
        Case {
            name: "small zones",
            zone_count: 4,
            per_zone: 8,
        },
        Case {
            name: "large zones",
            zone_count: 4,
            per_zone: 50,
        },
        Case {
            name: "two small zones",
            zone_count: 2,
            per_zone: 7,
        },
    ];
    for (seed, case) in (0..).zip(cases) {
        let mut fleet = Fleet::started(case.zone_count, case.per_zone, seed);
        while fleet.now_ms < SETTLED_MS {
            fleet.step();
        }
        fleet.far_news_count = 0;
        let state = OwnState {
            draining: true,
            ..OwnState::default()
        };
        fleet.set_state(3, state);
        let name = fleet.name(3);
        fleet.run_until(KNOWN_LIMIT_MS, |fleet| {
            (0..fleet.hosts.len())
                .all(|host| fleet.state_at(host, &name) == Some(MemberState::Draining))
        });
        while fleet.now_ms < SETTLED_MS + 10_000 {
            fleet.step();
        }
        let zone_pair_count = usize::from(case.zone_count * (case.zone_count - 1));
        let limit = MAX_SENDS_PER_ZONE_PAIR * zone_pair_count;
        let count = fleet.far_news_count;
        println!("{}: {count} records between zones", case.name);
        assert!(count <= limit, "{}: {count} of {limit}", case.name);
    }
}
