//! Tenant keys: digests, states, and the document that stores them.

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

/// State of a key that a request presents.
#[derives::key]
pub enum KeyState {
    /// The key is granted to this workspace.
    Granted(WorkspaceKey),
    /// The key was revoked.
    Revoked,
    /// The key was never granted.
    Unknown,
}
