//! The newest documents that this node has received.

use {
    super::{Document, DocumentKind, KIND_COUNT, Versions},
    std::sync::Arc,
    tokio::sync::watch,
};

/// Holds the newest version of each document. Clones share one store.
///
/// Versions never decrease.
#[derive(Debug, Clone)]
pub struct DocumentStore {
    senders: Arc<[watch::Sender<Option<Document>>; KIND_COUNT]>,
}

impl Default for DocumentStore {
    fn default() -> Self {
        Self::new()
    }
}

impl DocumentStore {
    /// An empty store.
    #[must_use]
    pub fn new() -> Self {
        let senders = std::array::from_fn(|_| watch::channel(None).0);
        Self {
            senders: Arc::new(senders),
        }
    }

    /// Stores a document if it is newer than the held one; returns whether it was.
    // A stale read or an outdated peer offers an older version. Storing it would
    // restore a withdrawn rule or a revoked key on this node alone. Comparison and
    // replacement happen under the lock of the channel, so that concurrent offers
    // cannot leave the older version.
    pub fn offer(&self, document: Document) -> bool {
        self.senders[document.kind.index()].send_if_modified(|held| {
            let held_version = held.as_ref().map_or(0, |held| held.version);
            if document.version <= held_version {
                return false;
            }
            *held = Some(document);
            true
        })
    }

    /// The newest version of a document.
    #[must_use]
    pub fn newest(&self, kind: DocumentKind) -> Option<Document> {
        self.senders[kind.index()].borrow().clone()
    }

    /// Subscribes to a document.
    #[must_use]
    pub fn subscribe(&self, kind: DocumentKind) -> watch::Receiver<Option<Document>> {
        self.senders[kind.index()].subscribe()
    }

    /// Versions of all held documents.
    #[must_use]
    pub fn versions(&self) -> Versions {
        let version = |kind: DocumentKind| {
            let held = self.senders[kind.index()].borrow();
            held.as_ref().map_or(0, |held| held.version)
        };
        Versions(DocumentKind::ALL.map(version))
    }
}
