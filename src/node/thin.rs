//! Plain policies that serve as baselines.

use {
    crate::{
        model::{Reason, Refusal, WorkspaceKey},
        quota::{QuotaGate, Rate},
        timer::Timer,
    },
    std::{collections::HashMap, sync::Mutex},
};

/// A token bucket per workspace on this node alone.
#[derive(Debug)]
pub struct LocalQuota {
    timer: Timer,
    buckets: Mutex<HashMap<WorkspaceKey, Bucket>>,
}

/// Thousandths of tokens, so that small rates accrue between requests.
#[derive(Debug)]
struct Bucket {
    milli_tokens: u64,
    filled_us: u64,
}

const MILLI_TOKENS: u64 = 1000;

impl LocalQuota {
    /// Full buckets.
    #[must_use]
    pub fn new(timer: Timer) -> Self {
        Self {
            timer,
            buckets: Mutex::default(),
        }
    }

    fn take(&self, workspace: WorkspaceKey, rate: Rate, now_us: u64) -> Result<(), Refusal> {
        let full = u64::from(rate.burst_count) * MILLI_TOKENS;
        let rate_per_s = u64::from(rate.rate_per_s);
        let mut buckets = self.buckets.lock().expect("lock is not poisoned");
        let bucket = buckets.entry(workspace).or_insert(Bucket {
            milli_tokens: full,
            filled_us: now_us,
        });
        let gained = now_us.saturating_sub(bucket.filled_us) * rate_per_s / 1000;
        if gained > 0 {
            bucket.milli_tokens = (bucket.milli_tokens + gained).min(full);
            bucket.filled_us = now_us;
        }
        if bucket.milli_tokens >= MILLI_TOKENS {
            bucket.milli_tokens -= MILLI_TOKENS;
            return Ok(());
        }
        let missing = MILLI_TOKENS - bucket.milli_tokens;
        let wait_ms = missing.checked_div(rate_per_s).unwrap_or(1000) + 1;
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        Err(Refusal::not_run(Reason::OverQuota).with_retry_after_ms(wait_ms))
    }
}

impl QuotaGate for LocalQuota {
    async fn admit(&self, workspace: WorkspaceKey, rate: Rate) -> Result<(), Refusal> {
        self.take(workspace, rate, self.timer.now_us())
    }
}
