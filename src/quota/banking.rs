//! Quota in a running node, as owner of slices and as bank.

use {
    super::{
        BorrowRequest, BorrowResponse, LeaseQuery, LeaseRequest, LeaseResponse, PoolHandover,
        PoolRef, Rate, TokenPool, banks,
        gate::{LeasedQuota, State, rate_of},
    },
    crate::model::WorkspaceKey,
    std::{net::SocketAddr, time::Duration},
};

/// Time between two looks at a bank that waits for its owners.
const OWNERS_POLL_MS: u64 = 1;

impl LeasedQuota {
    /// Leases this node's share to a bank that it would ask itself.
    ///
    /// Where gossip is split and calls are not, a bank on the other side would
    /// renew its lease for as long as the split lasts, and callers on this side
    /// would be refused everything. This way each side is served on its share.
    #[must_use]
    pub fn lease(&self, ask: &LeaseRequest) -> LeaseResponse {
        if !self.is_own_bank(ask) {
            return LeaseResponse::default();
        }
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
            return LeaseResponse::default();
        }
        state.owner.lease(ask, rate, now_us)
    }

    fn is_own_bank(&self, ask: &LeaseRequest) -> bool {
        let inputs = &self.inner.inputs;
        let name = inputs.names.workspace_name(ask.workspace);
        let view = inputs.view.borrow();
        let mut banks = banks(&view, &name, &inputs.own.zone).into_iter();
        banks.any(|bank| bank.node_id == ask.bank.node_id)
    }

    /// Lends tokens as the bank of a workspace.
    pub async fn borrow(&self, ask: BorrowRequest) -> BorrowResponse {
        let workspace = ask.workspace;
        let Some(rate) = self.rates().get(&workspace).copied() else {
            return BorrowResponse::default();
        };
        self.with_bank(workspace, TokenPool::wake);
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
            let owners = owner_ids.iter().map(String::as_str);
            (bank.owners_to_ask(owners, now_us), now_us)
        };
        for ask in owners {
            let quota = self.clone();
            let call = async move { quota.ask_owner(workspace, rate, ask, now_us).await };
            self.inner.runtime.spawn(call);
        }
    }

    async fn ask_owner(&self, workspace: WorkspaceKey, rate: Rate, to: LeaseQuery, sent_us: u64) {
        let node_id = self.inner.inputs.own.node_id.clone();
        let is_own = to.owner == node_id;
        let bank_id = self.with_bank(workspace, |bank, _| bank.bank_id());
        let ask = LeaseRequest {
            workspace,
            bank: PoolRef { node_id, bank_id },
            predecessor_id: to.predecessor_id,
        };
        let answer = match self.address(&to.owner) {
            _ if is_own => self.lease(&ask),
            Some(address) => {
                let answer = self.inner.inputs.client.lease(address, ask).await;
                answer.unwrap_or_default()
            }
            None => LeaseResponse::default(),
        };
        let holder = self.with_bank(workspace, |bank, now_us| {
            bank.leased(&to.owner, sent_us, answer, rate, now_us)
        });
        if let Some(holder) = holder {
            self.ask_holder(workspace, rate, &holder).await;
        }
    }

    /// Asks the earlier bank to hand over; without, its leases would have to
    /// end first and requests inside their rate would be refused meanwhile.
    async fn ask_holder(&self, workspace: WorkspaceKey, rate: Rate, holder: &PoolRef) {
        let sent_us = self.now_us();
        let Some(address) = self.address(&holder.node_id) else {
            return;
        };
        if holder.node_id == self.inner.inputs.own.node_id {
            return;
        }
        let estate = self.inner.inputs.client.take_over(address, workspace).await;
        let Ok(Some(estate)) = estate else {
            return;
        };
        self.with_bank(workspace, |bank, now_us| {
            bank.inherit(sent_us, estate, rate, now_us);
        });
        self.ask_owners(workspace, rate);
    }

    /// Hands the bank of a workspace over, unless this node is it by its view.
    #[must_use]
    pub fn take_over(&self, workspace: WorkspaceKey) -> Option<PoolHandover> {
        let inputs = &self.inner.inputs;
        let name = inputs.names.workspace_name(workspace);
        let view = inputs.view.borrow().clone();
        let bank = banks(&view, &name, &inputs.own.zone).into_iter().next();
        if bank.is_none_or(|bank| bank.node_id == inputs.own.node_id) {
            return None;
        }
        let rate = rate_of(&self.rates(), workspace);
        Some(self.with_bank(workspace, |bank, now_us| {
            bank.retire(rand::random(), rate, now_us)
        }))
    }

    // Banks are never dropped: another one of the same process would not know
    // what this one has lent, though owners take both for the same.
    fn with_bank<T>(
        &self,
        workspace: WorkspaceKey,
        work: impl FnOnce(&mut TokenPool, u64) -> T,
    ) -> T {
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

fn new_bank(now_us: u64) -> TokenPool {
    TokenPool::new(rand::random(), now_us)
}
