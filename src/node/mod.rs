//! A node: its tables, the systems that run over them, and its parts.

mod admission_table;
mod calls;
mod evacuation;
mod guarded;
mod loop_lag;
mod route_table;
mod start;
mod systems;

pub use {
    admission_table::{AdmissionTable, DRAIN_ANNOUNCE_US, Ticket, admit},
    calls::{CallHandle, CallTable, InFlightCall},
    evacuation::follow_evacuations,
    guarded::{Home, KeyGuard, dispatch, serve_at_home},
    loop_lag::LoopLag,
    route_table::{RouteTable, TargetLocation},
    start::{StartError, start},
    systems::{follow_answers, follow_members, run_ticks},
};

use {
    crate::{
        admission::{AdmissionPolicy, Downstream},
        conf::{Evacuations, Running},
        control::Metrics,
        dialect::{Dialect, Native},
        event,
        events::Event,
        exchange::Outbound,
        freshness::{Freshness, Snapshot},
        membership::{MemberProbes, OwnState, View},
        model::{AdmissionLevel, Class, Names, RegionKey, RegionSet, WorkspaceKey},
        peer::{FleetAuth, SeenAttempts},
        quota::QuotaGate,
        retry::{RetryPolicy, ShareLimits},
        routing::RoutePolicy,
        settings::Settings,
        target::{Registration, TargetPool},
        timer::Timer,
    },
    std::{
        marker::PhantomData,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
    },
    tokio::sync::{Notify, watch},
    tokio_util::sync::CancellationToken,
};

/// Stands for "not cut off" in [`Node::cut_off_since_ms`].
pub const NOT_CUT_OFF: u64 = u64::MAX;

/// The decisions that vary, chosen once at start.
pub trait Policies: Send + Sync + 'static {
    /// Admission at the own target.
    type Admission: AdmissionPolicy;
    /// Choice of targets.
    type Routing: RoutePolicy;
    /// Retries.
    type Retry: RetryPolicy;
    /// Rate and burst of workspaces.
    type Quota: QuotaGate;
    /// At most one execution for each idempotency key.
    type Guard: KeyGuard;
    /// What callers and targets speak.
    type Dialect: Dialect;
}

/// A set of policies by type.
#[derive(Debug)]
pub struct PolicySet<A, R, T, Q, G, D = Native>(PhantomData<Choice<A, R, T, Q, G, D>>);

/// A type that names the policies without holding any.
type Choice<A, R, T, Q, G, D> = fn() -> (A, R, T, Q, G, D);

impl<A, R, T, Q, G, D> Policies for PolicySet<A, R, T, Q, G, D>
where
    A: AdmissionPolicy,
    R: RoutePolicy,
    T: RetryPolicy,
    Q: QuotaGate,
    G: KeyGuard,
    D: Dialect,
{
    type Admission = A;
    type Routing = R;
    type Retry = T;
    type Quota = Q;
    type Guard = G;
    type Dialect = D;
}

/// What a node is made of besides its policies.
#[derive(Debug)]
pub struct NodeInputs<Q, G, D> {
    /// Checked settings.
    pub settings: Arc<Settings>,
    /// Names shared with configuration and membership.
    pub names: Names,
    /// Timer service.
    pub timer: Timer,
    /// Configuration in force; revision 0 while there is none.
    pub running: watch::Receiver<Arc<Running>>,
    /// Availability zones that get no work.
    pub evacuations: watch::Receiver<Arc<Evacuations>>,
    /// Members as gossip knows them.
    pub view: watch::Receiver<Arc<View>>,
    /// Asks single members whether they live.
    pub probes: MemberProbes,
    /// What gossip tells others about this node.
    pub own_state: watch::Sender<OwnState>,
    /// State of the knowledge of the platform.
    pub freshness: watch::Receiver<Snapshot>,
    /// Quota of workspaces.
    pub quota: Q,
    /// Guard of idempotency keys.
    pub guard: G,
    /// What callers and targets speak.
    pub dialect: D,
}

/// One process of the fleet.
///
/// Each area of state has its own lock, held for single steps only and never
/// while waiting.
pub struct Node<P: Policies> {
    /// Checked settings.
    pub settings: Arc<Settings>,
    /// Names shared with configuration and membership.
    pub names: Names,
    /// Region of this instance.
    pub region: RegionKey,
    /// Timer service.
    pub timer: Timer,
    /// Asks single members whether they live.
    pub probes: MemberProbes,
    /// What gossip tells others about this node.
    pub own_state: watch::Sender<OwnState>,
    /// Quota of workspaces.
    pub quota: P::Quota,
    /// Guard of idempotency keys.
    pub guard: P::Guard,
    /// What callers and targets speak.
    pub dialect: P::Dialect,
    /// Counters for `/metrics`.
    pub metrics: Metrics,
    /// Fleet secret at work.
    pub auth: FleetAuth,
    /// Attempts that came from other nodes.
    pub arrivals: SeenAttempts,
    /// Connections to the own target.
    pub target: Arc<TargetPool>,
    /// Open connections of callers.
    pub caller_connection_count: Arc<AtomicUsize>,
    /// Open connections of other nodes.
    pub peer_connection_count: Arc<AtomicUsize>,
    /// Ends the connections of callers.
    pub closing: CancellationToken,
    /// Ends the connections of other nodes.
    pub peers_closing: CancellationToken,
    /// Ends everything.
    pub stopped: CancellationToken,
    running: watch::Receiver<Arc<Running>>,
    evacuations: watch::Receiver<Arc<Evacuations>>,
    view: watch::Receiver<Arc<View>>,
    freshness: watch::Receiver<Snapshot>,
    admission: Mutex<AdmissionTable<P::Admission>>,
    routes: Mutex<RouteTable<P::Routing>>,
    retries: Mutex<P::Retry>,
    calls: Mutex<CallTable>,
    registration: Mutex<Registration>,
    downstream: Mutex<Downstream>,
    loop_lag: Mutex<LoopLag>,
    in_flight_count: AtomicUsize,
    /// Wakes the systems when the first request comes.
    work_begins: Notify,
    cut_off_since_ms: AtomicU64,
    drain: CancellationToken,
}

impl<P: Policies> Node<P> {
    /// A node that does nothing yet.
    #[must_use]
    pub fn new(inputs: NodeInputs<P::Quota, P::Guard, P::Dialect>) -> Arc<Self> {
        let auth = FleetAuth::new(&inputs.settings.fleet_secret);
        let retries = P::Retry::new().with_share_limits(ShareLimits {
            percent: inputs.settings.retry_percent,
            floor_count: inputs.settings.retry_floor,
        });
        Arc::new(Self {
            auth,
            arrivals: SeenAttempts::new(),
            target: TargetPool::new(inputs.settings.ip),
            region: inputs.names.region(&inputs.settings.region),
            settings: inputs.settings,
            names: inputs.names,
            timer: inputs.timer,
            probes: inputs.probes,
            own_state: inputs.own_state,
            quota: inputs.quota,
            guard: inputs.guard,
            dialect: inputs.dialect,
            metrics: Metrics::new(),
            caller_connection_count: Arc::default(),
            peer_connection_count: Arc::default(),
            closing: CancellationToken::new(),
            peers_closing: CancellationToken::new(),
            stopped: CancellationToken::new(),
            running: inputs.running,
            evacuations: inputs.evacuations,
            view: inputs.view,
            freshness: inputs.freshness,
            admission: Mutex::new(AdmissionTable::new()),
            routes: Mutex::new(RouteTable::new()),
            retries: Mutex::new(retries),
            calls: Mutex::new(CallTable::new()),
            registration: Mutex::new(Registration::new()),
            downstream: Mutex::new(Downstream::new()),
            loop_lag: Mutex::new(LoopLag::new()),
            in_flight_count: AtomicUsize::new(0),
            work_begins: Notify::new(),
            cut_off_since_ms: AtomicU64::new(NOT_CUT_OFF),
            drain: CancellationToken::new(),
        })
    }

    /// The configuration in force.
    #[must_use]
    pub fn running(&self) -> Arc<Running> {
        Arc::clone(&self.running.borrow())
    }

    /// Whether there is a configuration to serve by and quota to admit with.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.running.borrow().revision > 0 && self.quota.is_ready()
    }

    /// Regions in which a request may run, by the configuration in force here.
    #[must_use]
    pub fn regions_of(&self, workspace: WorkspaceKey, outbound: &Outbound) -> RegionSet {
        let (host, path) = (outbound.host.as_deref(), outbound.path.path());
        self.running().regions_of(workspace, host, path)
    }

    /// Availability zones that get no work.
    #[must_use]
    pub fn evacuations(&self) -> Arc<Evacuations> {
        Arc::clone(&self.evacuations.borrow())
    }

    /// How far this node may rely on what it knows of the platform.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        self.freshness.borrow().at(self.timer.now_ms())
    }

    /// All members as gossip knows them.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Takes no new work from now on and tells everyone; running work ends.
    ///
    /// The one way in for SIGTERM and operators; `shutdown::run` carries it out.
    pub fn drain(&self) {
        if self.drain.is_cancelled() {
            return;
        }
        event!(Event::DrainStarted, "node={}", self.settings.node_id);
        self.own_state.send_modify(|own| own.draining = true);
        self.drain.cancel();
    }

    /// Whether a drain has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// Waits until a drain begins.
    pub async fn drain_begins(&self) {
        self.drain.cancelled().await;
    }

    /// Whether nothing runs, waits or is still being written to a caller.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let (running, waiting) = self.admission().counts();
        let connections = self.caller_connection_count.load(Ordering::Acquire);
        running + waiting + connections + self.in_flight_count() == 0
    }

    /// Whether no request is in flight, so that no system has to run soon.
    fn has_nothing_to_do(&self) -> bool {
        self.in_flight_count() == 0
    }

    /// Requests that this node works on in any role.
    #[must_use]
    pub fn in_flight_count(&self) -> usize {
        self.in_flight_count.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> InFlightGuard<P> {
        if self.in_flight_count.fetch_add(1, Ordering::AcqRel) == 0 {
            self.work_begins.notify_one();
        }
        InFlightGuard(Arc::clone(self))
    }

    /// Since when this node has been cut off, or [`NOT_CUT_OFF`].
    #[must_use]
    pub fn cut_off_since_ms(&self) -> u64 {
        self.cut_off_since_ms.load(Ordering::Relaxed)
    }

    /// Admission at the own target.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionTable<P::Admission>> {
        locked(&self.admission)
    }

    /// Level that answers of this node to requests of this class carry.
    #[must_use]
    pub fn level(&self, class: Class) -> AdmissionLevel {
        let now_us = self.timer.now_us();
        let level = self.admission().level(class, now_us);
        let cold_percent = self.target.gate().load_percent(now_us);
        let lag_percent = self.loop_lag().load_percent();
        AdmissionLevel {
            load_percent: level.load_percent.max(lag_percent).max(cold_percent),
            below_percent: self.downstream().load_percent(),
            draining: level.draining || self.is_draining(),
            ..level
        }
    }

    /// Targets and their choice.
    pub fn routes(&self) -> MutexGuard<'_, RouteTable<P::Routing>> {
        locked(&self.routes)
    }

    /// Retry allotments.
    pub fn retries(&self) -> MutexGuard<'_, P::Retry> {
        locked(&self.retries)
    }

    /// How the calls of the own target fare.
    pub fn downstream(&self) -> MutexGuard<'_, Downstream> {
        locked(&self.downstream)
    }

    /// How late this node's thread is.
    pub fn loop_lag(&self) -> MutexGuard<'_, LoopLag> {
        locked(&self.loop_lag)
    }

    /// Processes of the own target.
    pub fn registration(&self) -> MutexGuard<'_, Registration> {
        locked(&self.registration)
    }

    /// Calls that the own target works on.
    pub fn calls(&self) -> MutexGuard<'_, CallTable> {
        locked(&self.calls)
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("lock is not poisoned")
}

/// Counts a request as in flight while it lives.
pub struct InFlightGuard<P: Policies>(Arc<Node<P>>);

impl<P: Policies> Drop for InFlightGuard<P> {
    fn drop(&mut self) {
        self.0.in_flight_count.fetch_sub(1, Ordering::AcqRel);
    }
}
