//! Quota by shares of the fleet's nodes, without calls on the request path.

use {
    super::{QuotaGate, Rate, Share, ShareBucket},
    crate::{
        membership::{MemberState, View},
        model::{Reason, Refusal, WorkspaceKey},
        timer::Timer,
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
    },
    tokio::sync::watch,
};

/// Longest time after which a caller over its rate is told to come back; by
/// then shares have moved to where the demand is.
const LONGEST_RETRY_MS: u32 = 1000;

/// Each node admits its share of a workspace's rate; clones share their state.
#[derive(Clone)]
pub struct DividedQuota {
    timer: Timer,
    view: watch::Receiver<Arc<View>>,
    buckets: Arc<Mutex<HashMap<WorkspaceKey, (Share, ShareBucket)>>>,
}

impl DividedQuota {
    /// Quota of a node with these members beside it.
    #[must_use]
    pub fn new(timer: Timer, view: watch::Receiver<Arc<View>>) -> Self {
        Self {
            timer,
            view,
            buckets: Arc::default(),
        }
    }

    fn share(&self, rate: Rate) -> Share {
        let view = self.view.borrow();
        let members = view
            .members
            .iter()
            .filter(|member| member.state != MemberState::Left);
        let part = 1.0 / members.count().max(1) as f64;
        Share {
            rate_per_s: f64::from(rate.rate_per_s) * part,
            burst_count: f64::from(rate.burst_count) * part,
        }
    }
}

impl QuotaGate for DividedQuota {
    async fn admit(&self, workspace: WorkspaceKey, rate: Rate) -> Result<(), Refusal> {
        if rate.rate_per_s == 0 {
            return Ok(());
        }
        let share = self.share(rate);
        let now_us = self.timer.now_us();
        let mut buckets = self.buckets.lock().expect("no holder of the lock panics");
        let (known, bucket) = buckets
            .entry(workspace)
            .or_insert_with(|| (share, ShareBucket::new(share, now_us)));
        if *known != share {
            *known = share;
            bucket.set_share(share, now_us);
        }
        bucket.take(now_us).map_err(|wait_ms| {
            let wait_ms = wait_ms.min(LONGEST_RETRY_MS);
            Refusal::not_run(Reason::OverQuota).with_retry_after_ms(wait_ms)
        })
    }
}
