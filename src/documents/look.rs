//! A relay's own look at the platform: watches and confirmed versions.

use {
    super::{Document, DocumentKind, Versions, follower::Shared},
    crate::{
        backoff::Backoff,
        platform::{Object, PlatformError, Watched},
    },
    futures::future::try_join_all,
    std::time::Duration,
};

/// Time between confirmed looks.
pub(super) const LOOK_PERIOD_MS: u64 = 1_000;
/// Age of the zone's last confirmed look at which the second relay looks, too.
const SECOND_RELAY_AGE_MS: u64 = 2_500;
const WATCH_WAIT_MS: u64 = 20_000;
const FIRST_BACKOFF_MS: u64 = 200;
const LONGEST_BACKOFF_MS: u64 = 4_000;
/// Pause after a watch that told nothing new, so that a platform that answers
/// at once from a stale copy is not called in a tight loop.
const STALE_PAUSE: Duration = Duration::from_millis(200);

/// Confirms the versions of all documents about once a second.
///
/// The first relay of a zone looks; the second one does when the first one's
/// look has not reached it for a while. Each look is one call for each kind,
/// so that the platform's rate grows with zones, not with nodes.
pub(super) struct LookTask {
    shared: Shared,
    backoff: Backoff,
}

impl LookTask {
    pub(super) const fn new(shared: Shared) -> Self {
        let backoff = Backoff::new(FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS);
        Self { shared, backoff }
    }

    pub(super) async fn run(mut self) {
        let mut ticks = self.shared.timer.subscribe(LOOK_PERIOD_MS);
        loop {
            if self.is_due() {
                match self.look().await {
                    Ok(()) => self.backoff.reset(),
                    Err(_) => self.backoff.wait().await,
                }
            }
            if ticks.next().await.is_none() {
                break;
            }
        }
    }

    fn is_due(&self) -> bool {
        match self.shared.rank() {
            Some(0) => true,
            Some(_) => {
                let seen_ms = *self.shared.seen.borrow();
                let now_ms = self.shared.timer.now_ms();
                seen_ms.is_none_or(|seen_ms| now_ms.saturating_sub(seen_ms) > SECOND_RELAY_AGE_MS)
            }
            None => false,
        }
    }

    async fn look(&self) -> Result<(), PlatformError> {
        let sent_ms = self.shared.timer.now_ms();
        let looks = DocumentKind::ALL.map(|kind| self.shared.platform.current_version(kind.name()));
        let versions = try_join_all(looks).await?;
        let mut current = Versions::default();
        for (kind, version) in DocumentKind::ALL.into_iter().zip(versions) {
            current.0[kind.index()] = version;
            self.read_up_to(kind, version).await?;
        }
        self.shared.confirm(current, sent_ms);
        Ok(())
    }

    async fn read_up_to(&self, kind: DocumentKind, version: u64) -> Result<(), PlatformError> {
        if self.shared.store.versions().of(kind) < version {
            let object = self
                .shared
                .platform
                .read_at_least(kind.name(), version)
                .await?;
            offer(&self.shared, kind, object);
        }
        Ok(())
    }
}

/// Holds a long-poll watch on one document while this node is a relay.
pub(super) struct WatchTask {
    shared: Shared,
    kind: DocumentKind,
}

impl WatchTask {
    pub(super) const fn new(shared: Shared, kind: DocumentKind) -> Self {
        Self { shared, kind }
    }

    pub(super) async fn run(self) {
        let mut view = self.shared.view.clone();
        let mut documents = self.shared.store.subscribe(self.kind);
        let mut backoff = Backoff::new(FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS);
        loop {
            if self.shared.rank().is_none() {
                if view.changed().await.is_err() {
                    break;
                }
                continue;
            }
            let held = documents
                .borrow_and_update()
                .as_ref()
                .map_or(0, |held| held.version);
            let watch = self
                .shared
                .platform
                .watch(self.kind.name(), held, WATCH_WAIT_MS);
            let watched = tokio::select! {
                watched = watch => watched,
                // The version came another way: watch above that one.
                _ = documents.changed() => continue,
            };
            match watched {
                Ok(Watched::Changed(object)) => {
                    backoff.reset();
                    if !offer(&self.shared, self.kind, object) {
                        tokio::time::sleep(STALE_PAUSE).await;
                    }
                }
                Ok(Watched::Unchanged) => backoff.reset(),
                Err(_) => backoff.wait().await,
            }
        }
    }
}

fn offer(shared: &Shared, kind: DocumentKind, object: Object) -> bool {
    shared.store.offer(Document {
        kind,
        version: object.version,
        content: object.content.into(),
    })
}
