//! Follows one object and tells how long what is known of it may be relied on.

use {
    super::{ObjectOrigin, ObjectStore},
    crate::{
        documents::{Document, DocumentKind, DocumentStore, FollowerParts, Peers, spawn_follower},
        freshness::{Freshness, Snapshot},
        membership::OwnState,
    },
    tokio::sync::watch,
};

/// The object that is followed.
#[derives::value]
#[derive(Eq)]
pub struct FollowedName {
    /// Kind.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
}

/// The objects that are followed.
#[derives::value]
#[derive(Eq)]
pub struct FollowedNames {
    /// The configuration.
    pub configuration: FollowedName,
    /// Kind whose objects are named after the evacuated availability zones.
    pub evacuations_kind: String,
}

/// What the follower works with.
pub struct FollowParts<S, N> {
    /// Brings the content.
    pub follower: FollowerParts<ObjectOrigin<S>, N>,
    /// How long a confirmed look speaks for the present, in milliseconds from
    /// when the store was asked.
    pub confirmed_ms: u64,
    /// What this node tells other members; the follower writes the versions and
    /// the time of the last confirmed look.
    pub own_state: watch::Sender<OwnState>,
}

/// Follows an object until `shutdown`; tells how far what `apply` was given may
/// be relied on.
///
/// `apply` takes each new content before it is confirmed: were it put into
/// force by another task, a request in between would be decided by the old
/// content under the new confirmation, and a key that was taken away long ago
/// would be honoured.
///
/// A watch that tells nothing does not confirm anything: while the store drops
/// its history, a watch hears nothing of changes, and a key that was taken
/// away would go on being honoured. Only a plain read does, counted from when
/// it was sent, since its answer may have been under way for long.
pub fn follow<S, N, A>(parts: FollowParts<S, N>, apply: A) -> watch::Receiver<Snapshot>
where
    S: ObjectStore,
    N: Peers,
    A: FnMut(&Document) + Send + 'static,
{
    let (freshness_sender, freshness) = watch::channel(Snapshot::cut_off());
    let documents = parts.follower.store.clone();
    let shutdown = parts.follower.shutdown.clone();
    let followed = spawn_follower(parts.follower);
    let enforcement = Enforcement {
        documents,
        seen: followed.seen,
        is_origin_failing: followed.is_origin_failing,
        confirmed_ms: parts.confirmed_ms,
        applied_version: 0,
        apply,
        own_state: parts.own_state,
        freshness: freshness_sender,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = enforcement.run() => {}
        }
    });
    freshness
}

/// Puts content into force and tells how long it holds.
struct Enforcement<A> {
    documents: DocumentStore,
    seen: watch::Receiver<Option<u64>>,
    is_origin_failing: watch::Receiver<bool>,
    confirmed_ms: u64,
    applied_version: u64,
    apply: A,
    own_state: watch::Sender<OwnState>,
    freshness: watch::Sender<Snapshot>,
}

impl<A: FnMut(&Document)> Enforcement<A> {
    async fn run(mut self) {
        let mut newest = self.documents.subscribe(DocumentKind::Configuration);
        let mut evacuations = self.documents.subscribe(DocumentKind::Evacuations);
        loop {
            // A look is told of once this node holds all that it saw, so what is
            // held after its time was read covers it.
            let seen_ms = *self.seen.borrow_and_update();
            let document = newest.borrow_and_update().clone();
            evacuations.borrow_and_update();
            if let Some(document) = document {
                self.take(&document);
            }
            let is_origin_failing = *self.is_origin_failing.borrow_and_update();
            self.tell(seen_ms, is_origin_failing);
            tokio::select! {
                changed = newest.changed() => if changed.is_err() { return },
                changed = evacuations.changed() => if changed.is_err() { return },
                changed = self.seen.changed() => if changed.is_err() { return },
                changed = self.is_origin_failing.changed() => if changed.is_err() { return },
            }
        }
    }

    fn take(&mut self, document: &Document) {
        if document.version > self.applied_version {
            self.applied_version = document.version;
            (self.apply)(document);
        }
    }

    fn tell(&self, seen_ms: Option<u64>, is_origin_failing: bool) {
        let mut versions = self.documents.versions();
        versions.0[DocumentKind::Configuration.index()] = self.applied_version;
        self.own_state.send_if_modified(|own| {
            let before = own.clone();
            own.versions = versions;
            own.platform_seen_ms = seen_ms;
            own.is_origin_failing = is_origin_failing;
            *own != before
        });
        if let Some(seen_ms) = seen_ms {
            let until_ms = seen_ms + self.confirmed_ms;
            self.freshness.send_replace(Snapshot {
                freshness: Freshness::Fresh,
                valid_until_ms: until_ms,
                quota_until_ms: until_ms,
            });
        }
    }
}
