//! Quota of a node that fetches tokens of fleet-wide buckets ahead of need.

use {
    super::{
        QuotaGate, Rate, TokenOrigin,
        node_quota::{NodeQuota, TakeResult},
    },
    crate::{
        model::{Class, Reason, Refusal, WorkspaceKey},
        timer::Timer,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Upper bound of the retry time sent to a caller over its rate; by then tokens
/// have moved to where the demand is.
const MAX_RETRY_MS: u32 = 1000;
/// Longest wait for tokens: a few round trips to another zone, so that one lost
/// datagram can be resent.
const TOKEN_WAIT_MS: u64 = 40;
/// Retry time when no grant arrived within [`TOKEN_WAIT_MS`].
const NO_GRANT_RETRY_MS: u32 = 200;

/// Admits by tokens that a divider granted. Clones share their state.
#[derive(Debug, Clone)]
pub struct DividedQuota {
    timer: Timer,
    state: Arc<Mutex<NodeQuota>>,
    tokens_needed: Arc<Notify>,
}

impl DividedQuota {
    /// Creates the quota of a node that does not know the fleet yet.
    #[must_use]
    pub fn new(timer: Timer) -> Self {
        let state = NodeQuota::new(timer.now_us());
        Self {
            timer,
            state: Arc::new(Mutex::new(state)),
            tokens_needed: Arc::default(),
        }
    }

    /// Waits until requests need tokens that this node does not hold.
    pub async fn wait_until_tokens_needed(&self) {
        self.tokens_needed.notified().await;
    }

    /// A caller that returned before the shares are in use again would be
    /// refused once more.
    fn idle_for_ms(&self) -> u32 {
        self.lock().idle_for_ms(self.timer.now_us())
    }

    /// The node's tokens.
    pub fn lock(&self) -> MutexGuard<'_, NodeQuota> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl QuotaGate for DividedQuota {
    fn is_ready(&self) -> bool {
        self.lock().is_ready(self.timer.now_us())
    }

    async fn admit(
        &self,
        workspace: WorkspaceKey,
        rate: Rate,
        class: Class,
    ) -> Result<TokenOrigin, Refusal> {
        if rate.rate_per_s == 0 {
            return Ok(TokenOrigin::Untracked);
        }
        let now_us = self.timer.now_us();
        let result = self.lock().take(workspace, rate, class, now_us)?;
        let decision = match result {
            TakeResult::Decided(decision) => decision,
            TakeResult::Waiting(receiver) => {
                self.tokens_needed.notify_one();
                match timeout(Duration::from_millis(TOKEN_WAIT_MS), receiver).await {
                    Ok(Ok(decision)) => decision,
                    // Says nothing about the workspace's rate.
                    Ok(Err(_)) | Err(_) => {
                        let refusal = Refusal::not_run(Reason::QuotaUnavailable);
                        let retry_after_ms = NO_GRANT_RETRY_MS.max(self.idle_for_ms());
                        return Err(refusal.with_retry_after_ms(retry_after_ms));
                    }
                }
            }
        };
        self.lock().count_decision(workspace, decision.is_ok());
        decision.map_err(|retry_after_ms| match self.idle_for_ms() {
            0 => {
                let retry_after_ms = retry_after_ms.min(MAX_RETRY_MS);
                Refusal::not_run(Reason::OverQuota).with_retry_after_ms(retry_after_ms)
            }
            // The workspace may well be within its rate.
            idle_for_ms => {
                Refusal::not_run(Reason::QuotaUnavailable).with_retry_after_ms(idle_for_ms)
            }
        })
    }

    fn refund(&self, workspace: WorkspaceKey, token: TokenOrigin) {
        let now_us = self.timer.now_us();
        self.lock().refund(workspace, token, now_us);
    }
}
