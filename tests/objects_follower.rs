//! Following the configuration in a store that is slow, silent, forgetful or
//! down.

use {
    dogwoodbridge::{
        freshness::{Freshness, Snapshot},
        objects::{
            Change, Changes, Condition, FollowedName, FollowerBounds, Listing, ObjectStore,
            StoreError, StoredObject, follow,
        },
        timer::Timer,
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
    tokio_util::sync::CancellationToken,
};

const BOUNDS: FollowerBounds = FollowerBounds {
    watch_ms: 40,
    confirmed_ms: 400,
};
/// Far longer than any of these things takes on a busy machine.
const LIMIT: Duration = Duration::from_secs(20);

/// How a store behaves.
#[derive(Clone, Copy, PartialEq)]
enum Mood {
    Well,
    /// Watches hear nothing of changes.
    Deaf,
    /// Watches find their history gone.
    Forgetful,
    /// All calls are refused.
    Down,
    /// No call is answered.
    Silent,
}

#[derive(Clone)]
struct FakeStore {
    revision: Arc<AtomicU64>,
    mood: Arc<Mutex<Mood>>,
    list_count: Arc<AtomicUsize>,
}

impl FakeStore {
    fn new(mood: Mood) -> Self {
        Self {
            revision: Arc::new(AtomicU64::new(1)),
            mood: Arc::new(Mutex::new(mood)),
            list_count: Arc::default(),
        }
    }

    fn set(&self, mood: Mood) {
        *self.mood.lock().unwrap() = mood;
    }

    fn object(&self) -> StoredObject {
        let revision = self.revision.load(Ordering::SeqCst);
        StoredObject {
            name: "main".to_owned(),
            revision,
            content: revision.to_string().into_bytes(),
        }
    }

    async fn checked(&self) -> Result<Mood, StoreError> {
        let mood = *self.mood.lock().unwrap();
        match mood {
            Mood::Down => Err(StoreError::Busy { status: 503 }),
            Mood::Silent => {
                tokio::time::sleep(Duration::from_millis(100)).await;
                Err(StoreError::TimedOut { limit_ms: 100 })
            }
            mood => Ok(mood),
        }
    }
}

impl ObjectStore for FakeStore {
    async fn list(&self, _kind: &str) -> Result<Listing, StoreError> {
        self.list_count.fetch_add(1, Ordering::SeqCst);
        self.checked().await.map(|_| Listing {
            objects: vec![self.object()],
            as_of: self.revision.load(Ordering::SeqCst),
        })
    }

    async fn watch(&self, _kind: &str, after: u64, wait_ms: u64) -> Result<Changes, StoreError> {
        let mood = self.checked().await?;
        if mood == Mood::Forgetful {
            return Err(StoreError::HistoryGone);
        }
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        let as_of = self.revision.load(Ordering::SeqCst);
        let has_news = as_of > after && mood == Mood::Well;
        Ok(Changes {
            changes: match has_news {
                true => vec![Change::Put(self.object())],
                false => Vec::new(),
            },
            as_of,
        })
    }

    async fn write(
        &self,
        _kind: &str,
        _name: &str,
        _condition: Condition,
        _content: Vec<u8>,
    ) -> Result<u64, StoreError> {
        Err(StoreError::Conflict)
    }
}

struct Fixture {
    store: FakeStore,
    timer: Timer,
    applied: watch::Receiver<u64>,
    freshness: watch::Receiver<Snapshot>,
    shutdown: CancellationToken,
}

impl Fixture {
    fn new(mood: Mood) -> Self {
        let store = FakeStore::new(mood);
        let shutdown = CancellationToken::new();
        let timer = Timer::new(shutdown.clone());
        let (sender, applied) = watch::channel(0);
        let freshness = follow(
            store.clone(),
            FollowedName {
                kind: "rules".to_owned(),
                name: "main".to_owned(),
            },
            BOUNDS,
            move |object: &StoredObject| {
                sender.send_replace(object.revision);
            },
            timer.clone(),
            shutdown.clone(),
        );
        Self {
            store,
            timer,
            applied,
            freshness,
            shutdown,
        }
    }

    async fn applies(&mut self, revision: u64) -> bool {
        let applied = self.applied.wait_for(|applied| *applied >= revision);
        timeout(LIMIT, applied).await.is_ok()
    }

    fn is_fresh(&self) -> bool {
        self.freshness.borrow().at(self.timer.now_ms()) == Freshness::Fresh
    }

    async fn becomes(&self, is_fresh: bool) -> bool {
        let waiting = async {
            while self.is_fresh() != is_fresh {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(LIMIT, waiting).await.is_ok()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

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
    ];
    for case in cases {
        let mut fixture = Fixture::new(case.mood);
        for revision in 1..4 {
            assert!(fixture.applies(revision).await, "{}", case.name);
            fixture.store.revision.store(revision + 1, Ordering::SeqCst);
        }
        assert!(fixture.applies(4).await, "{}", case.name);
        assert!(fixture.becomes(true).await, "{}", case.name);
    }
}

/// The store turns this node away while keys are taken away. A key that is
/// gone for good would be honoured until the store is back.
#[tokio::test]
async fn what_cannot_be_confirmed_is_not_relied_on() {
    for mood in [Mood::Down, Mood::Silent] {
        let mut fixture = Fixture::new(Mood::Well);
        assert!(fixture.applies(1).await);
        assert!(fixture.becomes(true).await);
        fixture.store.set(mood);
        assert!(fixture.becomes(false).await);
        fixture.store.set(Mood::Well);
        assert!(fixture.becomes(true).await);
    }
}

/// A listing brings a change after a long outage. Confirmed before it is in
/// force, the old keys would be honoured for a moment in which they look
/// fresh; one request in that moment is enough.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_is_confirmed_before_it_is_applied() {
    let store = FakeStore::new(Mood::Down);
    store.revision.store(7, Ordering::SeqCst);
    let shutdown = CancellationToken::new();
    let timer = Timer::new(shutdown.clone());
    let (sender, applied) = watch::channel(0);
    let mut freshness = follow(
        store.clone(),
        FollowedName {
            kind: "rules".to_owned(),
            name: "main".to_owned(),
        },
        BOUNDS,
        move |object: &StoredObject| {
            // As long as a large configuration takes to be put into force.
            std::thread::sleep(Duration::from_millis(100));
            sender.send_replace(object.revision);
        },
        timer.clone(),
        shutdown.clone(),
    );
    store.set(Mood::Well);
    let fresh = freshness.wait_for(|snapshot| snapshot.freshness == Freshness::Fresh);
    assert!(timeout(LIMIT, fresh).await.is_ok());
    assert_eq!(*applied.borrow(), 7);
    shutdown.cancel();
}
