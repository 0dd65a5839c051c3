//! At most one execution for each idempotency key.

mod home;
mod table;

pub use {
    home::GuardHome,
    table::{
        CLOCK_MARGIN_MS, GuardTable, GuardTime, History, KeyedRequest, MAX_ANSWER_BYTES,
        MAX_RECORD_COUNT, RETENTION_MS,
    },
};

use crate::{
    model::{Refusal, WorkspaceKey},
    slices::SliceIndex,
};

/// Identity of a keyed request: the same workspace and key mean the same
/// request.
#[derives::key]
pub struct GuardKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceKey,
    /// Hash of the Idempotency-Key header; wide enough not to collide.
    pub key_hash: u128,
}

/// An answer that is kept for resends.
#[derives::value]
#[derive(Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the answer.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: bytes::Bytes,
}

impl StoredAnswer {
    /// Bytes that it takes to keep.
    #[must_use]
    pub fn byte_count(&self) -> usize {
        let headers = self.headers.iter();
        let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        header_bytes + self.body.len()
    }
}

/// A key that moves to another home with its slice.
#[derives::value]
#[derive(Eq)]
pub struct SliceRecord {
    /// Workspace and key.
    pub key: GuardKey,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Its answer; `None` when the outcome is unknown.
    pub answer: Option<StoredAnswer>,
    /// How much longer it is kept.
    pub keep_for_ms: u64,
}

/// The keys of a slice that was given up.
#[derives::value]
#[derive(Eq)]
pub struct SliceExport {
    /// The slice.
    pub slice: SliceIndex,
    /// What the giver knew of its past.
    pub history: History,
    /// Its keys.
    pub records: Vec<SliceRecord>,
}

/// What to do with a keyed request at its home.
#[derives::value]
#[derive(Eq)]
pub enum Begin {
    /// Not seen before: execute it, then call `finish`.
    Execute,
    /// Executed before: answer with this.
    Replay(StoredAnswer),
    /// Neither may happen; answer with this refusal.
    Refuse(Refusal),
}

/// How an execution of a keyed request ended.
#[derives::value]
#[derive(Eq)]
pub enum Finish {
    /// It provably did not run; a resend may run.
    NotRun,
    /// It ran and this is the answer.
    Answered(StoredAnswer),
    /// It may have run; resends are told so.
    Unknown,
}

/// A given-up slice's keys on their way to the next home.
#[derives::value]
#[derive(Eq)]
pub struct Handover {
    /// The keys.
    pub export: SliceExport,
    /// Version of the slice table that moved the slice.
    pub moved_by_version: u64,
    /// Start of the process that the slice was meant for when it was
    /// released, before the table was written.
    pub to_started_unix_ms: u64,
}
