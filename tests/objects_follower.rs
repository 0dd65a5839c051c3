//! Following the configuration in a store that is slow, silent, forgetful or
//! down.

mod objects_support;

use {
    dogwoodbridge::{
        documents::{Document, DocumentKind, DocumentOrigin, DocumentStore},
        freshness::Freshness,
        objects::{ObjectOrigin, StoreError},
    },
    objects_support::{BOUNDS, Fleet, LIMIT, Mood, WATCH_MS, followed},
    std::time::Duration,
    tokio::time::timeout,
};

/// Operators change the configuration while the store's watches work, hear
/// nothing, or find their history dropped. Users would be served by withdrawn
/// rules for as long as the node relied on a watch alone.
#[tokio::test]
async fn every_change_is_applied_whatever_watches_miss() {
    struct Case {
        name: &'static str,
        mood: Mood,
    }
    let cases = [
        Case {
            name: "well",
            mood: Mood::Well,
        },
        Case {
            name: "deaf watches",
            mood: Mood::Deaf,
        },
        Case {
            name: "dropped history",
            mood: Mood::Forgetful,
        },
        Case {
            name: "late answers",
            mood: Mood::Late,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::with_mood(1, 1, BOUNDS, case.mood);
        for revision in 1..4 {
            assert!(fleet.all_apply(revision).await, "{}", case.name);
            fleet.put();
        }
        assert!(fleet.all_apply(4).await, "{}", case.name);
        assert!(fleet.all_become(true).await, "{}", case.name);
    }
}

/// The store turns this node away while keys are taken away. A key that is
/// gone for good would be honoured until the store is back.
#[tokio::test]
async fn what_cannot_be_confirmed_is_not_relied_on() {
    for mood in [Mood::Down, Mood::Silent] {
        let mut fleet = Fleet::new(1, 1, BOUNDS);
        assert!(fleet.all_apply(1).await);
        assert!(fleet.all_become(true).await);
        fleet.set_all(mood);
        assert!(fleet.all_become(false).await);
        fleet.set_all(Mood::Well);
        assert!(fleet.all_become(true).await);
    }
}

/// A listing brings a change after a long outage. Confirmed before it is in
/// force, the old keys would be honoured for a moment in which they look
/// fresh; one request in that moment is enough.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_is_confirmed_before_it_is_applied() {
    let fleet = Fleet::with_mood(1, 1, BOUNDS, Mood::Down);
    for _ in 1..7 {
        fleet.put();
    }
    // As long as a large configuration takes to be put into force.
    let apply = |_: &Document| std::thread::sleep(Duration::from_millis(100));
    let node = fleet.restart_alone(apply);
    fleet.set_all(Mood::Well);
    let mut freshness = node.freshness.clone();
    let fresh = freshness.wait_for(|snapshot| snapshot.freshness == Freshness::Fresh);
    assert!(timeout(LIMIT, fresh).await.is_ok());
    assert_eq!(*node.applied.borrow(), 7);
}

/// A store without any history answers each watch at once. Asked without a
/// pause it would be called hundreds of times a second.
#[tokio::test]
async fn a_watch_without_history_is_an_error_each_time() {
    let fleet = Fleet::with_mood(1, 1, BOUNDS, Mood::Forgetful);
    let documents = DocumentStore::new();
    let origin = ObjectOrigin::new(fleet.store.clone(), followed(), documents.clone(), WATCH_MS);
    origin.look(&documents).await.expect("a listing works");
    for _ in 0..3 {
        let watched = origin.watch(DocumentKind::Configuration, 1).await;
        assert!(matches!(watched, Err(StoreError::HistoryGone)));
    }
}
