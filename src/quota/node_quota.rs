//! Tokens of a node for all workspaces. Pure state: performs no I/O and reads no
//! clock.

use {
    super::{
        DivisionReply, GrantOrigin, NodeCounts, Rate, Rates, RefillBucket, ShareLease,
        TokenDecision, TokenGrant, TokenHoldings, TokenNeed, TokenOrigin,
    },
    crate::{
        event,
        events::Event,
        model::{Class, Names, Reason, Refusal, WorkspaceKey},
    },
    std::collections::HashMap,
    tokio::sync::oneshot,
};

/// Retry time from a node that does not know the fleet yet: about the time of
/// its first read of the store.
const NOT_READY_RETRY_MS: u32 = 200;

#[derive(Debug)]
struct Account {
    rate: Rate,
    holdings: TokenHoldings,
    /// This node's even share of the rate, used while it is lent to no divider.
    even_share: Option<RefillBucket>,
    /// Since the last log line.
    counts: NodeCounts,
}

/// Tokens that a divider granted to this node, and its own shares.
#[derive(Debug)]
pub struct NodeQuota {
    /// `None` until the size of the fleet is known.
    member_count: Option<usize>,
    lease: ShareLease,
    accounts: HashMap<WorkspaceKey, Account>,
}

/// Result of an attempt to take a token.
#[derive(Debug)]
pub enum TakeResult {
    /// The request is admitted or refused.
    Decided(TokenDecision),
    /// The request waits for the next grant.
    Waiting(oneshot::Receiver<TokenDecision>),
}

impl NodeQuota {
    /// Creates the quota of a node that does not know the fleet yet. It admits
    /// nothing: after a kill of the whole fleet, each node would otherwise
    /// admit the full rate.
    #[must_use]
    pub fn new(now_us: u64) -> Self {
        Self {
            member_count: None,
            lease: ShareLease::new(now_us),
            accounts: HashMap::new(),
        }
    }

    /// Sets the number of nodes that share each rate.
    pub fn set_member_count(&mut self, member_count: usize, now_us: u64) {
        self.member_count = Some(member_count.max(1));
        for account in self.accounts.values_mut() {
            if let Some(even_share) = &mut account.even_share {
                let share_ratio = 1.0 / member_count.max(1) as f64;
                even_share.set_rate(account.rate, share_ratio, now_us);
            }
        }
    }

    /// Whether the size of the fleet is known, and this node's share was not
    /// left to an earlier process all the time.
    #[must_use]
    pub const fn is_ready(&self, now_us: u64) -> bool {
        self.member_count.is_some() && self.lease.was_used(now_us)
    }

    /// Number of nodes that share each rate.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.member_count.unwrap_or(1)
    }

    /// Whether requests wait for tokens.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        let mut accounts = self.accounts.values();
        accounts.any(|account| account.holdings.has_waiting())
    }

    /// Ends a demand period of `period_ms` milliseconds.
    pub fn end_period(&mut self, period_ms: u64, now_us: u64) {
        for account in self.accounts.values_mut() {
            account.counts.returned_count += account.holdings.end_period(period_ms, now_us);
        }
    }

    /// Logs what became of the tokens since the last call.
    pub fn log_counts(&mut self, names: &Names) {
        for (workspace, account) in &mut self.accounts {
            let counts = std::mem::take(&mut account.counts);
            if !counts.is_notable() {
                continue;
            }
            event!(
                Event::QuotaTokens,
                "workspace={} granted={} own_share={} spent={} refunded={} returned={} refused={} \
                 held={}",
                names.workspace_name(*workspace),
                counts.granted_count,
                counts.own_share_count,
                counts.spent_count,
                counts.refunded_count,
                counts.returned_count,
                counts.refused_count,
                account.holdings.token_count()
            );
        }
    }

    /// Counts the outcome of a request's admission.
    pub fn count_decision(&mut self, workspace: WorkspaceKey, is_admitted: bool) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.counts.spent_count += u32::from(is_admitted);
            account.counts.refused_count += u32::from(!is_admitted);
        }
    }

    /// Tokens that this node needs, by workspace name, and those that it has of
    /// the division that replied last.
    #[must_use]
    pub fn needs(
        &mut self,
        division_id: Option<u64>,
        names: &Names,
        now_us: u64,
    ) -> HashMap<String, TokenNeed> {
        let accounts = self.accounts.iter_mut();
        accounts
            .map(|(workspace, account)| {
                let need = account.holdings.take_need(division_id, now_us);
                (names.workspace_name(*workspace), need)
            })
            .filter(|(_, need)| *need != TokenNeed::default())
            .collect()
    }

    /// Records a reply of a division, which may lend this node's share to it.
    pub fn record_reply(&mut self, reply: DivisionReply<'_>, now_us: u64) {
        let free_from_us = self.lease.free_from_us();
        self.lease.record_reply(reply, now_us);
        if self.lease.free_from_us() != free_from_us {
            for account in self.accounts.values_mut() {
                account.even_share = None;
            }
        }
    }

    /// Whether this node's share is lent to a division.
    #[must_use]
    pub fn is_share_lent_to(&self, division_id: u64, now_us: u64) -> bool {
        self.lease.is_lent_to(division_id, now_us)
    }

    /// Milliseconds until this node's share, which is lent to nobody, brings
    /// tokens again; 0 if it is in use.
    #[must_use]
    pub fn idle_for_ms(&self, now_us: u64) -> u32 {
        self.lease.idle_for_ms(now_us)
    }

    /// Adds granted tokens and serves waiting requests.
    pub fn apply_grant(
        &mut self,
        workspace: WorkspaceKey,
        grant: &TokenGrant,
        origin: GrantOrigin,
        now_us: u64,
    ) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.counts.granted_count += grant.token_count();
            account.holdings.apply_grant(grant, origin, now_us);
        }
    }

    /// Applies changed rates. A lower rate takes effect at once, before the
    /// next grant.
    pub fn set_rates(&mut self, rates: &Rates, now_us: u64) {
        let share_ratio = self.share_ratio();
        for (workspace, account) in &mut self.accounts {
            let rate = rates.get(workspace).copied();
            if rate == Some(account.rate) {
                continue;
            }
            account.holdings.clear();
            let rate = rate.filter(|rate| rate.rate_per_s > 0);
            account.rate = rate.unwrap_or(account.rate.without_refill());
            if let Some(even_share) = &mut account.even_share {
                even_share.set_rate(account.rate, share_ratio, now_us);
            }
        }
    }

    fn share_ratio(&self) -> f64 {
        1.0 / self.member_count() as f64
    }

    /// Takes a token for a request, or lets the request wait for one.
    pub fn take(
        &mut self,
        workspace: WorkspaceKey,
        rate: Rate,
        class: Class,
        now_us: u64,
    ) -> Result<TakeResult, Refusal> {
        if self.member_count.is_none() {
            let refusal = Refusal::not_run(Reason::NotReady);
            return Err(refusal.with_retry_after_ms(NOT_READY_RETRY_MS));
        }
        let share_ratio = self.share_ratio();
        let account = self.accounts.entry(workspace).or_insert_with(|| Account {
            rate,
            holdings: TokenHoldings::default(),
            even_share: None,
            counts: NodeCounts::default(),
        });
        account.holdings.record_demand(class);
        if let Some(token) = account.holdings.take(class, now_us) {
            return Ok(TakeResult::Decided(Ok(token)));
        }
        if self.lease.is_free(now_us) {
            let free_from_us = self.lease.free_from_us();
            let even_share = account
                .even_share
                .get_or_insert_with(|| RefillBucket::new(account.rate, share_ratio, free_from_us));
            even_share.advance(now_us);
            let decision = match even_share.take(1, 0.0) {
                0 => Err(even_share.empty_for_ms(0.0)),
                _ => Ok(TokenOrigin::OwnShare { taken_us: now_us }),
            };
            account.counts.own_share_count += u32::from(decision.is_ok());
            return Ok(TakeResult::Decided(decision));
        }
        if let Some(empty_for_ms) = account.holdings.empty_for_ms(class, now_us) {
            return Ok(TakeResult::Decided(Err(empty_for_ms)));
        }
        Ok(TakeResult::Waiting(account.holdings.add_waiter(class)))
    }

    /// Gives back the token of a request that did not run.
    pub fn refund(&mut self, workspace: WorkspaceKey, token: TokenOrigin, now_us: u64) {
        let Some(account) = self.accounts.get_mut(&workspace) else {
            return;
        };
        account.counts.refunded_count += 1;
        match token {
            TokenOrigin::Untracked => {}
            TokenOrigin::Division {
                division_id,
                granted_us,
            } => account.holdings.give_back(division_id, granted_us),
            TokenOrigin::OwnShare { taken_us } => {
                if let Some(even_share) = &mut account.even_share {
                    even_share.advance(now_us);
                    even_share.give_back(1, taken_us);
                }
            }
        }
    }
}
