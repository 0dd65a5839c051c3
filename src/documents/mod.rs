//! Versioned documents of the platform that this node holds.

mod fetch;
mod follower;
mod origin;
mod poll;
mod reachability;
mod relay_loss;
mod relay_probes;
mod schedule;
mod store;

pub use {
    follower::{FollowerInputs, FollowerOutputs, Hint, Peers, spawn_follower},
    origin::DocumentOrigin,
    relay_loss::{RelayContact, RelayLossBounds, RelayResponses},
    schedule::{PeerPolls, PollBounds, PollRole},
    store::DocumentStore,
};

use std::sync::Arc;

/// Number of document kinds, for arrays indexed by kind.
pub const KIND_COUNT: usize = 4;

/// Kind of a document.
#[derives::key]
pub enum DocumentKind {
    /// Services, routes and workspaces.
    Configuration = 0,
    /// Digests of granted and revoked tenant keys.
    Keys = 1,
    /// Owners of the slices of quota and idempotency keys.
    Slices = 2,
    /// Evacuated availability zones.
    Evacuations = 3,
}

impl DocumentKind {
    /// All kinds, ordered by index.
    pub const ALL: [Self; KIND_COUNT] = [
        Self::Configuration,
        Self::Keys,
        Self::Slices,
        Self::Evacuations,
    ];

    /// Index into an array of [`KIND_COUNT`] entries.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Name of the platform object that stores this document.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Keys => "keys",
            Self::Slices => "slices",
            Self::Evacuations => "evacuations",
        }
    }
}

/// One version of a document.
#[derives::value]
#[derive(Eq)]
pub struct Document {
    /// Kind of the document.
    pub kind: DocumentKind,
    /// Version assigned by the platform; never decreases.
    pub version: u64,
    /// Content as stored in the platform.
    pub content: Arc<[u8]>,
}

/// Versions of all documents that a node holds; 0 for those it does not hold.
#[derives::key]
#[derive(Default)]
pub struct Versions(pub [u64; KIND_COUNT]);

impl Versions {
    /// Version of this kind.
    #[must_use]
    pub const fn of(&self, kind: DocumentKind) -> u64 {
        self.0[kind.index()]
    }

    /// Whether the version of any kind is higher than in `other`.
    #[must_use]
    pub fn exceed(&self, other: &Self) -> bool {
        self.0
            .iter()
            .zip(other.0)
            .any(|(version, other)| *version > other)
    }
}

/// Result of a conditional write.
#[derives::key]
pub enum WriteResult {
    /// The write took effect; the new version.
    Written(u64),
    /// The write had no effect; the document has this version instead.
    Conflict(u64),
    /// No response: the write may or may not have taken effect.
    Unknown,
}

/// Writes documents whose version has not changed in the meantime.
pub trait DocumentWriter: Clone + Send + Sync + 'static {
    /// Replaces a document that has version `if_version`; 0 if it must not exist.
    fn write(
        &self,
        kind: DocumentKind,
        if_version: u64,
        content: Vec<u8>,
    ) -> impl Future<Output = WriteResult> + Send;
}
