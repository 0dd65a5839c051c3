//! Sends a call, and retries it within the retry budget.

use {
    super::{
        Call,
        attempt::{Destination, TargetAttempt},
        retry_rules::{AttemptHistory, RetryDenial, RetryKind},
        silent_call::SilentCall,
    },
    crate::{
        event,
        events::Event,
        exchange::{ForwardedResponse, OutboundRequest},
        model::Refusal,
        node::{Node, Policies},
        retry::RetryPolicy,
        routing::TargetKey,
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::{sync::Arc, time::Duration},
};

/// Time before a retry after a crash. Reports of the crash reach the other nodes meanwhile;
/// without them the request could crash one target after another.
const CRASH_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends a call until it completes or the refusal, deadline or budget allows no retry.
///
/// An attempt at a silent node is not given up for a retry: the retry runs beside it, and
/// the first response is returned. The retry may fail, or there may be none, while the
/// silent node responds after all.
pub async fn run_attempts<P: Policies>(
    node: &Arc<Node<P>>,
    call: &Call,
    outbound: &OutboundRequest,
) -> Result<ForwardedResponse, Refusal> {
    let mut history = AttemptHistory::new();
    let mut tried = Vec::new();
    let mut running = FuturesUnordered::new();
    let mut destinations: Vec<Destination> = Vec::new();
    let mut may_retry_silent = call.repeatable;
    let mut next = Some(pick(node, call, outbound, &tried)?);
    loop {
        if let Some(attempt) = next.take() {
            let destination = attempt.destination();
            let target = destination.target();
            tried.push(target);
            destinations.push(destination);
            running.push(async move { (target, attempt.send().await) });
        }
        let silent_call = SilentCall {
            node,
            call,
            outbound,
            destinations: &destinations,
            tried: &tried,
        };
        let (target, result) = tokio::select! {
            biased;
            Some(ended) = running.next() => ended,
            retry = silent_call.reserve_retry(), if may_retry_silent => {
                next = Some(retry);
                continue;
            }
        };
        destinations.retain(|destination| destination.target() != target);
        let refusal = match result {
            Ok(response) => return Ok(response),
            Err(refusal) => history.record(refusal, running.is_empty()),
        };
        if !running.is_empty() {
            may_retry_silent &= matches!(
                history.decide(call, refusal, node.timer.now_us()),
                Ok(RetryKind::Free | RetryKind::Budgeted)
            );
            continue;
        }
        if let Err(denial) = prepare_retry(node, call, &mut history, refusal).await {
            log_denial(call, refusal.reason.name(), denial, tried.len());
            return Err(match denial.is_exhausted() {
                true => refusal.with_exhausted(),
                false => refusal,
            });
        }
        let picked = pick(node, call, outbound, &tried);
        next = Some(picked.map_err(|refusal| history.record(refusal, true))?);
    }
}

/// Picks a target; logs why there is none.
fn pick<'a, P: Policies>(
    node: &'a Arc<Node<P>>,
    call: &'a Call,
    outbound: &'a OutboundRequest,
    tried: &[TargetKey],
) -> Result<TargetAttempt<'a, P>, Refusal> {
    TargetAttempt::pick(node, call, outbound, tried).inspect_err(|refusal| {
        if !refusal.exhausted {
            return;
        }
        let (id, reason) = (call.request_id, refusal.reason);
        event!(Event::RouteRefused, "request={id} reason={reason}");
        if !tried.is_empty() {
            log_denial(call, reason.name(), RetryDenial::NoTarget, tried.len());
        }
    })
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
    log_retry(call, refusal.reason.name(), history.failed_count());
    Ok(())
}

/// Spends the budget of one retry; fails if none is left.
pub fn spend_retry<P: Policies>(
    node: &Node<P>,
    call: &Call,
    now_us: u64,
) -> Result<(), RetryDenial> {
    let mut retries = node.retries();
    retries.check_retry(call.retry, call.service, now_us)?;
    retries.try_retry(call.retry, call.service, now_us);
    node.metrics.retries.inc();
    Ok(())
}

/// Logs that a retry was made, and why.
pub fn log_retry(call: &Call, reason: &str, tried_count: usize) {
    let id = call.request_id;
    event!(
        Event::RequestRetried,
        "request={id} reason={reason} tried={tried_count}"
    );
}

/// Logs that no retry was made, and why, unless a retry could not have helped.
pub fn log_denial(call: &Call, reason: &str, denial: RetryDenial, tried_count: usize) {
    if denial == RetryDenial::Final {
        return;
    }
    let (id, why) = (call.request_id, denial.name());
    event!(
        Event::RetryDenied,
        "request={id} reason={reason} denied={why} tried={tried_count}"
    );
}
