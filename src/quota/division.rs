//! Divides a workspace's rate among the nodes that need it.
//!
//! Every node owns an even share of each rate and lends it to the divider by
//! confirming its replies. The divider keeps one bucket of the lent shares and
//! grants tokens from it. Nodes that cannot reach it lend nothing and admit by
//! their even share alone, so the sum stays within the rate however the fleet is
//! partitioned.
//!
//! Separate buckets per node would refuse clustered requests while other nodes'
//! buckets overflow: a workspace near its rate, with a few requests per second
//! per node, would lose requests within its rate. A single bucket avoids this.

use {
    super::{
        DividerCounts, HandedOverTokens, Rates, Reporter, TokenGrant, TokenNeed,
        division_account::Account,
        ledger::Ledger,
        share_lease::{SHARE_LEASE_US, TOKEN_TTL_US},
    },
    crate::{arena::Arena, arena_key, model::WorkspaceKey},
    std::collections::{BTreeSet, HashMap, VecDeque},
};

arena_key! {
    /// Process that reports to a divider.
    ReporterKey
}

#[derive(Debug, Clone)]
pub(super) struct ReporterState {
    pub(super) process_id: u64,
    pub(super) last_sent_us: u64,
    pub(super) received_us: u64,
    /// End of the lease of the node's share; 0 if it is not lent.
    pub(super) lent_until_us: u64,
    /// End of the last lease, which may be over; 0 if there was none.
    pub(super) last_lease_us: u64,
    pub(super) ahead_counts: HashMap<WorkspaceKey, u32>,
    pub(super) ledgers: HashMap<WorkspaceKey, Ledger>,
}

/// Shares that reporters have lent to this node. Pure state: performs no I/O
/// and reads no clock.
#[derive(Debug, Clone)]
pub struct Division {
    division_id: u64,
    pub(super) member_count: usize,
    pub(super) keys: HashMap<String, ReporterKey>,
    pub(super) reporters: Arena<ReporterKey, ReporterState>,
    /// Ends of the leases, in their order.
    pub(super) lease_ends: BTreeSet<(u64, ReporterKey)>,
    /// Ends of granted tokens, in their order.
    grant_ends: VecDeque<(u64, ReporterKey, WorkspaceKey)>,
    /// Sum over the reporters of the tokens that they request ahead of need.
    pub(super) ahead_totals: HashMap<WorkspaceKey, u32>,
    pub(super) accounts: HashMap<WorkspaceKey, Account>,
    /// Seconds of whole rates that were lent since a share was last taken back.
    lent_s: f64,
    pub(super) updated_us: u64,
}

impl Division {
    /// Creates a division without reporters. Its id is random and never used
    /// again.
    #[must_use]
    pub fn new(division_id: u64, now_us: u64) -> Self {
        Self {
            division_id,
            member_count: 1,
            keys: HashMap::new(),
            reporters: Arena::new(),
            lease_ends: BTreeSet::new(),
            grant_ends: VecDeque::new(),
            ahead_totals: HashMap::new(),
            accounts: HashMap::new(),
            lent_s: 0.0,
            updated_us: now_us,
        }
    }

    /// Random id of this division.
    #[must_use]
    pub const fn division_id(&self) -> u64 {
        self.division_id
    }

    /// Sets the number of nodes that share each rate.
    pub fn set_member_count(&mut self, member_count: usize, now_us: u64) {
        if member_count != self.member_count {
            self.advance(now_us);
            let earlier_ratio = self.share_ratio();
            self.member_count = member_count;
            self.apply_share_ratio(earlier_ratio, now_us);
        }
    }

    /// Sets the rates in force. The bucket of a new workspace holds what the
    /// lent shares have brought; nobody else has used it. The bucket of one that
    /// is gone stays as it is: it may return, and has used its tokens.
    pub fn set_rates(&mut self, rates: &Rates, now_us: u64) {
        self.advance(now_us);
        let (share_ratio, lent_s) = (self.share_ratio(), self.lent_s);
        for (workspace, account) in &mut self.accounts {
            let rate = rates.get(workspace);
            if rate.is_none_or(|rate| rate.rate_per_s == 0) {
                account.set_rate(account.rate().without_refill(), share_ratio, now_us);
            }
        }
        for (workspace, rate) in rates.iter().filter(|(_, rate)| rate.rate_per_s > 0) {
            let account = self
                .accounts
                .entry(*workspace)
                .or_insert_with(|| Account::new(*rate, share_ratio, lent_s, now_us));
            if account.rate() != *rate {
                account.set_rate(*rate, share_ratio, now_us);
            }
        }
    }

    /// Records a report. Returns whether it is new: one that arrives twice, or
    /// after a later one, is ignored, as its tokens could count twice.
    pub fn record_report(
        &mut self,
        reporter: Reporter<'_>,
        needs: &HashMap<WorkspaceKey, TokenNeed>,
        now_us: u64,
    ) -> bool {
        self.advance(now_us);
        let key = self.reporter_key(reporter);
        let Some(state) = self.reporters.get_mut(key) else {
            return false;
        };
        if reporter.sent_us <= state.last_sent_us {
            return false;
        }
        state.last_sent_us = reporter.sent_us;
        state.received_us = now_us;
        if let Some(reply) = reporter.last_reply
            && reply.division_id == self.division_id
        {
            self.settle(key, reporter.settled_us, needs, now_us);
            if reply.is_share_lent {
                self.extend_lease(key, reply.replied_us + SHARE_LEASE_US, now_us);
            }
        }
        self.set_ahead(key, needs);
        true
    }

    /// Grants a reporter the tokens it needs of a workspace, as far as the
    /// bucket has them. `None` for a workspace without a rate.
    pub fn grant(
        &mut self,
        reporter: Reporter<'_>,
        workspace: WorkspaceKey,
        need: &TokenNeed,
        now_us: u64,
    ) -> Option<TokenGrant> {
        self.advance(now_us);
        let key = *self.keys.get(reporter.node_id)?;
        let account = self.accounts.get_mut(&workspace)?;
        account.advance(now_us);
        let ahead_total = self.ahead_totals.get(&workspace).copied().unwrap_or(0);
        let is_own = reporter
            .last_reply
            .is_some_and(|reply| reply.division_id == self.division_id);
        if is_own {
            account.give_back(&need.returned);
        }
        let grant = account.grant(need, ahead_total);
        let granted_count = grant.token_count();
        if granted_count > 0 {
            let ends_us = now_us + TOKEN_TTL_US;
            let state = self.reporters.get_mut(key)?;
            let ledger = state.ledgers.entry(workspace).or_default();
            ledger.record_batch(reporter.sent_us, granted_count, ends_us);
            self.grant_ends.push_back((ends_us, key, workspace));
        }
        Some(grant)
    }

    /// Whether the share of a node was lent to this division last. Only after a
    /// lease and the tokens that it has backed can the node use it otherwise.
    #[must_use]
    pub fn has_share(&self, node_id: &str, now_us: u64) -> bool {
        let key = self.keys.get(node_id);
        let state = key.and_then(|key| self.reporters.get(*key));
        state.is_some_and(|state| {
            state.last_lease_us > 0 && now_us < state.last_lease_us + TOKEN_TTL_US
        })
    }

    /// Number of nodes whose shares are lent.
    #[must_use]
    pub fn lent_count(&self) -> usize {
        self.lease_ends.len()
    }

    /// Ends this division and begins another one. Returns all tokens, for the
    /// next divider.
    pub fn hand_over(
        &mut self,
        division_id: u64,
        now_us: u64,
    ) -> Vec<(WorkspaceKey, HandedOverTokens)> {
        self.advance(now_us);
        let mut tokens = Vec::new();
        let mut rates = Rates::new();
        for (workspace, account) in &mut self.accounts {
            account.advance(now_us);
            rates.insert(*workspace, account.rate());
            let handed_over = HandedOverTokens {
                token_count: account.handed_over_tokens() as u32,
                granted_count: account.granted_count(),
            };
            tokens.push((*workspace, handed_over));
        }
        let member_count = self.member_count;
        *self = Self::new(division_id, now_us);
        self.member_count = member_count;
        self.set_rates(&rates, now_us);
        tokens
    }

    /// Adds the tokens that the previous divider handed over.
    pub fn accept_handover(&mut self, tokens: &[(WorkspaceKey, HandedOverTokens)], now_us: u64) {
        self.advance(now_us);
        for (workspace, tokens) in tokens {
            if let Some(account) = self.accounts.get_mut(workspace) {
                let until_us = now_us + TOKEN_TTL_US;
                let token_count = f64::from(tokens.token_count);
                account.accept_handover(token_count, tokens.granted_count, until_us, now_us);
            }
        }
    }

    /// Returns the counts of workspaces at their rate since the last call, with
    /// the tokens left in their buckets.
    pub fn take_counts(&mut self) -> Vec<(WorkspaceKey, DividerCounts, f64)> {
        let accounts = self.accounts.iter_mut();
        accounts
            .map(|(workspace, account)| {
                let counts = std::mem::take(&mut account.counts);
                (*workspace, counts, account.level())
            })
            .filter(|(_, counts, _)| counts.refused_count > 0)
            .collect()
    }

    fn extend_lease(&mut self, key: ReporterKey, until_us: u64, now_us: u64) {
        let earlier_ratio = self.share_ratio();
        let Some(state) = self.reporters.get_mut(key) else {
            return;
        };
        if until_us <= now_us.max(state.lent_until_us) {
            return;
        }
        self.lease_ends.remove(&(state.lent_until_us, key));
        state.lent_until_us = until_us;
        state.last_lease_us = until_us;
        self.lease_ends.insert((until_us, key));
        self.apply_share_ratio(earlier_ratio, now_us);
    }

    /// Ratio of each rate that is lent to this division.
    fn share_ratio(&self) -> f64 {
        let lent_count = self.lease_ends.len();
        lent_count as f64 / self.member_count.max(lent_count).max(1) as f64
    }

    /// Refills all buckets by the ratio that holds from `now_us` on.
    fn apply_share_ratio(&mut self, earlier_ratio: f64, now_us: u64) {
        let share_ratio = self.share_ratio();
        if share_ratio == earlier_ratio {
            return;
        }
        // The tokens of a share that is taken back may be spent elsewhere.
        if share_ratio < earlier_ratio {
            self.lent_s = 0.0;
        }
        for account in self.accounts.values_mut() {
            account.set_rate(account.rate(), share_ratio, now_us);
        }
    }

    /// Ends leases and granted tokens up to `now_us`, in the order of their ends.
    fn advance(&mut self, now_us: u64) {
        while let Some((until_us, key)) = self.lease_ends.first().copied()
            && until_us <= now_us
        {
            self.add_lent_time(until_us);
            let earlier_ratio = self.share_ratio();
            self.lease_ends.remove(&(until_us, key));
            if let Some(state) = self.reporters.get_mut(key) {
                state.lent_until_us = 0;
            }
            self.set_ahead(key, &HashMap::new());
            self.apply_share_ratio(earlier_ratio, until_us);
        }
        self.add_lent_time(now_us);
        while let Some((ends_us, key, workspace)) = self.grant_ends.front().copied()
            && ends_us <= now_us
        {
            self.grant_ends.pop_front();
            let state = self.reporters.get_mut(key);
            let Some(ledger) = state.and_then(|state| state.ledgers.get_mut(&workspace)) else {
                continue;
            };
            let earlier_count = ledger.outstanding_count();
            ledger.expire(now_us);
            let ended_count = earlier_count - ledger.outstanding_count();
            if let Some(account) = self.accounts.get_mut(&workspace) {
                account.advance(now_us);
                account.record_settled(ended_count);
            }
        }
    }

    fn add_lent_time(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.lent_s += elapsed_s * self.share_ratio();
        self.updated_us = self.updated_us.max(now_us);
    }
}
