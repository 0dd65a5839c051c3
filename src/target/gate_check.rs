//! Applies the send gate of the local target to requests.

use {
    super::{GateClosed, Priority},
    crate::{
        event,
        events::Event,
        model::{Reason, Refusal, RequestContext, ServiceKey, begins_chain},
        node::{Node, Policies},
    },
};

/// Retry delay of refused callers if the time until the gate opens is unknown.
const GATE_RETRY_AFTER_MS: u32 = 500;
/// Random addition to the retry delay. It spreads callers that wait for a target to
/// warm up or for an evacuation to end.
const GATE_RETRY_JITTER_MS: u32 = 1000;

/// Refuses a request early if it could not be sent now.
pub fn check_gate<P: Policies>(node: &Node<P>, context: &RequestContext) -> Result<(), Refusal> {
    let (priority, cold_limit_per_s) = (priority(context), cold_limit_per_s(node, context.service));
    let now_us = node.timer.now_us();
    let checked = node.target.gate().check(priority, cold_limit_per_s, now_us);
    checked.map_err(to_refusal)
}

/// Checks and counts a request, admitted at `admitted_us`, that is sent immediately afterwards.
pub fn try_pass_gate<P: Policies>(
    node: &Node<P>,
    context: &RequestContext,
    admitted_us: u64,
) -> Result<(), Refusal> {
    let (priority, cold_limit_per_s) = (priority(context), cold_limit_per_s(node, context.service));
    let now_us = node.timer.now_us();
    check_drain(node, context, admitted_us, now_us)?;
    let passed = node
        .target
        .gate()
        .try_pass(priority, cold_limit_per_s, now_us);
    passed.map_err(to_refusal)
}

/// Refuses a request that was admitted in time but waited for a connection until after the end of
/// the drain.
fn check_drain<P: Policies>(
    node: &Node<P>,
    context: &RequestContext,
    admitted_us: u64,
    now_us: u64,
) -> Result<(), Refusal> {
    let drain = node.admission().drain_in_progress();
    let Some(drain) = drain.filter(|drain| !drain.accepts_arrivals(now_us)) else {
        return Ok(());
    };
    if !drain.allows_starts(now_us) {
        return Err(Refusal::not_run(Reason::Draining));
    }
    let (id, since_leave_ms) = (context.request_id, drain.age_us(now_us) / 1000);
    let since_admission_ms = now_us.saturating_sub(admitted_us) / 1000;
    event!(
        Event::LeavingTargetUsed,
        "request={id} since_leave_ms={since_leave_ms} since_admission_ms={since_admission_ms}"
    );
    Ok(())
}

fn priority(context: &RequestContext) -> Priority {
    match begins_chain(context.depth, context.key) {
        true => Priority::NewChain(context.class),
        false => Priority::ChainInProgress,
    }
}

/// Requests that a cold target of the service may receive in any second; 0:
/// unlimited.
fn cold_limit_per_s<P: Policies>(node: &Node<P>, service: ServiceKey) -> u32 {
    let running = node.running();
    let rate_per_s = running.cold_rates_per_s.get(&service);
    rate_per_s.map_or(0, |rate_per_s| {
        (rate_per_s.saturating_mul(node.settings.cold_percent) / 100).max(1)
    })
}

fn to_refusal(gate_closed: GateClosed) -> Refusal {
    let jitter_ms = rand::random::<u32>() % GATE_RETRY_JITTER_MS;
    let (reason, retry_after_ms) = match gate_closed {
        GateClosed::Evacuated => (Reason::ZoneEvacuated, GATE_RETRY_AFTER_MS),
        GateClosed::Limited { left_us } => {
            let left_ms = u32::try_from(left_us / 1000).unwrap_or(u32::MAX);
            (Reason::TargetLimited, left_ms)
        }
        GateClosed::Cold { left_us } => {
            let left_ms = left_us.and_then(|left_us| u32::try_from(left_us / 1000).ok());
            (Reason::TargetCold, left_ms.unwrap_or(GATE_RETRY_AFTER_MS))
        }
    };
    Refusal::not_run(reason).with_retry_after_ms(retry_after_ms + jitter_ms)
}
