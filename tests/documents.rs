//! The documents that a node holds, and how its follower keeps them up to date.

mod platform_support;

use {
    dogwoodbridge::{
        documents::{
            Document, DocumentKind, DocumentStore, FollowerInputs, Hint, Peers, Versions,
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

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn document(kind: DocumentKind, version: u64) -> Document {
    Document {
        kind,
        version,
        content: Arc::from(version.to_string().as_bytes()),
    }
}

#[test]
fn store_versions_never_decrease() {
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

// Several threads offer documents at the same time. A reader of the store must never
// see a version decrease.
#[test]
fn concurrent_offers_never_decrease_a_version() {
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
    Arc::new(View::new(members))
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
        let relays = relay_ids(&view, zone);
        assert_eq!(relays.len(), RELAY_COUNT);
        assert!(
            relays
                .iter()
                .all(|id| view.member(id).is_some_and(|m| m.zone == zone))
        );
        assert_eq!(relay_rank(&view, zone, &relays[1]), Some(1));
    }
    let is_relay = |(id, zone, _): &&(&str, &str, _)| relay_rank(&view, zone, id).is_some();
    assert_eq!(nodes.iter().filter(is_relay).count(), 2 * RELAY_COUNT);
    assert_eq!(relay_rank(&view, "a", "unknown-member"), Some(0));
}

#[test]
fn dead_and_left_members_are_not_relays() {
    let (alive, dead, left) = (MemberState::Alive, MemberState::Dead, MemberState::Left);
    let view = view(&[("x", "a", dead), ("y", "a", left), ("z", "a", alive)]);
    assert_eq!(relay_ids(&view, "a"), ["z"]);
}

/// Documents held by other members.
#[derive(Debug, Clone, Default)]
struct FakePeers {
    held: Arc<Mutex<Vec<(String, Document)>>>,
}

impl Peers for FakePeers {
    async fn fetch(
        &self,
        node_id: &str,
        kind: DocumentKind,
        above_version: u64,
    ) -> Option<Document> {
        let held = self.held.lock().expect("not poisoned");
        let matches_query = |(id, document): &&(String, Document)| {
            id == node_id && document.kind == kind && document.version > above_version
        };
        held.iter()
            .find(matches_query)
            .map(|(_, document)| document.clone())
    }
}

/// A node's follower with its inputs and outputs.
struct Node {
    store: DocumentStore,
    platform: Platform,
    peers: FakePeers,
    /// Keeps the channel open.
    _view: watch::Sender<Arc<View>>,
    stamps: broadcast::Sender<PeerStamp>,
    hints: mpsc::Sender<Hint>,
    timer: Timer,
    last_confirmed_ms: watch::Receiver<Option<u64>>,
    shutdown: CancellationToken,
}

impl Node {
    fn new(fake: &FakePlatform, node_id: &str, zone: &str, members: &Arc<View>) -> Self {
        let shutdown = CancellationToken::new();
        let timer = Timer::new(shutdown.clone());
        let store = DocumentStore::new();
        let platform = Platform::new(fake.address).with_call_timeout_ms(500);
        let peers = FakePeers::default();
        let (view, view_receiver) = watch::channel(members.clone());
        let (stamps, stamp_receiver) = broadcast::channel(64);
        let (hints, hint_receiver) = mpsc::channel(64);
        let followed = spawn_follower(FollowerInputs {
            node_id: node_id.to_owned(),
            zone: zone.to_owned(),
            store: store.clone(),
            origin: platform.clone(),
            bounds: Platform::POLL_BOUNDS,
            peers: peers.clone(),
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
            peers,
            _view: view,
            stamps,
            hints,
            timer,
            last_confirmed_ms: followed.last_confirmed_ms,
            shutdown,
        }
    }

    /// The only member, and therefore the first relay of its zone.
    fn only_member(fake: &FakePlatform) -> Self {
        Self::new(fake, "n1", "a", &view(&[("n1", "a", MemberState::Alive)]))
    }

    async fn wait_for_version(&self, kind: DocumentKind, version: u64) {
        let mut documents = self.store.subscribe(kind);
        let version_held =
            documents.wait_for(|held| held.as_ref().is_some_and(|held| held.version >= version));
        timeout(WAIT_TIMEOUT, version_held)
            .await
            .expect("the version arrives")
            .expect("the store exists");
    }

    async fn wait_confirmed_after(&mut self, after_ms: u64) -> u64 {
        let confirmed = self
            .last_confirmed_ms
            .wait_for(|polled_ms| polled_ms.is_some_and(|polled_ms| polled_ms > after_ms));
        let polled_ms = timeout(WAIT_TIMEOUT, confirmed)
            .await
            .expect("a poll is confirmed")
            .expect("the follower runs");
        polled_ms.expect("present")
    }

    fn send_stamp(&self, node_id: &str, versions: Versions, platform_seen_ms: Option<u64>) {
        let stamp = PeerStamp {
            node_id: node_id.to_owned(),
            zone: "a".to_owned(),
            versions,
            platform_seen_ms,
            is_origin_failing: false,
            probe_sent_ms: self.timer.now_ms(),
        };
        self.stamps.send(stamp).expect("the follower receives");
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

#[tokio::test]
async fn a_relay_follows_the_platform_and_confirms_polls() {
    let fake = FakePlatform::new().await;
    fake.put("configuration", b"1");
    let mut node = Node::only_member(&fake);
    node.wait_for_version(DocumentKind::Configuration, 1).await;
    let first_ms = node.wait_confirmed_after(0).await;
    fake.put("configuration", b"2");
    fake.put("keys", b"1");
    node.wait_for_version(DocumentKind::Configuration, 2).await;
    node.wait_for_version(DocumentKind::Keys, 1).await;
    node.wait_confirmed_after(first_ms).await;
}

// The platform serves reads and watches from a stale copy. The node must not restore a
// withdrawn rule, and must not confirm its versions while it lacks the newest one.
#[tokio::test]
async fn stale_reads_neither_revert_nor_confirm_a_version() {
    let fake = FakePlatform::new().await;
    for content in [b"1", b"2", b"3"] {
        fake.put("configuration", content);
    }
    let mut node = Node::only_member(&fake);
    node.wait_for_version(DocumentKind::Configuration, 3).await;
    node.wait_confirmed_after(0).await;
    fake.set_faults(Faults {
        stale: true,
        ..Faults::default()
    });
    let newest = fake.put("configuration", b"4") - 1;
    let stale_from_ms = node.timer.now_ms() + 1;
    let earlier_call_count = fake.call_count();
    let calls = async {
        while fake.call_count() < earlier_call_count + 12 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, calls).await.expect("the relay polls");
    assert_eq!(
        node.store.versions().of(DocumentKind::Configuration),
        newest
    );
    let polled_ms = node.last_confirmed_ms.borrow().expect("confirmed before");
    assert!(
        polled_ms < stale_from_ms,
        "a poll was confirmed without the newest version"
    );
    fake.set_faults(Faults::default());
    node.wait_for_version(DocumentKind::Configuration, 4).await;
    node.wait_confirmed_after(stale_from_ms).await;
}

// A node starts while the platform is down. It must fetch the configuration from
// another member, and keep it when the platform comes back with stale reads.
#[tokio::test]
async fn starts_from_another_member_while_the_platform_is_down() {
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
    node.peers
        .held
        .lock()
        .expect("not poisoned")
        .push(("n2".to_owned(), held));
    node.send_stamp("n2", Versions([2, 0, 0, 0]), None);
    node.wait_for_version(DocumentKind::Configuration, 2).await;
    assert_eq!(
        *node.last_confirmed_ms.borrow(),
        None,
        "no poll of the platform succeeded"
    );
    fake.set_faults(Faults {
        stale: true,
        ..Faults::default()
    });
    fake.put("configuration", b"3");
    node.send_stamp("n2", Versions([1, 0, 0, 0]), None);
    fake.set_faults(Faults::default());
    node.wait_for_version(DocumentKind::Configuration, 3).await;
    node.wait_confirmed_after(0).await;
}

// A node that is not a relay must not call the platform, whose call rate would grow with
// the fleet. It receives versions from hints and from replies to its probes.
#[tokio::test]
async fn other_members_follow_relays_and_do_not_call_the_platform() {
    let fake = FakePlatform::new().await;
    let alive = MemberState::Alive;
    let members = view(&[("n1", "a", alive), ("n2", "a", alive), ("n3", "a", alive)]);
    let relays = relay_ids(&members, "a");
    let is_other = |member: &&Member| !relays.contains(&member.node_id);
    let other = members
        .iter()
        .find(is_other)
        .expect("a member that is not a relay")
        .node_id
        .clone();
    let mut node = Node::new(&fake, &other, "a", &members);
    let relay = relays[0].clone();
    let keys = document(DocumentKind::Keys, 5);
    node.peers
        .held
        .lock()
        .expect("not poisoned")
        .push((relay.clone(), keys));
    let hint = Hint {
        node_id: relay.clone(),
        versions: Versions([0, 5, 0, 0]),
    };
    node.hints.send(hint).await.expect("the follower receives");
    node.wait_for_version(DocumentKind::Keys, 5).await;

    let slices = document(DocumentKind::Slices, 7);
    node.peers
        .held
        .lock()
        .expect("not poisoned")
        .push((relay.clone(), slices));
    node.send_stamp(&relay, Versions([0, 5, 7, 0]), Some(10));
    node.wait_for_version(DocumentKind::Slices, 7).await;
    node.send_stamp(&relay, Versions([0, 5, 7, 0]), Some(20));
    assert_eq!(node.wait_confirmed_after(0).await, 20);
    assert_eq!(fake.call_count(), 0);
    assert_eq!(node.platform.call_counts().write_count, 0);
}

// A member polled the platform and holds a newer version than this node, which cannot
// fetch it. If the node recorded the time of that poll, it would be fresh without the
// revocation that the poll returned.
#[tokio::test]
async fn a_poll_is_confirmed_only_with_all_its_versions() {
    let fake = FakePlatform::new().await;
    fake.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let alive = MemberState::Alive;
    let members = view(&[("n1", "a", alive), ("n2", "a", alive)]);
    let mut node = Node::new(&fake, "n1", "a", &members);
    node.send_stamp("n2", Versions([0, 9, 0, 0]), Some(10));
    node.send_stamp("n2", Versions([0, 0, 0, 0]), Some(5));
    assert_eq!(node.wait_confirmed_after(0).await, 5);
}

// The second relay does not poll while it receives the first one's confirmed polls, so
// that the platform's call rate is that of one relay. It polls once they stop.
#[tokio::test]
async fn the_second_relay_polls_when_the_first_stops() {
    let fake = FakePlatform::new().await;
    let alive = MemberState::Alive;
    let members = view(&[("n1", "a", alive), ("n2", "a", alive)]);
    let second = relay_ids(&members, "a")[1].clone();
    let mut node = Node::new(&fake, &second, "a", &members);
    node.wait_confirmed_after(0).await;
    for _ in 0..40 {
        let now_ms = node.timer.now_ms();
        node.send_stamp("n1", Versions::default(), Some(now_ms));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let poll_count = node.platform.call_counts().write_count / DocumentKind::ALL.len() as u64;
    assert!(poll_count <= 2, "{poll_count} polls in four seconds");
    let stopped_ms = node.timer.now_ms();
    node.wait_confirmed_after(stopped_ms).await;
}
