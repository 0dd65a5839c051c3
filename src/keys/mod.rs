//! Tenant keys: digests, their states, the document that holds them.

mod digest;
mod exchange;
mod record;
mod revocations;

pub use {
    digest::{DigestError, KEY_PREFIX, KeyDigest, new_key},
    exchange::spawn_revocation_exchange,
    record::{GrantRecord, KeysError, KeysRecord, RevocationRecord},
    revocations::Revocations,
};

use crate::model::WorkspaceKey;

/// What a presented key is worth.
#[derives::key]
pub enum KeyState {
    /// It stands for this workspace.
    Granted(WorkspaceKey),
    /// It was revoked.
    Revoked,
    /// It was never granted.
    Unknown,
}
