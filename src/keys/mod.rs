//! Tenant keys: digests and their states.

use crate::model::WorkspaceKey;

/// SHA-256 of a tenant key. Keys themselves are never stored.
#[derives::key]
pub struct KeyDigest(pub [u8; 32]);

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
