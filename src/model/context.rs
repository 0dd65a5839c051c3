//! What travels with a request from node to node.

use {
    super::{Class, RequestId, ServiceKey, WorkspaceKey},
    crate::keys::KeyDigest,
};

/// Deepest chain of calls that is served; guards against call cycles.
pub const MAX_DEPTH: u8 = 16;

/// What nodes know of a request beyond its HTTP form.
///
/// Set by the ingress and believed only when it comes from a node that holds
/// the fleet secret.
#[derives::value]
#[derive(Copy, Eq)]
pub struct RequestContext {
    /// Identifies the caller's original request along the whole chain.
    pub request_id: RequestId,
    /// Workspace whose key the original request carried.
    pub workspace: WorkspaceKey,
    /// Digest of that key, so that each hop can refuse work that was queued
    /// before the key was revoked.
    pub key: KeyDigest,
    /// Service that this hop calls.
    pub service: ServiceKey,
    /// Importance, from the route of the original request.
    pub class: Class,
    /// Time left until the deadline, counted at the sender when it sent.
    pub remaining_us: u64,
    /// Retries that this hop and its descendants may still spend.
    pub retry_allotment: u8,
    /// Hops above this one; 0 for the caller's own request.
    pub depth: u8,
    /// Whether the request may be executed again after an unknown outcome.
    pub repeatable: bool,
}

/// Whether a request of this depth and key begins a chain of calls: a caller
/// with a key sent it, not a target.
#[must_use]
pub fn begins_chain(depth: u8, key: KeyDigest) -> bool {
    depth == 0 && key != KeyDigest::NONE
}
