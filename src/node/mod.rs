//! A node: its state, the background tasks that update it, and request dispatch.

mod admission_table;
mod calls;
mod drain;
mod evacuation;
mod guarded;
mod in_flight;
mod level;
mod loop_lag;
mod response_times;
mod route_table;
mod row_builder;
mod start;
mod tasks;

pub use {
    admission_table::{AdmissionTable, Ticket, admit},
    calls::{CallHandle, CallTable, InFlightCall},
    guarded::{Home, KeyGuard, dispatch, serve_at_home},
    in_flight::InFlightGuard,
    loop_lag::LoopLag,
    response_times::{RequestKind, ResponseTimes, TimedRequestKey},
    route_table::{RouteTable, TargetLocation},
    start::{StartError, start},
    tasks::{follow_members, follow_probe_responses, run_ticks},
};

use {
    crate::{
        admission::{AdmissionPolicy, DownstreamControl},
        conf::{CompiledConfiguration, Evacuations},
        control::{Metrics, RefusalRecord},
        dialect::{Dialect, Native},
        exchange::{BodyRoom, OutboundRequest},
        freshness::{Freshness, Snapshot},
        membership::{MemberProbes, OwnState, View},
        model::{Names, RegionKey, RegionSet, WorkspaceKey},
        peer::{FleetAuth, SeenAttempts},
        quarantine::Quarantine,
        quota::QuotaGate,
        retry::{RetryPolicy, RetryShareLimits},
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

/// Value of [`Node::cut_off_since_ms`] while the node is not cut off.
pub const NOT_CUT_OFF: u64 = u64::MAX;
/// Types of the replaceable policies, chosen once at start.
pub trait Policies: Send + Sync + 'static {
    /// Admission at the local target.
    type Admission: AdmissionPolicy;
    /// Selection of targets.
    type Routing: RoutePolicy;
    /// Limits on retries.
    type Retry: RetryPolicy;
    /// Rate and burst of workspaces.
    type Quota: QuotaGate;
    /// At most one execution per idempotency key.
    type Guard: KeyGuard;
    /// Protocol of callers and targets.
    type Dialect: Dialect;
}

/// A set of policies given as type parameters.
#[derive(Debug)]
pub struct PolicySet<A, R, T, Q, G, D = Native>(PhantomData<PolicyTypes<A, R, T, Q, G, D>>);

/// Function type that names the policy types without owning values of them.
type PolicyTypes<A, R, T, Q, G, D> = fn() -> (A, R, T, Q, G, D);

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

/// Inputs of [`Node::new`].
#[derive(Debug)]
pub struct NodeInputs<Q, G, D> {
    /// Checked settings.
    pub settings: Arc<Settings>,
    /// Names shared with configuration and membership.
    pub names: Names,
    /// Timer service.
    pub timer: Timer,
    /// Configuration in force; revision 0 while there is none.
    pub running: watch::Receiver<Arc<CompiledConfiguration>>,
    /// Availability zones that get no work.
    pub evacuations: watch::Receiver<Arc<Evacuations>>,
    /// Members of the fleet as known by gossip.
    pub view: watch::Receiver<Arc<View>>,
    /// Probes the liveness of single members.
    pub probes: MemberProbes,
    /// State of this node that gossip sends to other nodes.
    pub own_state: watch::Sender<OwnState>,
    /// Freshness of the data read from the platform.
    pub freshness: watch::Receiver<Snapshot>,
    /// Quota of workspaces.
    pub quota: Q,
    /// Guard of idempotency keys.
    pub guard: G,
    /// Protocol of callers and targets.
    pub dialect: D,
}

/// The shared state of one node process.
///
/// Each part of the state has its own lock, held only for short synchronous
/// operations and never across an `await`.
pub struct Node<P: Policies> {
    /// Checked settings.
    pub settings: Arc<Settings>,
    /// Names shared with configuration and membership.
    pub names: Names,
    /// Region of this instance.
    pub region: RegionKey,
    /// Timer service.
    pub timer: Timer,
    /// Probes the liveness of single members.
    pub probes: MemberProbes,
    /// State of this node that gossip sends to other nodes.
    pub own_state: watch::Sender<OwnState>,
    /// Quota of workspaces.
    pub quota: P::Quota,
    /// Guard of idempotency keys.
    pub guard: P::Guard,
    /// Protocol of callers and targets.
    pub dialect: P::Dialect,
    /// Counters for `/metrics`.
    pub metrics: Metrics,
    /// Authenticates messages between nodes with the fleet secret.
    pub auth: FleetAuth,
    /// Ids of attempts received from other nodes.
    pub seen_attempts: SeenAttempts,
    /// Requests that crash targets.
    pub quarantine: Quarantine,
    /// Connections to the local target.
    pub target: Arc<TargetPool>,
    /// Room for the bodies of requests.
    pub body_room: BodyRoom,
    /// Number of open caller connections.
    pub caller_connection_count: Arc<AtomicUsize>,
    /// Number of open connections from other nodes.
    pub peer_connection_count: Arc<AtomicUsize>,
    /// Closes the caller connections.
    pub callers_closing: CancellationToken,
    /// Closes the connections from other nodes.
    pub peers_closing: CancellationToken,
    /// Answers the requests that have not ended when the node stops.
    pub answering_rest: CancellationToken,
    /// Stops all tasks of the node.
    pub stopped: CancellationToken,
    running: watch::Receiver<Arc<CompiledConfiguration>>,
    evacuations: watch::Receiver<Arc<Evacuations>>,
    view: watch::Receiver<Arc<View>>,
    freshness: watch::Receiver<Snapshot>,
    admission: Mutex<AdmissionTable<P::Admission>>,
    routes: Mutex<RouteTable<P::Routing>>,
    retries: Mutex<P::Retry>,
    calls: Mutex<CallTable>,
    registration: Mutex<Registration>,
    downstream: Mutex<DownstreamControl>,
    loop_lag: Mutex<LoopLag>,
    response_times: Mutex<ResponseTimes>,
    refusals: Mutex<RefusalRecord>,
    in_flight_count: AtomicUsize,
    /// Notifies [`run_ticks`] when the first request arrives at an idle node.
    first_request_arrived: Notify,
    cut_off_since_ms: AtomicU64,
    drain: CancellationToken,
    stop_us: AtomicU64,
}

impl<P: Policies> Node<P> {
    /// Creates the state of a node; [`start`] starts its tasks.
    #[must_use]
    pub fn new(inputs: NodeInputs<P::Quota, P::Guard, P::Dialect>) -> Arc<Self> {
        let auth = FleetAuth::new(&inputs.settings.fleet_secret);
        let routes = RouteTable::new(inputs.settings.target_choice);
        let retries = P::Retry::new().with_retry_share_limits(RetryShareLimits {
            percent: inputs.settings.retry_percent,
            floor_count: inputs.settings.retry_floor,
        });
        let downstream = DownstreamControl::new(inputs.settings.downstream_admission);
        let budget = inputs.settings.memory_budget();
        let registration = Registration::new()
            .with_node_start(inputs.timer.steady_unix_ms())
            .with_confirmation(P::Dialect::HEARTBEATS_MAY_BE_LATE);
        Arc::new(Self {
            auth,
            seen_attempts: SeenAttempts::new(),
            quarantine: Quarantine::new(),
            target: TargetPool::new(inputs.settings.ip),
            body_room: BodyRoom::with_small_bodies(budget.body_bytes, budget.small_body_bytes),
            region: inputs.names.region(&inputs.settings.region),
            admission: Mutex::new(
                AdmissionTable::new().with_queue_order(inputs.settings.queue_order),
            ),
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
            callers_closing: CancellationToken::new(),
            peers_closing: CancellationToken::new(),
            answering_rest: CancellationToken::new(),
            stopped: CancellationToken::new(),
            running: inputs.running,
            evacuations: inputs.evacuations,
            view: inputs.view,
            freshness: inputs.freshness,
            routes: Mutex::new(routes),
            retries: Mutex::new(retries),
            calls: Mutex::new(CallTable::new()),
            registration: Mutex::new(registration),
            downstream: Mutex::new(downstream),
            loop_lag: Mutex::new(LoopLag::new()),
            response_times: Mutex::new(ResponseTimes::new()),
            refusals: Mutex::new(RefusalRecord::new()),
            in_flight_count: AtomicUsize::new(0),
            first_request_arrived: Notify::new(),
            cut_off_since_ms: AtomicU64::new(NOT_CUT_OFF),
            drain: CancellationToken::new(),
            stop_us: AtomicU64::new(u64::MAX),
        })
    }

    /// The configuration in force.
    #[must_use]
    pub fn running(&self) -> Arc<CompiledConfiguration> {
        Arc::clone(&self.running.borrow())
    }

    /// Whether a configuration is in force and the quota can admit requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.running.borrow().revision > 0 && self.quota.is_ready()
    }

    /// Regions in which a request may run, by this node's configuration in force.
    #[must_use]
    pub fn regions_of(&self, workspace: WorkspaceKey, outbound: &OutboundRequest) -> RegionSet {
        let (host, path) = (outbound.host.as_deref(), outbound.path.path());
        self.running().allowed_regions(workspace, host, path)
    }

    /// Availability zones that get no work.
    #[must_use]
    pub fn evacuations(&self) -> Arc<Evacuations> {
        Arc::clone(&self.evacuations.borrow())
    }

    /// Current freshness of the data read from the platform.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        self.freshness.borrow().at(self.timer.now_ms())
    }

    /// All members of the fleet as known by gossip.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Whether no request runs, waits or is in flight and no caller is connected.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let (running, waiting) = self.admission().counts();
        let connections = self.caller_connection_count.load(Ordering::Acquire);
        running + waiting + connections + self.in_flight_count() == 0
    }

    /// Whether no request is in flight, so that ticks may be rare.
    fn has_no_request_in_flight(&self) -> bool {
        self.in_flight_count() == 0
    }

    /// Maximum size of a request body, in bytes.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        let configured = self.running().max_body_bytes;
        configured.unwrap_or(self.settings.max_body_bytes)
    }

    /// Number of requests that this node processes in any role.
    #[must_use]
    pub fn in_flight_count(&self) -> usize {
        self.in_flight_count.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> InFlightGuard<P> {
        if self.in_flight_count.fetch_add(1, Ordering::AcqRel) == 0 {
            self.first_request_arrived.notify_one();
        }
        InFlightGuard::new(Arc::clone(self))
    }

    /// Time at which this node was cut off, in milliseconds of its timer, or
    /// [`NOT_CUT_OFF`].
    #[must_use]
    pub fn cut_off_since_ms(&self) -> u64 {
        self.cut_off_since_ms.load(Ordering::Relaxed)
    }

    /// Admission at the local target.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionTable<P::Admission>> {
        lock(&self.admission)
    }

    /// Known targets and the routing policy.
    pub fn routes(&self) -> MutexGuard<'_, RouteTable<P::Routing>> {
        lock(&self.routes)
    }

    /// Retry allotments.
    pub fn retries(&self) -> MutexGuard<'_, P::Retry> {
        lock(&self.retries)
    }

    /// Load and failures of the local target's downstream calls.
    pub fn downstream(&self) -> MutexGuard<'_, DownstreamControl> {
        lock(&self.downstream)
    }

    /// Lag of this node's thread.
    pub fn loop_lag(&self) -> MutexGuard<'_, LoopLag> {
        lock(&self.loop_lag)
    }

    /// Response times of the requests of callers.
    pub fn response_times(&self) -> MutexGuard<'_, ResponseTimes> {
        lock(&self.response_times)
    }

    /// Recent refusals at the local target for want of capacity.
    pub fn refusals(&self) -> MutexGuard<'_, RefusalRecord> {
        lock(&self.refusals)
    }

    /// Registration of the local target's process.
    pub fn registration(&self) -> MutexGuard<'_, Registration> {
        lock(&self.registration)
    }

    /// Calls in progress at the local target.
    pub fn calls(&self) -> MutexGuard<'_, CallTable> {
        lock(&self.calls)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("lock is not poisoned")
}
