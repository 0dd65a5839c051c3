//! Followers of one object over a store with faults and a gossip in memory.

#![allow(dead_code)]

use {
    dogwoodbridge::{
        conf::{Evacuations, spawn_evacuations},
        documents::{
            Document, DocumentKind, DocumentStore, FollowerParts, Hint, PeerPolls, Peers,
            PollBounds,
        },
        freshness::{Freshness, Snapshot},
        membership::{
            Member, MemberPorts, MemberProbes, MemberQuestion, MemberState, OwnState, PeerStamp,
            View, relay_rank,
        },
        objects::{
            Change, Changes, Condition, FollowParts, FollowedName, FollowedNames, Listing,
            ObjectOrigin, ObjectStore, StoreError, StoredObject, follow,
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

/// Far longer than any of these things takes on a busy machine.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Kind of the objects that are named after evacuated zones.
const EVACUATIONS_KIND: &str = "evacuated";
/// Wait of one watch.
pub const WATCH_MS: u64 = 40;
/// How long a confirmed look speaks for the present.
pub const CONFIRMED_MS: u64 = 400;
/// Times of followers that look often.
pub const BOUNDS: PollBounds = PollBounds {
    period_ms: 10,
    start_delay_ms: 0,
    first_relay_age_ms: 40,
    second_relay_age_ms: 60,
    ask_relays_age_ms: Some(80),
    others: Some(PeerPolls {
        age_ms: 120,
        rate_per_s: 40.0,
        alone_age_ms: 30,
        alone_rate_per_s: 100.0,
    }),
    first_backoff_ms: 10,
    longest_backoff_ms: 40,
};

/// How the store behaves towards a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Well,
    /// Watches hear nothing of changes.
    Deaf,
    /// Watches find their history gone.
    Forgetful,
    /// All calls are refused.
    Down,
    /// No call is answered.
    Silent,
    /// Answers are under way for long.
    Late,
}

const LATE: Duration = Duration::from_millis(150);

#[derive(Default)]
struct StoreState {
    /// Revisions with the time from which each was there, in milliseconds.
    written: Vec<(u64, u64)>,
    moods: Vec<Mood>,
    call_counts: Vec<usize>,
    evacuated: BTreeSet<String>,
    evacuations_revision: u64,
}

/// A store that holds one object whose content is its revision, and evacuated
/// zones under revisions of their own.
#[derive(Clone)]
pub struct FakeStore {
    state: Arc<Mutex<StoreState>>,
    node: usize,
}

impl FakeStore {
    fn new(node_count: usize, mood: Mood) -> Self {
        let state = StoreState {
            written: vec![(1, 0)],
            moods: vec![mood; node_count],
            call_counts: vec![0; node_count],
            evacuated: BTreeSet::new(),
            evacuations_revision: 1,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            node: 0,
        }
    }

    fn of_node(&self, node: usize) -> Self {
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

    /// Evacuates a zone, or takes that back.
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

    /// The newest revision that was there at this time.
    pub fn revision_at(&self, at_ms: u64) -> u64 {
        let state = self.state.lock().unwrap();
        let mut written = state.written.iter().rev();
        written.find(|(_, from_ms)| *from_ms <= at_ms).unwrap().0
    }

    pub fn set(&self, node: usize, mood: Mood) {
        self.state.lock().unwrap().moods[node] = mood;
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

    async fn called(&self) -> Result<Mood, StoreError> {
        let mood = {
            let mut state = self.state.lock().unwrap();
            state.call_counts[self.node] += 1;
            state.moods[self.node]
        };
        match mood {
            Mood::Down => Err(StoreError::Busy { status: 503 }),
            Mood::Silent => {
                tokio::time::sleep(Duration::from_millis(100)).await;
                Err(StoreError::TimedOut { limit_ms: 100 })
            }
            mood => Ok(mood),
        }
    }
}

impl ObjectStore for FakeStore {
    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        let mood = self.called().await?;
        let (objects, as_of) = match kind == EVACUATIONS_KIND {
            true => self.evacuations(),
            false => {
                let object = self.object();
                let as_of = object.revision;
                (vec![object], as_of)
            }
        };
        if mood == Mood::Late {
            tokio::time::sleep(LATE).await;
        }
        Ok(Listing { objects, as_of })
    }

    async fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Result<Changes, StoreError> {
        let mood = self.called().await?;
        if mood == Mood::Forgetful {
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
        let has_news = as_of > after && mood != Mood::Deaf;
        Ok(Changes {
            changes: match has_news {
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
        _condition: Condition,
        _content: Vec<u8>,
    ) -> Result<u64, StoreError> {
        Err(StoreError::Conflict)
    }
}

/// Documents of the other nodes, and whether this one can fetch them.
#[derive(Clone)]
struct StubPeers {
    documents: Vec<DocumentStore>,
    is_cut: Arc<AtomicBool>,
}

impl Peers for StubPeers {
    async fn fetch(
        &self,
        node_id: &str,
        kind: DocumentKind,
        above_version: u64,
    ) -> Option<Document> {
        if self.is_cut.load(Ordering::SeqCst) {
            return None;
        }
        let held = self.documents[index_of(node_id)].newest(kind);
        held.filter(|document| document.version > above_version)
    }
}

/// A node's follower as the rest of the node sees it.
pub struct Node {
    pub applied: watch::Receiver<u64>,
    pub freshness: watch::Receiver<Snapshot>,
    pub own_state: watch::Sender<OwnState>,
    /// Fetches nothing from other nodes while set.
    pub is_cut: Arc<AtomicBool>,
    pub evacuations: watch::Receiver<Arc<Evacuations>>,
}

/// Followers in availability zones.
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
    /// Starts so many nodes in each zone.
    pub fn new(zone_count: usize, nodes_per_zone: usize, bounds: PollBounds) -> Self {
        Self::with_mood(zone_count, nodes_per_zone, bounds, Mood::Well)
    }

    /// Starts them with a store that behaves this way.
    pub fn with_mood(
        zone_count: usize,
        nodes_per_zone: usize,
        bounds: PollBounds,
        mood: Mood,
    ) -> Self {
        let node_count = zone_count * nodes_per_zone;
        let shutdown = CancellationToken::new();
        let timer = Timer::new(shutdown.clone());
        let store = FakeStore::new(node_count, mood);
        let members = (0..node_count).map(|index| member(index, nodes_per_zone));
        let view = Arc::new(View {
            members: members.collect(),
        });
        let (view_sender, view_receiver) = watch::channel(view.clone());
        let documents: Vec<_> = (0..node_count).map(|_| DocumentStore::new()).collect();
        let mut nodes = Vec::new();
        let mut links = Vec::new();
        for (index, own_documents) in documents.iter().enumerate() {
            let (applied_sender, applied) = watch::channel(0);
            let (own_state, _) = watch::channel(OwnState::default());
            let (stamps, stamp_receiver) = broadcast::channel(64);
            let (hints, hint_receiver) = mpsc::channel(64);
            let (probes, questions) = MemberProbes::new();
            let is_cut = Arc::new(AtomicBool::new(false));
            let follower = FollowerParts {
                node_id: node_id(index),
                zone: view.members[index].zone.clone(),
                store: own_documents.clone(),
                origin: ObjectOrigin::new(
                    store.of_node(index),
                    followed(),
                    own_documents.clone(),
                    WATCH_MS,
                ),
                bounds,
                neighbours: StubPeers {
                    documents: documents.clone(),
                    is_cut: is_cut.clone(),
                },
                view: view_receiver.clone(),
                probes,
                stamps: stamp_receiver,
                hints: hint_receiver,
                timer: timer.clone(),
                shutdown: shutdown.clone(),
            };
            let parts = FollowParts {
                follower,
                confirmed_ms: CONFIRMED_MS,
                own_state: own_state.clone(),
            };
            let freshness = follow(parts, move |document: &Document| {
                applied_sender.send_replace(document.version);
            });
            links.push(Link {
                stamps,
                _hints: hints,
                questions,
                own_state: own_state.clone(),
            });
            nodes.push(Node {
                applied,
                freshness,
                own_state,
                is_cut,
                evacuations: spawn_evacuations(own_documents, shutdown.clone()),
            });
        }
        let gossip = Gossip {
            view: view.clone(),
            links,
            timer: timer.clone(),
            rng: StdRng::seed_from_u64(7),
        };
        let until = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = until.cancelled() => {}
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

    /// A node that knows only itself, beside the first one; puts content into
    /// force in its own way.
    pub fn restart_alone(&self, mut apply: impl FnMut(&Document) + Send + 'static) -> Node {
        let (applied_sender, applied) = watch::channel(0);
        let (own_state, _) = watch::channel(OwnState::default());
        let view = Arc::new(View {
            members: vec![self.view.members[0].clone()],
        });
        let documents = DocumentStore::new();
        let evacuations = spawn_evacuations(&documents, self.shutdown.clone());
        let follower = FollowerParts {
            node_id: node_id(0),
            zone: view.members[0].zone.clone(),
            store: documents.clone(),
            origin: ObjectOrigin::new(self.store.clone(), followed(), documents.clone(), WATCH_MS),
            bounds: BOUNDS,
            neighbours: StubPeers {
                documents: vec![documents],
                is_cut: Arc::default(),
            },
            view: watch::channel(view).1,
            probes: MemberProbes::new().0,
            stamps: broadcast::channel(1).1,
            hints: mpsc::channel(1).1,
            timer: self.timer.clone(),
            shutdown: self.shutdown.clone(),
        };
        let parts = FollowParts {
            follower,
            confirmed_ms: CONFIRMED_MS,
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
            is_cut: Arc::default(),
            evacuations,
        }
    }

    /// Whether just these zones come to be evacuated for all nodes.
    pub async fn all_evacuate(&mut self, zones: &[&str]) -> bool {
        let wanted: BTreeSet<String> = zones.iter().map(|zone| (*zone).to_owned()).collect();
        for node in &mut self.nodes {
            let evacuated = node.evacuations.wait_for(|known| known.zones == wanted);
            if timeout(LIMIT, evacuated).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Nodes that are relays of their zone.
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

    pub fn set_all(&self, mood: Mood) {
        for node in 0..self.nodes.len() {
            self.store.set(node, mood);
        }
    }

    /// Waits until every node has put this revision into force.
    pub async fn all_apply(&mut self, revision: u64) -> bool {
        for node in &mut self.nodes {
            let applied = node.applied.wait_for(|applied| *applied >= revision);
            if timeout(LIMIT, applied).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Waits until every node holds a confirmation that was asked for later.
    pub async fn all_confirmed_after(&mut self, after_ms: u64) -> bool {
        for node in &mut self.nodes {
            let mut told = node.own_state.subscribe();
            let is_later = |own: &OwnState| {
                own.platform_seen_ms
                    .is_some_and(|seen_ms| seen_ms > after_ms)
            };
            if timeout(LIMIT, told.wait_for(is_later)).await.is_err() {
                return false;
            }
        }
        true
    }

    pub fn is_fresh(&self, node: usize) -> bool {
        let snapshot = *self.nodes[node].freshness.borrow();
        snapshot.at(self.timer.now_ms()) == Freshness::Fresh
    }

    /// Waits until all nodes rely on what they hold, or none does.
    pub async fn all_become(&self, is_fresh: bool) -> bool {
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

struct Link {
    stamps: broadcast::Sender<PeerStamp>,
    _hints: mpsc::Sender<Hint>,
    questions: mpsc::Receiver<MemberQuestion>,
    own_state: watch::Sender<OwnState>,
}

/// Replies to probes of random members and to questions.
struct Gossip {
    view: Arc<View>,
    links: Vec<Link>,
    timer: Timer,
    rng: StdRng,
}

impl Gossip {
    async fn run(mut self) {
        loop {
            for asker in 0..self.links.len() {
                let subject = self.rng.random_range(0..self.links.len());
                self.reply(asker, subject);
                while let Ok(question) = self.links[asker].questions.try_recv() {
                    if let MemberQuestion::Stamp(node_id) = question {
                        self.reply(asker, index_of(&node_id));
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn reply(&self, asker: usize, subject: usize) {
        let told = self.links[subject].own_state.borrow().clone();
        let stamp = PeerStamp {
            node_id: node_id(subject),
            zone: self.view.members[subject].zone.clone(),
            versions: told.versions,
            platform_seen_ms: told.platform_seen_ms,
            is_origin_failing: told.is_origin_failing,
            probe_sent_ms: self.timer.now_ms(),
        };
        // The follower may have ended.
        let _ = self.links[asker].stamps.send(stamp);
    }
}

/// The objects that are followed.
pub fn followed() -> FollowedNames {
    FollowedNames {
        configuration: FollowedName {
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
