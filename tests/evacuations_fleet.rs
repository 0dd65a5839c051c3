//! Many nodes that learn of evacuated availability zones through a few relays.

mod objects_support;

use {
    dogwoodbridge::documents::PollBounds,
    objects_support::{BOUNDS, Fleet, Mood},
};

/// Members that are no relays never look.
const RELAYS_ONLY: PollBounds = PollBounds {
    others: None,
    ..BOUNDS
};

/// Zones that are evacuated after each change.
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

/// Two zones at once, and one of them twice in a row. A node that missed a step
/// would send work into an empty zone, or leave a full one idle.
const STEPS: [Step; 7] = [
    step("a", true, &["a"]),
    step("a", false, &[]),
    step("a", true, &["a"]),
    step("b", true, &["a", "b"]),
    step("a", false, &["b"]),
    step("a", true, &["a", "b"]),
    step("b", false, &["a"]),
];

async fn carry_out(fleet: &mut Fleet, circumstances: &str) {
    for (place, step) in STEPS.iter().enumerate() {
        fleet.store.evacuate(step.zone, step.is_evacuated);
        let is_known = fleet.all_evacuate(step.zones).await;
        assert!(is_known, "{circumstances}, step {place}");
    }
}

/// Each change reaches all nodes through the relays of each zone.
#[tokio::test(flavor = "multi_thread")]
async fn evacuations_reach_all_nodes_through_relays() {
    let mut fleet = Fleet::new(2, 12, RELAYS_ONLY);
    assert!(fleet.all_apply(1).await);
    carry_out(&mut fleet, "well").await;
    let relays = fleet.relays();
    for node in 0..fleet.nodes.len() {
        let has_called = fleet.store.call_count(node) > 0;
        assert!(!has_called || relays.contains(&node), "node {node}");
    }
}

/// The store forgets, refuses, delays or hears nothing. A removal whose event
/// was lost would leave a zone without work for good.
#[tokio::test(flavor = "multi_thread")]
async fn evacuations_are_learned_whatever_the_store_does_to_some() {
    for mood in [
        Mood::Deaf,
        Mood::Forgetful,
        Mood::Late,
        Mood::Down,
        Mood::Silent,
    ] {
        let mut fleet = Fleet::new(2, 6, BOUNDS);
        assert!(fleet.all_apply(1).await);
        for relay in fleet.relays() {
            fleet.store.set(relay, mood);
        }
        carry_out(&mut fleet, &format!("{mood:?}")).await;
    }
}

/// A node starts while a zone is evacuated. Until it knew, it would send work
/// there.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_in_the_middle_learns_of_an_evacuation() {
    let mut fleet = Fleet::new(1, 2, BOUNDS);
    assert!(fleet.all_apply(1).await);
    fleet.store.evacuate("a", true);
    assert!(fleet.all_evacuate(&["a"]).await);
    let late = fleet.restart_alone(|_| {});
    fleet.nodes.push(late);
    assert!(fleet.all_evacuate(&["a"]).await);
}
