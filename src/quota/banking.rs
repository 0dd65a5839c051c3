//! Quota in a running node, as owner of slices and as bank.

use {
    super::{
        Bank, BorrowAnswer, BorrowAsk, LeaseAnswer, LeaseAsk, Rate,
        gate::{LeasedQuota, State, rate_of},
    },
    crate::model::WorkspaceKey,
    std::{net::SocketAddr, time::Duration},
};

/// Time between two looks at a bank that waits for its owners.
const OWNERS_POLL_MS: u64 = 1;

impl LeasedQuota {
    /// Leases this node's share to a bank.
    #[must_use]
    pub fn lease(&self, ask: &LeaseAsk) -> LeaseAnswer {
        let rate = rate_of(&self.rates(), ask.workspace);
        let mut state = self.lock();
        // One reading of the clock for both: a pause in between would let a
        // share be leased that was taken over meanwhile.
        let now_us = self.now_us();
        let may_use = self
            .inner
            .inputs
            .freshness
            .borrow()
            .allows_quota(now_us / 1000);
        if !state.is_usable || !may_use {
            return LeaseAnswer::default();
        }
        state.owner.lease(ask, rate, now_us)
    }

    /// Lends tokens as the bank of a workspace.
    pub async fn borrow(&self, ask: BorrowAsk) -> BorrowAnswer {
        let workspace = ask.workspace;
        let Some(rate) = self.rates().get(&workspace).copied() else {
            return BorrowAnswer::default();
        };
        self.with_bank(workspace, Bank::wake);
        self.ask_owners(workspace, rate);
        while self.with_bank(workspace, |bank, now_us| bank.awaits_owners(now_us)) {
            tokio::time::sleep(Duration::from_millis(OWNERS_POLL_MS)).await;
        }
        self.with_bank(workspace, |bank, now_us| bank.borrow(&ask, rate, now_us))
    }

    pub(super) fn ask_owners(&self, workspace: WorkspaceKey, rate: Rate) {
        let (owners, now_us) = {
            let mut state = self.lock();
            let now_us = self.now_us();
            let State {
                banks, owner_ids, ..
            } = &mut *state;
            let bank = banks.entry(workspace).or_insert_with(|| new_bank(now_us));
            let owners = bank.owners_to_ask(owner_ids.iter().map(String::as_str), now_us);
            let owners = owners.into_iter().map(str::to_owned);
            (owners.collect::<Vec<_>>(), now_us)
        };
        for owner in owners {
            let quota = self.clone();
            let call = async move { quota.ask_owner(workspace, rate, &owner, now_us).await };
            self.inner.runtime.spawn(call);
        }
    }

    async fn ask_owner(&self, workspace: WorkspaceKey, rate: Rate, owner: &str, sent_us: u64) {
        let ask = LeaseAsk {
            workspace,
            bank: self.process(),
        };
        let answer = if owner == self.inner.inputs.own.node_id {
            self.lease(&ask)
        } else {
            let Some(address) = self.address(owner) else {
                return;
            };
            let answer = self.inner.inputs.client.lease(address, ask).await;
            answer.unwrap_or_default()
        };
        self.with_bank(workspace, |bank, now_us| {
            bank.leased(owner, sent_us, answer, rate, now_us);
        });
    }

    // Banks are never dropped: another one of the same process would not know
    // what this one has lent, though owners take both for the same.
    fn with_bank<T>(&self, workspace: WorkspaceKey, work: impl FnOnce(&mut Bank, u64) -> T) -> T {
        let mut state = self.lock();
        let now_us = self.now_us();
        let bank = state
            .banks
            .entry(workspace)
            .or_insert_with(|| new_bank(now_us));
        work(bank, now_us)
    }

    fn address(&self, node_id: &str) -> Option<SocketAddr> {
        let view = self.inner.inputs.view.borrow();
        let member = view.member(node_id)?;
        Some(member.rpc_address())
    }
}

fn new_bank(now_us: u64) -> Bank {
    Bank::new(rand::random(), now_us)
}
