//! Follows the platform's documents, directly or through other members.
//!
//! Two relays in each availability zone watch the platform and confirm their
//! look about once a second; the other members learn of higher versions from
//! gossip, as hints and as replies to their own probes, and fetch them from the
//! member that has them.

use {
    super::{
        Document, DocumentKind, DocumentStore, KIND_COUNT, Versions,
        look::{LookTask, WatchTask},
    },
    crate::{
        backoff::Backoff,
        event,
        events::Event,
        membership::{PeerStamp, View, relay_rank},
        platform::Platform,
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
const NOT_READY_REPORT_MS: u64 = 3_000;
const START_DELAY_MS: u64 = 300;

/// Calls to other members.
pub trait Neighbours: Clone + Send + Sync + 'static {
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
pub struct FollowerParts<N> {
    /// This node.
    pub node_id: String,
    /// Its availability zone.
    pub zone: String,
    /// Where documents go.
    pub store: DocumentStore,
    /// The platform.
    pub platform: Platform,
    /// Calls to other members.
    pub neighbours: N,
    /// Members.
    pub view: watch::Receiver<Arc<View>>,
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
pub(super) struct Shared {
    pub(super) node_id: String,
    pub(super) zone: String,
    pub(super) store: DocumentStore,
    pub(super) platform: Platform,
    pub(super) view: watch::Receiver<Arc<View>>,
    pub(super) timer: Timer,
    pub(super) seen: Arc<watch::Sender<Option<u64>>>,
}

impl Shared {
    pub(super) fn rank(&self) -> Option<usize> {
        relay_rank(&self.view.borrow(), &self.zone, &self.node_id)
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

/// Starts following.
///
/// The receiver holds the time of the last confirmed look at the platform on
/// the timer's clock, taken by this node or by a member whose documents it has
/// caught up with.
#[must_use]
pub fn spawn_follower<N: Neighbours>(parts: FollowerParts<N>) -> watch::Receiver<Option<u64>> {
    let (seen, receiver) = watch::channel(None);
    let shared = Shared {
        node_id: parts.node_id,
        zone: parts.zone,
        store: parts.store,
        platform: parts.platform,
        view: parts.view,
        timer: parts.timer,
        seen: Arc::new(seen),
    };
    let shutdown = parts.shutdown;
    let wanted = std::array::from_fn(|_| watch::channel(None).0);
    for kind in DocumentKind::ALL {
        let watching = WatchTask::new(shared.clone(), kind).run();
        spawn_until(&shutdown, after_start_delay(watching));
        let wanted = wanted[kind.index()].subscribe();
        let fetching = fetch_wanted(shared.clone(), parts.neighbours.clone(), kind, wanted);
        spawn_until(&shutdown, fetching);
    }
    let looking = LookTask::new(shared.clone()).run();
    spawn_until(&shutdown, after_start_delay(looking));
    spawn_until(&shutdown, report_not_ready(shared.clone()));
    spawn_until(&shutdown, listen(shared, parts.stamps, parts.hints, wanted));
    receiver
}

// A node that knows no other member yet takes itself for its zone's relay. A
// fleet that starts as a whole would meet the platform with calls from every
// node at the same time; by the end of the delay most have met.
async fn after_start_delay(task: impl Future<Output = ()>) {
    let jitter_ms = rand::rng().random_range(0..START_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(START_DELAY_MS + jitter_ms)).await;
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

async fn listen(
    shared: Shared,
    mut stamps: broadcast::Receiver<PeerStamp>,
    mut hints: mpsc::Receiver<Hint>,
    wanted: [watch::Sender<Option<Wanted>>; KIND_COUNT],
) {
    let mut hints_open = true;
    loop {
        tokio::select! {
            stamp = stamps.recv() => match stamp {
                Ok(stamp) => {
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

fn want(
    shared: &Shared,
    node_id: &str,
    versions: Versions,
    wanted: &[watch::Sender<Option<Wanted>>; KIND_COUNT],
) {
    let held = shared.store.versions();
    for kind in DocumentKind::ALL {
        let version = versions.of(kind);
        if version <= held.of(kind) {
            continue;
        }
        wanted[kind.index()].send_replace(Some(Wanted {
            node_id: node_id.to_owned(),
            version,
        }));
    }
}

async fn fetch_wanted<N: Neighbours>(
    shared: Shared,
    neighbours: N,
    kind: DocumentKind,
    mut wanted: watch::Receiver<Option<Wanted>>,
) {
    while wanted.changed().await.is_ok() {
        let Some(next) = wanted.borrow_and_update().clone() else {
            continue;
        };
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

fn take_from_neighbour(shared: &Shared, node_id: &str, kind: DocumentKind, document: Document) {
    let version = document.version;
    let is_newer = document.kind == kind && shared.store.offer(document);
    if is_newer && kind == DocumentKind::Configuration {
        event!(
            Event::ConfigurationFromNeighbour,
            "node={node_id} revision={version}"
        );
    }
}

async fn report_not_ready(shared: Shared) {
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
