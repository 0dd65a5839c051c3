//! Applies the quarantine to requests on their way.

use {
    super::{RequestDigest, Verdict},
    crate::{
        exchange::OutboundRequest,
        model::{Outcome, Reason, Refusal, ServiceKey, WorkspaceKey},
        node::{Node, Policies},
    },
    std::time::Duration,
    tokio::sync::SemaphorePermit,
};

/// A request as the quarantine identifies it.
#[derive(Debug, Clone, Copy)]
pub struct IdentifiedRequest<'a> {
    /// Workspace of the original request.
    pub workspace: WorkspaceKey,
    /// Service that is called.
    pub service: ServiceKey,
    /// The request.
    pub outbound: &'a OutboundRequest,
}

impl IdentifiedRequest<'_> {
    /// Its digest.
    pub fn digest<P: Policies>(&self, node: &Node<P>) -> RequestDigest {
        let workspace = node.names.workspace_name(self.workspace);
        let service = node.names.service_name(self.service);
        RequestDigest::new(&node.auth, &workspace, &service, self.outbound)
    }
}

/// Refuses a request that is quarantined.
pub fn check_quarantine<P: Policies>(
    node: &Node<P>,
    request: IdentifiedRequest<'_>,
) -> Result<(), Refusal> {
    if node.quarantine.is_empty() {
        return Ok(());
    }
    let verdict = node
        .quarantine
        .verdict(request.digest(node), node.timer.now_ms());
    to_result(verdict)
}

/// Lets a request enter the local target: refuses it if it is quarantined, and waits while it
/// must run alone. The permit is held until the request ends.
pub async fn enter_target<'a, P: Policies>(
    node: &'a Node<P>,
    request: IdentifiedRequest<'_>,
    limit: Duration,
) -> Result<Option<SemaphorePermit<'a>>, Refusal> {
    if node.quarantine.is_empty() {
        return Ok(None);
    }
    let digest = request.digest(node);
    if !runs_alone(node, digest)? {
        return Ok(None);
    }
    let waiting = tokio::time::timeout(limit, node.quarantine.isolate());
    let permit = waiting
        .await
        .map_err(|_| Refusal::not_run(Reason::TooLate))?;
    // Another copy may have completed or crashed its target in the meantime.
    match runs_alone(node, digest)? {
        true => Ok(permit),
        false => Ok(None),
    }
}

fn runs_alone<P: Policies>(node: &Node<P>, digest: RequestDigest) -> Result<bool, Refusal> {
    let verdict = node.quarantine.verdict(digest, node.timer.now_ms());
    to_result(verdict)?;
    Ok(verdict == Verdict::Suspected { runs_alone: true })
}

fn to_result(verdict: Verdict) -> Result<(), Refusal> {
    let Verdict::Quarantined { left_ms } = verdict else {
        return Ok(());
    };
    let retry_after_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
    Err(Refusal::not_run(Reason::Quarantined)
        .with_retry_after_ms(retry_after_ms)
        .with_exhausted())
}

/// Records that the local target completed a request that was sent at `sent_us`.
pub fn record_completed<P: Policies>(node: &Node<P>, request: IdentifiedRequest<'_>, sent_us: u64) {
    node.quarantine.record_response(sent_us);
    if !node.quarantine.is_empty() {
        let digest = request.digest(node);
        node.quarantine
            .record_completion(digest, node.timer.now_ms());
    }
}

/// Records that the connection broke under a request of the local target, and checks whether
/// the target crashed. Returns the refusal for the caller.
pub async fn record_lost<P: Policies>(
    node: &Node<P>,
    request: IdentifiedRequest<'_>,
    refusal: Refusal,
) -> Refusal {
    let is_loss = matches!(refusal.reason, Reason::ConnectionLost | Reason::BadAnswer);
    if !is_loss || refusal.outcome != Outcome::Unknown || is_end_planned(node) {
        return refusal;
    }
    let digest = request.digest(node);
    let is_known_crash = node.quarantine.record_loss(digest, node.timer.now_us());
    if !is_known_crash {
        if !node.target.replace_lost_connection().await {
            return refusal;
        }
        node.quarantine.record_crash(node.timer.now_us());
    }
    let crashed = Refusal::unknown(Reason::TargetCrashed);
    // One retry helps the requests that ran beside the cause; more would take the cause to
    // one target after another.
    match node.quarantine.crash_count(digest) {
        0 => crashed,
        _ => crashed.with_exhausted(),
    }
}

/// Whether the target has announced its end, or this node ends with it.
pub fn is_end_planned<P: Policies>(node: &Node<P>) -> bool {
    let own_state = node.own_state.borrow();
    let is_target_draining = own_state
        .target
        .as_ref()
        .is_none_or(|target| target.draining);
    is_target_draining || node.is_draining()
}
