//! A request at the node of its target: admission, exchange, end.

use {
    super::{
        Lease, TargetAnswer, exchange,
        passage::{check_gate, pass_gate},
    },
    crate::{
        admission::{Arrival, LoadReport, TargetResult},
        event,
        events::Event,
        exchange::{Answer, AnswerBody, Collected, Outbound, collect, pump},
        model::{
            Class, MAX_DEPTH, Outcome, Reason, Refusal, RequestContext, ServiceKey, WorkspaceKey,
            begins_chain,
        },
        node::{CallHandle, InFlightCall, Node, Policies, Ticket, admit},
        retry::RetryPolicy,
    },
    std::{sync::Arc, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// When callers that were held back may come: shares move within a second; the
/// width spreads them.
const HELD_BACK_RETRY_MS: (u32, u32) = (400, 800);

/// A request that the target works on. Dropping it cancels everything below.
struct Running<P: Policies> {
    ticket: Ticket<P>,
    call: CallHandle<P>,
    /// Class of a request that begins a chain.
    new_class: Option<Class>,
    _used: UsedTime<P>,
}

/// The time in which a request runs, noted when it ends.
struct UsedTime<P: Policies> {
    node: Arc<Node<P>>,
    new_class: Option<Class>,
    begun_us: u64,
}

impl<P: Policies> UsedTime<P> {
    fn new(node: &Arc<Node<P>>, new_class: Option<Class>) -> Self {
        Self {
            node: Arc::clone(node),
            new_class,
            begun_us: node.timer.now_us(),
        }
    }
}

impl<P: Policies> Drop for UsedTime<P> {
    fn drop(&mut self) {
        let run_us = self.node.timer.now_us().saturating_sub(self.begun_us);
        self.node.downstream().relief.end(self.new_class, run_us);
    }
}

impl<P: Policies> Running<P> {
    /// Ends the request; returns the allotment that is left.
    fn end(self, result: TargetResult) -> u8 {
        let rest = self.call.end();
        self.ticket.end(result);
        rest.unspent
    }

    /// Ends the request by a refusal, which is marked if a child failed for
    /// good: repeating it higher up would multiply the child's retries.
    fn fail(self, result: TargetResult, refusal: Refusal) -> (Result<Answer, Refusal>, u8) {
        let rest = self.call.end();
        self.ticket.end(result);
        let exhausted = refusal.exhausted || rest.is_exhausted;
        let refusal = Refusal {
            exhausted,
            ..refusal
        };
        (Err(refusal), rest.unspent)
    }
}

/// Serves a request at the own target; returns the answer and the retry
/// allotment that is left.
pub async fn serve_local<P: Policies>(
    node: &Arc<Node<P>>,
    context: &RequestContext,
    outbound: &Outbound,
) -> (Result<Answer, Refusal>, u8) {
    let end = serve(node, context, outbound).await;
    if let Err(refusal) = &end.0 {
        log_refused(node, context, *refusal);
    }
    end
}

fn log_refused<P: Policies>(node: &Node<P>, context: &RequestContext, refusal: Refusal) {
    let (running, waiting) = node.admission().counts();
    let (share, below) = {
        let downstream = node.downstream();
        (downstream.share(context.class), downstream.load_percent())
    };
    let (id, class) = (context.request_id, context.class.name());
    let (outcome, reason) = (refusal.outcome.name(), refusal.reason);
    let remaining_ms = context.remaining_us / 1000;
    event!(
        Event::AttemptRefused,
        "request={id} class={class} outcome={outcome} reason={reason} running={running} waiting={waiting} share={share:.2} below_percent={below} remaining_ms={remaining_ms}"
    );
}

async fn serve<P: Policies>(
    node: &Arc<Node<P>>,
    context: &RequestContext,
    outbound: &Outbound,
) -> (Result<Answer, Refusal>, u8) {
    let refused = |refusal| (Err(refusal), context.retry_allotment);
    if context.depth > MAX_DEPTH {
        return refused(Refusal::not_run(Reason::TooDeep));
    }
    if !serves(node, context.service) {
        return refused(Refusal::not_run(Reason::NoTarget));
    }
    // The sender may hold an older configuration.
    let regions = node.regions_of(context.workspace, outbound);
    if !regions.allows(node.region) {
        return refused(Refusal::not_run(Reason::OutsideRegions));
    }
    // Calls of the target could not be routed, and the request would fail after
    // it has run.
    if node.running().revision == 0 {
        return refused(Refusal::not_run(Reason::NotReady));
    }
    if is_revoked(node, context) {
        return refused(Refusal::not_run(Reason::RevokedKey));
    }
    let new_class = begins_chain(context.depth, context.key).then_some(context.class);
    if let Some(refusal) = held_back(node, context.workspace, new_class) {
        return refused(refusal);
    }
    if let Err(refusal) = check_gate(node, context) {
        return refused(refusal);
    }
    let deadline_us = node.timer.now_us() + context.remaining_us;
    let arrival = Arrival {
        class: context.class,
        workspace: context.workspace,
        deadline_us,
    };
    let ticket = match admit(node, arrival).await {
        Ok(ticket) => ticket,
        Err(refusal) => return refused(refusal),
    };
    // Revoked while the request waited: a long queue would otherwise work for
    // the key's holder long after the operator was told that it is dead.
    if is_revoked(node, context) {
        return refused(Refusal::not_run(Reason::RevokedKey));
    }
    let remaining_us = deadline_us.saturating_sub(node.timer.now_us());
    if remaining_us == 0 {
        return refused(Refusal::not_run(Reason::TooLate));
    }
    let call = CallHandle::new(node, in_flight_call(node, context, deadline_us));
    let running = Running {
        ticket,
        call,
        new_class,
        _used: UsedTime::new(node, new_class),
    };
    let work = work(node, context, running, outbound, remaining_us);
    let limit = Duration::from_micros(remaining_us);
    match tokio::time::timeout(limit, work).await {
        Ok(end) => end,
        Err(_) => (Err(Refusal::unknown(Reason::DeadlineExceeded)), 0),
    }
}

/// Refuses a new request while the calls of those before it fail: its own would
/// be lost as well, after work at every service above. Calls of requests that
/// have begun pass.
fn held_back<P: Policies>(
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
    downstream.relief.arrive(new_class, now_us);
    let ranked = new_class?.within(workspace_class);
    if downstream.admits(new_class?, ranked, rand::random(), now_us) {
        return None;
    }
    drop(downstream);
    let (least_ms, width_ms) = HELD_BACK_RETRY_MS;
    let retry_after_ms = least_ms + rand::random::<u32>() % width_ms;
    let refusal = Refusal::not_run(Reason::Overloaded).with_retry_after_ms(retry_after_ms);
    // Another target of the service would meet the same services below.
    Some(refusal.with_exhausted())
}

/// Whether the own target serves the service.
///
/// The sender may know this address from an instance that is gone and whose
/// address was given to another one. Its target would run an order that was
/// meant for another service.
fn serves<P: Policies>(node: &Node<P>, service: ServiceKey) -> bool {
    let own = node.own_state.borrow();
    own.target
        .as_ref()
        .is_some_and(|target| node.names.service(&target.service) == service)
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
        depth: context.depth,
        retry: node.retries().open(context.retry_allotment),
        over: CancellationToken::new(),
        is_exhausted: false,
    }
}

async fn work<P: Policies>(
    node: &Arc<Node<P>>,
    context: &RequestContext,
    running: Running<P>,
    outbound: &Outbound,
    remaining_us: u64,
) -> (Result<Answer, Refusal>, u8) {
    let handle = running.call.handle();
    let remaining_ms = remaining_us / 1000;
    let pass = || pass_gate(node, context);
    let sent = exchange(
        &node.dialect,
        &node.target,
        handle,
        outbound,
        remaining_ms,
        pass,
    )
    .await;
    match sent {
        Err(refusal) => running.fail(TargetResult::Failed, refusal),
        Ok(answer) => deliver(node, running, answer, remaining_us).await,
    }
}

async fn deliver<P: Policies>(
    node: &Node<P>,
    running: Running<P>,
    answer: TargetAnswer,
    remaining_us: u64,
) -> (Result<Answer, Refusal>, u8) {
    let TargetAnswer {
        response,
        lease,
        word,
    } = answer;
    if let Some(busy_ratio) = word.busy_ratio {
        let received_us = node.timer.now_us();
        node.admission().report(LoadReport {
            busy_ratio,
            received_us,
        });
    }
    if let Some(refusal) = word
        .refusal
        .filter(|refusal| refusal.outcome != Outcome::NotRun)
    {
        return running.fail(TargetResult::Failed, refusal);
    }
    let (parts, mut body) = response.into_parts();
    let result = if word.is_shed {
        TargetResult::Shed
    } else {
        TargetResult::Answered
    };
    if let Some(class) = running.new_class.filter(|_| word.refusal.is_none()) {
        let has_failed = parts.status.is_server_error();
        node.downstream().note_end(class, has_failed);
    }
    match collect(&mut body, node.settings.buffered_answer_bytes).await {
        Err(_) => running.fail(TargetResult::Failed, Refusal::unknown(Reason::BadAnswer)),
        Ok(Collected::Whole(bytes)) => {
            lease.keep(word.idle_limit);
            if let Some(refusal) = word.refusal {
                return running.fail(result, refusal);
            }
            let unspent = running.end(result);
            let body = AnswerBody::whole(bytes);
            (Ok(Answer::new(parts.status, parts.headers, body)), unspent)
        }
        Ok(Collected::Larger(head)) => {
            let limit = Duration::from_micros(remaining_us);
            let guard = Stream {
                running,
                lease,
                idle_limit: word.idle_limit,
            };
            let body = pump(head, body, limit, guard, end_stream);
            // The call still runs and may spend its allotment.
            (Ok(Answer::new(parts.status, parts.headers, body)), 0)
        }
    }
}

/// What a streamed answer holds until its end.
struct Stream<P: Policies> {
    running: Running<P>,
    lease: Lease,
    idle_limit: Option<Duration>,
}

fn end_stream<P: Policies>(stream: Stream<P>, is_whole: bool) {
    if is_whole {
        stream.lease.keep(stream.idle_limit);
        stream.running.end(TargetResult::Answered);
    } else {
        drop(stream.lease);
        stream.running.end(TargetResult::Failed);
    }
}
