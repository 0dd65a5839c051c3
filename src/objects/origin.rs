//! Objects of the store as where documents come from: the configuration is one
//! object, the evacuated availability zones are the names of a kind.

use {
    super::{
        Change, Changes, FollowedName, FollowedNames, Listing, ObjectStore, StoreError,
        StoredObject,
    },
    crate::{
        conf::Evacuations,
        documents::{Document, DocumentKind, DocumentOrigin, DocumentStore, Versions},
        event,
        events::Event,
    },
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

/// Looks of which the last one also lists the evacuations: their watch tells of a
/// change at once unless the store forgets its history.
const LOOKS_PER_LISTING: usize = 3;

/// Reads the documents from their objects; clones share what they know of the
/// store's history.
#[derive(Clone)]
pub struct ObjectOrigin<S> {
    store: S,
    followed: FollowedName,
    evacuations_kind: String,
    documents: DocumentStore,
    watch_ms: u64,
    /// Revision from which a watch goes on; 0 while none is known. The object's
    /// own may lie before the history that the store keeps.
    as_of: Arc<AtomicU64>,
    /// The same for the watch of evacuations.
    evacuations_as_of: Arc<AtomicU64>,
    look_count: Arc<AtomicUsize>,
    is_lost: Arc<AtomicBool>,
}

impl<S: ObjectStore> ObjectOrigin<S> {
    /// The objects of these names; a watch waits so many milliseconds. What is
    /// found goes into `documents`.
    pub fn new(store: S, followed: FollowedNames, documents: DocumentStore, watch_ms: u64) -> Self {
        Self {
            store,
            followed: followed.configuration,
            evacuations_kind: followed.evacuations_kind,
            documents,
            watch_ms,
            as_of: Arc::default(),
            evacuations_as_of: Arc::default(),
            look_count: Arc::default(),
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

    /// The evacuated zones as of the listing's revision; `None` if they are those
    /// that are held already. The same zones under another revision are no news:
    /// each node would fetch them again for every relay that looks.
    async fn list_evacuations(&self) -> Result<Option<Document>, StoreError> {
        let Listing { objects, as_of } = self.store.list(&self.evacuations_kind).await?;
        self.evacuations_as_of.fetch_max(as_of, Ordering::Relaxed);
        let zones = objects.into_iter().map(|object| object.name).collect();
        let content = Evacuations { zones }.write();
        let held = self.documents.newest(DocumentKind::Evacuations);
        let is_known = match &held {
            Some(held) => *held.content == *content,
            None => content == Evacuations::default().write(),
        };
        Ok((!is_known).then(|| Document {
            kind: DocumentKind::Evacuations,
            version: as_of,
            content: content.into(),
        }))
    }

    /// Part of each look; one that fails takes nothing from what the look tells of
    /// the configuration.
    async fn look_for_evacuations(&self) -> Option<Document> {
        let look = self.look_count.fetch_add(1, Ordering::Relaxed);
        if !(look + 1).is_multiple_of(LOOKS_PER_LISTING) {
            return None;
        }
        match self.list_evacuations().await {
            Ok(found) => found,
            Err(error) => {
                log::debug!(target: "dogwood", "evacuations cannot be read: {error}");
                None
            }
        }
    }

    /// Waits for a change and lists anew: a removal tells no revision of its own.
    async fn watch_evacuations(&self) -> Result<Option<Document>, StoreError> {
        let after = self.evacuations_as_of.load(Ordering::Relaxed);
        if after == 0 {
            return self.list_evacuations().await;
        }
        let kind = &self.evacuations_kind;
        match self.store.watch(kind, after, self.watch_ms).await {
            Ok(Changes { changes, as_of }) if changes.is_empty() => {
                self.evacuations_as_of.fetch_max(as_of, Ordering::Relaxed);
                Ok(None)
            }
            Ok(_) => self.list_evacuations().await,
            Err(error) => {
                if matches!(error, StoreError::HistoryGone) {
                    event!(Event::HistoryLost, "object={kind}");
                    self.evacuations_as_of.store(0, Ordering::Relaxed);
                }
                Err(error)
            }
        }
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

    const KINDS: &'static [DocumentKind] =
        &[DocumentKind::Configuration, DocumentKind::Evacuations];

    fn is_answer(error: &StoreError) -> bool {
        matches!(
            error,
            StoreError::HistoryGone | StoreError::Conflict | StoreError::NotFound
        )
    }

    async fn look(&self, store: &DocumentStore) -> Result<Versions, StoreError> {
        let (configuration, evacuations) = tokio::join!(self.list(), self.look_for_evacuations());
        if let Some(found) = evacuations {
            store.offer(found);
        }
        let mut versions = Versions::default();
        if let Some(found) = configuration? {
            versions.0[found.kind.index()] = found.version;
            store.offer(found);
        }
        Ok(versions)
    }

    async fn watch(
        &self,
        kind: DocumentKind,
        held_version: u64,
    ) -> Result<Option<Document>, StoreError> {
        if kind == DocumentKind::Evacuations {
            return self.watch_evacuations().await;
        }
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
