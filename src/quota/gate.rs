//! Quota of a running node: spends borrowed tokens and sends one borrow request
//! when none are left.

use {
    super::{
        BorrowRequest, BorrowResponse, BorrowedTokens, Process, QuotaGate, QuotaOwner, Rate,
        TokenOrigin, TokenPool, placement::pool_nodes,
    },
    crate::{
        freshness::Snapshot,
        membership::View,
        model::{Class, Names, Reason, Refusal, WorkspaceKey},
        rpc::RpcClient,
        slices::{Section, SliceIndex, SliceTable, Slot},
        timer::Timer,
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{
        runtime::Handle,
        sync::{oneshot, watch},
        time::timeout,
    },
};

/// Timeout of a borrow request within the region. On a busy machine a first
/// call, which connects, takes longer than 20 ms; tokens lent after the timeout
/// are lost for a second.
const BORROW_TIMEOUT_MS: u64 = 60;

/// Timeout of a borrow request to another region.
const OTHER_REGION_BORROW_TIMEOUT_MS: u64 = 250;

/// Rates in force by workspace.
pub type Rates = HashMap<WorkspaceKey, Rate>;

/// Inputs of quota from its node.
#[derive(Clone)]
pub struct QuotaInputs {
    /// Slot of this node.
    pub own: Slot,
    /// Region of this node.
    pub region: String,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Clock.
    pub timer: Timer,
    /// Names of workspaces.
    pub names: Names,
    /// Membership view.
    pub view: watch::Receiver<Arc<View>>,
    /// Freshness.
    pub freshness: watch::Receiver<Snapshot>,
    /// Rates in force.
    pub rates: watch::Receiver<Arc<Rates>>,
    /// Client for calls to other nodes.
    pub client: RpcClient,
}

struct BorrowerState {
    tokens: BorrowedTokens,
    waiters: Vec<oneshot::Sender<bool>>,
    is_borrowing: bool,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) owner: QuotaOwner,
    pub(super) is_usable: bool,
    pub(super) owner_ids: Vec<String>,
    pub(super) pools: HashMap<WorkspaceKey, TokenPool>,
    borrowers: HashMap<WorkspaceKey, BorrowerState>,
}

pub(super) struct Inner {
    pub(super) inputs: QuotaInputs,
    pub(super) runtime: Handle,
    state: Mutex<State>,
}

/// Quota by leased shares. Clones share their state.
#[derive(Clone)]
pub struct LeasedQuota {
    pub(super) inner: Arc<Inner>,
}

impl LeasedQuota {
    /// Creates the quota of a node. Must be called on the runtime that will run
    /// its calls.
    #[must_use]
    pub fn new(inputs: QuotaInputs) -> Self {
        let inner = Inner {
            inputs,
            runtime: Handle::current(),
            state: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Records that this process created the slice table in force, the first of
    /// the fleet.
    pub fn set_fleet_creator(&self) {
        self.lock().owner.skip_quarantine();
    }

    /// Applies a version of the slice table.
    pub fn observe_table(&self, table: &SliceTable) {
        let own = &self.inner.inputs.own;
        let slot = table.find(&own.node_id);
        let owned = slot
            .into_iter()
            .flat_map(|slot| table.owned(Section::Quota, slot));
        let counts = table.counts(Section::Quota);
        let owners = table
            .slots()
            .iter()
            .zip(counts)
            .filter(|(_, count)| *count > 0);
        let rates = self.rates();
        let mut state = self.lock();
        state.is_usable = table.usable_slot(&own.node_id, own.ip).is_some();
        state.owner_ids = owners.map(|(slot, _)| slot.node_id.clone()).collect();
        let now_us = self.now_us();
        state
            .owner
            .set_slices(owned, |workspace| rate_of(&rates, workspace), now_us);
    }

    /// Stops using slices that are about to be given up.
    pub fn release(&self, slices: &[SliceIndex]) {
        let rates = self.rates();
        let now_us = self.now_us();
        let mut state = self.lock();
        state
            .owner
            .release(slices, |workspace| rate_of(&rates, workspace), now_us);
    }

    /// Renews leases, returns tokens and brings shares up to date.
    pub fn tick(&self) {
        let rates = self.rates();
        let now_us = self.now_us();
        let (active_workspaces, returning) = {
            let mut state = self.lock();
            let workspace_rates = rates.iter().map(|(workspace, rate)| (*workspace, *rate));
            state.owner.track(workspace_rates, now_us);
            let active_pools = state
                .pools
                .iter()
                .filter(|(_, pool)| pool.is_active(now_us));
            let active_workspaces: Vec<WorkspaceKey> =
                active_pools.map(|(workspace, _)| *workspace).collect();
            (active_workspaces, start_returns(&mut state, now_us))
        };
        for workspace in active_workspaces {
            self.query_owners(workspace, rate_of(&rates, workspace));
        }
        for workspace in returning {
            self.spawn_borrow(workspace);
        }
    }

    fn spawn_borrow(&self, workspace: WorkspaceKey) {
        let quota = self.clone();
        self.inner
            .runtime
            .spawn(async move { quota.borrow_for_waiters(workspace).await });
    }

    /// Sends borrow requests until no waiter arrived during the last one.
    async fn borrow_for_waiters(&self, workspace: WorkspaceKey) {
        loop {
            let (request, sent_us, waiters) = {
                let mut state = self.lock();
                let now_us = self.now_us();
                let borrower = self.borrower(&mut state, workspace);
                let mut waiters = std::mem::take(&mut borrower.waiters);
                waiters.retain(|waiter| !waiter.is_closed());
                let need_count = u32::try_from(waiters.len()).unwrap_or(u32::MAX);
                (
                    borrower.tokens.build_request(need_count, now_us),
                    now_us,
                    waiters,
                )
            };
            let response = self.borrow_from_pools(&request).await;
            let mut state = self.lock();
            let now_us = self.now_us();
            let borrower = self.borrower(&mut state, workspace);
            if let Some(response) = response {
                borrower.tokens.apply_response(sent_us, response, now_us);
            }
            for waiter in waiters {
                let is_admitted = !waiter.is_closed() && borrower.tokens.take(now_us);
                // The token of a caller that has just left is lost, not spent
                // twice.
                let _ = waiter.send(is_admitted);
            }
            if borrower.waiters.is_empty() {
                borrower.is_borrowing = false;
                return;
            }
        }
    }

    /// Borrows from the workspace's pool or, if that does not respond, from the
    /// pool of this node's zone.
    async fn borrow_from_pools(&self, request: &BorrowRequest) -> Option<BorrowResponse> {
        let inputs = &self.inner.inputs;
        let name = inputs.names.workspace_name(request.workspace);
        let view = inputs.view.borrow().clone();
        for pool_node in pool_nodes(&view, &name, &inputs.own.zone) {
            if pool_node.node_id == inputs.own.node_id {
                return Some(self.borrow(request.clone()).await);
            }
            let timeout_ms = match pool_node.region == inputs.region {
                true => BORROW_TIMEOUT_MS,
                false => OTHER_REGION_BORROW_TIMEOUT_MS,
            };
            let call = inputs
                .client
                .borrow(pool_node.rpc_address(), request.clone());
            if let Ok(Ok(response)) = timeout(Duration::from_millis(timeout_ms), call).await {
                return Some(response);
            }
        }
        None
    }

    fn try_take(&self, workspace: WorkspaceKey) -> LocalDecision {
        let (decision, is_borrowing) = {
            let mut state = self.lock();
            let now_us = self.now_us();
            let borrower = self.borrower(&mut state, workspace);
            borrower.tokens.record_demand(now_us);
            if borrower.tokens.take(now_us) {
                return LocalDecision::Admitted;
            }
            if now_us < borrower.tokens.empty_until_us() {
                return LocalDecision::Empty;
            }
            let (waiter, decision) = oneshot::channel();
            borrower.waiters.push(waiter);
            (
                decision,
                std::mem::replace(&mut borrower.is_borrowing, true),
            )
        };
        if !is_borrowing {
            self.spawn_borrow(workspace);
        }
        LocalDecision::Waiting(decision)
    }

    fn borrower<'a>(&self, state: &'a mut State, workspace: WorkspaceKey) -> &'a mut BorrowerState {
        let borrowers = &mut state.borrowers;
        borrowers.entry(workspace).or_insert_with(|| BorrowerState {
            tokens: BorrowedTokens::new(workspace, self.process()),
            waiters: Vec::new(),
            is_borrowing: false,
        })
    }

    pub(super) fn process(&self) -> Process {
        Process {
            node_id: self.inner.inputs.own.node_id.clone(),
            started_unix_ms: self.inner.inputs.started_unix_ms,
        }
    }

    pub(super) fn rates(&self) -> Arc<Rates> {
        self.inner.inputs.rates.borrow().clone()
    }

    pub(super) fn now_us(&self) -> u64 {
        self.inner.inputs.timer.now_us()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .expect("no holder of the lock panics")
    }
}

enum LocalDecision {
    Admitted,
    Empty,
    Waiting(oneshot::Receiver<bool>),
}

impl QuotaGate for LeasedQuota {
    fn is_ready(&self) -> bool {
        !self.lock().owner_ids.is_empty()
    }

    async fn admit(
        &self,
        workspace: WorkspaceKey,
        rate: Rate,
        _class: Class,
    ) -> Result<TokenOrigin, Refusal> {
        let is_admitted = match self.try_take(workspace) {
            LocalDecision::Admitted => true,
            LocalDecision::Empty => false,
            LocalDecision::Waiting(decision) => decision.await.unwrap_or(false),
        };
        if is_admitted {
            return Ok(TokenOrigin::Untracked);
        }
        let next_token_ms = 1000_u32.checked_div(rate.rate_per_s).unwrap_or(u32::MAX);
        Err(Refusal::not_run(Reason::OverQuota).with_retry_after_ms(next_token_ms.max(1)))
    }
}

pub(super) fn rate_of(rates: &Rates, workspace: WorkspaceKey) -> Rate {
    rates.get(&workspace).copied().unwrap_or(Rate {
        rate_per_s: 0,
        burst_count: 0,
    })
}

/// Workspaces whose tokens are to be returned now; marks each as borrowing.
fn start_returns(state: &mut State, now_us: u64) -> Vec<WorkspaceKey> {
    let mut workspaces = Vec::new();
    for (workspace, borrower) in &mut state.borrowers {
        if !borrower.is_borrowing && borrower.tokens.collect_returns(now_us) {
            borrower.is_borrowing = true;
            workspaces.push(*workspace);
        }
    }
    workspaces
}

/// Interval between two ticks of [`spawn`].
const TICK_PERIOD_MS: u64 = 50;

/// Starts the quota of a node. Its ticks end with the timer.
#[must_use]
pub fn spawn(inputs: QuotaInputs) -> LeasedQuota {
    let mut ticks = inputs.timer.subscribe(TICK_PERIOD_MS);
    let quota = LeasedQuota::new(inputs);
    let ticked_quota = quota.clone();
    tokio::spawn(async move {
        while ticks.next().await.is_some() {
            ticked_quota.tick();
        }
    });
    quota
}
