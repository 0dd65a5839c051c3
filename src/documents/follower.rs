//! Keeps this node's documents up to date, from the origin or from other members.
//!
//! Two relays per availability zone watch and poll the origin. The other members
//! receive newer versions from gossip, as hints and in replies to their probes, and
//! fetch them from the member that holds them.

use {
    super::{
        Document, DocumentKind, DocumentOrigin, DocumentStore, KIND_COUNT, PollBounds,
        RelayContact, RelayResponses, Versions,
        fetch::{FetchTask, Holders},
        poll::{PollTask, WatchTask},
        reachability::OriginReachability,
        relay_probes::RelayProbeTask,
    },
    crate::{
        backoff::Backoff,
        event,
        events::Event,
        membership::{
            Member, MemberProbes, MemberState, PeerStamp, View, relay_rank, relays,
            responsive_member_count,
        },
        timer::Timer,
    },
    rand::Rng,
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::sync::{broadcast, mpsc, watch},
    tokio_util::sync::CancellationToken,
};

const NOT_READY_REPORT_INTERVAL_MS: u64 = 3_000;

/// Client for calls to other members.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Fetches a document above this version from a member; `None` if unavailable.
    fn fetch(
        &self,
        node_id: &str,
        kind: DocumentKind,
        above_version: u64,
    ) -> impl Future<Output = Option<Document>> + Send;
}

/// Document versions that another member announced.
#[derives::value]
#[derive(Eq)]
pub struct Hint {
    /// The member.
    pub node_id: String,
    /// Versions that it holds.
    pub versions: Versions,
}

/// Inputs of [`spawn_follower`].
pub struct FollowerInputs<O, N> {
    /// This node.
    pub node_id: String,
    /// Its availability zone.
    pub zone: String,
    /// Receives the documents.
    pub store: DocumentStore,
    /// The documents' origin.
    pub origin: O,
    /// When to poll the origin.
    pub bounds: PollBounds,
    /// Calls to other members.
    pub peers: N,
    /// Current membership.
    pub view: watch::Receiver<Arc<View>>,
    /// Sends probes to single members.
    pub probes: MemberProbes,
    /// Replies to this node's probes.
    pub stamps: broadcast::Receiver<PeerStamp>,
    /// Hints from gossip.
    pub hints: mpsc::Receiver<Hint>,
    /// Clock and periodic ticks.
    pub timer: Timer,
    /// Stops the follower.
    pub shutdown: CancellationToken,
}

/// State shared by the follower's tasks.
#[derive(Debug, Clone)]
pub(super) struct Shared<O> {
    pub(super) node_id: String,
    pub(super) zone: String,
    pub(super) store: DocumentStore,
    pub(super) origin: O,
    pub(super) bounds: PollBounds,
    pub(super) view: watch::Receiver<Arc<View>>,
    pub(super) timer: Timer,
    pub(super) last_confirmed_ms: Arc<watch::Sender<Option<u64>>>,
    pub(super) reachability: Arc<OriginReachability>,
    pub(super) relay_responses: Arc<Mutex<RelayResponses>>,
}

impl<O> Shared<O> {
    pub(super) fn rank(&self) -> Option<usize> {
        relay_rank(&self.view.borrow(), &self.zone, &self.node_id)
    }

    pub(super) fn zone_member_count(&self) -> usize {
        responsive_member_count(&self.view.borrow(), &self.zone)
    }

    /// What is known of the relays of the zone.
    pub(super) fn relay_contact(&self) -> RelayContact {
        let view = self.view.borrow();
        let relays = relays(&view, &self.zone);
        let is_connected = |relay: &&Member| {
            relay.state != MemberState::Suspect
                && !self.reachability.is_member_failing(&relay.node_id)
        };
        let mut responding = relays.iter().filter(|relay| !self.is_silent(relay));
        if responding.clone().any(is_connected) {
            return RelayContact::Connected;
        }
        match relays.is_empty() || responding.next().is_some() {
            true => RelayContact::Disconnected,
            false => RelayContact::Silent,
        }
    }

    fn is_silent(&self, relay: &Member) -> bool {
        let Some(bounds) = self.bounds.relay_loss else {
            return false;
        };
        let bounds = bounds.for_zone(self.zone_member_count());
        let now_ms = self.timer.now_ms();
        self.relay_responses()
            .is_silent(&relay.node_id, bounds, now_ms)
    }

    pub(super) fn relay_responses(&self) -> MutexGuard<'_, RelayResponses> {
        self.relay_responses.lock().expect("lock is not poisoned")
    }

    pub(super) fn relay_ids(&self) -> Vec<String> {
        let view = self.view.borrow();
        let relays = relays(&view, &self.zone);
        relays.iter().map(|relay| relay.node_id.clone()).collect()
    }

    pub(super) fn is_in_zone(&self, node_id: &str) -> bool {
        let view = self.view.borrow();
        let member = view.member(node_id);
        member.is_none_or(|member| member.zone == self.zone)
    }

    pub(super) const fn backoff(&self) -> Backoff {
        Backoff::new(self.bounds.first_backoff_ms, self.bounds.longest_backoff_ms)
    }

    /// Records a failed call, unless the origin responded and serves this node.
    pub(super) fn record_failure(&self, error: &O::Error)
    where
        O: DocumentOrigin,
    {
        if !O::is_response(error) {
            self.reachability.record_failure();
        }
    }

    /// Records a confirmed poll if this node holds all versions that it returned.
    // The poll proves that these were the newest versions at that time. A node that
    // holds older ones and recorded the time alone would report itself as fresh
    // while it misses a revocation that the poll returned.
    pub(super) fn confirm(&self, versions: Versions, polled_ms: u64) {
        let held = self.store.versions();
        let holds_all = DocumentKind::ALL
            .iter()
            .all(|kind| held.of(*kind) >= versions.of(*kind));
        if holds_all {
            self.last_confirmed_ms.send_if_modified(|last_ms| {
                let is_later = last_ms.is_none_or(|earlier_ms| earlier_ms < polled_ms);
                if is_later {
                    *last_ms = Some(polled_ms);
                }
                is_later
            });
        }
    }
}

/// State that the follower publishes.
pub struct FollowerOutputs {
    /// Time of the last confirmed poll on the timer's clock, in milliseconds, made by
    /// this node or by a member whose versions it holds.
    pub last_confirmed_ms: watch::Receiver<Option<u64>>,
    /// Whether this node's calls to the origin fail.
    pub is_origin_failing: watch::Receiver<bool>,
}

/// Starts the follower.
pub fn spawn_follower<O: DocumentOrigin, N: Peers>(parts: FollowerInputs<O, N>) -> FollowerOutputs {
    let (last_confirmed_ms, last_confirmed_receiver) = watch::channel(None);
    let reachability = Arc::new(OriginReachability::new());
    let followed = FollowerOutputs {
        last_confirmed_ms: last_confirmed_receiver,
        is_origin_failing: reachability.subscribe(),
    };
    let shared = Shared {
        node_id: parts.node_id,
        zone: parts.zone,
        store: parts.store,
        origin: parts.origin,
        bounds: parts.bounds,
        view: parts.view,
        timer: parts.timer,
        last_confirmed_ms: Arc::new(last_confirmed_ms),
        reachability,
        relay_responses: Arc::default(),
    };
    let shutdown = parts.shutdown;
    let start_delay_ms = shared.bounds.start_delay_ms;
    let available = std::array::from_fn(|_| watch::channel(Holders::default()).0);
    for kind in O::KINDS.iter().copied() {
        let watching = WatchTask::new(shared.clone(), kind).run();
        spawn_until(&shutdown, after_start_delay(start_delay_ms, watching));
        let available = available[kind.index()].subscribe();
        let fetching = FetchTask::new(shared.clone(), parts.peers.clone(), kind, available);
        spawn_until(&shutdown, fetching.run());
    }
    if let Some(bounds) = shared.bounds.relay_loss {
        let probing = RelayProbeTask::new(shared.clone(), bounds, parts.probes.clone()).run();
        spawn_until(&shutdown, probing);
    }
    let polling = PollTask::new(shared.clone(), parts.probes).run();
    spawn_until(&shutdown, after_start_delay(start_delay_ms, polling));
    spawn_until(&shutdown, report_not_ready(shared.clone()));
    spawn_until(
        &shutdown,
        receive_versions(shared, parts.stamps, parts.hints, available),
    );
    followed
}

// A node that knows no other member yet considers itself its zone's first relay. In a
// fleet that starts at once, every node would call the platform at the same time; by
// the end of the delay most have discovered each other.
async fn after_start_delay(delay_ms: u64, task: impl Future<Output = ()>) {
    let delay_ms = rand::rng().random_range(delay_ms / 2..=delay_ms);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    task.await;
}

fn spawn_until(shutdown: &CancellationToken, task: impl Future<Output = ()> + Send + 'static) {
    let shutdown = shutdown.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = task => {}
        }
    });
}

async fn receive_versions<O: DocumentOrigin>(
    shared: Shared<O>,
    mut stamps: broadcast::Receiver<PeerStamp>,
    mut hints: mpsc::Receiver<Hint>,
    available: [watch::Sender<Holders>; KIND_COUNT],
) {
    let mut hints_open = true;
    loop {
        tokio::select! {
            stamp = stamps.recv() => match stamp {
                Ok(stamp) => {
                    shared
                        .relay_responses()
                        .record(&stamp.node_id, shared.timer.now_ms());
                    shared
                        .reachability
                        .record_member(&stamp.node_id, stamp.is_origin_failing);
                    record_available(&shared, &stamp.node_id, stamp.versions, &available);
                    if let Some(polled_ms) = stamp.platform_seen_ms {
                        shared.confirm(stamp.versions, polled_ms);
                    }
                }
                Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => break,
            },
            hint = hints.recv(), if hints_open => match hint {
                Some(hint) => record_available(&shared, &hint.node_id, hint.versions, &available),
                None => hints_open = false,
            },
        }
    }
}

fn record_available<O: DocumentOrigin>(
    shared: &Shared<O>,
    node_id: &str,
    versions: Versions,
    available: &[watch::Sender<Holders>; KIND_COUNT],
) {
    let held = shared.store.versions();
    for kind in DocumentKind::ALL {
        let version = versions.of(kind);
        if version <= held.of(kind) || !O::KINDS.contains(&kind) {
            continue;
        }
        available[kind.index()]
            .send_modify(|holders| holders.record(node_id, version, held.of(kind)));
    }
}

async fn report_not_ready<O: DocumentOrigin>(shared: Shared<O>) {
    let mut configuration = shared.store.subscribe(DocumentKind::Configuration);
    let mut ticks = shared.timer.subscribe(NOT_READY_REPORT_INTERVAL_MS);
    loop {
        tokio::select! {
            _ = configuration.wait_for(Option::is_some) => break,
            tick = ticks.next() => if tick.is_none() { break },
        }
        let member_count = shared.view.borrow().members.len();
        event!(
            Event::NodeNotReady,
            "waits for a configuration: neither the platform nor another member has provided one, members={member_count}"
        );
    }
}
