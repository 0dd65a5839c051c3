//! Quota in a running node: local tokens first, one ask of the bank else.

use {
    super::{
        BorrowRequest, BorrowResponse, BorrowedTokens, Process, QuotaGate, QuotaOwner, Rate,
        TokenPool, route::banks,
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

/// Longest wait for a bank in the own region. On a busy machine a first call,
/// which connects, takes longer than 20 ms; what the bank lends after the limit
/// is lost for a second.
const ASK_LIMIT_MS: u64 = 60;

/// Longest wait for a bank in another region.
const FAR_ASK_LIMIT_MS: u64 = 250;

/// Rates in force by workspace.
pub type Rates = HashMap<WorkspaceKey, Rate>;

/// What quota reads of its node.
#[derive(Clone)]
pub struct QuotaInputs {
    /// Slot of this node.
    pub own: Slot,
    /// Region of this node.
    pub region: String,
    /// Start of this process.
    pub started_unix_ms: u64,
    /// Clock.
    pub timer: Timer,
    /// Names of workspaces.
    pub names: Names,
    /// Members.
    pub view: watch::Receiver<Arc<View>>,
    /// Freshness.
    pub freshness: watch::Receiver<Snapshot>,
    /// Rates in force.
    pub rates: watch::Receiver<Arc<Rates>>,
    /// Calls to other nodes.
    pub client: RpcClient,
}

struct Wallet {
    purse: BorrowedTokens,
    waiters: Vec<oneshot::Sender<bool>>,
    is_asking: bool,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) owner: QuotaOwner,
    pub(super) is_usable: bool,
    pub(super) owner_ids: Vec<String>,
    pub(super) banks: HashMap<WorkspaceKey, TokenPool>,
    wallets: HashMap<WorkspaceKey, Wallet>,
}

pub(super) struct Inner {
    pub(super) inputs: QuotaInputs,
    pub(super) runtime: Handle,
    state: Mutex<State>,
}

/// Quota by leased shares; clones share their state.
#[derive(Clone)]
pub struct LeasedQuota {
    pub(super) inner: Arc<Inner>,
}

impl LeasedQuota {
    /// Quota of a node; to be made on the runtime that shall make its calls.
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

    /// This process made the fleet's first slice table, which is in use now.
    pub fn created_fleet(&self) {
        self.lock().owner.skip_quarantine();
    }

    /// Follows a version of the slice table.
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

    /// Renews leases, returns tokens, brings shares up to date.
    pub fn tick(&self) {
        let rates = self.rates();
        let now_us = self.now_us();
        let (banks, returning) = {
            let mut state = self.lock();
            let all = rates.iter().map(|(workspace, rate)| (*workspace, *rate));
            state.owner.track(all, now_us);
            let awake = state.banks.iter().filter(|(_, bank)| bank.is_awake(now_us));
            let banks: Vec<WorkspaceKey> = awake.map(|(workspace, _)| *workspace).collect();
            (banks, returning(&mut state, now_us))
        };
        for workspace in banks {
            self.ask_owners(workspace, rate_of(&rates, workspace));
        }
        for workspace in returning {
            self.spawn_ask(workspace);
        }
    }

    fn spawn_ask(&self, workspace: WorkspaceKey) {
        let quota = self.clone();
        self.inner
            .runtime
            .spawn(async move { quota.ask_bank(workspace).await });
    }

    /// Asks until nobody waits who came before the last ask.
    async fn ask_bank(&self, workspace: WorkspaceKey) {
        loop {
            let (ask, sent_us, waiters) = {
                let mut state = self.lock();
                let now_us = self.now_us();
                let wallet = self.wallet(&mut state, workspace);
                let mut waiters = std::mem::take(&mut wallet.waiters);
                waiters.retain(|waiter| !waiter.is_closed());
                let need_count = u32::try_from(waiters.len()).unwrap_or(u32::MAX);
                (wallet.purse.ask(need_count, now_us), now_us, waiters)
            };
            let answer = self.ask_banks(&ask).await;
            let mut state = self.lock();
            let now_us = self.now_us();
            let wallet = self.wallet(&mut state, workspace);
            if let Some(answer) = answer {
                wallet.purse.lent(sent_us, answer, now_us);
            }
            for waiter in waiters {
                let is_admitted = !waiter.is_closed() && wallet.purse.take(now_us);
                // A caller that left just now: its token is lost, not spent twice.
                let _ = waiter.send(is_admitted);
            }
            if wallet.waiters.is_empty() {
                wallet.is_asking = false;
                return;
            }
        }
    }

    /// The bank, or the one of the own zone when it does not answer.
    async fn ask_banks(&self, ask: &BorrowRequest) -> Option<BorrowResponse> {
        let inputs = &self.inner.inputs;
        let name = inputs.names.workspace_name(ask.workspace);
        let view = inputs.view.borrow().clone();
        for bank in banks(&view, &name, &inputs.own.zone) {
            if bank.node_id == inputs.own.node_id {
                return Some(self.borrow(ask.clone()).await);
            }
            let limit_ms = match bank.region == inputs.region {
                true => ASK_LIMIT_MS,
                false => FAR_ASK_LIMIT_MS,
            };
            let call = inputs.client.borrow(bank.rpc_address(), ask.clone());
            if let Ok(Ok(answer)) = timeout(Duration::from_millis(limit_ms), call).await {
                return Some(answer);
            }
        }
        None
    }

    fn begin(&self, workspace: WorkspaceKey) -> Local {
        let (answer, is_asking) = {
            let mut state = self.lock();
            let now_us = self.now_us();
            let wallet = self.wallet(&mut state, workspace);
            wallet.purse.demand(now_us);
            if wallet.purse.take(now_us) {
                return Local::Admitted;
            }
            if now_us < wallet.purse.empty_until_us() {
                return Local::Empty;
            }
            let (waiter, answer) = oneshot::channel();
            wallet.waiters.push(waiter);
            (answer, std::mem::replace(&mut wallet.is_asking, true))
        };
        if !is_asking {
            self.spawn_ask(workspace);
        }
        Local::Asked(answer)
    }

    fn wallet<'a>(&self, state: &'a mut State, workspace: WorkspaceKey) -> &'a mut Wallet {
        let wallets = &mut state.wallets;
        wallets.entry(workspace).or_insert_with(|| Wallet {
            purse: BorrowedTokens::new(workspace, self.process()),
            waiters: Vec::new(),
            is_asking: false,
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

enum Local {
    Admitted,
    Empty,
    Asked(oneshot::Receiver<bool>),
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
    ) -> Result<(), Refusal> {
        let is_admitted = match self.begin(workspace) {
            Local::Admitted => true,
            Local::Empty => false,
            Local::Asked(answer) => answer.await.unwrap_or(false),
        };
        if is_admitted {
            return Ok(());
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

/// Workspaces whose tokens go back now; each counts as asking from here on.
fn returning(state: &mut State, now_us: u64) -> Vec<WorkspaceKey> {
    let mut workspaces = Vec::new();
    for (workspace, wallet) in &mut state.wallets {
        if !wallet.is_asking && wallet.purse.collect_returns(now_us) {
            wallet.is_asking = true;
            workspaces.push(*workspace);
        }
    }
    workspaces
}

/// Time between two ticks of [`spawn`].
const TICK_PERIOD_MS: u64 = 50;

/// Starts the quota of a node; its ticks end with the timer.
#[must_use]
pub fn spawn(inputs: QuotaInputs) -> LeasedQuota {
    let mut ticks = inputs.timer.subscribe(TICK_PERIOD_MS);
    let quota = LeasedQuota::new(inputs);
    let ticking = quota.clone();
    tokio::spawn(async move {
        while ticks.next().await.is_some() {
            ticking.tick();
        }
    });
    quota
}
