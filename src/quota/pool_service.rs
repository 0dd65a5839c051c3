//! Serves lease and borrow requests of other nodes, as owner of slices and as
//! the node that holds token pools.

use {
    super::{
        BorrowRequest, BorrowResponse, LeaseQuery, LeaseRequest, LeaseResponse, PoolHandover,
        PoolRef, Rate, TokenPool,
        gate::{LeasedQuota, State, rate_of},
        pool_nodes,
    },
    crate::model::WorkspaceKey,
    std::{net::SocketAddr, time::Duration},
};

/// Poll interval while a pool waits for its owners' responses.
const OWNERS_POLL_MS: u64 = 1;

impl LeasedQuota {
    /// Leases this node's share to a pool, if this node would itself borrow
    /// from that pool's node.
    ///
    /// When gossip is split but calls get through, a pool on the other side
    /// would renew its lease for as long as the split lasts, and every caller
    /// on this side would be refused. With this check each side is served from
    /// its own share.
    #[must_use]
    pub fn lease(&self, request: &LeaseRequest) -> LeaseResponse {
        if !self.is_expected_pool(request) {
            return LeaseResponse::default();
        }
        let rate = rate_of(&self.rates(), request.workspace);
        let mut state = self.lock();
        // Read the clock once for both checks: a pause between two readings
        // could lease a share that was taken over in the meantime.
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
        state.owner.lease(request, rate, now_us)
    }

    fn is_expected_pool(&self, request: &LeaseRequest) -> bool {
        let inputs = &self.inner.inputs;
        let name = inputs.names.workspace_name(request.workspace);
        let view = inputs.view.borrow();
        let mut pool_nodes = pool_nodes(&view, &name, &inputs.own.zone).into_iter();
        pool_nodes.any(|node| node.node_id == request.pool.node_id)
    }

    /// Lends tokens from this node's pool of a workspace.
    pub async fn borrow(&self, request: BorrowRequest) -> BorrowResponse {
        let workspace = request.workspace;
        let Some(rate) = self.rates().get(&workspace).copied() else {
            return BorrowResponse::default();
        };
        self.with_pool(workspace, TokenPool::mark_active);
        self.query_owners(workspace, rate);
        while self.with_pool(workspace, |pool, now_us| pool.is_waiting_for_owners(now_us)) {
            tokio::time::sleep(Duration::from_millis(OWNERS_POLL_MS)).await;
        }
        self.with_pool(workspace, |pool, now_us| {
            pool.borrow(&request, rate, now_us)
        })
    }

    pub(super) fn query_owners(&self, workspace: WorkspaceKey, rate: Rate) {
        let (owners, now_us) = {
            let mut state = self.lock();
            let now_us = self.now_us();
            let State {
                pools, owner_ids, ..
            } = &mut *state;
            let pool = pools.entry(workspace).or_insert_with(|| new_pool(now_us));
            let owners = owner_ids.iter().map(String::as_str);
            (pool.owners_to_query(owners, now_us), now_us)
        };
        for query in owners {
            let quota = self.clone();
            let call = async move { quota.query_owner(workspace, rate, query, now_us).await };
            self.inner.runtime.spawn(call);
        }
    }

    async fn query_owner(
        &self,
        workspace: WorkspaceKey,
        rate: Rate,
        query: LeaseQuery,
        sent_us: u64,
    ) {
        let node_id = self.inner.inputs.own.node_id.clone();
        let is_own = query.owner == node_id;
        let pool_id = self.with_pool(workspace, |pool, _| pool.pool_id());
        let request = LeaseRequest {
            workspace,
            pool: PoolRef { node_id, pool_id },
            predecessor_id: query.predecessor_id,
        };
        let response = match self.address(&query.owner) {
            _ if is_own => self.lease(&request),
            Some(address) => {
                let response = self.inner.inputs.client.lease(address, request).await;
                response.unwrap_or_default()
            }
            None => LeaseResponse::default(),
        };
        let holder = self.with_pool(workspace, |pool, now_us| {
            pool.apply_lease(&query.owner, sent_us, response, rate, now_us)
        });
        if let Some(holder) = holder {
            self.request_handover(workspace, rate, &holder).await;
        }
    }

    /// Requests a handover from the previous pool. Otherwise its leases would
    /// have to expire first, and requests within their rate would be refused
    /// until then.
    async fn request_handover(&self, workspace: WorkspaceKey, rate: Rate, holder: &PoolRef) {
        let sent_us = self.now_us();
        let Some(address) = self.address(&holder.node_id) else {
            return;
        };
        if holder.node_id == self.inner.inputs.own.node_id {
            return;
        }
        let handover = self.inner.inputs.client.take_over(address, workspace).await;
        let Ok(Some(handover)) = handover else {
            return;
        };
        self.with_pool(workspace, |pool, now_us| {
            pool.accept_handover(sent_us, handover, rate, now_us);
        });
        self.query_owners(workspace, rate);
    }

    /// Hands the pool of a workspace over, unless this node's own view places
    /// the pool here.
    #[must_use]
    pub fn take_over(&self, workspace: WorkspaceKey) -> Option<PoolHandover> {
        let inputs = &self.inner.inputs;
        let name = inputs.names.workspace_name(workspace);
        let view = inputs.view.borrow().clone();
        let pool_node = pool_nodes(&view, &name, &inputs.own.zone)
            .into_iter()
            .next();
        if pool_node.is_none_or(|node| node.node_id == inputs.own.node_id) {
            return None;
        }
        let rate = rate_of(&self.rates(), workspace);
        Some(self.with_pool(workspace, |pool, now_us| {
            pool.hand_over(rand::random(), rate, now_us)
        }))
    }

    // Pools are never dropped: a new pool in the same process would not know
    // what the old one has lent, although owners treat both as the same.
    fn with_pool<T>(
        &self,
        workspace: WorkspaceKey,
        operation: impl FnOnce(&mut TokenPool, u64) -> T,
    ) -> T {
        let mut state = self.lock();
        let now_us = self.now_us();
        let pool = state
            .pools
            .entry(workspace)
            .or_insert_with(|| new_pool(now_us));
        operation(pool, now_us)
    }

    fn address(&self, node_id: &str) -> Option<SocketAddr> {
        let view = self.inner.inputs.view.borrow();
        let member = view.member(node_id)?;
        Some(member.rpc_address())
    }
}

fn new_pool(now_us: u64) -> TokenPool {
    TokenPool::new(rand::random(), now_us)
}
