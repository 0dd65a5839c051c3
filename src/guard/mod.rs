//! At most one execution for each idempotency key.

use crate::model::{Refusal, WorkspaceKey};

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
