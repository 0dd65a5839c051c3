//! Sends a call, and retries it within the retry budget.

use {
    super::{
        Call,
        attempt::TargetAttempt,
        retry_rules::{AttemptHistory, RetryDenial, RetryKind},
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
    std::{sync::Arc, time::Duration},
};

/// Time before a retry after a crash. Reports of the crash reach the other nodes meanwhile;
/// without them the request could crash one target after another.
const CRASH_RETRY_DELAY: Duration = Duration::from_millis(50);

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

fn log_pick_failure(call: &Call, refusal: Refusal, tried_count: usize) {
    if !refusal.exhausted {
        return;
    }
    let (id, reason) = (call.request_id, refusal.reason);
    event!(Event::RouteRefused, "request={id} reason={reason}");
    if tried_count > 0 {
        log_denial(call, refusal, RetryDenial::NoTarget, tried_count);
    }
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
    match TargetAttempt::pick(node, call, outbound, tried) {
        Ok(attempt) => {
            tried.push(attempt.target());
            attempt.send().await
        }
        Err(refusal) => {
            log_pick_failure(call, refusal, tried.len());
            Err(refusal)
        }
    }
}
