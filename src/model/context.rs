//! Context of a request that is passed from node to node.

use {
    super::{Class, RequestId, ServiceKey, WorkspaceKey},
    crate::keys::KeyDigest,
};

/// Largest depth of a call chain that is served; guards against call cycles.
pub const MAX_DEPTH: u8 = 16;

/// Properties of a request in addition to its HTTP form.
///
/// Set by the ingress and accepted only from nodes that hold the fleet secret.
#[derives::value]
#[derive(Copy, Eq)]
pub struct RequestContext {
    /// Identifies the original request of the caller along the whole call chain.
    pub request_id: RequestId,
    /// Workspace of the tenant key of the original request.
    pub workspace: WorkspaceKey,
    /// Digest of that key, so that each hop can refuse a request that was queued before the key
    /// was revoked.
    pub key: KeyDigest,
    /// Service that this hop calls.
    pub service: ServiceKey,
    /// Class set by the route of the original request.
    pub class: Class,
    /// Time to the deadline, as measured by the sender when it sent the request.
    pub remaining_us: u64,
    /// Time to the latency objective, measured likewise; 0 if there is none or it has passed.
    pub objective_remaining_us: u64,
    /// Retries that this hop and its downstream calls may still use.
    pub retry_allotment: u8,
    /// Number of upstream hops; 0 for the original request of the caller.
    pub depth: u8,
    /// Whether the request may be executed again after an unknown outcome.
    pub repeatable: bool,
}

/// Whether a request of this depth and key starts a call chain: it was sent by a caller with a
/// tenant key, not by a target.
#[must_use]
pub fn begins_chain(depth: u8, key: KeyDigest) -> bool {
    depth == 0 && key != KeyDigest::NONE
}
