//! Quota of a node by tokens of the fleet's buckets, fetched ahead of need.

use {
    super::{
        LEASE_US, QuotaGate, Rate, Rates, RefillBucket, TokenGrant, TokenNeed,
        holding::{TokenDecision, TokenHoldings},
    },
    crate::{
        model::{Class, Names, Reason, Refusal, WorkspaceKey},
        timer::Timer,
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot},
        time::timeout,
    },
};

/// Longest time after which a caller over its rate is told to come back; by
/// then tokens have moved to where the demand is.
const LONGEST_RETRY_MS: u32 = 1000;
/// When to come back to a node that does not know the fleet yet: about the time
/// that its first read of the store takes.
const NOT_READY_RETRY_MS: u32 = 200;
/// Longest wait for tokens: a few ways to another zone and back, so that one
/// lost datagram is made up for.
const TOKEN_WAIT_MS: u64 = 40;
/// Time from when the fleet is known in which a new process waits for its first
/// grant before it admits by its even share, in microseconds: a few reports.
const FIRST_GRANT_US: u64 = 500_000;
/// When to come back if no word on tokens came in that time.
const SILENT_RETRY_MS: u32 = 200;

#[derive(Debug)]
struct Account {
    rate: Rate,
    holding: TokenHoldings,
    /// The node's own even share, for when it reaches no divider.
    even: RefillBucket,
}

#[derive(Debug)]
struct State {
    /// `None` until the size of the fleet is known.
    member_count: Option<usize>,
    /// Until when the node's shares are lent to a divider, or about to be.
    lent_until_us: u64,
    accounts: HashMap<WorkspaceKey, Account>,
}

/// What became of a request at once.
enum Taken {
    Now(TokenDecision),
    Waits(oneshot::Receiver<TokenDecision>),
}

/// Each node admits by tokens that a divider granted; clones share their state.
#[derive(Debug, Clone)]
pub struct DividedQuota {
    timer: Timer,
    state: Arc<Mutex<State>>,
    tokens_wanted: Arc<Notify>,
}

impl DividedQuota {
    /// Quota of a node that does not know the fleet yet. It admits nothing: a
    /// fleet that was killed as a whole would otherwise admit each rate once
    /// for every node.
    #[must_use]
    pub fn new(timer: Timer) -> Self {
        let state = State {
            member_count: None,
            lent_until_us: 0,
            accounts: HashMap::new(),
        };
        Self {
            timer,
            state: Arc::new(Mutex::new(state)),
            tokens_wanted: Arc::default(),
        }
    }

    /// Sets how many nodes share each rate.
    pub fn set_member_count(&self, member_count: usize) {
        let mut state = self.lock();
        if state.member_count.is_none() {
            state.lent_until_us = self.timer.now_us() + FIRST_GRANT_US;
        }
        state.member_count = Some(member_count.max(1));
    }

    /// Nodes that share each rate.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.lock().member_count.unwrap_or(1)
    }

    /// Waits until requests want tokens that this node does not hold.
    pub async fn tokens_wanted(&self) {
        self.tokens_wanted.notified().await;
    }

    /// Whether requests wait for tokens.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        let state = self.lock();
        state
            .accounts
            .values()
            .any(|account| account.holding.has_waiting())
    }

    /// Ends a period of demand.
    pub fn end_period(&self, period_ms: u64) {
        for account in self.lock().accounts.values_mut() {
            account.holding.end_period(period_ms);
        }
    }

    /// What the node needs of each workspace, by name.
    #[must_use]
    pub fn needs(&self, names: &Names) -> HashMap<String, TokenNeed> {
        let mut state = self.lock();
        let accounts = state.accounts.iter_mut();
        accounts
            .map(|(workspace, account)| (names.workspace_name(*workspace), account.holding.need()))
            .filter(|(_, need)| *need != TokenNeed::default())
            .collect()
    }

    /// A divider answered a report that was sent then: the shares are lent.
    pub fn lent(&self, sent_us: u64) {
        let mut state = self.lock();
        state.lent_until_us = state.lent_until_us.max(sent_us + LEASE_US);
    }

    /// A divider granted tokens.
    pub fn granted(&self, workspace: WorkspaceKey, grant: &TokenGrant) {
        let now_us = self.timer.now_us();
        let mut state = self.lock();
        if let Some(account) = state.accounts.get_mut(&workspace) {
            account.holding.granted(grant, now_us);
            if account.holding.has_waiting() {
                self.tokens_wanted.notify_one();
            }
        }
    }

    /// Follows changed rates; a lower one binds at once, before the next grant.
    pub fn set_rates(&self, rates: &Rates) {
        let mut state = self.lock();
        state
            .accounts
            .retain(|workspace, _| rates.contains_key(workspace));
        for (workspace, account) in &mut state.accounts {
            let changed = rates.get(workspace).filter(|rate| **rate != account.rate);
            if let Some(rate) = changed {
                account.rate = *rate;
                account.holding.clear();
            }
        }
    }

    fn take(
        &self,
        workspace: WorkspaceKey,
        rate: Rate,
        class: Class,
        now_us: u64,
    ) -> Result<Taken, Refusal> {
        let mut state = self.lock();
        let Some(member_count) = state.member_count else {
            let refusal = Refusal::not_run(Reason::NotReady);
            return Err(refusal.with_retry_after_ms(NOT_READY_RETRY_MS));
        };
        let is_lent = now_us < state.lent_until_us;
        let account = state.accounts.entry(workspace).or_insert_with(|| Account {
            rate,
            holding: TokenHoldings::default(),
            even: RefillBucket::new(now_us),
        });
        account.holding.count_demand(class);
        let part = 1.0 / member_count as f64;
        account.even.advance(rate, part, now_us);
        if !is_lent {
            // Tokens of a divider that is out of reach: it may be gone, and
            // the even share counts them once more.
            account.holding.clear();
            let verdict = match account.even.take(1, 0.0) {
                0 => Err(account.even.empty_for_ms(0.0)),
                _ => Ok(()),
            };
            return Ok(Taken::Now(verdict));
        }
        account.even.clear();
        if account.holding.take(class) {
            return Ok(Taken::Now(Ok(())));
        }
        if let Some(empty_for_ms) = account.holding.empty_for_ms(class, now_us) {
            return Ok(Taken::Now(Err(empty_for_ms)));
        }
        let waits = account.holding.wait(class);
        self.tokens_wanted.notify_one();
        Ok(Taken::Waits(waits))
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
        let verdict = match self.take(workspace, rate, class, now_us)? {
            Taken::Now(verdict) => verdict,
            Taken::Waits(waits) => timeout(Duration::from_millis(TOKEN_WAIT_MS), waits)
                .await
                .ok()
                .and_then(Result::ok)
                .unwrap_or(Err(SILENT_RETRY_MS)),
        };
        verdict.map_err(|wait_ms| {
            let wait_ms = wait_ms.min(LONGEST_RETRY_MS);
            Refusal::not_run(Reason::OverQuota).with_retry_after_ms(wait_ms)
        })
    }

    fn refund(&self, workspace: WorkspaceKey, class: Class) {
        let now_us = self.timer.now_us();
        let mut state = self.lock();
        let is_lent = now_us < state.lent_until_us;
        if let Some(account) = state.accounts.get_mut(&workspace) {
            match is_lent {
                true => account.holding.put_back(class),
                false => account.even.add(1.0),
            }
        }
    }
}
