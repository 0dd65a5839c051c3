//! Follows one object and tells how long what is known of it may be relied on.

use {
    super::{Change, ObjectStore, StoreError, StoredObject},
    crate::{
        backoff::Backoff,
        event,
        events::Event,
        freshness::{Freshness, Snapshot},
        timer::Timer,
    },
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

/// First pause after a failed call.
const FIRST_BACKOFF_MS: u64 = 50;
/// Longest pause after failed calls; a store that is back is noticed within
/// it.
const LONGEST_BACKOFF_MS: u64 = 800;

/// Times by which the follower goes.
#[derives::value]
#[derive(Copy)]
pub struct FollowerBounds {
    /// Wait of one watch, in milliseconds. A read follows each watch, so that
    /// a change that the watch missed is known about this much later.
    pub watch_ms: u64,
    /// How long a confirmed read speaks for the present, in milliseconds from
    /// when it was sent.
    pub confirmed_ms: u64,
}

/// The object that is followed.
#[derives::value]
#[derive(Eq)]
pub struct FollowedName {
    /// Kind.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
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
pub fn follow<S, A>(
    store: S,
    followed: FollowedName,
    bounds: FollowerBounds,
    apply: A,
    timer: Timer,
    shutdown: CancellationToken,
) -> watch::Receiver<Snapshot>
where
    S: ObjectStore,
    A: FnMut(&StoredObject) + Send + 'static,
{
    let (freshness_sender, freshness) = watch::channel(Snapshot::cut_off());
    let follower = Follower {
        store,
        kind: followed.kind,
        name: followed.name,
        bounds,
        timer,
        applied_revision: 0,
        apply,
        freshness: freshness_sender,
        is_lost: false,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = follower.run() => {}
        }
    });
    freshness
}

struct Follower<S, A> {
    store: S,
    kind: String,
    name: String,
    bounds: FollowerBounds,
    timer: Timer,
    applied_revision: u64,
    apply: A,
    freshness: watch::Sender<Snapshot>,
    is_lost: bool,
}

impl<S: ObjectStore, A: FnMut(&StoredObject)> Follower<S, A> {
    async fn run(mut self) {
        let mut backoff = Backoff::new(FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS);
        loop {
            let result = self.turn().await;
            self.note(&result);
            match result {
                Ok(()) => backoff.reset(),
                // Also for a lost history: a store that has none at all would
                // otherwise be asked without a pause.
                Err(_) => backoff.wait().await,
            }
        }
    }

    /// One plain listing and one watch.
    async fn turn(&mut self) -> Result<(), StoreError> {
        let sent_ms = self.timer.now_ms();
        let listing = self.store.list(&self.kind).await?;
        for object in listing.objects {
            self.take(&object);
        }
        self.confirm(sent_ms);
        // A watch must go on from the listing's revision: the object's own may
        // lie before the history that the store keeps.
        let changes = self
            .store
            .watch(&self.kind, listing.as_of, self.bounds.watch_ms)
            .await?;
        for change in changes.changes {
            match change {
                Change::Put(object) => self.take(&object),
                Change::Removed(_) => {}
            }
        }
        Ok(())
    }

    /// Takes over what is newer than what is held; a read that was overtaken
    /// by a watch must not bring the older content back.
    fn take(&mut self, object: &StoredObject) {
        if object.name != self.name || object.revision <= self.applied_revision {
            return;
        }
        self.applied_revision = object.revision;
        (self.apply)(object);
    }

    fn confirm(&self, sent_ms: u64) {
        let until_ms = sent_ms + self.bounds.confirmed_ms;
        self.freshness.send_replace(Snapshot {
            freshness: Freshness::Fresh,
            valid_until_ms: until_ms,
            quota_until_ms: until_ms,
        });
    }

    fn note(&mut self, result: &Result<(), StoreError>) {
        match result {
            Ok(()) | Err(StoreError::HistoryGone) if self.is_lost => {
                self.is_lost = false;
                event!(Event::PlatformReached, "object={}/{}", self.kind, self.name);
            }
            Err(StoreError::HistoryGone) => {
                event!(Event::HistoryLost, "object={}/{}", self.kind, self.name);
            }
            Err(error) if !self.is_lost => {
                self.is_lost = true;
                event!(
                    Event::PlatformLost,
                    "object={}/{} error={error}",
                    self.kind,
                    self.name
                );
            }
            _ => {}
        }
    }
}
