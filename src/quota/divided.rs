//! Quota of a node by its share of the fleet's rates, without calls on the
//! request path.

use {
    super::{Demand, LEASE_US, QuotaGate, Rate, Rates, Share, ShareBucket},
    crate::{
        model::{CLASS_COUNT, Class, Names, Reason, Refusal, WorkspaceKey},
        timer::Timer,
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// Longest time after which a caller over its rate is told to come back; by
/// then shares have moved to where the demand is.
const LONGEST_RETRY_MS: u32 = 1000;
/// When to come back to a node that does not know the fleet yet: about the time
/// that its first read of the store takes.
const NOT_READY_RETRY_MS: u32 = 200;

/// Level of its bucket, as a part of the burst, below which a workspace's
/// requests of each class are refused, from the first to be shed to the last. A workspace's own reads would otherwise
/// use up the rate that its orders need.
const RESERVED_RATIOS: [f64; CLASS_COUNT] = [0.3, 0.15, 0.0];

/// A share that a divider granted.
#[derive(Debug, Clone, Copy)]
struct Grant {
    share: Share,
    until_us: u64,
}

#[derive(Debug)]
struct Account {
    rate: Rate,
    grant: Option<Grant>,
    bucket: ShareBucket,
    demand: Demand,
}

#[derive(Debug)]
struct State {
    /// `None` until the size of the fleet is known.
    member_count: Option<usize>,
    accounts: HashMap<WorkspaceKey, Account>,
}

/// Each node admits its share of a workspace's rate; clones share their state.
#[derive(Debug, Clone)]
pub struct DividedQuota {
    timer: Timer,
    state: Arc<Mutex<State>>,
}

impl DividedQuota {
    /// Quota of a node that does not know the fleet yet. It admits nothing: a
    /// fleet that was killed as a whole would otherwise admit each rate once
    /// for every node.
    #[must_use]
    pub fn new(timer: Timer) -> Self {
        let state = State {
            member_count: None,
            accounts: HashMap::new(),
        };
        Self {
            timer,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Sets how many nodes share each rate.
    pub fn set_member_count(&self, member_count: usize) {
        self.lock().member_count = Some(member_count.max(1));
    }

    /// Nodes that share each rate.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.lock().member_count.unwrap_or(1)
    }

    /// Ends a period; demand for each workspace, by name.
    #[must_use]
    pub fn end_period(&self, period_ms: u64, names: &Names) -> HashMap<String, f64> {
        let mut state = self.lock();
        let accounts = state.accounts.iter_mut();
        accounts
            .map(|(workspace, account)| {
                let demand_per_s = account.demand.end_period(period_ms);
                (names.workspace_name(*workspace), demand_per_s)
            })
            .collect()
    }

    /// A divider granted a share in reply to a report that was sent then.
    ///
    /// A reply to an earlier process at this address names a time on that
    /// process's clock, which this one has yet to reach. Believed, it would
    /// hold long after the share was granted to others.
    pub fn granted(&self, workspace: WorkspaceKey, share: Share, sent_us: u64) {
        let now_us = self.timer.now_us();
        if sent_us > now_us {
            return;
        }
        if let Some(account) = self.lock().accounts.get_mut(&workspace) {
            account.grant = Some(Grant {
                share,
                until_us: sent_us + LEASE_US,
            });
            account.bucket.set_share(share, now_us);
        }
    }

    /// Follows changed rates; a lower one binds at once, before the next grant.
    pub fn set_rates(&self, rates: &Rates) {
        let now_us = self.timer.now_us();
        let mut state = self.lock();
        let member_count = state.member_count.unwrap_or(1);
        state
            .accounts
            .retain(|workspace, _| rates.contains_key(workspace));
        for (workspace, account) in &mut state.accounts {
            let Some(rate) = rates.get(workspace).filter(|rate| **rate != account.rate) else {
                continue;
            };
            account.rate = *rate;
            account.grant = None;
            let share = even_share(*rate, member_count);
            account.bucket.set_share(share, now_us);
        }
    }

    fn take(
        &self,
        workspace: WorkspaceKey,
        rate: Rate,
        class: Class,
        now_us: u64,
    ) -> Result<(), Refusal> {
        let mut state = self.lock();
        let Some(member_count) = state.member_count else {
            let refusal = Refusal::not_run(Reason::NotReady);
            return Err(refusal.with_retry_after_ms(NOT_READY_RETRY_MS));
        };
        let even = even_share(rate, member_count);
        let account = state.accounts.entry(workspace).or_insert_with(|| Account {
            rate,
            grant: None,
            bucket: ShareBucket::new(even, now_us),
            demand: Demand::default(),
        });
        account.demand.count();
        if account.grant.is_some_and(|grant| now_us >= grant.until_us) {
            account.grant = None;
        }
        let share = account.grant.map_or(even, |grant| grant.share);
        account.bucket.set_share(share, now_us);
        let taken = account.bucket.take(RESERVED_RATIOS[class.index()], now_us);
        taken.map_err(|wait_ms| {
            let wait_ms = wait_ms.min(LONGEST_RETRY_MS);
            Refusal::not_run(Reason::OverQuota).with_retry_after_ms(wait_ms)
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl QuotaGate for DividedQuota {
    fn is_ready(&self) -> bool {
        self.lock().member_count.is_some()
    }

    async fn admit(
        &self,
        workspace: WorkspaceKey,
        rate: Rate,
        class: Class,
    ) -> Result<(), Refusal> {
        if rate.rate_per_s == 0 {
            return Ok(());
        }
        let now_us = self.timer.now_us();
        self.take(workspace, rate, class, now_us)
    }
}

fn even_share(rate: Rate, member_count: usize) -> Share {
    Share::of(rate, 1.0 / member_count.max(1) as f64)
}
