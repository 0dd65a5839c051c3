//! Followers of one object, with a fake store that has faults and in-memory gossip.

#![allow(dead_code)]

use {
    dogwoodbridge::{
        conf::{Evacuations, spawn_evacuations_task},
        documents::{
            Document, DocumentKind, DocumentStore, FollowerInputs, Hint, PeerPolls, Peers,
            PollBounds,
        },
        freshness::{Freshness, Snapshot},
        membership::{
            Member, MemberPorts, MemberProbes, MemberQuery, MemberState, OwnState, PeerStamp, View,
            relay_rank,
        },
        objects::{
            Change, Changes, FollowedObject, FollowedObjects, Listing, ObjectFollowerInputs,
            ObjectOrigin, ObjectStore, StoreError, StoredObject, WriteCondition, follow,
        },
        timer::Timer,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeSet,
        net::{IpAddr, Ipv4Addr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{broadcast, mpsc, watch},
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// Timeout of each wait; far longer than any of them takes on a busy machine.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Kind of the objects that are named after evacuated zones.
const EVACUATIONS_KIND: &str = "evacuated";
/// How long a watch waits for a change.
pub const WATCH_MS: u64 = 40;
/// Time within which evacuations have to be in force; three polls of a relay.
const EVACUATION_LIMIT_MS: u64 = 120;
/// How long a confirmed poll is valid.
pub const CONFIRMATION_TTL_MS: u64 = 400;
/// Bounds of followers that poll often.
pub const POLL_BOUNDS: PollBounds = PollBounds {
    period_ms: 10,
    start_delay_ms: 0,
    first_relay_age_ms: 40,
    second_relay_age_ms: 60,
    query_relays_age_ms: Some(80),
    peer_polls: Some(PeerPolls {
        age_ms: 120,
        rate_per_s: 40.0,
        without_relay_age_ms: 30,
        without_relay_rate_per_s: 100.0,
    }),
    relay_loss: None,
    first_backoff_ms: 10,
    longest_backoff_ms: 40,
};

/// Fault of the store as seen by one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreFault {
    None,
    /// Watches return no changes.
    WatchesMissChanges,
    /// Watches fail, since the store has dropped its history.
    HistoryGone,
    /// The store rejects all calls.
    Unavailable,
    /// The store responds to no call.
    NoResponse,
    /// Responses take long to arrive.
    SlowResponses,
}

const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(150);

#[derive(Default)]
struct StoreState {
    /// Revisions, each with the time at which it was written, in milliseconds.
    written: Vec<(u64, u64)>,
    faults: Vec<StoreFault>,
    call_counts: Vec<usize>,
    evacuated: BTreeSet<String>,
    evacuations_revision: u64,
}

/// A store with one object whose content is its revision, and with evacuated zones
/// under separate revisions.
#[derive(Clone)]
pub struct FakeStore {
    state: Arc<Mutex<StoreState>>,
    node: usize,
}

impl FakeStore {
    fn new(node_count: usize, fault: StoreFault) -> Self {
        let state = StoreState {
            written: vec![(1, 0)],
            faults: vec![fault; node_count],
            call_counts: vec![0; node_count],
            evacuated: BTreeSet::new(),
            evacuations_revision: 1,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            node: 0,
        }
    }

    fn for_node(&self, node: usize) -> Self {
        Self {
            node,
            ..self.clone()
        }
    }

    /// Writes the next revision.
    pub fn put(&self, now_ms: u64) -> u64 {
        let mut state = self.state.lock().unwrap();
        let next = state.written.last().unwrap().0 + 1;
        state.written.push((next, now_ms));
        next
    }

    /// Evacuates a zone, or ends its evacuation.
    pub fn evacuate(&self, zone: &str, is_evacuated: bool) {
        let mut state = self.state.lock().unwrap();
        state.evacuations_revision += 1;
        match is_evacuated {
            true => state.evacuated.insert(zone.to_owned()),
            false => state.evacuated.remove(zone),
        };
    }

    /// The evacuated zones with their revision.
    fn evacuations(&self) -> (Vec<StoredObject>, u64) {
        let state = self.state.lock().unwrap();
        let revision = state.evacuations_revision;
        let objects = state.evacuated.iter().map(|zone| StoredObject {
            name: zone.clone(),
            revision,
            content: b"{}".to_vec(),
        });
        (objects.collect(), revision)
    }

    /// The newest revision at this time.
    pub fn revision_at(&self, time_ms: u64) -> u64 {
        let state = self.state.lock().unwrap();
        let mut written = state.written.iter().rev();
        written
            .find(|(_, written_ms)| *written_ms <= time_ms)
            .unwrap()
            .0
    }

    pub fn set_fault(&self, node: usize, fault: StoreFault) {
        self.state.lock().unwrap().faults[node] = fault;
    }

    pub fn call_count(&self, node: usize) -> usize {
        self.state.lock().unwrap().call_counts[node]
    }

    fn newest(&self) -> u64 {
        self.state.lock().unwrap().written.last().unwrap().0
    }

    fn object(&self) -> StoredObject {
        let revision = self.newest();
        StoredObject {
            name: "main".to_owned(),
            revision,
            content: revision.to_string().into_bytes(),
        }
    }

    async fn record_call(&self) -> Result<StoreFault, StoreError> {
        let fault = {
            let mut state = self.state.lock().unwrap();
            state.call_counts[self.node] += 1;
            state.faults[self.node]
        };
        match fault {
            StoreFault::Unavailable => Err(StoreError::Busy { status: 503 }),
            StoreFault::NoResponse => {
                tokio::time::sleep(Duration::from_millis(100)).await;
                Err(StoreError::TimedOut { limit_ms: 100 })
            }
            fault => Ok(fault),
        }
    }
}

impl ObjectStore for FakeStore {
    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        let fault = self.record_call().await?;
        let (objects, as_of) = match kind == EVACUATIONS_KIND {
            true => self.evacuations(),
            false => {
                let object = self.object();
                let as_of = object.revision;
                (vec![object], as_of)
            }
        };
        if fault == StoreFault::SlowResponses {
            tokio::time::sleep(SLOW_RESPONSE_DELAY).await;
        }
        Ok(Listing { objects, as_of })
    }

    async fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Result<Changes, StoreError> {
        let fault = self.record_call().await?;
        if fault == StoreFault::HistoryGone {
            return Err(StoreError::HistoryGone);
        }
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        let (change, as_of) = match kind == EVACUATIONS_KIND {
            true => {
                let (_, as_of) = self.evacuations();
                (Change::Removed("a zone".to_owned()), as_of)
            }
            false => {
                let object = self.object();
                let as_of = object.revision;
                (Change::Put(object), as_of)
            }
        };
        let has_changed = as_of > after && fault != StoreFault::WatchesMissChanges;
        Ok(Changes {
            changes: match has_changed {
                true => vec![change],
                false => Vec::new(),
            },
            as_of,
        })
    }

    async fn write(
        &self,
        _kind: &str,
        _name: &str,
        _condition: WriteCondition,
        _content: Vec<u8>,
    ) -> Result<u64, StoreError> {
        Err(StoreError::Conflict)
    }
}

/// Fetches documents from the stores of the other nodes.
#[derive(Clone)]
struct StubPeers {
    documents: Vec<DocumentStore>,
    is_partitioned: Arc<AtomicBool>,
}

impl Peers for StubPeers {
    async fn fetch(
        &self,
        node_id: &str,
        kind: DocumentKind,
        above_version: u64,
    ) -> Option<Document> {
        if self.is_partitioned.load(Ordering::SeqCst) {
            return None;
        }
        let held = self.documents[index_of(node_id)].newest(kind);
        held.filter(|document| document.version > above_version)
    }
}

/// Outputs of a node's follower.
pub struct Node {
    pub applied: watch::Receiver<u64>,
    pub freshness: watch::Receiver<Snapshot>,
    pub own_state: watch::Sender<OwnState>,
    /// While set, the node can't fetch documents from other nodes.
    pub is_partitioned: Arc<AtomicBool>,
    pub evacuations: watch::Receiver<Arc<Evacuations>>,
}

/// Followers in several availability zones.
pub struct Fleet {
    pub store: FakeStore,
    pub timer: Timer,
    pub nodes: Vec<Node>,
    pub view: Arc<View>,
    shutdown: CancellationToken,
    /// Keeps the channel open.
    _view: watch::Sender<Arc<View>>,
}

impl Fleet {
    /// Starts `nodes_per_zone` nodes in each zone, with a store without faults.
    pub fn new(zone_count: usize, nodes_per_zone: usize, bounds: PollBounds) -> Self {
        Self::with_fault(zone_count, nodes_per_zone, bounds, StoreFault::None)
    }

    /// Starts the nodes with a store that has this fault.
    pub fn with_fault(
        zone_count: usize,
        nodes_per_zone: usize,
        bounds: PollBounds,
        fault: StoreFault,
    ) -> Self {
        let node_count = zone_count * nodes_per_zone;
        let shutdown = CancellationToken::new();
        let timer = Timer::new(shutdown.clone());
        let store = FakeStore::new(node_count, fault);
        let members = (0..node_count).map(|index| member(index, nodes_per_zone));
        let view = Arc::new(View::new(members));
        let (view_sender, view_receiver) = watch::channel(view.clone());
        let documents: Vec<_> = (0..node_count).map(|_| DocumentStore::new()).collect();
        let mut nodes = Vec::new();
        let mut channels = Vec::new();
        for (index, own_documents) in documents.iter().enumerate() {
            let (applied_sender, applied) = watch::channel(0);
            let (own_state, _) = watch::channel(OwnState::default());
            let (stamps, stamp_receiver) = broadcast::channel(64);
            let (hints, hint_receiver) = mpsc::channel(64);
            let (probes, queries) = MemberProbes::new();
            let is_partitioned = Arc::new(AtomicBool::new(false));
            let follower = FollowerInputs {
                node_id: node_id(index),
                zone: view.members[index].zone.clone(),
                store: own_documents.clone(),
                origin: ObjectOrigin::new(
                    store.for_node(index),
                    followed_objects(),
                    own_documents.clone(),
                    WATCH_MS,
                    timer.clone(),
                )
                .with_evacuation_limit_ms(EVACUATION_LIMIT_MS),
                bounds,
                peers: StubPeers {
                    documents: documents.clone(),
                    is_partitioned: is_partitioned.clone(),
                },
                view: view_receiver.clone(),
                probes,
                stamps: stamp_receiver,
                hints: hint_receiver,
                timer: timer.clone(),
                shutdown: shutdown.clone(),
            };
            let parts = ObjectFollowerInputs {
                follower,
                confirmation_ttl_ms: CONFIRMATION_TTL_MS,
                own_state: own_state.clone(),
            };
            let freshness = follow(parts, move |document: &Document| {
                applied_sender.send_replace(document.version);
            });
            channels.push(GossipChannels {
                stamps,
                _hints: hints,
                queries,
                own_state: own_state.clone(),
            });
            nodes.push(Node {
                applied,
                freshness,
                own_state,
                is_partitioned,
                evacuations: spawn_evacuations_task(own_documents, shutdown.clone()),
            });
        }
        let gossip = Gossip {
            view: view.clone(),
            channels,
            timer: timer.clone(),
            rng: StdRng::seed_from_u64(7),
        };
        let gossip_shutdown = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = gossip_shutdown.cancelled() => {}
                () = gossip.run() => {}
            }
        });
        Self {
            store,
            timer,
            nodes,
            view,
            shutdown,
            _view: view_sender,
        }
    }

    /// Starts another instance of the first node that knows no other member and
    /// applies content with `apply`.
    pub fn start_isolated(&self, mut apply: impl FnMut(&Document) + Send + 'static) -> Node {
        let (applied_sender, applied) = watch::channel(0);
        let (own_state, _) = watch::channel(OwnState::default());
        let view = Arc::new(View::new([self.view.members[0].clone()]));
        let documents = DocumentStore::new();
        let evacuations = spawn_evacuations_task(&documents, self.shutdown.clone());
        let follower = FollowerInputs {
            node_id: node_id(0),
            zone: view.members[0].zone.clone(),
            store: documents.clone(),
            origin: ObjectOrigin::new(
                self.store.clone(),
                followed_objects(),
                documents.clone(),
                WATCH_MS,
                self.timer.clone(),
            )
            .with_evacuation_limit_ms(EVACUATION_LIMIT_MS),
            bounds: POLL_BOUNDS,
            peers: StubPeers {
                documents: vec![documents],
                is_partitioned: Arc::default(),
            },
            view: watch::channel(view).1,
            probes: MemberProbes::new().0,
            stamps: broadcast::channel(1).1,
            hints: mpsc::channel(1).1,
            timer: self.timer.clone(),
            shutdown: self.shutdown.clone(),
        };
        let parts = ObjectFollowerInputs {
            follower,
            confirmation_ttl_ms: CONFIRMATION_TTL_MS,
            own_state: own_state.clone(),
        };
        let freshness = follow(parts, move |document: &Document| {
            apply(document);
            applied_sender.send_replace(document.version);
        });
        Node {
            applied,
            freshness,
            own_state,
            is_partitioned: Arc::default(),
            evacuations,
        }
    }

    /// Waits until every node considers exactly these zones evacuated.
    pub async fn wait_all_evacuated(&mut self, zones: &[&str]) -> bool {
        let expected: BTreeSet<String> = zones.iter().map(|zone| (*zone).to_owned()).collect();
        for node in &mut self.nodes {
            let evacuated = node.evacuations.wait_for(|known| known.zones == expected);
            if timeout(LIMIT, evacuated).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Indices of the nodes that are relays of their zone.
    pub fn relays(&self) -> Vec<usize> {
        let members = self.view.members.iter().enumerate();
        members
            .filter(|(_, member)| relay_rank(&self.view, &member.zone, &member.node_id).is_some())
            .map(|(index, _)| index)
            .collect()
    }

    pub fn put(&self) -> u64 {
        self.store.put(self.timer.now_ms())
    }

    pub fn set_fault_for_all(&self, fault: StoreFault) {
        for node in 0..self.nodes.len() {
            self.store.set_fault(node, fault);
        }
    }

    /// Waits until every node has put this revision into force.
    pub async fn wait_all_applied(&mut self, revision: u64) -> bool {
        for node in &mut self.nodes {
            let applied = node.applied.wait_for(|applied| *applied >= revision);
            if timeout(LIMIT, applied).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Waits until every node holds a confirmed poll sent after this time.
    pub async fn wait_all_confirmed_after(&mut self, after_ms: u64) -> bool {
        for node in &mut self.nodes {
            let mut own_state = node.own_state.subscribe();
            let is_later = |own: &OwnState| {
                own.platform_seen_ms
                    .is_some_and(|polled_ms| polled_ms > after_ms)
            };
            if timeout(LIMIT, own_state.wait_for(is_later)).await.is_err() {
                return false;
            }
        }
        true
    }

    pub fn is_fresh(&self, node: usize) -> bool {
        let snapshot = *self.nodes[node].freshness.borrow();
        snapshot.at(self.timer.now_ms()) == Freshness::Fresh
    }

    /// Waits until all nodes are fresh, or none is.
    pub async fn wait_all_fresh(&self, is_fresh: bool) -> bool {
        let waiting = async {
            while (0..self.nodes.len()).any(|node| self.is_fresh(node) != is_fresh) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(LIMIT, waiting).await.is_ok()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

struct GossipChannels {
    stamps: broadcast::Sender<PeerStamp>,
    _hints: mpsc::Sender<Hint>,
    queries: mpsc::Receiver<MemberQuery>,
    own_state: watch::Sender<OwnState>,
}

/// Replies to each node as random members and to its queries.
struct Gossip {
    view: Arc<View>,
    channels: Vec<GossipChannels>,
    timer: Timer,
    rng: StdRng,
}

impl Gossip {
    async fn run(mut self) {
        loop {
            for receiver in 0..self.channels.len() {
                let subject = self.rng.random_range(0..self.channels.len());
                self.reply(receiver, subject);
                while let Ok(query) = self.channels[receiver].queries.try_recv() {
                    if let MemberQuery::Stamp(node_id) = query {
                        self.reply(receiver, index_of(&node_id));
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn reply(&self, receiver: usize, subject: usize) {
        let state = self.channels[subject].own_state.borrow().clone();
        let stamp = PeerStamp {
            node_id: node_id(subject),
            zone: self.view.members[subject].zone.clone(),
            versions: state.versions,
            platform_seen_ms: state.platform_seen_ms,
            is_origin_failing: state.is_origin_failing,
            probe_sent_ms: self.timer.now_ms(),
        };
        // The follower may have stopped.
        let _ = self.channels[receiver].stamps.send(stamp);
    }
}

/// Paths of the followed objects.
pub fn followed_objects() -> FollowedObjects {
    FollowedObjects {
        configuration: FollowedObject {
            kind: "rules".to_owned(),
            name: "main".to_owned(),
        },
        evacuations_kind: EVACUATIONS_KIND.to_owned(),
    }
}

fn node_id(index: usize) -> String {
    format!("n{index:03}")
}

fn index_of(node_id: &str) -> usize {
    node_id[1..].parse().unwrap()
}

fn member(index: usize, nodes_per_zone: usize) -> Member {
    Member {
        node_id: node_id(index),
        ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        ports: MemberPorts {
            peer: 1,
            gossip: 2,
            rpc: 3,
            control: 4,
        },
        region: "r1".to_owned(),
        zone: format!("z{}", index / nodes_per_zone),
        started_unix_ms: 0,
        incarnation: 0,
        state: MemberState::Alive,
        target: None,
    }
}
