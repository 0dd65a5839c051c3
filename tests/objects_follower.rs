//! Following the configuration in a store that is slow, unresponsive, unavailable or
//! has dropped its history.

mod objects_support;

use {
    dogwoodbridge::{
        conf::Evacuations,
        documents::{Document, DocumentKind, DocumentOrigin, DocumentStore},
        freshness::Freshness,
        objects::{ObjectOrigin, StoreError},
    },
    objects_support::{Fleet, LIMIT, POLL_BOUNDS, StoreFault, WATCH_MS, followed_objects},
    std::{collections::BTreeSet, time::Duration},
    tokio::time::timeout,
};

/// Operators change the configuration while the store's watches work, miss changes or
/// fail for lack of history. A node that relied on watches alone would keep applying
/// withdrawn rules.
#[tokio::test]
async fn every_change_is_applied_despite_watch_faults() {
    struct Case {
        name: &'static str,
        fault: StoreFault,
    }
    let cases = [
        Case {
            name: "no fault",
            fault: StoreFault::None,
        },
        Case {
            name: "watches miss changes",
            fault: StoreFault::WatchesMissChanges,
        },
        Case {
            name: "dropped history",
            fault: StoreFault::HistoryGone,
        },
        Case {
            name: "slow responses",
            fault: StoreFault::SlowResponses,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::with_fault(1, 1, POLL_BOUNDS, case.fault);
        for revision in 1..4 {
            assert!(fleet.wait_all_applied(revision).await, "{}", case.name);
            fleet.put();
        }
        assert!(fleet.wait_all_applied(4).await, "{}", case.name);
        assert!(fleet.wait_all_fresh(true).await, "{}", case.name);
    }
}

/// The store does not serve this node while keys are removed. The node would accept a removed
/// key until the store is back.
#[tokio::test]
async fn an_unconfirmed_version_is_not_fresh() {
    for fault in [StoreFault::Unavailable, StoreFault::NoResponse] {
        let mut fleet = Fleet::new(1, 1, POLL_BOUNDS);
        assert!(fleet.wait_all_applied(1).await);
        assert!(fleet.wait_all_fresh(true).await);
        fleet.set_fault_for_all(fault);
        assert!(fleet.wait_all_fresh(false).await);
        fleet.set_fault_for_all(StoreFault::None);
        assert!(fleet.wait_all_fresh(true).await);
    }
}

/// A listing returns a change after a long outage. If it were confirmed before it is in
/// force, the old keys would count as fresh for a moment, and one request in that moment
/// would be accepted wrongly.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_is_confirmed_before_it_is_applied() {
    let fleet = Fleet::with_fault(1, 1, POLL_BOUNDS, StoreFault::Unavailable);
    for _ in 1..7 {
        fleet.put();
    }
    // Simulates the time to put a large configuration into force.
    let apply = |_: &Document| std::thread::sleep(Duration::from_millis(100));
    let node = fleet.start_isolated(apply);
    fleet.set_fault_for_all(StoreFault::None);
    let mut freshness = node.freshness.clone();
    let fresh = freshness.wait_for(|snapshot| snapshot.freshness == Freshness::Fresh);
    assert!(timeout(LIMIT, fresh).await.is_ok());
    assert_eq!(*node.applied.borrow(), 7);
}

/// A store without any history responds to each watch at once. Without a back-off it
/// would be called hundreds of times per second.
#[tokio::test]
async fn a_watch_without_history_is_an_error_each_time() {
    let fleet = Fleet::with_fault(1, 1, POLL_BOUNDS, StoreFault::HistoryGone);
    let documents = DocumentStore::new();
    let origin = ObjectOrigin::new(
        fleet.store.clone(),
        followed_objects(),
        documents.clone(),
        WATCH_MS,
        fleet.timer.clone(),
    );
    origin.poll(&documents).await.expect("a listing works");
    for _ in 0..3 {
        let watched = origin.watch(DocumentKind::Configuration, 1).await;
        assert!(matches!(watched, Err(StoreError::HistoryGone)));
    }
}

/// Guards against an evacuation that is in force too late after a loss of relays: the first poll of
/// a node that knew of an earlier evacuation did not ask for newer ones.
#[tokio::test]
async fn the_first_poll_of_a_node_lists_the_evacuations() {
    let fleet = Fleet::new(1, 1, POLL_BOUNDS);
    let documents = DocumentStore::new();
    let earlier = Evacuations {
        zones: BTreeSet::from(["a".to_owned()]),
    };
    documents.offer(Document {
        kind: DocumentKind::Evacuations,
        version: 1,
        content: earlier.write().into(),
    });
    let origin = ObjectOrigin::new(
        fleet.store.clone(),
        followed_objects(),
        documents.clone(),
        WATCH_MS,
        fleet.timer.clone(),
    );
    fleet.store.evacuate("a", true);
    fleet.store.evacuate("b", true);
    origin.poll(&documents).await.expect("a listing works");
    let known = documents.newest(DocumentKind::Evacuations).unwrap();
    let expected = Evacuations {
        zones: BTreeSet::from(["a".to_owned(), "b".to_owned()]),
    };
    assert_eq!(*known.content, *expected.write());
}
