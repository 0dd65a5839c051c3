//! Reserves a retry for a call whose attempts wait for silent nodes.

use {
    super::{
        Call,
        attempt::{Destination, TargetAttempt},
        attempts::{log_denial, log_retry, spend_retry},
        retry_rules::RetryDenial,
    },
    crate::{
        exchange::OutboundRequest,
        node::{Node, Policies},
        retry::RetryPolicy,
        routing::TargetKey,
    },
    std::sync::Arc,
};

/// Time between two checks whether a retry has become possible.
const RETRY_CHECK_MS: u64 = 50;
/// Reason in log lines of retries beside an unanswered attempt.
const SILENT_REASON: &str = "node-silent";

/// A call with attempts that have not ended.
pub struct SilentCall<'a, 'c, P: Policies> {
    /// This node.
    pub node: &'a Arc<Node<P>>,
    /// The call.
    pub call: &'a Call,
    /// Its request.
    pub outbound: &'a OutboundRequest,
    /// Where its running attempts go.
    pub destinations: &'c [Destination],
    /// Targets of all its attempts.
    pub tried: &'c [TargetKey],
}

impl<'a, P: Policies> SilentCall<'a, '_, P> {
    /// Waits until the nodes of all running attempts are silent and a retry is possible;
    /// spends its budget.
    ///
    /// The target that a retry needs may become available only later: another node responds
    /// again, or its drain is cancelled.
    pub async fn reserve_retry(&self) -> TargetAttempt<'a, P> {
        for destination in self.destinations {
            destination.wait_until_silent().await;
        }
        let mut checks = self.node.timer.subscribe(RETRY_CHECK_MS);
        let mut last_denial = None;
        while checks.next().await.is_some() {
            if !self.are_nodes_silent() {
                continue;
            }
            let denial = match self.try_reserve() {
                Ok(attempt) => {
                    log_retry(self.call, SILENT_REASON, self.tried.len());
                    return attempt;
                }
                Err(denial) => Some(denial),
            };
            if let Some(denial) = denial.filter(|_| denial != last_denial) {
                log_denial(self.call, SILENT_REASON, denial, self.tried.len());
            }
            last_denial = denial;
        }
        // The node stops, and the running attempts with it.
        std::future::pending().await
    }

    fn are_nodes_silent(&self) -> bool {
        let routes = self.node.routes();
        let mut targets = self.destinations.iter().map(Destination::target);
        targets.all(|target| routes.is_silent(target))
    }

    fn has_running_attempt_at(&self, target: TargetKey) -> bool {
        let mut destinations = self.destinations.iter();
        destinations.any(|destination| destination.target() == target)
    }

    fn try_reserve(&self) -> Result<TargetAttempt<'a, P>, RetryDenial> {
        let call = self.call;
        let now_us = self.node.timer.now_us();
        // Checked before a target is picked: a pick may be the only request that a service
        // gets while all its targets shed.
        self.node
            .retries()
            .check_retry(call.retry, call.service, now_us)?;
        let attempt = TargetAttempt::pick(self.node, call, self.outbound, self.tried)
            .map_err(|_| RetryDenial::NoTarget)?;
        // Its node may have responded since it was checked, and the running attempt with it.
        if self.has_running_attempt_at(attempt.target()) {
            return Err(RetryDenial::NoTarget);
        }
        spend_retry(self.node, call, now_us)?;
        Ok(attempt)
    }
}
