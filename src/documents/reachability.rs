//! Which members of the availability zone reach the documents' origin.
//!
//! Pattern: the origin turns away both relays of a zone and serves others of it.
//! These would wait for the relays' word until it is too old, and go on with what
//! was replaced meanwhile. So a node tells when its calls fail, and the others
//! look themselves once no relay is left that reaches the origin.

use {
    std::{
        collections::BTreeSet,
        sync::{
            Mutex, MutexGuard,
            atomic::{AtomicU32, Ordering},
        },
    },
    tokio::sync::watch,
};

/// Calls in a row that must fail: a single answer may be lost.
const FAILED_CALL_COUNT: u32 = 2;

/// What is known of the way to the origin, of this node and of others.
#[derive(Debug)]
pub(super) struct OriginReach {
    failed_count: AtomicU32,
    is_failing: watch::Sender<bool>,
    failing_members: Mutex<BTreeSet<String>>,
}

impl OriginReach {
    /// Everybody reaches it.
    pub(super) fn new() -> Self {
        Self {
            failed_count: AtomicU32::new(0),
            is_failing: watch::channel(false).0,
            failing_members: Mutex::default(),
        }
    }

    /// A call of this node was answered.
    pub(super) fn succeeded(&self) {
        self.failed_count.store(0, Ordering::Relaxed);
        self.set_failing(false);
    }

    /// A call of this node failed.
    pub(super) fn failed(&self) {
        let failed_count = self.failed_count.fetch_add(1, Ordering::Relaxed) + 1;
        if failed_count >= FAILED_CALL_COUNT {
            self.set_failing(true);
        }
    }

    /// A member told whether its calls fail.
    pub(super) fn told(&self, node_id: &str, is_failing: bool) {
        let mut members = self.members();
        match is_failing {
            true => members.insert(node_id.to_owned()),
            false => members.remove(node_id),
        };
    }

    /// Whether a member told that its calls fail.
    pub(super) fn is_failing(&self, node_id: &str) -> bool {
        self.members().contains(node_id)
    }

    /// Whether the calls of this node fail.
    pub(super) fn subscribe(&self) -> watch::Receiver<bool> {
        self.is_failing.subscribe()
    }

    fn set_failing(&self, is_failing: bool) {
        self.is_failing
            .send_if_modified(|before| std::mem::replace(before, is_failing) != is_failing);
    }

    fn members(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.failing_members.lock().expect("lock is not poisoned")
    }
}
