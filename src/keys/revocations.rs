//! Revocations received directly, ahead of the keys document.

use {
    super::KeyDigest,
    std::{collections::HashSet, sync::Arc},
    tokio::sync::{broadcast, watch},
};

/// Capacity of the channel of newly added revocations. A receiver that lags
/// re-reads [`Revocations::pending`].
const ADDED_CAPACITY: usize = 256;

/// Revocations from operators or other nodes that are not yet in the keys document.
/// Clones share one set.
#[derive(Debug, Clone)]
pub struct Revocations {
    pending: Arc<watch::Sender<Arc<HashSet<KeyDigest>>>>,
    added: broadcast::Sender<KeyDigest>,
}

impl Default for Revocations {
    fn default() -> Self {
        Self::new()
    }
}

impl Revocations {
    /// An empty set.
    #[must_use]
    pub fn new() -> Self {
        let (pending, _) = watch::channel(Arc::default());
        let (added, _) = broadcast::channel(ADDED_CAPACITY);
        Self {
            pending: Arc::new(pending),
            added,
        }
    }

    /// Revokes a key on this node; returns false if already pending.
    pub fn apply(&self, digest: KeyDigest) -> bool {
        let is_new = self.pending.send_if_modified(|pending| {
            if pending.contains(&digest) {
                return false;
            }
            Arc::make_mut(pending).insert(digest)
        });
        if is_new {
            // There may be no receiver; the set itself keeps the digest.
            let _ = self.added.send(digest);
        }
        is_new
    }

    /// Removes what the keys document now contains; other nodes get it from there.
    pub fn remove_in_document(&self, in_document: &HashSet<KeyDigest>) {
        self.pending.send_if_modified(|pending| {
            let before_count = pending.len();
            if before_count > 0 {
                Arc::make_mut(pending).retain(|digest| !in_document.contains(digest));
            }
            pending.len() != before_count
        });
    }

    /// Revocations not yet in the keys document, to be sent to other nodes.
    #[must_use]
    pub fn pending(&self) -> Arc<HashSet<KeyDigest>> {
        self.pending.borrow().clone()
    }

    /// Subscribes to the set of pending revocations.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<HashSet<KeyDigest>>> {
        self.pending.subscribe()
    }

    /// Subscribes to single revocations as they are added.
    #[must_use]
    pub fn subscribe_new(&self) -> broadcast::Receiver<KeyDigest> {
        self.added.subscribe()
    }
}
