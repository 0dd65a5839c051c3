//! The platform as the origin of documents.

use {
    super::{Object, Platform, PlatformError, WatchResult},
    crate::documents::{
        Document, DocumentKind, DocumentOrigin, DocumentStore, PollBounds, Versions,
    },
    futures::future::try_join_all,
};

/// How long a watch waits for a change.
const WATCH_WAIT_MS: u64 = 20_000;

impl Platform {
    /// When members poll the platform.
    pub const POLL_BOUNDS: PollBounds = PollBounds {
        period_ms: 1000,
        start_delay_ms: 600,
        first_relay_age_ms: 0,
        second_relay_age_ms: 2500,
        query_relays_age_ms: None,
        peer_polls: None,
        relay_loss: None,
        first_backoff_ms: 200,
        longest_backoff_ms: 4000,
    };
}

impl DocumentOrigin for Platform {
    type Error = PlatformError;

    const KINDS: &'static [DocumentKind] = &DocumentKind::ALL;

    async fn poll(&self, store: &DocumentStore) -> Result<Versions, PlatformError> {
        let polls = DocumentKind::ALL.map(|kind| self.current_version(kind.name()));
        let versions = try_join_all(polls).await?;
        let mut current = Versions::default();
        for (kind, version) in DocumentKind::ALL.into_iter().zip(versions) {
            current.0[kind.index()] = version;
            if store.versions().of(kind) < version {
                let object = self.read_at_least(kind.name(), version).await?;
                store.offer(document(kind, object));
            }
        }
        Ok(current)
    }

    async fn watch(
        &self,
        kind: DocumentKind,
        held_version: u64,
    ) -> Result<Option<Document>, PlatformError> {
        let watched = Self::watch(self, kind.name(), held_version, WATCH_WAIT_MS).await?;
        Ok(match watched {
            WatchResult::Changed(object) => Some(document(kind, object)),
            WatchResult::Unchanged => None,
        })
    }
}

fn document(kind: DocumentKind, object: Object) -> Document {
    Document {
        kind,
        version: object.version,
        content: object.content.into(),
    }
}
