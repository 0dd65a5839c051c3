//! Follows documents, directly or through other members.
//!
//! Two relays in each availability zone watch the documents' origin and confirm
//! their look; the other members learn of higher versions from gossip, as hints
//! and as replies to their own probes, and fetch them from the member that has
//! them.

use {
    super::{
        Document, DocumentKind, DocumentOrigin, DocumentStore, KIND_COUNT, PollBounds, Versions,
        look::{LookTask, WatchTask},
        reach::OriginReach,
    },
    crate::{
        backoff::Backoff,
        event,
        events::Event,
        membership::{MemberProbes, PeerStamp, View, relay_rank, relays},
        timer::Timer,
    },
    rand::Rng,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{broadcast, mpsc, watch},
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

const FETCH_LIMIT: Duration = Duration::from_millis(1_000);
const FETCH_ATTEMPTS: usize = 4;
/// Wait for a member of the own availability zone to bring what one of another
/// zone holds: traffic between zones is slower and paid for.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(150);
const NOT_READY_REPORT_MS: u64 = 3_000;

/// Calls to other members.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Asks a member for a document above this version.
    fn fetch(
        &self,
        node_id: &str,
        kind: DocumentKind,
        above_version: u64,
    ) -> impl Future<Output = Option<Document>> + Send;
}

/// What another member told of its documents.
#[derives::value]
#[derive(Eq)]
pub struct Hint {
    /// The member.
    pub node_id: String,
    /// Versions that it holds.
    pub versions: Versions,
}

/// What the follower works with.
pub struct FollowerParts<O, N> {
    /// This node.
    pub node_id: String,
    /// Its availability zone.
    pub zone: String,
    /// Where documents go.
    pub store: DocumentStore,
    /// Where operators write them.
    pub origin: O,
    /// When to look there.
    pub bounds: PollBounds,
    /// Calls to other members.
    pub neighbours: N,
    /// Members.
    pub view: watch::Receiver<Arc<View>>,
    /// Questions to single members.
    pub probes: MemberProbes,
    /// Replies to own probes.
    pub stamps: broadcast::Receiver<PeerStamp>,
    /// Hints from gossip.
    pub hints: mpsc::Receiver<Hint>,
    /// Time.
    pub timer: Timer,
    /// Ends the follower.
    pub shutdown: CancellationToken,
}

/// State that the follower's tasks share.
#[derive(Debug, Clone)]
pub(super) struct Shared<O> {
    pub(super) node_id: String,
    pub(super) zone: String,
    pub(super) store: DocumentStore,
    pub(super) origin: O,
    pub(super) bounds: PollBounds,
    pub(super) view: watch::Receiver<Arc<View>>,
    pub(super) timer: Timer,
    pub(super) seen: Arc<watch::Sender<Option<u64>>>,
    pub(super) reach: Arc<OriginReach>,
}

impl<O> Shared<O> {
    pub(super) fn rank(&self) -> Option<usize> {
        relay_rank(&self.view.borrow(), &self.zone, &self.node_id)
    }

    pub(super) fn zone_member_count(&self) -> usize {
        let view = self.view.borrow();
        let members = view.members.iter();
        members
            .filter(|member| member.zone == self.zone && member.is_usable())
            .count()
    }

    /// Whether a relay of the zone reaches the origin, as far as is known.
    pub(super) fn has_relays(&self) -> bool {
        let view = self.view.borrow();
        let relays = relays(&view, &self.zone);
        relays
            .iter()
            .any(|relay| !self.reach.is_failing(&relay.node_id))
    }

    fn is_in_zone(&self, node_id: &str) -> bool {
        let view = self.view.borrow();
        let member = view.member(node_id);
        member.is_none_or(|member| member.zone == self.zone)
    }

    pub(super) const fn backoff(&self) -> Backoff {
        Backoff::new(self.bounds.first_backoff_ms, self.bounds.longest_backoff_ms)
    }

    /// A call of this node to the origin failed.
    pub(super) fn note_failure(&self, error: &O::Error)
    where
        O: DocumentOrigin,
    {
        if !O::is_answer(error) {
            self.reach.failed();
        }
    }

    /// Takes over a confirmed look, if this node holds all that it saw.
    // A look says: these were the newest versions at that time. A node that
    // holds less and took the time alone would call itself fresh while it
    // misses a revocation that the look has seen.
    pub(super) fn confirm(&self, versions: Versions, seen_ms: u64) {
        let held = self.store.versions();
        let holds_all = DocumentKind::ALL
            .iter()
            .all(|kind| held.of(*kind) >= versions.of(*kind));
        if holds_all {
            self.seen.send_if_modified(|seen| {
                let is_later = seen.is_none_or(|earlier_ms| earlier_ms < seen_ms);
                if is_later {
                    *seen = Some(seen_ms);
                }
                is_later
            });
        }
    }
}

/// A version that another member holds.
#[derives::value]
struct Wanted {
    node_id: String,
    version: u64,
}

/// What following tells.
pub struct Followed {
    /// Time of the last confirmed look at the platform on the timer's clock,
    /// taken by this node or by a member whose documents it has caught up with.
    pub seen: watch::Receiver<Option<u64>>,
    /// Whether calls of this node to the origin fail.
    pub is_origin_failing: watch::Receiver<bool>,
}

/// Starts following.
pub fn spawn_follower<O: DocumentOrigin, N: Peers>(parts: FollowerParts<O, N>) -> Followed {
    let (seen, receiver) = watch::channel(None);
    let reach = Arc::new(OriginReach::new());
    let followed = Followed {
        seen: receiver,
        is_origin_failing: reach.subscribe(),
    };
    let shared = Shared {
        node_id: parts.node_id,
        zone: parts.zone,
        store: parts.store,
        origin: parts.origin,
        bounds: parts.bounds,
        view: parts.view,
        timer: parts.timer,
        seen: Arc::new(seen),
        reach,
    };
    let shutdown = parts.shutdown;
    let start_delay_ms = shared.bounds.start_delay_ms;
    let wanted = std::array::from_fn(|_| watch::channel(None).0);
    for kind in O::KINDS.iter().copied() {
        let watching = WatchTask::new(shared.clone(), kind).run();
        spawn_until(&shutdown, after_start_delay(start_delay_ms, watching));
        let wanted = wanted[kind.index()].subscribe();
        let fetching = fetch_wanted(shared.clone(), parts.neighbours.clone(), kind, wanted);
        spawn_until(&shutdown, fetching);
    }
    let looking = LookTask::new(shared.clone(), parts.probes).run();
    spawn_until(&shutdown, after_start_delay(start_delay_ms, looking));
    spawn_until(&shutdown, report_not_ready(shared.clone()));
    spawn_until(&shutdown, listen(shared, parts.stamps, parts.hints, wanted));
    followed
}

// A node that knows no other member yet takes itself for its zone's relay. A
// fleet that starts as a whole would meet the platform with calls from every
// node at the same time; by the end of the delay most have met.
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

async fn listen<O: DocumentOrigin>(
    shared: Shared<O>,
    mut stamps: broadcast::Receiver<PeerStamp>,
    mut hints: mpsc::Receiver<Hint>,
    wanted: [watch::Sender<Option<Wanted>>; KIND_COUNT],
) {
    let mut hints_open = true;
    loop {
        tokio::select! {
            stamp = stamps.recv() => match stamp {
                Ok(stamp) => {
                    shared.reach.told(&stamp.node_id, stamp.is_origin_failing);
                    want(&shared, &stamp.node_id, stamp.versions, &wanted);
                    if let Some(seen_ms) = stamp.platform_seen_ms {
                        shared.confirm(stamp.versions, seen_ms);
                    }
                }
                Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => break,
            },
            hint = hints.recv(), if hints_open => match hint {
                Some(hint) => want(&shared, &hint.node_id, hint.versions, &wanted),
                None => hints_open = false,
            },
        }
    }
}

fn want<O: DocumentOrigin>(
    shared: &Shared<O>,
    node_id: &str,
    versions: Versions,
    wanted: &[watch::Sender<Option<Wanted>>; KIND_COUNT],
) {
    let held = shared.store.versions();
    for kind in DocumentKind::ALL {
        let version = versions.of(kind);
        if version <= held.of(kind) || !O::KINDS.contains(&kind) {
            continue;
        }
        wanted[kind.index()].send_replace(Some(Wanted {
            node_id: node_id.to_owned(),
            version,
        }));
    }
}

async fn fetch_wanted<O: DocumentOrigin, N: Peers>(
    shared: Shared<O>,
    neighbours: N,
    kind: DocumentKind,
    mut wanted: watch::Receiver<Option<Wanted>>,
) {
    while wanted.changed().await.is_ok() {
        let Some(next) = wanted.borrow_and_update().clone() else {
            continue;
        };
        if !shared.is_in_zone(&next.node_id) {
            tokio::time::sleep(OTHER_ZONE_DELAY).await;
        }
        let mut backoff = Backoff::new(50, 500);
        for _ in 0..FETCH_ATTEMPTS {
            let held_version = shared.store.versions().of(kind);
            if held_version >= next.version {
                break;
            }
            let fetch = neighbours.fetch(&next.node_id, kind, held_version);
            if let Ok(Some(document)) = timeout(FETCH_LIMIT, fetch).await {
                take_from_neighbour(&shared, &next.node_id, kind, document);
            } else if wanted.has_changed().unwrap_or(true) {
                break;
            } else {
                backoff.wait().await;
            }
        }
    }
}

fn take_from_neighbour<O: DocumentOrigin>(
    shared: &Shared<O>,
    node_id: &str,
    kind: DocumentKind,
    document: Document,
) {
    let version = document.version;
    let is_newer = document.kind == kind && shared.store.offer(document);
    if is_newer && kind == DocumentKind::Configuration {
        event!(
            Event::ConfigurationFromNeighbour,
            "node={node_id} revision={version}"
        );
    }
}

async fn report_not_ready<O: DocumentOrigin>(shared: Shared<O>) {
    let mut configuration = shared.store.subscribe(DocumentKind::Configuration);
    let mut ticks = shared.timer.subscribe(NOT_READY_REPORT_MS);
    loop {
        tokio::select! {
            _ = configuration.wait_for(Option::is_some) => break,
            tick = ticks.next() => if tick.is_none() { break },
        }
        let member_count = shared.view.borrow().members.len();
        event!(
            Event::NodeNotReady,
            "waits for a configuration: neither the platform nor a member gave one, members={member_count}"
        );
    }
}
