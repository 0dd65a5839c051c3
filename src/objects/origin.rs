//! Document origin in the object store: the configuration is one object, the
//! evacuated availability zones are the names of all objects of one kind.

use {
    super::{
        Change, Changes, FollowedObject, FollowedObjects, Listing, ObjectStore, StoreError,
        StoredObject,
    },
    crate::{
        conf::Evacuations,
        documents::{Document, DocumentKind, DocumentOrigin, DocumentStore, Versions},
        event,
        events::Event,
        timer::Timer,
    },
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// Time within which an evacuation has to be in force where the deployment sets no other, in
/// milliseconds.
const EVACUATION_LIMIT_MS: u64 = 5000;

/// Reads the documents from their objects. Clones share the revisions from which
/// watches continue.
#[derive(Clone)]
pub struct ObjectOrigin<S> {
    store: S,
    followed: FollowedObject,
    evacuations_kind: String,
    documents: DocumentStore,
    watch_ms: u64,
    /// Revision from which the configuration watch continues; 0 while unknown. The
    /// object's own may be older than the history that the store keeps.
    configuration_as_of: Arc<AtomicU64>,
    /// Revision from which the evacuations watch continues; 0 while unknown.
    evacuations_as_of: Arc<AtomicU64>,
    timer: Timer,
    evacuation_limit_ms: u64,
    /// Time from which a poll lists the evacuations as well.
    next_listing_ms: Arc<AtomicU64>,
    is_down: Arc<AtomicBool>,
}

impl<S: ObjectStore> ObjectOrigin<S> {
    /// Creates an origin for these objects. A watch waits up to `watch_ms` milliseconds;
    /// `documents` holds the evacuations that are already known.
    pub fn new(
        store: S,
        followed: FollowedObjects,
        documents: DocumentStore,
        watch_ms: u64,
        timer: Timer,
    ) -> Self {
        Self {
            store,
            followed: followed.configuration,
            evacuations_kind: followed.evacuations_kind,
            documents,
            watch_ms,
            configuration_as_of: Arc::default(),
            evacuations_as_of: Arc::default(),
            timer,
            evacuation_limit_ms: EVACUATION_LIMIT_MS,
            next_listing_ms: Arc::default(),
            is_down: Arc::default(),
        }
    }

    /// The origin for evacuations that have to be in force within this time, in milliseconds.
    #[must_use]
    pub fn with_evacuation_limit_ms(self, evacuation_limit_ms: u64) -> Self {
        Self {
            evacuation_limit_ms,
            ..self
        }
    }

    async fn list_configuration(&self) -> Result<Option<Document>, StoreError> {
        let listing = self.store.list(&self.followed.kind).await;
        self.record_result(listing.as_ref().err());
        let Listing { objects, as_of } = listing?;
        self.configuration_as_of.fetch_max(as_of, Ordering::Relaxed);
        let found = objects.into_iter().find(|object| self.is_followed(object));
        if found.is_some() {
            self.list_unknown_evacuations().await;
        }
        Ok(found.map(document))
    }

    /// Lists the evacuations if this node has not got them from anywhere. With a configuration
    /// alone it would serve in an evacuated zone, when all nodes have started anew.
    async fn list_unknown_evacuations(&self) {
        let is_known = self.evacuations_as_of.load(Ordering::Relaxed) > 0
            || self.documents.newest(DocumentKind::Evacuations).is_some();
        if is_known {
            return;
        }
        match self.list_evacuations().await {
            Ok(found) => {
                found.map(|found| self.documents.offer(found));
            }
            Err(error) => log::debug!(target: "dogwood", "cannot list evacuations: {error}"),
        }
    }

    async fn watch_configuration(&self, after: u64) -> Result<Changes, StoreError> {
        let kind = &self.followed.kind;
        let changes = self.store.watch(kind, after, self.watch_ms).await;
        if let Err(StoreError::HistoryGone) = &changes {
            event!(Event::HistoryLost, "object={}", self.object_path());
            // A concurrent poll may already have stored a newer revision.
            let _ = self.configuration_as_of.compare_exchange(
                after,
                0,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
        }
        changes
    }

    /// The evacuated zones as of the listing's revision; `None` if already held. If
    /// the same zones were a new version, every node would fetch them after each poll.
    async fn list_evacuations(&self) -> Result<Option<Document>, StoreError> {
        let Listing { objects, as_of } = self.store.list(&self.evacuations_kind).await?;
        self.evacuations_as_of.fetch_max(as_of, Ordering::Relaxed);
        let next_listing_ms = self.timer.now_ms() + self.evacuation_limit_ms * 4 / 5;
        self.next_listing_ms
            .store(next_listing_ms, Ordering::Relaxed);
        let zones = objects.into_iter().map(|object| object.name).collect();
        let content = Evacuations { zones }.write();
        let held = self.documents.newest(DocumentKind::Evacuations);
        let is_held = match &held {
            Some(held) => *held.content == *content,
            None => content == Evacuations::default().write(),
        };
        Ok((!is_held).then(|| Document {
            kind: DocumentKind::Evacuations,
            version: as_of,
            content: content.into(),
        }))
    }

    /// Lists the evacuations if this node has not done so for a while: their watch may miss a
    /// change, and a node that polls in place of a lost relay has no watch. A failure does not
    /// affect the poll of the configuration.
    async fn poll_evacuations(&self) -> Option<Document> {
        if self.timer.now_ms() < self.next_listing_ms.load(Ordering::Relaxed) {
            return None;
        }
        match self.list_evacuations().await {
            Ok(found) => found,
            Err(error) => {
                log::debug!(target: "dogwood", "cannot list evacuations: {error}");
                None
            }
        }
    }

    /// Waits for a change, then lists again: a removal has no revision of its own.
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

    fn record_result(&self, error: Option<&StoreError>) {
        let was_down = self.is_down.swap(error.is_some(), Ordering::Relaxed);
        match error {
            Some(error) if !was_down => {
                event!(
                    Event::PlatformLost,
                    "object={} error={error}",
                    self.object_path()
                );
            }
            None if was_down => event!(Event::PlatformReached, "object={}", self.object_path()),
            _ => {}
        }
    }
}

impl<S: ObjectStore> DocumentOrigin for ObjectOrigin<S> {
    type Error = StoreError;

    const KINDS: &'static [DocumentKind] =
        &[DocumentKind::Configuration, DocumentKind::Evacuations];

    fn is_response(error: &StoreError) -> bool {
        matches!(
            error,
            StoreError::HistoryGone | StoreError::Conflict | StoreError::NotFound
        )
    }

    async fn poll(&self, store: &DocumentStore) -> Result<Versions, StoreError> {
        let (configuration, evacuations) =
            tokio::join!(self.list_configuration(), self.poll_evacuations());
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
        if self.configuration_as_of.load(Ordering::Relaxed) == 0
            && let Some(found) = self.list_configuration().await?
            && found.version > held_version
        {
            return Ok(Some(found));
        }
        let after = self.configuration_as_of.load(Ordering::Relaxed);
        let Changes { changes, as_of } = self.watch_configuration(after).await?;
        self.configuration_as_of.fetch_max(as_of, Ordering::Relaxed);
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
