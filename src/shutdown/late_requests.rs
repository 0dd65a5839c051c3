//! Requests that arrive while the node is being stopped.

use {
    crate::{
        egress::Call,
        model::{Reason, Refusal},
        node::{Node, Policies, RequestKind, TimedRequestKey},
    },
    std::sync::Arc,
};

/// Refuses a request that may not end before the stop does: it would be cut off, and its caller
/// could not tell whether it ran.
///
/// Most requests end long before their deadline, so that the time that similar ones have taken
/// decides as well. If none is known, requests are accepted in the first half of the stop.
pub fn check_time_left<P: Policies>(node: &Node<P>, call: &Call) -> Result<(), Refusal> {
    let Some(stop_us) = node.stop_us() else {
        return Ok(());
    };
    let now_us = node.timer.now_us();
    let left_us = stop_us.saturating_sub(now_us);
    let expected_us = node
        .response_times()
        .longest_us(kind_of(call), now_us)
        .unwrap_or(node.settings.drain_limit_ms * 1000 / 2);
    if call.deadline_us <= stop_us || expected_us < left_us {
        return Ok(());
    }
    let retry_after_ms = u32::try_from(left_us / 1000).unwrap_or(u32::MAX).max(1);
    Err(Refusal::not_run(Reason::Draining).with_retry_after_ms(retry_after_ms))
}

/// Measures the time of a request until dropped.
pub struct RequestTiming<P: Policies> {
    node: Arc<Node<P>>,
    key: TimedRequestKey,
}

impl<P: Policies> RequestTiming<P> {
    /// Begins with the dispatch of the request.
    #[must_use]
    pub fn new(node: &Arc<Node<P>>, call: &Call) -> Self {
        let key = node
            .response_times()
            .begin(kind_of(call), node.timer.now_us());
        Self {
            node: Arc::clone(node),
            key,
        }
    }
}

impl<P: Policies> Drop for RequestTiming<P> {
    fn drop(&mut self) {
        let now_us = self.node.timer.now_us();
        self.node.response_times().end(self.key, now_us);
    }
}

const fn kind_of(call: &Call) -> RequestKind {
    RequestKind {
        service: call.service,
        class: call.class,
    }
}
