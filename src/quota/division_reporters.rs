//! Processes that report to a divider.

use {
    super::{
        Division, Reporter, TokenNeed,
        division::{ReporterKey, ReporterState},
    },
    crate::model::WorkspaceKey,
    std::collections::HashMap,
};

/// Time without reports after which a node counts as gone; leases, tokens and
/// datagrams on their way have ended by then.
const REPORTER_LOST_US: u64 = 10_000_000;

impl Division {
    /// Key of the reporting process. Tokens of an earlier process of its node
    /// are gone; its lease stays.
    pub(super) fn reporter_key(&mut self, reporter: Reporter<'_>) -> ReporterKey {
        let mut state = ReporterState {
            process_id: reporter.process_id,
            last_sent_us: 0,
            received_us: 0,
            lent_until_us: 0,
            last_lease_us: 0,
            ahead_counts: HashMap::new(),
            ledgers: HashMap::new(),
        };
        if let Some(key) = self.keys.get(reporter.node_id).copied()
            && let Some(earlier) = self.reporters.get(key)
        {
            if earlier.process_id == reporter.process_id {
                return key;
            }
            state.lent_until_us = earlier.lent_until_us;
            state.last_lease_us = earlier.last_lease_us;
            self.remove_reporter(key, state.lent_until_us);
        }
        self.remove_lost_reporters(reporter.node_id);
        let lent_until_us = state.lent_until_us;
        let key = self.reporters.insert(state);
        if lent_until_us > 0 {
            self.lease_ends.insert((lent_until_us, key));
        }
        self.keys.insert(reporter.node_id.to_owned(), key);
        key
    }

    /// Removes the nodes that no longer report, once they are as many as those
    /// of the fleet. Until then, reports that arrive twice are known.
    fn remove_lost_reporters(&mut self, new_id: &str) {
        if self.keys.len() < 2 * self.member_count {
            return;
        }
        let now_us = self.updated_us;
        let reporters = &self.reporters;
        let is_lost = |node_id: &String, key: &mut ReporterKey| {
            let state = reporters.get(*key);
            node_id != new_id
                && state.is_none_or(|state| now_us >= state.received_us + REPORTER_LOST_US)
        };
        let lost = self.keys.extract_if(is_lost);
        let lost_keys: Vec<ReporterKey> = lost.map(|(_, key)| key).collect();
        for key in lost_keys {
            self.remove_reporter(key, 0);
        }
    }

    fn remove_reporter(&mut self, key: ReporterKey, lent_until_us: u64) {
        self.lease_ends.remove(&(lent_until_us, key));
        self.set_ahead(key, &HashMap::new());
        let Some(state) = self.reporters.remove(key) else {
            return;
        };
        for (workspace, ledger) in &state.ledgers {
            if let Some(account) = self.accounts.get_mut(workspace) {
                account.record_settled(ledger.outstanding_count());
            }
        }
    }

    /// Sets what a reporter requests ahead of need. Only reporters with a lease
    /// count, so that the demand of lost ones ends.
    pub(super) fn set_ahead(&mut self, key: ReporterKey, needs: &HashMap<WorkspaceKey, TokenNeed>) {
        let Some(state) = self.reporters.get_mut(key) else {
            return;
        };
        let mut ahead_counts = HashMap::new();
        if state.lent_until_us > 0 {
            for (workspace, need) in needs {
                let ahead_count: u32 = need.ahead_counts.iter().sum();
                *self.ahead_totals.entry(*workspace).or_default() += ahead_count;
                ahead_counts.insert(*workspace, ahead_count);
            }
        }
        for (workspace, ahead_count) in std::mem::replace(&mut state.ahead_counts, ahead_counts) {
            if let Some(total) = self.ahead_totals.get_mut(&workspace) {
                *total = total.saturating_sub(ahead_count);
            }
        }
    }

    /// Applies what a report states about granted tokens.
    pub(super) fn settle(
        &mut self,
        key: ReporterKey,
        settled_us: u64,
        needs: &HashMap<WorkspaceKey, TokenNeed>,
        now_us: u64,
    ) {
        let Some(state) = self.reporters.get_mut(key) else {
            return;
        };
        for (workspace, ledger) in &mut state.ledgers {
            let held_count = needs.get(workspace).map_or(0, |need| need.held_count);
            let settled_count = ledger.settle(settled_us.saturating_sub(1), held_count);
            if let Some(account) = self
                .accounts
                .get_mut(workspace)
                .filter(|_| settled_count > 0)
            {
                account.advance(now_us);
                account.record_settled(settled_count);
            }
        }
    }
}
