//! Tracks which members of the availability zone can reach the documents' origin.
//!
//! The origin may fail both relays of a zone while it serves other members. These
//! would use replaced documents until the last confirmed poll is too old. So nodes
//! report when their calls fail, and others poll once no relay reaches the origin.

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

/// Consecutive failures before the origin counts as failing: a single response may
/// be lost.
const FAILED_CALL_COUNT: u32 = 2;

/// Reachability of the origin, from this node and from other members.
#[derive(Debug)]
pub(super) struct OriginReachability {
    failed_count: AtomicU32,
    is_failing: watch::Sender<bool>,
    failing_members: Mutex<BTreeSet<String>>,
}

impl OriginReachability {
    /// The initial state: every member reaches the origin.
    pub(super) fn new() -> Self {
        Self {
            failed_count: AtomicU32::new(0),
            is_failing: watch::channel(false).0,
            failing_members: Mutex::default(),
        }
    }

    /// Records a call of this node that received a response.
    pub(super) fn record_success(&self) {
        self.failed_count.store(0, Ordering::Relaxed);
        self.set_failing(false);
    }

    /// Records a failed call of this node.
    pub(super) fn record_failure(&self) {
        let failed_count = self.failed_count.fetch_add(1, Ordering::Relaxed) + 1;
        if failed_count >= FAILED_CALL_COUNT {
            self.set_failing(true);
        }
    }

    /// Records a member's report on whether its calls fail.
    pub(super) fn record_member(&self, node_id: &str, is_failing: bool) {
        let mut members = self.members();
        match is_failing {
            true => members.insert(node_id.to_owned()),
            false => members.remove(node_id),
        };
    }

    /// Whether a member reported that its calls fail.
    pub(super) fn is_member_failing(&self, node_id: &str) -> bool {
        self.members().contains(node_id)
    }

    /// Subscribes to whether this node's calls fail.
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
