//! Serves a request at the target's node: admission, execution, completion.

use {
    super::{
        PooledConnection, SentRequest, TargetResponse, exchange,
        gate_check::{check_gate, try_pass_gate},
        running::RunningRequest,
    },
    crate::{
        admission::{Arrival, TargetResult},
        control::record_refusal,
        dialect::{LimitSignal, TargetSignal},
        egress::{record_leaving_response, record_load},
        event,
        events::Event,
        exchange::{
            Collected, ForwardedResponse, OutboundRequest, ResponseBody, collect, stream_body,
        },
        model::{
            Class, MAX_DEPTH, Reason, Refusal, RequestContext, ServiceKey, WorkspaceKey,
            begins_chain,
        },
        node::{InFlightCall, Node, Policies, admit},
        quarantine::{
            IdentifiedRequest, RequestDigest, enter_target, record_completed, record_lost,
        },
        retry::RetryPolicy,
        timer::timeout_unless_suspended,
    },
    std::{sync::Arc, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// Retry delay of throttled requests, and the width of its random addition, which
/// spreads the callers. Admitted shares change within a second.
const THROTTLED_RETRY_AFTER_MS: (u32, u32) = (400, 800);

/// Serves a request at the local target; returns the response and the unspent retry
/// allotment.
pub async fn serve_local<P: Policies>(
    node: &Arc<Node<P>>,
    context: &RequestContext,
    outbound: &OutboundRequest,
) -> (Result<ForwardedResponse, Refusal>, u8) {
    let served = serve(node, context, outbound).await;
    if let Err(refusal) = &served.0 {
        log_refusal(node, context, *refusal);
        record_refusal(node, context, *refusal);
    }
    served
}

fn log_refusal<P: Policies>(node: &Node<P>, context: &RequestContext, refusal: Refusal) {
    let (running, waiting) = node.admission().counts();
    let now_us = node.timer.now_us();
    let (share, below, below_supply) = {
        let downstream = node.downstream();
        (
            downstream.share(context.class),
            downstream.load_percent(),
            downstream.supply_percent(now_us),
        )
    };
    let (id, class) = (context.request_id, context.class.name());
    let (outcome, reason) = (refusal.outcome.name(), refusal.reason);
    let remaining_ms = context.remaining_us / 1000;
    event!(
        Event::AttemptRefused,
        "request={id} class={class} outcome={outcome} reason={reason} running={running} waiting={waiting} share={share:.2} below_percent={below} below_supply_percent={below_supply} remaining_ms={remaining_ms}"
    );
}

async fn serve<P: Policies>(
    node: &Arc<Node<P>>,
    context: &RequestContext,
    outbound: &OutboundRequest,
) -> (Result<ForwardedResponse, Refusal>, u8) {
    let refused = |refusal| (Err(refusal), context.retry_allotment);
    if context.depth > MAX_DEPTH {
        return refused(Refusal::not_run(Reason::TooDeep));
    }
    if !is_served_here(node, context.service) {
        return refused(Refusal::not_run(Reason::NoTarget));
    }
    // The sender's configuration may be older.
    let regions = node.regions_of(context.workspace, outbound);
    if !regions.allows(node.region) {
        return refused(Refusal::not_run(Reason::OutsideRegions));
    }
    // Without a configuration the target's downstream calls cannot be routed, and
    // the request would fail after it had run.
    if node.running().revision == 0 {
        return refused(Refusal::not_run(Reason::NotReady));
    }
    if is_revoked(node, context) {
        return refused(Refusal::not_run(Reason::RevokedKey));
    }
    let new_class = begins_chain(context.depth, context.key).then_some(context.class);
    if let Some(refusal) = throttle_new_chain(node, context.workspace, new_class) {
        return refused(refusal);
    }
    if let Err(refusal) = check_gate(node, context) {
        return refused(refusal);
    }
    let deadline_us = node.timer.now_us() + context.remaining_us;
    let limit = Duration::from_micros(context.remaining_us);
    let _isolation = match enter_target(node, identify(context, outbound), limit).await {
        Ok(isolation) => isolation,
        Err(refusal) => return refused(refusal),
    };
    let arrival = Arrival {
        class: context.class,
        workspace: context.workspace,
        deadline_us,
        objective_us: objective_us(context, deadline_us),
    };
    let ticket = match admit(node, arrival).await {
        Ok(ticket) => ticket,
        Err(refusal) => return refused(refusal),
    };
    // The key may have been revoked while the request waited: a long queue would
    // otherwise serve its holder long after the operator saw the key revoked.
    if is_revoked(node, context) {
        return refused(Refusal::not_run(Reason::RevokedKey));
    }
    let remaining_us = deadline_us.saturating_sub(node.timer.now_us());
    if remaining_us == 0 {
        return refused(Refusal::not_run(Reason::TooLate));
    }
    let call = in_flight_call(node, context, deadline_us);
    let running = RunningRequest::new(node, ticket, call, new_class);
    let execution = run_at_target(node, context, running, outbound, remaining_us);
    let limit = Duration::from_micros(remaining_us);
    match timeout_unless_suspended(limit, execution).await {
        Ok(result) => result,
        Err(_) => (Err(Refusal::unknown(Reason::DeadlineExceeded)), 0),
    }
}

/// Throttles requests that start a call chain while downstream calls of earlier
/// requests fail: their own calls would fail as well, after work at every service
/// above. Calls of chains in progress pass.
fn throttle_new_chain<P: Policies>(
    node: &Node<P>,
    workspace: WorkspaceKey,
    new_class: Option<Class>,
) -> Option<Refusal> {
    let now_us = node.timer.now_us();
    let running = node.running();
    let workspace_class = running
        .workspaces
        .get(&workspace)
        .and_then(|rules| rules.class);
    let mut downstream = node.downstream();
    downstream.record_arrival(new_class, now_us);
    let limited_class = new_class?.with_workspace_class(workspace_class);
    if downstream.admits(new_class?, limited_class, rand::random(), now_us) {
        return None;
    }
    drop(downstream);
    let (base_ms, jitter_width_ms) = THROTTLED_RETRY_AFTER_MS;
    let retry_after_ms = base_ms + rand::random::<u32>() % jitter_width_ms;
    let refusal = Refusal::not_run(Reason::Overloaded).with_retry_after_ms(retry_after_ms);
    // Other targets of the service depend on the same downstream services.
    Some(refusal.with_exhausted())
}

/// Time of the latency objective, on the clock of the deadline.
const fn objective_us(context: &RequestContext, deadline_us: u64) -> Option<u64> {
    if context.objective_remaining_us == 0 {
        return None;
    }
    let received_us = deadline_us.saturating_sub(context.remaining_us);
    Some(received_us + context.objective_remaining_us)
}

/// Whether the local target serves the service.
///
/// The sender may know this address from an instance that no longer exists and
/// whose address was reassigned. The target would then execute a request meant for
/// another service.
fn is_served_here<P: Policies>(node: &Node<P>, service: ServiceKey) -> bool {
    let own_state = node.own_state.borrow();
    own_state
        .target
        .as_ref()
        .is_some_and(|target| node.names.service(&target.service) == service)
}

const fn identify<'a>(
    context: &RequestContext,
    outbound: &'a OutboundRequest,
) -> IdentifiedRequest<'a> {
    IdentifiedRequest {
        workspace: context.workspace,
        service: context.service,
        outbound,
    }
}

fn is_revoked<P: Policies>(node: &Node<P>, context: &RequestContext) -> bool {
    node.running().revoked.contains(&context.key)
}

fn in_flight_call<P: Policies>(
    node: &Node<P>,
    context: &RequestContext,
    deadline_us: u64,
) -> InFlightCall {
    InFlightCall {
        request_id: context.request_id,
        workspace: context.workspace,
        key: context.key,
        class: context.class,
        deadline_us,
        objective_us: objective_us(context, deadline_us),
        depth: context.depth,
        retry: node.retries().open(context.retry_allotment),
        ended: CancellationToken::new(),
        is_exhausted: false,
    }
}

async fn run_at_target<P: Policies>(
    node: &Arc<Node<P>>,
    context: &RequestContext,
    running: RunningRequest<P>,
    outbound: &OutboundRequest,
    remaining_us: u64,
) -> (Result<ForwardedResponse, Refusal>, u8) {
    let request = identify(context, outbound);
    let sent_us = node.timer.now_us();
    let try_pass = || try_pass_gate(node, context, sent_us);
    let sent = SentRequest {
        handle: running.handle(),
        request_id: context.request_id,
        repeatable: context.repeatable,
        remaining_ms: remaining_us / 1000,
        outbound,
    };
    match exchange(&node.dialect, &node.target, sent, try_pass).await {
        // The target has not failed.
        Err(refusal) if matches!(refusal.reason, Reason::TargetLimited | Reason::Draining) => {
            running.fail(TargetResult::Cancelled, refusal)
        }
        Err(refusal) => {
            let refusal = record_lost(node, request, refusal).await;
            running.fail(TargetResult::Failed, refusal)
        }
        Ok(target_response) => {
            let sent = AnsweredRequest {
                request,
                sent_us,
                remaining_us,
            };
            handle_response(node, running, target_response, sent).await
        }
    }
}

/// A request that the target has begun to respond to.
struct AnsweredRequest<'a> {
    request: IdentifiedRequest<'a>,
    sent_us: u64,
    remaining_us: u64,
}

async fn handle_response<P: Policies>(
    node: &Arc<Node<P>>,
    running: RunningRequest<P>,
    target_response: TargetResponse,
    sent: AnsweredRequest<'_>,
) -> (Result<ForwardedResponse, Refusal>, u8) {
    let TargetResponse {
        response,
        connection,
        signal,
    } = target_response;
    // A late response to another request may be from any time before.
    if let Some(load) = signal.load.filter(|_| !signal.is_foreign()) {
        record_load(node, load);
    }
    if connection.is_current() {
        record_signal(node, &signal, sent.sent_us);
    }
    if let Some(refusal) = signal.refusal.filter(|_| signal.is_foreign()) {
        return running.fail(TargetResult::Failed, refusal);
    }
    let (parts, mut body) = response.into_parts();
    let result = if signal.is_shed {
        TargetResult::Shed
    } else {
        TargetResult::Completed
    };
    if let Some(class) = running.new_class().filter(|_| !signal.is_rejection()) {
        let has_failed = parts.status.is_server_error();
        node.downstream().record_request_end(class, has_failed);
    }
    match collect(&mut body, node.settings.buffered_answer_bytes).await {
        Err(_) => {
            let refusal = Refusal::unknown(Reason::BadAnswer);
            let refusal = record_lost(node, sent.request, refusal).await;
            running.fail(TargetResult::Failed, refusal)
        }
        Ok(Collected::Complete(bytes)) => {
            connection.return_to_pool(signal.idle_limit);
            // A server error may have cut the run short of what crashes the target.
            if signal.refusal.is_none() && !parts.status.is_server_error() {
                record_completed(node, sent.request, sent.sent_us);
            }
            if let Some(refusal) = signal.refusal {
                return running.fail(result, refusal);
            }
            let unspent = running.end(result);
            let body = ResponseBody::Buffered(bytes);
            (
                Ok(ForwardedResponse::new(parts.status, parts.headers, body)),
                unspent,
            )
        }
        Ok(Collected::TooLarge(head)) => {
            if let Some(refusal) = signal.refusal {
                return running.fail(result, refusal);
            }
            let elapsed_us = node.timer.now_us().saturating_sub(sent.sent_us);
            let limit = Duration::from_micros(sent.remaining_us.saturating_sub(elapsed_us));
            let stream = StreamedResponse {
                node: Arc::clone(node),
                digest: sent.request.digest(node),
                running,
                connection,
                idle_limit: signal.idle_limit,
            };
            let body = stream_body(head, body, limit, stream, finish_stream);
            // The call still runs and may spend its retry allotment.
            (
                Ok(ForwardedResponse::new(parts.status, parts.headers, body)),
                0,
            )
        }
    }
}

/// Records what the target says about itself in a response.
fn record_signal<P: Policies>(node: &Node<P>, signal: &TargetSignal, sent_us: u64) {
    // Of a late response to another request only a leave counts, which is final.
    if !signal.is_foreign() {
        record_limit(node, signal.limit, sent_us);
    }
    if signal.is_leaving {
        record_leaving_response(node);
    }
}

fn record_limit<P: Policies>(node: &Node<P>, limit: LimitSignal, sent_us: u64) {
    let now_us = node.timer.now_us();
    let changed = node.target.gate().record_limit(limit, sent_us, now_us);
    if let Some(limit_per_s) = changed {
        let age_ms = now_us / 1000;
        event!(
            Event::TargetLimited,
            "limit_per_s={limit_per_s:?} cause=response node_age_ms={age_ms}"
        );
    }
}

/// What a streamed response holds until it ends.
struct StreamedResponse<P: Policies> {
    node: Arc<Node<P>>,
    digest: RequestDigest,
    running: RunningRequest<P>,
    connection: PooledConnection,
    idle_limit: Option<Duration>,
}

fn finish_stream<P: Policies>(stream: StreamedResponse<P>, is_complete: bool) {
    let StreamedResponse { node, digest, .. } = stream;
    if is_complete {
        node.quarantine
            .record_completion(digest, node.timer.now_ms());
        stream.connection.return_to_pool(stream.idle_limit);
        stream.running.end(TargetResult::Completed);
    } else {
        node.quarantine.record_loss(digest, node.timer.now_us());
        drop(stream.connection);
        stream.running.end(TargetResult::Failed);
    }
}
