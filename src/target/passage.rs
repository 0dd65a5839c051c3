//! Requests at the send gate of their target.

use {
    super::{GateClosed, Urgency},
    crate::{
        model::{Reason, Refusal, RequestContext, ServiceKey, begins_chain},
        node::{Node, Policies},
    },
};

/// When callers may come who were not let through, where no time is known.
const CLOSED_RETRY_MS: u32 = 500;
/// Time over which those are spread who wait until a target is warm or a zone is
/// no longer evacuated.
const CLOSED_RETRY_WIDTH_MS: u32 = 1000;

/// Refuses at once what could not be sent anyway.
pub fn check_gate<P: Policies>(node: &Node<P>, context: &RequestContext) -> Result<(), Refusal> {
    let (urgency, bound_count) = (urgency(context), cold_bound(node, context.service));
    let now_us = node.timer.now_us();
    let checked = node.target.gate().check(urgency, bound_count, now_us);
    checked.map_err(refusal_of)
}

/// Lets a request pass that is sent at this moment.
pub fn pass_gate<P: Policies>(node: &Node<P>, context: &RequestContext) -> Result<(), Refusal> {
    let (urgency, bound_count) = (urgency(context), cold_bound(node, context.service));
    let now_us = node.timer.now_us();
    let passed = node.target.gate().pass(urgency, bound_count, now_us);
    passed.map_err(refusal_of)
}

fn urgency(context: &RequestContext) -> Urgency {
    match begins_chain(context.depth, context.key) {
        true => Urgency::New(context.class),
        false => Urgency::Begun,
    }
}

/// Requests that a cold target of the service may get in any second; 0 without
/// a bound.
fn cold_bound<P: Policies>(node: &Node<P>, service: ServiceKey) -> u32 {
    let running = node.running();
    let rate_per_s = running.cold_rates_per_s.get(&service);
    rate_per_s.map_or(0, |rate_per_s| {
        (rate_per_s.saturating_mul(node.settings.cold_percent) / 100).max(1)
    })
}

fn refusal_of(closed: GateClosed) -> Refusal {
    let spread_ms = rand::random::<u32>() % CLOSED_RETRY_WIDTH_MS;
    let (reason, least_ms) = match closed {
        GateClosed::Evacuated => (Reason::ZoneEvacuated, CLOSED_RETRY_MS),
        GateClosed::Cold { left_us } => {
            let left_ms = left_us.and_then(|left_us| u32::try_from(left_us / 1000).ok());
            (Reason::TargetCold, left_ms.unwrap_or(CLOSED_RETRY_MS))
        }
    };
    Refusal::not_run(reason).with_retry_after_ms(least_ms + spread_ms)
}
