//! A request that runs at the local target.

use {
    crate::{
        admission::TargetResult,
        exchange::ForwardedResponse,
        model::{Class, Refusal},
        node::{CallHandle, InFlightCall, Node, Policies, Ticket},
    },
    std::sync::Arc,
};

/// A request that runs at the target. Dropping it cancels its downstream calls.
pub struct RunningRequest<P: Policies> {
    ticket: Ticket<P>,
    call: CallHandle<P>,
    new_class: Option<Class>,
    _run_time: RunTimeRecorder<P>,
}

/// Records the run time of a request when dropped.
struct RunTimeRecorder<P: Policies> {
    node: Arc<Node<P>>,
    new_class: Option<Class>,
    started_us: u64,
}

impl<P: Policies> RunTimeRecorder<P> {
    fn new(node: &Arc<Node<P>>, new_class: Option<Class>) -> Self {
        Self {
            node: Arc::clone(node),
            new_class,
            started_us: node.timer.now_us(),
        }
    }
}

impl<P: Policies> Drop for RunTimeRecorder<P> {
    fn drop(&mut self) {
        let now_us = self.node.timer.now_us();
        let run_us = now_us.saturating_sub(self.started_us);
        self.node
            .downstream()
            .record_run(self.new_class, run_us, now_us);
    }
}

impl<P: Policies> RunningRequest<P> {
    /// A request that was admitted.
    pub fn new(
        node: &Arc<Node<P>>,
        ticket: Ticket<P>,
        call: InFlightCall,
        new_class: Option<Class>,
    ) -> Self {
        Self {
            ticket,
            call: CallHandle::new(node, call),
            new_class,
            _run_time: RunTimeRecorder::new(node, new_class),
        }
    }

    /// Handle of its call, which is sent to the target.
    pub const fn handle(&self) -> u128 {
        self.call.handle()
    }

    /// Class of a request that starts a call chain.
    pub const fn new_class(&self) -> Option<Class> {
        self.new_class
    }

    /// Completes the request; returns the unspent retry allotment.
    pub fn end(self, result: TargetResult) -> u8 {
        let remainder = self.call.end();
        self.ticket.end(result);
        remainder.unspent
    }

    /// Completes the request with a refusal, marked as exhausted if a child call
    /// exhausted its retries: retrying further up would multiply those retries.
    pub fn fail(
        self,
        result: TargetResult,
        refusal: Refusal,
    ) -> (Result<ForwardedResponse, Refusal>, u8) {
        let remainder = self.call.end();
        self.ticket.end(result);
        let exhausted = refusal.exhausted || remainder.is_exhausted;
        let refusal = Refusal {
            exhausted,
            ..refusal
        };
        (Err(refusal), remainder.unspent)
    }
}
