//! Many nodes that follow one object through a few that ask the store.

mod objects_support;

use {
    dogwoodbridge::documents::{PeerPolls, PollBounds},
    objects_support::{BOUNDS, CONFIRMED_MS, Fleet, Mood, WATCH_MS},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{sync::atomic::Ordering, time::Duration},
};

/// Members that are no relays never look.
const RELAYS_ONLY: PollBounds = PollBounds {
    others: None,
    ..BOUNDS
};

/// Other members look late, unless no relay reaches the store.
const LATE_OTHERS: PollBounds = PollBounds {
    others: Some(PeerPolls {
        age_ms: 600_000,
        rate_per_s: 40.0,
        alone_age_ms: 30,
        alone_rate_per_s: 100.0,
    }),
    ..BOUNDS
};

/// Were every node to ask the store, its calls would grow with the fleet and a
/// large one would be refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_follows_by_the_calls_of_its_relays() {
    let mut fleet = Fleet::new(2, 12, RELAYS_ONLY);
    for _ in 0..3 {
        let revision = fleet.put();
        assert!(fleet.all_apply(revision).await);
        let now_ms = fleet.timer.now_ms();
        assert!(fleet.all_confirmed_after(now_ms).await);
    }
    let relays = fleet.relays();
    assert_eq!(relays.len(), 4);
    for node in 0..fleet.nodes.len() {
        let has_called = fleet.store.call_count(node) > 0;
        assert!(!has_called || relays.contains(&node), "node {node}");
    }
}

/// The store turns away both relays of a zone and serves the others. Without
/// looks by other members, keys would be refused in the whole zone.
#[tokio::test(flavor = "multi_thread")]
async fn others_look_when_the_store_shuts_out_the_relays() {
    for mood in [Mood::Down, Mood::Silent] {
        let mut fleet = Fleet::new(1, 6, BOUNDS);
        assert!(fleet.all_apply(1).await);
        for relay in fleet.relays() {
            fleet.store.set(relay, mood);
        }
        let revision = fleet.put();
        let shut_out_ms = fleet.timer.now_ms();
        assert!(fleet.all_apply(revision).await, "{mood:?}");
        assert!(fleet.all_confirmed_after(shut_out_ms).await, "{mood:?}");
    }
}

/// The store turns away both relays of a zone while the configuration changes.
/// Members that it serves waited for the relays' word until it was too old, and
/// used the replaced version longer than the bound.
#[tokio::test(flavor = "multi_thread")]
async fn others_look_at_once_when_relays_tell_that_they_are_shut_out() {
    for mood in [Mood::Down, Mood::Silent] {
        let mut fleet = Fleet::new(1, 6, LATE_OTHERS);
        assert!(fleet.all_apply(1).await);
        let now_ms = fleet.timer.now_ms();
        assert!(fleet.all_confirmed_after(now_ms).await);
        for relay in fleet.relays() {
            fleet.store.set(relay, mood);
        }
        // Until their last watches have ended, which may still hear of a change.
        tokio::time::sleep(Duration::from_millis(2 * WATCH_MS)).await;
        let revision = fleet.put();
        assert!(fleet.all_apply(revision).await, "{mood:?}");
        // The relays are served again, and the others leave it to them.
        for relay in fleet.relays() {
            fleet.store.set(relay, Mood::Well);
        }
        let revision = fleet.put();
        assert!(fleet.all_apply(revision).await, "{mood:?}");
    }
}

/// The store forgets its history, so that each watch of the relays fails while it
/// serves them. Taken for shut out, they would have all others ask it.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_without_history_is_left_to_the_relays() {
    let mut fleet = Fleet::new(1, 6, LATE_OTHERS);
    assert!(fleet.all_apply(1).await);
    let now_ms = fleet.timer.now_ms();
    assert!(fleet.all_confirmed_after(now_ms).await);
    fleet.set_all(Mood::Forgetful);
    let relays = fleet.relays();
    let others: Vec<usize> = (0..fleet.nodes.len())
        .filter(|node| !relays.contains(node))
        .collect();
    let call_count = |fleet: &Fleet| -> usize {
        let counts = others.iter().map(|node| fleet.store.call_count(*node));
        counts.sum()
    };
    let before_count = call_count(&fleet);
    for _ in 0..5 {
        let revision = fleet.put();
        assert!(fleet.all_apply(revision).await);
        let now_ms = fleet.timer.now_ms();
        assert!(fleet.all_confirmed_after(now_ms).await);
    }
    assert_eq!(call_count(&fleet), before_count);
}

/// One zone has no way to the store. Its nodes go on with what the other zones
/// confirm.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_without_the_store_learns_from_the_others() {
    let mut fleet = Fleet::new(2, 4, BOUNDS);
    assert!(fleet.all_apply(1).await);
    for node in 0..4 {
        fleet.store.set(node, Mood::Down);
    }
    let revision = fleet.put();
    let shut_out_ms = fleet.timer.now_ms();
    assert!(fleet.all_apply(revision).await);
    assert!(fleet.all_confirmed_after(shut_out_ms).await);
}

/// Nobody reaches the store. Nodes that went on confirming to each other what
/// none of them asked for would honour a removed key for good.
#[tokio::test(flavor = "multi_thread")]
async fn members_do_not_keep_an_old_confirmation_alive() {
    let mut fleet = Fleet::new(2, 4, BOUNDS);
    assert!(fleet.all_apply(1).await);
    assert!(fleet.all_become(true).await);
    fleet.set_all(Mood::Down);
    assert!(fleet.all_become(false).await);
    let revision = fleet.put();
    fleet.set_all(Mood::Well);
    assert!(fleet.all_apply(revision).await);
    assert!(fleet.all_become(true).await);
}

/// A key is removed while the store forgets, delays and refuses, towards each
/// node in another way, and nodes can't fetch from each other. It must not be
/// honoured anywhere for longer than the bound, whoever told the node what.
#[tokio::test(flavor = "multi_thread")]
async fn no_node_relies_on_what_was_replaced_longer_than_the_bound() {
    const MOODS: [Mood; 6] = [
        Mood::Well,
        Mood::Deaf,
        Mood::Forgetful,
        Mood::Down,
        Mood::Silent,
        Mood::Late,
    ];
    /// Steps of one state; twice the bound.
    const STEPS_PER_STATE: usize = 160;
    let mut rng = StdRng::seed_from_u64(24);
    let fleet = Fleet::new(2, 4, BOUNDS);
    let (mut fresh_count, mut stale_count) = (0, 0);
    for step in 0..10 * STEPS_PER_STATE {
        if step % STEPS_PER_STATE == 0 {
            let is_down = step / STEPS_PER_STATE % 3 == 1;
            for (index, node) in fleet.nodes.iter().enumerate() {
                let mood = MOODS[rng.random_range(0..MOODS.len())];
                let mood = if is_down { Mood::Down } else { mood };
                fleet.store.set(index, mood);
                node.is_cut.store(rng.random_bool(0.3), Ordering::SeqCst);
            }
        }
        if step % 10 == 0 {
            fleet.put();
        }
        for (index, node) in fleet.nodes.iter().enumerate() {
            let now_ms = fleet.timer.now_ms();
            let owed_ms = now_ms.saturating_sub(CONFIRMED_MS);
            let owed_revision = fleet.store.revision_at(owed_ms);
            if fleet.is_fresh(index) {
                fresh_count += 1;
                let applied = *node.applied.borrow();
                assert!(applied >= owed_revision, "node {index} at {now_ms} ms");
            } else {
                stale_count += 1;
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(
        fresh_count > 0 && stale_count > 0,
        "{fresh_count} {stale_count}"
    );
}
