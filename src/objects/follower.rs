//! Follows the configuration object and publishes how long the applied version is
//! known to be current.

use {
    super::{ObjectOrigin, ObjectStore},
    crate::{
        documents::{Document, DocumentKind, DocumentStore, FollowerInputs, Peers, spawn_follower},
        freshness::{Freshness, Snapshot},
        membership::OwnState,
    },
    tokio::sync::watch,
};

/// Path of a followed object.
#[derives::value]
#[derive(Eq)]
pub struct FollowedObject {
    /// Kind of the object.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
}

/// Paths of the followed objects.
#[derives::value]
#[derive(Eq)]
pub struct FollowedObjects {
    /// The configuration object.
    pub configuration: FollowedObject,
    /// Kind of the objects named after evacuated availability zones.
    pub evacuations_kind: String,
}

/// Inputs of [`follow`].
pub struct ObjectFollowerInputs<S, N> {
    /// Fetches the content.
    pub follower: FollowerInputs<ObjectOrigin<S>, N>,
    /// How long a confirmed poll is valid after it was sent, in milliseconds.
    pub confirmation_ttl_ms: u64,
    /// State reported to other members. The follower updates the versions, the time
    /// of the last confirmed poll and whether calls to the origin fail.
    pub own_state: watch::Sender<OwnState>,
}

/// Follows an object until `shutdown`; returns the freshness of the applied content.
///
/// `apply` puts each new content into force before it is confirmed. If another task
/// did so, a request in between would be decided by the old content under the new
/// confirmation, and a key that was removed long ago would be accepted.
///
/// A watch that returns nothing confirms nothing: it misses changes while the store
/// drops its history, and a removed key would remain accepted. Only a plain read
/// confirms, from when it was sent, since its response may be delayed for long.
pub fn follow<S, N, A>(parts: ObjectFollowerInputs<S, N>, apply: A) -> watch::Receiver<Snapshot>
where
    S: ObjectStore,
    N: Peers,
    A: FnMut(&Document) + Send + 'static,
{
    let (freshness_sender, freshness) = watch::channel(Snapshot::cut_off());
    let documents = parts.follower.store.clone();
    let shutdown = parts.follower.shutdown.clone();
    let followed = spawn_follower(parts.follower);
    let applier = Applier {
        documents,
        last_confirmed_ms: followed.last_confirmed_ms,
        is_origin_failing: followed.is_origin_failing,
        confirmation_ttl_ms: parts.confirmation_ttl_ms,
        applied_version: 0,
        apply,
        own_state: parts.own_state,
        freshness: freshness_sender,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = applier.run() => {}
        }
    });
    freshness
}

/// Puts content into force and publishes how long it is valid.
struct Applier<A> {
    documents: DocumentStore,
    last_confirmed_ms: watch::Receiver<Option<u64>>,
    is_origin_failing: watch::Receiver<bool>,
    confirmation_ttl_ms: u64,
    applied_version: u64,
    apply: A,
    own_state: watch::Sender<OwnState>,
    freshness: watch::Sender<Snapshot>,
}

impl<A: FnMut(&Document)> Applier<A> {
    async fn run(mut self) {
        let mut newest = self.documents.subscribe(DocumentKind::Configuration);
        let mut evacuations = self.documents.subscribe(DocumentKind::Evacuations);
        loop {
            // A poll counts as confirmed only once this node holds all versions that
            // it returned, so documents read after its time include them.
            let confirmed_at_ms = *self.last_confirmed_ms.borrow_and_update();
            let document = newest.borrow_and_update().clone();
            evacuations.borrow_and_update();
            if let Some(document) = document {
                self.apply_newer(&document);
            }
            let is_origin_failing = *self.is_origin_failing.borrow_and_update();
            self.publish_state(confirmed_at_ms, is_origin_failing);
            tokio::select! {
                changed = newest.changed() => if changed.is_err() { return },
                changed = evacuations.changed() => if changed.is_err() { return },
                changed = self.last_confirmed_ms.changed() => if changed.is_err() { return },
                changed = self.is_origin_failing.changed() => if changed.is_err() { return },
            }
        }
    }

    fn apply_newer(&mut self, document: &Document) {
        if document.version > self.applied_version {
            self.applied_version = document.version;
            (self.apply)(document);
        }
    }

    fn publish_state(&self, confirmed_at_ms: Option<u64>, is_origin_failing: bool) {
        let mut versions = self.documents.versions();
        versions.0[DocumentKind::Configuration.index()] = self.applied_version;
        self.own_state.send_if_modified(|own| {
            let before = own.clone();
            own.versions = versions;
            own.platform_seen_ms = confirmed_at_ms;
            own.is_origin_failing = is_origin_failing;
            *own != before
        });
        if let Some(confirmed_at_ms) = confirmed_at_ms {
            let until_ms = confirmed_at_ms + self.confirmation_ttl_ms;
            self.freshness.send_replace(Snapshot {
                freshness: Freshness::Fresh,
                valid_until_ms: until_ms,
                quota_until_ms: until_ms,
            });
        }
    }
}
