//! At most one execution for each idempotency key.
//!
//! The key's home records executions, replays their responses to resends, and
//! refuses keys that may have run at an earlier home.

mod home;
mod table;

pub use {
    home::GuardHome,
    table::{
        CLOCK_MARGIN_MS, GuardTable, GuardTime, KeyedRequest, MAX_RECORD_COUNT,
        MAX_STORED_RESPONSE_BYTES, RETENTION_MS, SliceHistory,
    },
};

use crate::{
    model::{Refusal, WorkspaceKey},
    slices::SliceIndex,
};

/// Identity of a keyed request: requests with the same workspace and key are
/// the same request.
#[derives::key]
pub struct GuardKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceKey,
    /// Hash of workspace name and Idempotency-Key header; 128 bits, so that
    /// collisions are negligible.
    pub key_hash: u128,
}

/// Response that is stored and replayed to resends.
#[derives::value]
#[derive(Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: bytes::Bytes,
}

impl StoredResponse {
    /// Size of headers and body, in bytes.
    #[must_use]
    pub fn byte_count(&self) -> usize {
        let headers = self.headers.iter();
        let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        header_bytes + self.body.len()
    }
}

/// A stored key that moves to another home with its slice.
#[derives::value]
#[derive(Eq)]
pub struct SliceRecord {
    /// Workspace and key.
    pub key: GuardKey,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Its response; `None` when the outcome is unknown.
    pub response: Option<StoredResponse>,
    /// Time until its retention ends.
    pub keep_for_ms: u64,
}

/// Keys of a slice that its owner released.
#[derives::value]
#[derive(Eq)]
pub struct SliceExport {
    /// The slice.
    pub slice: SliceIndex,
    /// Execution history of the slice as the releasing home knew it.
    pub history: SliceHistory,
    /// Its stored keys.
    pub records: Vec<SliceRecord>,
}

/// A home's decision on a keyed request.
#[derives::value]
#[derive(Eq)]
pub enum BeginDecision {
    /// Not executed before: execute it, then call `finish`.
    Execute,
    /// Executed before: return this stored response.
    Replay(StoredResponse),
    /// Neither execute nor replay; return this refusal.
    Refuse(Refusal),
}

/// How an execution of a keyed request ended.
#[derives::value]
#[derive(Eq)]
pub enum ExecutionResult {
    /// It provably did not run; a resend may be executed.
    NotRun,
    /// It ran and returned this response.
    Responded(StoredResponse),
    /// It may have run; resends are refused as unknown.
    Unknown,
}

/// Keys of a released slice, sent to its new home.
#[derives::value]
#[derive(Eq)]
pub struct Handover {
    /// The released slice with its keys.
    pub export: SliceExport,
    /// Epoch of the slice table that moved the slice.
    pub moved_by_epoch: u64,
    /// Start time of the process that the slice was released to, as known
    /// before the table was written.
    pub to_started_unix_ms: u64,
}
