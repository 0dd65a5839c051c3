//! The documents that a node holds and how it follows the platform's.

mod platform_support;

use {
    dogwoodbridge::{
        documents::{
            Document, DocumentKind, DocumentStore, FollowerParts, Hint, Peers, Versions,
            spawn_follower,
        },
        membership::{
            Member, MemberPorts, MemberProbes, MemberState, PeerStamp, RELAY_COUNT, View,
            relay_rank, relays,
        },
        platform::Platform,
        timer::Timer,
    },
    platform_support::{FakePlatform, Faults},
    std::{
        net::{IpAddr, Ipv4Addr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::{broadcast, mpsc, watch},
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

const LIMIT: Duration = Duration::from_secs(30);

fn document(kind: DocumentKind, version: u64) -> Document {
    Document {
        kind,
        version,
        content: Arc::from(version.to_string().as_bytes()),
    }
}

#[test]
fn the_store_only_moves_to_higher_versions() {
    bolero::check!()
        .with_type::<Vec<(u8, u64)>>()
        .for_each(|offers| {
            let store = DocumentStore::new();
            let mut highest = Versions::default();
            for (kind, version) in offers {
                let kind = DocumentKind::ALL[usize::from(*kind) % DocumentKind::ALL.len()];
                let is_newer = *version > highest.of(kind);
                assert_eq!(store.offer(document(kind, *version)), is_newer);
                highest.0[kind.index()] = highest.of(kind).max(*version);
                assert_eq!(store.versions(), highest);
            }
        });
}

// Two sources offer documents at the same time; whoever reads the store must
// never see a version go down.
#[test]
fn offers_from_several_threads_never_revert() {
    let store = DocumentStore::new();
    let kind = DocumentKind::Keys;
    std::thread::scope(|scope| {
        for start in 0..4 {
            let store = store.clone();
            scope.spawn(move || {
                for version in (start..4_000).step_by(3) {
                    store.offer(document(kind, version));
                }
            });
        }
        let mut last = 0;
        while last < 3_999 {
            let version = store.versions().of(kind);
            assert!(version >= last);
            last = version;
        }
    });
    assert_eq!(store.newest(kind).expect("held").version, 3_999);
}

fn member(node_id: &str, zone: &str, state: MemberState) -> Member {
    Member {
        node_id: node_id.to_owned(),
        ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        ports: MemberPorts {
            peer: 1,
            gossip: 2,
            rpc: 3,
            control: 4,
        },
        region: "r1".to_owned(),
        zone: zone.to_owned(),
        started_unix_ms: 0,
        incarnation: 0,
        state,
        target: None,
    }
}

fn view(nodes: &[(&str, &str, MemberState)]) -> Arc<View> {
    let mut members: Vec<Member> = nodes
        .iter()
        .map(|(id, zone, state)| member(id, zone, *state))
        .collect();
    members.sort_by(|a, b| a.node_id.cmp(&b.node_id));
    Arc::new(View { members })
}

fn relay_ids(view: &View, zone: &str) -> Vec<String> {
    let ids = relays(view, zone).into_iter();
    ids.map(|member| member.node_id.clone()).collect()
}

#[test]
fn each_zone_has_its_own_relays() {
    let alive = MemberState::Alive;
    let names: Vec<String> = (0..20).map(|index| format!("n{index}")).collect();
    let zone = |index: usize| if index < 10 { "a" } else { "b" };
    let nodes: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(index, name)| (name.as_str(), zone(index), alive))
        .collect();
    let view = view(&nodes);
    for zone in ["a", "b"] {
        let chosen = relay_ids(&view, zone);
        assert_eq!(chosen.len(), RELAY_COUNT);
        assert!(
            chosen
                .iter()
                .all(|id| view.member(id).is_some_and(|m| m.zone == zone))
        );
        assert_eq!(relay_rank(&view, zone, &chosen[1]), Some(1));
    }
    let is_relay = |(id, zone, _): &&(&str, &str, _)| relay_rank(&view, zone, id).is_some();
    assert_eq!(nodes.iter().filter(is_relay).count(), 2 * RELAY_COUNT);
    assert_eq!(relay_rank(&view, "a", "stranger"), Some(0));
}

#[test]
fn the_dead_are_no_relays() {
    let (alive, dead, left) = (MemberState::Alive, MemberState::Dead, MemberState::Left);
    let view = view(&[("x", "a", dead), ("y", "a", left), ("z", "a", alive)]);
    assert_eq!(relay_ids(&view, "a"), ["z"]);
}

/// Other members and what they hold.
#[derive(Debug, Clone, Default)]
struct FakeNeighbours {
    held: Arc<Mutex<Vec<(String, Document)>>>,
}

impl Peers for FakeNeighbours {
    async fn fetch(
        &self,
        node_id: &str,
        kind: DocumentKind,
        above_version: u64,
    ) -> Option<Document> {
        let held = self.held.lock().expect("not poisoned");
        let is_wanted = |(id, document): &&(String, Document)| {
            id == node_id && document.kind == kind && document.version > above_version
        };
        held.iter()
            .find(is_wanted)
            .map(|(_, document)| document.clone())
    }
}

/// A node's follower and all that feeds it.
struct Node {
    store: DocumentStore,
    platform: Platform,
    neighbours: FakeNeighbours,
    /// Keeps the channel open.
    _view: watch::Sender<Arc<View>>,
    stamps: broadcast::Sender<PeerStamp>,
    hints: mpsc::Sender<Hint>,
    timer: Timer,
    seen: watch::Receiver<Option<u64>>,
    shutdown: CancellationToken,
}

impl Node {
    fn new(fake: &FakePlatform, node_id: &str, zone: &str, members: &Arc<View>) -> Self {
        let shutdown = CancellationToken::new();
        let timer = Timer::new(shutdown.clone());
        let store = DocumentStore::new();
        let platform = Platform::new(fake.address).with_call_limit_ms(500);
        let neighbours = FakeNeighbours::default();
        let (view, view_receiver) = watch::channel(members.clone());
        let (stamps, stamp_receiver) = broadcast::channel(64);
        let (hints, hint_receiver) = mpsc::channel(64);
        let followed = spawn_follower(FollowerParts {
            node_id: node_id.to_owned(),
            zone: zone.to_owned(),
            store: store.clone(),
            origin: platform.clone(),
            bounds: Platform::LOOK_BOUNDS,
            neighbours: neighbours.clone(),
            view: view_receiver,
            probes: MemberProbes::new().0,
            stamps: stamp_receiver,
            hints: hint_receiver,
            timer: timer.clone(),
            shutdown: shutdown.clone(),
        });
        Self {
            store,
            platform,
            neighbours,
            _view: view,
            stamps,
            hints,
            timer,
            seen: followed.seen,
            shutdown,
        }
    }

    /// A node that is alone, and so its zone's relay.
    fn alone(fake: &FakePlatform) -> Self {
        Self::new(fake, "n1", "a", &view(&[("n1", "a", MemberState::Alive)]))
    }

    async fn wait_version(&self, kind: DocumentKind, version: u64) {
        let mut documents = self.store.subscribe(kind);
        let reached =
            documents.wait_for(|held| held.as_ref().is_some_and(|held| held.version >= version));
        timeout(LIMIT, reached)
            .await
            .expect("arrives")
            .expect("the store lives");
    }

    async fn wait_seen_after(&mut self, after_ms: u64) -> u64 {
        let seen = self
            .seen
            .wait_for(|seen| seen.is_some_and(|seen_ms| seen_ms > after_ms));
        let seen = timeout(LIMIT, seen)
            .await
            .expect("is seen")
            .expect("the follower runs");
        seen.expect("waited for")
    }

    fn stamp(&self, node_id: &str, versions: Versions, platform_seen_ms: Option<u64>) {
        let stamp = PeerStamp {
            node_id: node_id.to_owned(),
            zone: "a".to_owned(),
            versions,
            platform_seen_ms,
            is_origin_failing: false,
            probe_sent_ms: self.timer.now_ms(),
        };
        self.stamps.send(stamp).expect("the follower listens");
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

#[tokio::test]
async fn a_relay_follows_the_platform_and_confirms_its_look() {
    let fake = FakePlatform::new().await;
    fake.put("configuration", b"1");
    let mut node = Node::alone(&fake);
    node.wait_version(DocumentKind::Configuration, 1).await;
    let first_ms = node.wait_seen_after(0).await;
    fake.put("configuration", b"2");
    fake.put("keys", b"1");
    node.wait_version(DocumentKind::Configuration, 2).await;
    node.wait_version(DocumentKind::Keys, 1).await;
    node.wait_seen_after(first_ms).await;
}

// The platform serves reads and watches from a copy that is behind. Users must
// not notice a withdrawn rule coming back, and the node must not call its
// knowledge confirmed while it lacks the newest version.
#[tokio::test]
async fn stale_reads_neither_revert_nor_confirm() {
    let fake = FakePlatform::new().await;
    for content in [b"1", b"2", b"3"] {
        fake.put("configuration", content);
    }
    let mut node = Node::alone(&fake);
    node.wait_version(DocumentKind::Configuration, 3).await;
    node.wait_seen_after(0).await;
    fake.set_faults(Faults {
        stale: true,
        ..Faults::default()
    });
    let newest = fake.put("configuration", b"4") - 1;
    let stale_from_ms = node.timer.now_ms() + 1;
    let calls_before = fake.call_count();
    let called = async {
        while fake.call_count() < calls_before + 12 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LIMIT, called).await.expect("the relay looks");
    assert_eq!(
        node.store.versions().of(DocumentKind::Configuration),
        newest
    );
    let seen_ms = node.seen.borrow().expect("seen before");
    assert!(
        seen_ms < stale_from_ms,
        "no look may be confirmed without the newest version"
    );
    fake.set_faults(Faults::default());
    node.wait_version(DocumentKind::Configuration, 4).await;
    node.wait_seen_after(stale_from_ms).await;
}

// A node starts while the platform is down. It must take the configuration
// from a neighbour that has one, and never go back when the platform returns
// with reads that are behind.
#[tokio::test]
async fn starts_from_a_neighbour_while_the_platform_is_down() {
    let fake = FakePlatform::new().await;
    fake.put("configuration", b"1");
    fake.put("configuration", b"2");
    fake.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let alive = MemberState::Alive;
    let members = view(&[("n1", "a", alive), ("n2", "a", alive)]);
    let mut node = Node::new(&fake, "n1", "a", &members);
    let held = document(DocumentKind::Configuration, 2);
    node.neighbours
        .held
        .lock()
        .expect("not poisoned")
        .push(("n2".to_owned(), held));
    node.stamp("n2", Versions([2, 0, 0, 0]), None);
    node.wait_version(DocumentKind::Configuration, 2).await;
    assert_eq!(*node.seen.borrow(), None, "nobody looked at the platform");
    fake.set_faults(Faults {
        stale: true,
        ..Faults::default()
    });
    fake.put("configuration", b"3");
    node.stamp("n2", Versions([1, 0, 0, 0]), None);
    fake.set_faults(Faults::default());
    node.wait_version(DocumentKind::Configuration, 3).await;
    node.wait_seen_after(0).await;
}

// A node that is no relay must not call the platform at all: its rates would
// grow with the fleet. It learns from hints and from replies to its probes.
#[tokio::test]
async fn others_learn_from_members_and_leave_the_platform_alone() {
    let fake = FakePlatform::new().await;
    let alive = MemberState::Alive;
    let members = view(&[("n1", "a", alive), ("n2", "a", alive), ("n3", "a", alive)]);
    let chosen = relay_ids(&members, "a");
    let is_other = |member: &&Member| !chosen.contains(&member.node_id);
    let other = members
        .members
        .iter()
        .find(is_other)
        .expect("a third one")
        .node_id
        .clone();
    let mut node = Node::new(&fake, &other, "a", &members);
    let relay = chosen[0].clone();
    let keys = document(DocumentKind::Keys, 5);
    node.neighbours
        .held
        .lock()
        .expect("not poisoned")
        .push((relay.clone(), keys));
    let hint = Hint {
        node_id: relay.clone(),
        versions: Versions([0, 5, 0, 0]),
    };
    node.hints.send(hint).await.expect("the follower listens");
    node.wait_version(DocumentKind::Keys, 5).await;

    let slices = document(DocumentKind::Slices, 7);
    node.neighbours
        .held
        .lock()
        .expect("not poisoned")
        .push((relay.clone(), slices));
    node.stamp(&relay, Versions([0, 5, 7, 0]), Some(10));
    node.wait_version(DocumentKind::Slices, 7).await;
    node.stamp(&relay, Versions([0, 5, 7, 0]), Some(20));
    assert_eq!(node.wait_seen_after(0).await, 20);
    assert_eq!(fake.call_count(), 0);
    assert_eq!(node.platform.call_counts().write_count, 0);
}

// A member has looked at the platform and holds a newer version than this
// node, which cannot fetch it. Taking over the time of the look would make the
// node fresh without the revocation that the look has seen.
#[tokio::test]
async fn a_look_counts_only_with_all_that_it_saw() {
    let fake = FakePlatform::new().await;
    fake.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let alive = MemberState::Alive;
    let members = view(&[("n1", "a", alive), ("n2", "a", alive)]);
    let mut node = Node::new(&fake, "n1", "a", &members);
    node.stamp("n2", Versions([0, 9, 0, 0]), Some(10));
    node.stamp("n2", Versions([0, 0, 0, 0]), Some(5));
    assert_eq!(node.wait_seen_after(0).await, 5);
}

// The second relay stays quiet while the first one's looks reach it, so that
// the platform's rates are those of one relay; it looks once they do not.
#[tokio::test]
async fn the_second_relay_looks_when_the_first_falls_silent() {
    let fake = FakePlatform::new().await;
    let alive = MemberState::Alive;
    let members = view(&[("n1", "a", alive), ("n2", "a", alive)]);
    let second = relay_ids(&members, "a")[1].clone();
    let mut node = Node::new(&fake, &second, "a", &members);
    node.wait_seen_after(0).await;
    for _ in 0..40 {
        let now_ms = node.timer.now_ms();
        node.stamp("n1", Versions::default(), Some(now_ms));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let look_count = node.platform.call_counts().write_count / DocumentKind::ALL.len() as u64;
    assert!(look_count <= 2, "{look_count} looks in four seconds");
    let silent_from_ms = node.timer.now_ms();
    node.wait_seen_after(silent_from_ms).await;
}
