//! Revocations that nodes were told directly.

use {
    super::KeyDigest,
    std::{collections::HashSet, sync::Arc},
    tokio::sync::{broadcast, watch},
};

/// Capacity of the channel of newly learnt revocations. A reader that falls
/// behind re-reads [`Revocations::pending`].
const LEARNT_CAPACITY: usize = 256;

/// Revocations told by operators or by other nodes that the keys document
/// lacks so far. Clones share one set.
#[derive(Debug, Clone)]
pub struct Revocations {
    pending: Arc<watch::Sender<Arc<HashSet<KeyDigest>>>>,
    learnt: broadcast::Sender<KeyDigest>,
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
        let (learnt, _) = broadcast::channel(LEARNT_CAPACITY);
        Self {
            pending: Arc::new(pending),
            learnt,
        }
    }

    /// Revokes a key on this node; false when it was told before.
    pub fn apply(&self, digest: KeyDigest) -> bool {
        let is_new = self.pending.send_if_modified(|pending| {
            if pending.contains(&digest) {
                return false;
            }
            Arc::make_mut(pending).insert(digest)
        });
        if is_new {
            // Nobody may be listening; the set itself keeps the digest.
            let _ = self.learnt.send(digest);
        }
        is_new
    }

    /// Drops what the keys document has by now; other nodes get it from there.
    pub fn confirm(&self, in_document: &HashSet<KeyDigest>) {
        self.pending.send_if_modified(|pending| {
            let before_count = pending.len();
            if before_count > 0 {
                Arc::make_mut(pending).retain(|digest| !in_document.contains(digest));
            }
            pending.len() != before_count
        });
    }

    /// Revocations that the keys document lacks, to be told to other nodes.
    #[must_use]
    pub fn pending(&self) -> Arc<HashSet<KeyDigest>> {
        self.pending.borrow().clone()
    }

    /// Follows the whole set.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<HashSet<KeyDigest>>> {
        self.pending.subscribe()
    }

    /// Follows single revocations as they are learnt.
    #[must_use]
    pub fn subscribe_new(&self) -> broadcast::Receiver<KeyDigest> {
        self.learnt.subscribe()
    }
}
