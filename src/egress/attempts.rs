//! Attempts of a call: picks a target, sends, and retries within the retry budget.

use {
    super::retry_rules::{AttemptHistory, RetryDenial, RetryKind},
    crate::{
        dialect::Dialect,
        event,
        events::Event,
        exchange::{ForwardedResponse, OutboundRequest},
        keys::KeyDigest,
        model::{AdmissionLevel, Class, Reason, Refusal, RequestContext, RequestId},
        model::{RegionSet, ServiceKey, WorkspaceKey, begins_chain},
        node::{Node, Policies, TargetLocation},
        peer::{self, Attempt, HopResult, PeerLink},
        quarantine::{IdentifiedRequest, check_quarantine},
        retry::CallKey,
        retry::RetryPolicy,
        routing::{AttemptResult, RoutePolicy, RouteRequest, TargetKey},
        target::{UNKNOWN_PROCESS_ID, serve_local},
        timer::timeout_unless_suspended,
    },
    std::{sync::Arc, time::Duration},
};

/// Subtracted from the time that the next hop is given, so that its response arrives
/// before this node's own timeout. The hop knows whether a queued request ran: if not,
/// it reports `not-run`, and the caller may retry. Covers the return path across zones
/// (1 to 2 ms) and the scheduling delay of a thread on a shared core (10 ms).
const HOP_MARGIN_US: u64 = 15_000;
/// The margin is at most the remaining time divided by this.
const HOP_MARGIN_DIVISOR: u64 = 10;

/// Time before a retry after a crash. Reports of the crash reach the other nodes meanwhile;
/// without them the request could crash one target after another.
const CRASH_RETRY_DELAY: Duration = Duration::from_millis(50);

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

/// Sends a call until it completes or the refusal, deadline or budget allows no retry.
pub async fn run_attempts<P: Policies>(
    node: &Arc<Node<P>>,
    call: &Call,
    outbound: &OutboundRequest,
) -> Result<ForwardedResponse, Refusal> {
    let mut tried = Vec::new();
    let mut history = AttemptHistory::new();
    loop {
        let refusal = match attempt(node, call, outbound, &mut tried).await {
            Ok(response) => return Ok(response),
            Err(refusal) => history.record(refusal),
        };
        if let Err(denial) = prepare_retry(node, call, &mut history, refusal).await {
            log_denial(call, refusal, denial, tried.len());
            return Err(match denial.is_exhausted() {
                true => refusal.with_exhausted(),
                false => refusal,
            });
        }
    }
}

/// Waits until the call may be retried and spends its budget; fails if it may not.
async fn prepare_retry<P: Policies>(
    node: &Node<P>,
    call: &Call,
    history: &mut AttemptHistory,
    refusal: Refusal,
) -> Result<(), RetryDenial> {
    let now_us = node.timer.now_us();
    match history.decide(call, refusal, now_us)? {
        RetryKind::Free => return Ok(()),
        RetryKind::Budgeted => {}
        RetryKind::AfterCrash => tokio::time::sleep(CRASH_RETRY_DELAY).await,
    }
    spend_retry(node, call, now_us)?;
    let (id, reason, tried_count) = (call.request_id, refusal.reason, history.failed_count());
    event!(
        Event::RequestRetried,
        "request={id} reason={reason} tried={tried_count}"
    );
    Ok(())
}

fn spend_retry<P: Policies>(node: &Node<P>, call: &Call, now_us: u64) -> Result<(), RetryDenial> {
    let mut retries = node.retries();
    retries.check_retry(call.retry, call.service, now_us)?;
    retries.try_retry(call.retry, call.service, now_us);
    node.metrics.retries.inc();
    Ok(())
}

fn log_denial(call: &Call, refusal: Refusal, denial: RetryDenial, tried_count: usize) {
    if denial == RetryDenial::Final {
        return;
    }
    let (id, reason, why) = (call.request_id, refusal.reason, denial.name());
    event!(
        Event::RetryDenied,
        "request={id} reason={reason} denied={why} tried={tried_count}"
    );
}

async fn attempt<P: Policies>(
    node: &Arc<Node<P>>,
    call: &Call,
    outbound: &OutboundRequest,
    tried: &mut Vec<TargetKey>,
) -> Result<ForwardedResponse, Refusal> {
    let started_us = node.timer.now_us();
    let remaining_us = call.deadline_us.saturating_sub(started_us);
    if remaining_us == 0 {
        return Err(Refusal::not_run(Reason::TooLate));
    }
    check_quarantine(node, identify(call, outbound))?;
    let picked = node.routes().pick(route_request(call), tried, started_us);
    let (target, location) = match picked {
        Ok(picked) => picked,
        Err(refusal) => {
            let (id, reason) = (call.request_id, refusal.reason);
            event!(Event::RouteRefused, "request={id} reason={reason}");
            if !tried.is_empty() {
                log_denial(call, refusal, RetryDenial::NoTarget, tried.len());
            }
            // No other target is left to try at this hop.
            return Err(refusal.with_exhausted());
        }
    };
    log_pick(node, call, target, tried.len());
    let outstanding = OutstandingAttempt::new(node, target, started_us);
    if tried.is_empty() {
        node.retries()
            .record_first_attempt(call.service, started_us);
    }
    tried.push(target);
    node.metrics.attempts.inc();
    // A target's calls without a handle belong to no chain: the downstream node could not
    // spend an allotment, and a lost response would lose the allotment too.
    let child =
        (!P::Dialect::CALLS_USE_CALLER_PORT).then(|| node.retries().allot_to_child(call.retry));
    let allotment = child.map_or(0, |child| child.allotment);
    let context = request_context(call, remaining_us, allotment);
    let hop = match location {
        TargetLocation::Local => {
            let (result, unspent) = serve_local(node, &context, outbound).await;
            HopResult {
                result,
                unspent,
                level: Some(node.level(call.class)),
                leaving_process_id: node.target.leaving_process_id(),
            }
        }
        TargetLocation::Peer(link) => {
            let attempt = Attempt {
                context: &context,
                is_guarded: false,
                outbound,
                buffered_bytes: node.settings.buffered_answer_bytes,
                time_left: Duration::from_micros(remaining_us),
                now_unix_ms: node.timer.steady_unix_ms(),
            };
            send_while_responsive(node, call, &link, attempt).await
        }
    };
    if let Some(child) = child {
        node.retries().return_unspent(child.key, hop.unspent);
    }
    if let Some(level) = hop
        .level
        .filter(|_| P::Dialect::CALLS_USE_CALLER_PORT && !call.begins_chain())
    {
        node.downstream().record_level(level, node.timer.now_us());
    }
    if hop.leaving_process_id != UNKNOWN_PROCESS_ID {
        let now_ms = node.timer.now_ms();
        node.routes()
            .record_leaving(target, hop.leaving_process_id, now_ms);
    }
    outstanding.end(attempt_result(&hop.result), hop.level);
    hop.result
}

const fn identify<'a>(call: &Call, outbound: &'a OutboundRequest) -> IdentifiedRequest<'a> {
    IdentifiedRequest {
        workspace: call.workspace,
        service: call.service,
        outbound,
    }
}

const fn route_request(call: &Call) -> RouteRequest {
    RouteRequest {
        service: call.service,
        class: call.class,
        regions: call.regions,
    }
}

/// Sends to another node; fails with an unknown outcome at the attempt's time limit.
pub async fn send<P: Policies>(node: &Node<P>, link: &PeerLink, attempt: Attempt<'_>) -> HopResult {
    let sending = peer::send(link, attempt, &node.auth, &node.names);
    match timeout_unless_suspended(attempt.time_left, sending).await {
        Ok(hop) => hop,
        Err(_) => HopResult::failed(Refusal::unknown(Reason::DeadlineExceeded), 0),
    }
}

/// Sends to another node. Abandons a repeatable call when that node stops responding, so
/// that time is left to retry on another one.
async fn send_while_responsive<P: Policies>(
    node: &Node<P>,
    call: &Call,
    link: &PeerLink,
    attempt: Attempt<'_>,
) -> HopResult {
    tokio::select! {
        hop = send(node, link, attempt) => hop,
        () = link.wait_until_silent(), if call.repeatable => {
            HopResult::failed(Refusal::unknown(Reason::ConnectionLost), 0)
        }
    }
}

/// Request context for the next hop; its remaining time is reduced by the margin.
pub fn request_context(call: &Call, remaining_us: u64, allotment: u8) -> RequestContext {
    let margin_us = HOP_MARGIN_US.min(remaining_us / HOP_MARGIN_DIVISOR);
    RequestContext {
        request_id: call.request_id,
        workspace: call.workspace,
        key: call.key,
        service: call.service,
        class: call.class,
        remaining_us: remaining_us - margin_us,
        retry_allotment: allotment,
        depth: call.depth,
        repeatable: call.repeatable,
    }
}

fn log_pick<P: Policies>(node: &Node<P>, call: &Call, target: TargetKey, tried_count: usize) {
    if !log::log_enabled!(target: "dogwood", Event::RoutePicked.level()) {
        return;
    }
    let id = call.request_id;
    let service = node.names.service_name(call.service);
    let class = call.class.name();
    let routes = node.routes();
    let node_name = routes.node_name(target);
    event!(
        Event::RoutePicked,
        "request={id} service={service} class={class} node={node_name} tried={tried_count}"
    );
}

const fn attempt_result(result: &Result<ForwardedResponse, Refusal>) -> AttemptResult {
    match result {
        Ok(_) => AttemptResult::Completed,
        Err(refusal) => match refusal.reason {
            Reason::ConnectionLost
            | Reason::TargetCrashed
            | Reason::BadAnswer
            | Reason::DeadlineExceeded => AttemptResult::Failed,
            _ => AttemptResult::Refused,
        },
    }
}

/// An attempt that the router counts as outstanding; dropping it records a cancelled one.
struct OutstandingAttempt<'a, P: Policies> {
    node: &'a Node<P>,
    target: TargetKey,
    started_us: u64,
    has_ended: bool,
}

impl<'a, P: Policies> OutstandingAttempt<'a, P> {
    const fn new(node: &'a Node<P>, target: TargetKey, started_us: u64) -> Self {
        Self {
            node,
            target,
            started_us,
            has_ended: false,
        }
    }

    fn end(mut self, result: AttemptResult, level: Option<AdmissionLevel>) {
        self.record_end(result, level);
    }

    fn record_end(&mut self, result: AttemptResult, level: Option<AdmissionLevel>) {
        self.has_ended = true;
        let now_us = self.node.timer.now_us();
        let latency_us = now_us.saturating_sub(self.started_us);
        let mut routes = self.node.routes();
        routes
            .policy()
            .end_attempt(self.target, result, latency_us, level, now_us);
    }
}

impl<P: Policies> Drop for OutstandingAttempt<'_, P> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.record_end(AttemptResult::Cancelled, None);
        }
    }
}
