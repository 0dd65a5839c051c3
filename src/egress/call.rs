//! A call that this node sends to a target.

use crate::{
    keys::KeyDigest,
    model::{Class, RegionSet, RequestContext, RequestId, ServiceKey, WorkspaceKey, begins_chain},
    retry::CallKey,
};

/// Subtracted from the time that the next hop is given, so that its response arrives
/// before this node's own timeout. The hop knows whether a queued request ran: if not,
/// it reports `not-run`, and the caller may retry. Covers the return path across zones
/// (1 to 2 ms) and the scheduling delay of a thread on a shared core (10 ms).
const HOP_MARGIN_US: u64 = 15_000;
/// The margin is at most the remaining time divided by this.
const HOP_MARGIN_DIVISOR: u64 = 10;

/// A call that this node sends to a target.
#[derives::value]
#[derive(Copy, Eq)]
pub struct Call {
    /// The caller's original request.
    pub request_id: RequestId,
    /// Workspace for which it runs.
    pub workspace: WorkspaceKey,
    /// Digest of the key that the original request carried.
    pub key: KeyDigest,
    /// Service that is called.
    pub service: ServiceKey,
    /// Class of the request.
    pub class: Class,
    /// Time at which the sender of the call stops waiting, in microseconds.
    pub deadline_us: u64,
    /// Time up to which the response has its full value, in microseconds, if the route names a
    /// latency objective.
    pub objective_us: Option<u64>,
    /// Number of hops above this one; 0 for a caller's request.
    pub depth: u8,
    /// Regions in which it may run.
    pub regions: RegionSet,
    /// Whether it may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Key of the call's retry allotment on this node.
    pub retry: CallKey,
}

impl Call {
    /// Whether it begins a call chain: a caller with a key sent it, not a target.
    #[must_use]
    pub fn begins_chain(&self) -> bool {
        begins_chain(self.depth, self.key)
    }
}

/// Request context for the next hop; its remaining time is reduced by the margin.
pub fn request_context(
    call: &Call,
    remaining_us: u64,
    allotment: u8,
    now_us: u64,
) -> RequestContext {
    let margin_us = HOP_MARGIN_US.min(remaining_us / HOP_MARGIN_DIVISOR);
    RequestContext {
        request_id: call.request_id,
        workspace: call.workspace,
        key: call.key,
        service: call.service,
        class: call.class,
        remaining_us: remaining_us - margin_us,
        objective_remaining_us: call
            .objective_us
            .map_or(0, |objective_us| objective_us.saturating_sub(now_us)),
        retry_allotment: allotment,
        depth: call.depth,
        repeatable: call.repeatable,
    }
}
