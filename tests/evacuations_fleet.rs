//! Many nodes receive evacuated availability zones through a few relays.

mod objects_support;

use {
    dogwoodbridge::documents::PollBounds,
    objects_support::{Fleet, POLL_BOUNDS, StoreFault},
};

/// Only relays poll.
const RELAYS_ONLY: PollBounds = PollBounds {
    peer_polls: None,
    ..POLL_BOUNDS
};

/// A change of one zone, and the zones that are evacuated after it.
struct Step {
    zone: &'static str,
    is_evacuated: bool,
    zones: &'static [&'static str],
}

const fn step(zone: &'static str, is_evacuated: bool, zones: &'static [&'static str]) -> Step {
    Step {
        zone,
        is_evacuated,
        zones,
    }
}

/// Two zones evacuated at once, and one of them twice in a row. A node that missed a
/// step would route requests to an evacuated zone, or none to a zone in service.
const STEPS: [Step; 7] = [
    step("a", true, &["a"]),
    step("a", false, &[]),
    step("a", true, &["a"]),
    step("b", true, &["a", "b"]),
    step("a", false, &["b"]),
    step("a", true, &["a", "b"]),
    step("b", false, &["a"]),
];

async fn run_steps(fleet: &mut Fleet, case_name: &str) {
    for (index, step) in STEPS.iter().enumerate() {
        fleet.store.evacuate(step.zone, step.is_evacuated);
        let is_known = fleet.wait_all_evacuated(step.zones).await;
        assert!(is_known, "{case_name}, step {index}");
    }
}

/// Each change reaches all nodes through the relays of each zone.
#[tokio::test(flavor = "multi_thread")]
async fn evacuations_reach_all_nodes_through_relays() {
    let mut fleet = Fleet::new(2, 12, RELAYS_ONLY);
    assert!(fleet.wait_all_applied(1).await);
    run_steps(&mut fleet, "no fault").await;
    let relays = fleet.relays();
    for node in 0..fleet.nodes.len() {
        let has_called = fleet.store.call_count(node) > 0;
        assert!(!has_called || relays.contains(&node), "node {node}");
    }
}

/// The store drops its history, rejects or delays calls, or its watches miss changes.
/// If the end of an evacuation were lost, the zone would receive no requests forever.
#[tokio::test(flavor = "multi_thread")]
async fn evacuations_reach_all_nodes_despite_store_faults_at_relays() {
    for fault in [
        StoreFault::WatchesMissChanges,
        StoreFault::HistoryGone,
        StoreFault::SlowResponses,
        StoreFault::Unavailable,
        StoreFault::NoResponse,
    ] {
        let mut fleet = Fleet::new(2, 6, POLL_BOUNDS);
        assert!(fleet.wait_all_applied(1).await);
        for relay in fleet.relays() {
            fleet.store.set_fault(relay, fault);
        }
        run_steps(&mut fleet, &format!("{fault:?}")).await;
    }
}

/// A node starts while a zone is evacuated. It would route requests there if it did not
/// receive the evacuation.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_during_an_evacuation_receives_it() {
    let mut fleet = Fleet::new(1, 2, POLL_BOUNDS);
    assert!(fleet.wait_all_applied(1).await);
    fleet.store.evacuate("a", true);
    assert!(fleet.wait_all_evacuated(&["a"]).await);
    let late_node = fleet.start_isolated(|_| {});
    fleet.nodes.push(late_node);
    assert!(fleet.wait_all_evacuated(&["a"]).await);
}
