//! Many nodes follow one object through the few relays that call the store.

mod objects_support;

use {
    dogwoodbridge::documents::{PeerPolls, PollBounds},
    objects_support::{CONFIRMATION_TTL_MS, Fleet, POLL_BOUNDS, StoreFault, WATCH_MS},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{sync::atomic::Ordering, time::Duration},
};

/// Only relays poll.
const RELAYS_ONLY: PollBounds = PollBounds {
    peer_polls: None,
    ..POLL_BOUNDS
};

/// Members that are not relays poll late, unless no relay reaches the store.
const LATE_PEER_POLLS: PollBounds = PollBounds {
    peer_polls: Some(PeerPolls {
        age_ms: 600_000,
        rate_per_s: 40.0,
        without_relay_age_ms: 30,
        without_relay_rate_per_s: 100.0,
    }),
    ..POLL_BOUNDS
};

/// If every node called the store, calls would grow with the fleet and the store would
/// reject a large one.
#[tokio::test(flavor = "multi_thread")]
async fn only_relays_call_the_store() {
    let mut fleet = Fleet::new(2, 12, RELAYS_ONLY);
    for _ in 0..3 {
        let revision = fleet.put();
        assert!(fleet.wait_all_applied(revision).await);
        let now_ms = fleet.timer.now_ms();
        assert!(fleet.wait_all_confirmed_after(now_ms).await);
    }
    let relays = fleet.relays();
    assert_eq!(relays.len(), 4);
    for node in 0..fleet.nodes.len() {
        let has_called = fleet.store.call_count(node) > 0;
        assert!(!has_called || relays.contains(&node), "node {node}");
    }
}

/// The store serves the members of a zone except for its relays. Without polls by other
/// members, the whole zone would refuse keys.
#[tokio::test(flavor = "multi_thread")]
async fn other_members_poll_when_the_store_does_not_serve_the_relays() {
    for fault in [StoreFault::Unavailable, StoreFault::NoResponse] {
        let mut fleet = Fleet::new(1, 6, POLL_BOUNDS);
        assert!(fleet.wait_all_applied(1).await);
        for relay in fleet.relays() {
            fleet.store.set_fault(relay, fault);
        }
        let revision = fleet.put();
        let fault_start_ms = fleet.timer.now_ms();
        assert!(fleet.wait_all_applied(revision).await, "{fault:?}");
        assert!(
            fleet.wait_all_confirmed_after(fault_start_ms).await,
            "{fault:?}"
        );
    }
}

/// The store serves the members of a zone except for its relays, and the configuration
/// changes. The other members waited until the relays' last confirmed poll was too old,
/// and used the replaced version longer than the bound.
#[tokio::test(flavor = "multi_thread")]
async fn other_members_poll_at_once_when_relays_report_failing_calls() {
    for fault in [StoreFault::Unavailable, StoreFault::NoResponse] {
        let mut fleet = Fleet::new(1, 6, LATE_PEER_POLLS);
        assert!(fleet.wait_all_applied(1).await);
        let now_ms = fleet.timer.now_ms();
        assert!(fleet.wait_all_confirmed_after(now_ms).await);
        for relay in fleet.relays() {
            fleet.store.set_fault(relay, fault);
        }
        // Wait for the relays' last watches to end, which may still return a change.
        tokio::time::sleep(Duration::from_millis(2 * WATCH_MS)).await;
        let revision = fleet.put();
        assert!(fleet.wait_all_applied(revision).await, "{fault:?}");
        // The store serves the relays again, and the other members stop polling.
        for relay in fleet.relays() {
            fleet.store.set_fault(relay, StoreFault::None);
        }
        let revision = fleet.put();
        assert!(fleet.wait_all_applied(revision).await, "{fault:?}");
    }
}

/// The store has dropped its history, so each watch of the relays fails although it serves
/// them. If these failures counted, all other members would call the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_without_history_does_not_make_other_members_poll() {
    let mut fleet = Fleet::new(1, 6, LATE_PEER_POLLS);
    assert!(fleet.wait_all_applied(1).await);
    let now_ms = fleet.timer.now_ms();
    assert!(fleet.wait_all_confirmed_after(now_ms).await);
    fleet.set_fault_for_all(StoreFault::HistoryGone);
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
        assert!(fleet.wait_all_applied(revision).await);
        let now_ms = fleet.timer.now_ms();
        assert!(fleet.wait_all_confirmed_after(now_ms).await);
    }
    assert_eq!(call_count(&fleet), before_count);
}

/// The nodes of one zone can't reach the store. They continue with the versions that
/// other zones confirm.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_without_the_store_follows_other_zones() {
    let mut fleet = Fleet::new(2, 4, POLL_BOUNDS);
    assert!(fleet.wait_all_applied(1).await);
    for node in 0..4 {
        fleet.store.set_fault(node, StoreFault::Unavailable);
    }
    let revision = fleet.put();
    let fault_start_ms = fleet.timer.now_ms();
    assert!(fleet.wait_all_applied(revision).await);
    assert!(fleet.wait_all_confirmed_after(fault_start_ms).await);
}

/// No node reaches the store. If nodes kept confirming versions to each other without
/// a poll, they would accept a removed key forever.
#[tokio::test(flavor = "multi_thread")]
async fn members_do_not_extend_an_old_confirmation() {
    let mut fleet = Fleet::new(2, 4, POLL_BOUNDS);
    assert!(fleet.wait_all_applied(1).await);
    assert!(fleet.wait_all_fresh(true).await);
    fleet.set_fault_for_all(StoreFault::Unavailable);
    assert!(fleet.wait_all_fresh(false).await);
    let revision = fleet.put();
    fleet.set_fault_for_all(StoreFault::None);
    assert!(fleet.wait_all_applied(revision).await);
    assert!(fleet.wait_all_fresh(true).await);
}

/// A key is removed while the store drops its history, delays responses or rejects calls,
/// differently for each node, and some nodes can't fetch from others. No node may accept
/// the key for longer than the bound, whichever members it receives versions from.
#[tokio::test(flavor = "multi_thread")]
async fn no_node_uses_a_replaced_version_longer_than_the_bound() {
    const FAULTS: [StoreFault; 6] = [
        StoreFault::None,
        StoreFault::WatchesMissChanges,
        StoreFault::HistoryGone,
        StoreFault::Unavailable,
        StoreFault::NoResponse,
        StoreFault::SlowResponses,
    ];
    /// Steps for which a set of faults stays; twice the bound.
    const STEPS_PER_FAULT_SET: usize = 160;
    let mut rng = StdRng::seed_from_u64(24);
    let fleet = Fleet::new(2, 4, POLL_BOUNDS);
    let (mut fresh_count, mut stale_count) = (0, 0);
    for step in 0..10 * STEPS_PER_FAULT_SET {
        if step % STEPS_PER_FAULT_SET == 0 {
            let is_down = step / STEPS_PER_FAULT_SET % 3 == 1;
            for (index, node) in fleet.nodes.iter().enumerate() {
                let fault = FAULTS[rng.random_range(0..FAULTS.len())];
                let fault = if is_down {
                    StoreFault::Unavailable
                } else {
                    fault
                };
                fleet.store.set_fault(index, fault);
                node.is_partitioned
                    .store(rng.random_bool(0.3), Ordering::SeqCst);
            }
        }
        if step % 10 == 0 {
            fleet.put();
        }
        for (index, node) in fleet.nodes.iter().enumerate() {
            let now_ms = fleet.timer.now_ms();
            let bound_ms = now_ms.saturating_sub(CONFIRMATION_TTL_MS);
            let lowest_allowed_revision = fleet.store.revision_at(bound_ms);
            if fleet.is_fresh(index) {
                fresh_count += 1;
                let applied = *node.applied.borrow();
                assert!(
                    applied >= lowest_allowed_revision,
                    "node {index} at {now_ms} ms"
                );
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
