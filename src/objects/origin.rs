//! An object of the store as where the configuration comes from.

use {
    super::{Change, Changes, FollowedName, Listing, ObjectStore, StoreError, StoredObject},
    crate::{
        documents::{Document, DocumentKind, DocumentOrigin, DocumentStore, Versions},
        event,
        events::Event,
    },
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// Reads the configuration from its object; clones share what they know of the
/// store's history.
#[derive(Clone)]
pub struct ObjectOrigin<S> {
    store: S,
    followed: FollowedName,
    watch_ms: u64,
    /// Revision from which a watch goes on; 0 while none is known. The object's
    /// own may lie before the history that the store keeps.
    as_of: Arc<AtomicU64>,
    is_lost: Arc<AtomicBool>,
}

impl<S: ObjectStore> ObjectOrigin<S> {
    /// The object of this name; a watch waits so many milliseconds.
    pub fn new(store: S, followed: FollowedName, watch_ms: u64) -> Self {
        Self {
            store,
            followed,
            watch_ms,
            as_of: Arc::default(),
            is_lost: Arc::default(),
        }
    }

    async fn list(&self) -> Result<Option<Document>, StoreError> {
        let listing = self.store.list(&self.followed.kind).await;
        self.note(listing.as_ref().err());
        let Listing { objects, as_of } = listing?;
        self.as_of.fetch_max(as_of, Ordering::Relaxed);
        let found = objects.into_iter().find(|object| self.is_followed(object));
        Ok(found.map(document))
    }

    async fn changes(&self, after: u64) -> Result<Changes, StoreError> {
        let kind = &self.followed.kind;
        let changes = self.store.watch(kind, after, self.watch_ms).await;
        if let Err(StoreError::HistoryGone) = &changes {
            event!(Event::HistoryLost, "object={}", self.object_path());
            // A look meanwhile may have found where to go on.
            let _ = self
                .as_of
                .compare_exchange(after, 0, Ordering::Relaxed, Ordering::Relaxed);
        }
        changes
    }

    fn is_followed(&self, object: &StoredObject) -> bool {
        object.name == self.followed.name
    }

    fn object_path(&self) -> String {
        format!("{}/{}", self.followed.kind, self.followed.name)
    }

    fn note(&self, error: Option<&StoreError>) {
        let was_lost = self.is_lost.swap(error.is_some(), Ordering::Relaxed);
        match error {
            Some(error) if !was_lost => {
                event!(
                    Event::PlatformLost,
                    "object={} error={error}",
                    self.object_path()
                );
            }
            None if was_lost => event!(Event::PlatformReached, "object={}", self.object_path()),
            _ => {}
        }
    }
}

impl<S: ObjectStore> DocumentOrigin for ObjectOrigin<S> {
    type Error = StoreError;

    const KINDS: &'static [DocumentKind] = &[DocumentKind::Configuration];

    async fn look(&self, store: &DocumentStore) -> Result<Versions, StoreError> {
        let mut versions = Versions::default();
        if let Some(found) = self.list().await? {
            versions.0[found.kind.index()] = found.version;
            store.offer(found);
        }
        Ok(versions)
    }

    async fn watch(
        &self,
        _kind: DocumentKind,
        held_version: u64,
    ) -> Result<Option<Document>, StoreError> {
        if self.as_of.load(Ordering::Relaxed) == 0
            && let Some(found) = self.list().await?
            && found.version > held_version
        {
            return Ok(Some(found));
        }
        let after = self.as_of.load(Ordering::Relaxed);
        let Changes { changes, as_of } = self.changes(after).await?;
        self.as_of.fetch_max(as_of, Ordering::Relaxed);
        let newest = changes.into_iter().rev().find_map(|change| match change {
            Change::Put(object) if self.is_followed(&object) => Some(document(object)),
            Change::Put(_) | Change::Removed(_) => None,
        });
        Ok(newest)
    }
}

fn document(object: StoredObject) -> Document {
    Document {
        kind: DocumentKind::Configuration,
        version: object.revision,
        content: object.content.into(),
    }
}
