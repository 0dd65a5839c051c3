//! Attempts at a request: pick a target, send, retry within the budget.

use {
    crate::{
        dialect::Dialect,
        event,
        events::Event,
        exchange::{Answer, Outbound},
        keys::KeyDigest,
        model::{AdmissionLevel, Class, Outcome, Reason, Refusal, RequestContext, RequestId},
        model::{RegionSet, ServiceKey, WorkspaceKey, begins_chain},
        node::{Node, Policies, TargetLocation},
        peer::{self, Attempt, HopResult, PeerLink},
        retry::CallKey,
        retry::RetryPolicy,
        routing::{AttemptResult, RoutePolicy, RouteRequest, TargetKey},
        target::serve_local,
    },
    std::{sync::Arc, time::Duration},
};

/// Taken off the time that a hop is given, so that its answer, which knows
/// more, comes before this side's own timeout: a request that waited in vain
/// is then told as not run, and its caller may send it again. Covers the way
/// back over a zone's border (1 to 2 ms) and the turn of a thread that has part
/// of a core (10 ms).
const HOP_MARGIN_US: u64 = 15_000;
/// The margin is at most this part of the remaining time.
const HOP_MARGIN_PART: u64 = 10;

/// Further targets that are tried, free of the retry budget, after attempts
/// that reached no target.
const FREE_PICK_COUNT: usize = 3;

/// A call on its way out of this node.
#[derives::value]
#[derive(Copy, Eq)]
pub struct Call {
    /// The caller's original request.
    pub request_id: RequestId,
    /// Workspace that it runs for.
    pub workspace: WorkspaceKey,
    /// Digest of the key that the original request carried.
    pub key: KeyDigest,
    /// Service that is called.
    pub service: ServiceKey,
    /// Importance.
    pub class: Class,
    /// When whoever called stops waiting.
    pub deadline_us: u64,
    /// Hops above.
    pub depth: u8,
    /// Regions in which it may run.
    pub regions: RegionSet,
    /// Whether it may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Holder of the retry allotment on this node.
    pub retry: CallKey,
}

impl Call {
    /// Whether it begins a chain: a caller with a key sent it, not a target.
    #[must_use]
    pub fn is_new(&self) -> bool {
        begins_chain(self.depth, self.key)
    }
}

/// Sends a request until it is answered, refused for good or out of budget.
pub async fn run_attempts<P: Policies>(
    node: &Arc<Node<P>>,
    call: &Call,
    outbound: &Outbound,
) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut free_pick_count = 0;
    let mut may_have_run = false;
    loop {
        let refusal = match attempt(node, call, outbound, &mut tried).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        // A retry that is refused says nothing of an earlier attempt. Passed on
        // as it is, its `not-run` would be false: the journal of a target
        // would show the request although its caller was told otherwise.
        may_have_run |= refusal.outcome == Outcome::Unknown;
        let refusal = match may_have_run {
            true => Refusal {
                outcome: Outcome::Unknown,
                ..refusal
            },
            false => refusal,
        };
        if !may_repeat(call, refusal) {
            return Err(refusal);
        }
        let now_us = node.timer.now_us();
        if now_us >= call.deadline_us {
            return Err(refusal);
        }
        // A node that is gone but still known would otherwise use up the
        // retries of a service with little traffic, and callers would see
        // refusals although another target is idle. Nothing ran, so nothing
        // can multiply.
        if never_reached(refusal) && !may_have_run && free_pick_count < FREE_PICK_COUNT {
            free_pick_count += 1;
            continue;
        }
        if is_held_back(refusal) {
            return Err(refusal.with_exhausted());
        }
        if !node.retries().try_retry(call.retry, call.service, now_us) {
            return Err(refusal.with_exhausted());
        }
        node.metrics.retries.inc();
        let (id, reason, tried) = (call.request_id, refusal.reason, tried.len());
        event!(
            Event::RequestRetried,
            "request={id} reason={reason} tried={tried}"
        );
    }
}

/// Whether the attempt ended before the target: no connection led to it, or its
/// node sends no work there, no more or not yet.
fn never_reached(refusal: Refusal) -> bool {
    let is_before_target = matches!(
        refusal.reason,
        Reason::ConnectionLost
            | Reason::Draining
            | Reason::NoTarget
            | Reason::NotReady
            | Reason::TargetCold
            | Reason::ZoneEvacuated
            | Reason::OutsideRegions
    );
    refusal.outcome == Outcome::NotRun && is_before_target
}

/// Whether the target's node sends it nothing more for a while: a retry would
/// most likely meet the same elsewhere.
fn is_held_back(refusal: Refusal) -> bool {
    let is_closed = matches!(refusal.reason, Reason::TargetCold | Reason::ZoneEvacuated);
    refusal.outcome == Outcome::NotRun && is_closed
}

/// Whether sending again can help and cannot execute the request twice.
fn may_repeat(call: &Call, refusal: Refusal) -> bool {
    let is_safe = call.repeatable || refusal.outcome == Outcome::NotRun;
    let can_help = matches!(
        refusal.reason,
        Reason::Overloaded
            | Reason::Draining
            | Reason::NotReady
            | Reason::ConnectionLost
            | Reason::BadAnswer
            | Reason::TooManyConnections
            | Reason::TargetShed
            | Reason::TargetCold
            | Reason::ZoneEvacuated
            | Reason::OutsideRegions
    );
    // A target that its own node has just lost: others may be left.
    let lost_target = refusal.reason == Reason::NoTarget;
    is_safe && (can_help || lost_target) && !refusal.exhausted
}

async fn attempt<P: Policies>(
    node: &Arc<Node<P>>,
    call: &Call,
    outbound: &Outbound,
    tried: &mut Vec<TargetKey>,
) -> Result<Answer, Refusal> {
    let started_us = node.timer.now_us();
    let remaining_us = call.deadline_us.saturating_sub(started_us);
    if remaining_us == 0 {
        return Err(Refusal::not_run(Reason::TooLate));
    }
    let picked = node.routes().pick(wanted(call), tried, started_us);
    let (target, place) = match picked {
        Ok(picked) => picked,
        Err(refusal) => {
            let (id, reason) = (call.request_id, refusal.reason);
            event!(Event::RouteRefused, "request={id} reason={reason}");
            // There is nothing else to try at this hop.
            return Err(refusal.with_exhausted());
        }
    };
    log_pick(node, call, target, tried.len());
    let outstanding = Outstanding::new(node, target, started_us);
    if tried.is_empty() {
        node.retries()
            .record_first_attempt(call.service, started_us);
    }
    tried.push(target);
    node.metrics.attempts.inc();
    // Calls of a target that carry no handle belong to no chain: a node further
    // down could not spend what it is lent, and with an answer that is lost the
    // allotment would be lost as well.
    let loan = (!P::Dialect::CALLS_LIKE_CALLERS).then(|| node.retries().allot_to_child(call.retry));
    let lent = loan.map_or(0, |loan| loan.allotment);
    let context = context_of(call, remaining_us, lent);
    let end = match place {
        TargetLocation::Local => {
            let (result, unspent) = serve_local(node, &context, outbound).await;
            HopResult {
                result,
                unspent,
                level: Some(node.level(call.class)),
            }
        }
        TargetLocation::Peer(link) => {
            let attempt = Attempt {
                context: &context,
                is_guarded: false,
                outbound,
                buffered_bytes: node.settings.buffered_answer_bytes,
                limit: Duration::from_micros(remaining_us),
                now_unix_ms: node.timer.steady_unix_ms(),
            };
            send_while_heard(node, call, &link, attempt).await
        }
    };
    if let Some(loan) = loan {
        node.retries().return_unspent(loan.key, end.unspent);
    }
    if let Some(level) = end
        .level
        .filter(|_| P::Dialect::CALLS_LIKE_CALLERS && !call.is_new())
    {
        node.downstream().record_level(level, node.timer.now_us());
    }
    outstanding.end(result_of(&end.result), end.level);
    end.result
}

const fn wanted(call: &Call) -> RouteRequest {
    RouteRequest {
        service: call.service,
        class: call.class,
        regions: call.regions,
    }
}

/// Sends to another node, at most until this side's own deadline.
pub async fn send<P: Policies>(node: &Node<P>, link: &PeerLink, attempt: Attempt<'_>) -> HopResult {
    let sending = peer::send(link, attempt, &node.auth, &node.names);
    match tokio::time::timeout(attempt.limit, sending).await {
        Ok(end) => end,
        Err(_) => HopResult::failed(Refusal::unknown(Reason::DeadlineExceeded), 0),
    }
}

/// Sends to another node; gives a repeatable call up when that node falls
/// silent, so that there is time left to send it elsewhere.
async fn send_while_heard<P: Policies>(
    node: &Node<P>,
    call: &Call,
    link: &PeerLink,
    attempt: Attempt<'_>,
) -> HopResult {
    tokio::select! {
        end = send(node, link, attempt) => end,
        () = link.wait_until_silent(), if call.repeatable => {
            HopResult::failed(Refusal::unknown(Reason::ConnectionLost), 0)
        }
    }
}

/// What the next hop is told of a call.
pub fn context_of(call: &Call, remaining_us: u64, lent: u8) -> RequestContext {
    let margin_us = HOP_MARGIN_US.min(remaining_us / HOP_MARGIN_PART);
    RequestContext {
        request_id: call.request_id,
        workspace: call.workspace,
        key: call.key,
        service: call.service,
        class: call.class,
        remaining_us: remaining_us - margin_us,
        retry_allotment: lent,
        depth: call.depth,
        repeatable: call.repeatable,
    }
}

fn log_pick<P: Policies>(node: &Node<P>, call: &Call, target: TargetKey, tried: usize) {
    if !log::log_enabled!(target: "dogwood", Event::RoutePicked.level()) {
        return;
    }
    let id = call.request_id;
    let service = node.names.service_name(call.service);
    let class = call.class.name();
    let routes = node.routes();
    let to = routes.node_name(target);
    event!(
        Event::RoutePicked,
        "request={id} service={service} class={class} node={to} tried={tried}"
    );
}

const fn result_of(result: &Result<Answer, Refusal>) -> AttemptResult {
    match result {
        Ok(_) => AttemptResult::Completed,
        Err(refusal) => match refusal.reason {
            Reason::ConnectionLost | Reason::BadAnswer | Reason::DeadlineExceeded => {
                AttemptResult::Failed
            }
            _ => AttemptResult::Refused,
        },
    }
}

/// An attempt that the router counts as outstanding; given up when dropped.
struct Outstanding<'a, P: Policies> {
    node: &'a Node<P>,
    target: TargetKey,
    started_us: u64,
    ended: bool,
}

impl<'a, P: Policies> Outstanding<'a, P> {
    const fn new(node: &'a Node<P>, target: TargetKey, started_us: u64) -> Self {
        Self {
            node,
            target,
            started_us,
            ended: false,
        }
    }

    fn end(mut self, result: AttemptResult, level: Option<AdmissionLevel>) {
        self.finish(result, level);
    }

    fn finish(&mut self, result: AttemptResult, level: Option<AdmissionLevel>) {
        self.ended = true;
        let now_us = self.node.timer.now_us();
        let latency_us = now_us.saturating_sub(self.started_us);
        let mut routes = self.node.routes();
        routes
            .policy()
            .end_attempt(self.target, result, latency_us, level, now_us);
    }
}

impl<P: Policies> Drop for Outstanding<'_, P> {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(AttemptResult::Cancelled, None);
        }
    }
}
