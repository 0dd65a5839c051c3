//! Changes that arrive in time although other members do not respond.

use {
    dogwoodbridge::{
        documents::{
            Document, DocumentKind, DocumentOrigin, DocumentStore, FollowerInputs, Hint, Peers,
            PollBounds, Versions, spawn_follower,
        },
        membership::{Member, MemberPorts, MemberProbes, MemberState, PeerStamp, View, relay_rank},
        timer::Timer,
    },
    std::{
        net::{IpAddr, Ipv4Addr},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{broadcast, mpsc, watch},
        time::{error::Elapsed, timeout},
    },
    tokio_util::sync::{CancellationToken, DropGuard},
};

/// A change is in force everywhere within 2 s, and a relay may take 1.5 s to find it.
const FETCH_LIMIT: Duration = Duration::from_millis(500);
/// Time in which a change is in force everywhere.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Members that are the relays of a zone with the own node.
const RELAY_IDS: [&str; 2] = ["n1", "n2"];
/// Node ids of members that never respond to a fetch begin so.
const SILENT: &str = "silent";
const ZONES: [&str; 2] = ["a", "b"];

/// An origin that this node reaches or not; its watches return nothing.
#[derive(Debug, Clone)]
struct TestOrigin {
    is_reachable: bool,
}

fn document(kind: DocumentKind, version: u64) -> Document {
    Document {
        kind,
        version,
        content: Arc::from(&b"content"[..]),
    }
}

/// Versions of a member that holds this configuration.
fn versions(configuration: u64) -> Versions {
    let mut versions = Versions::default();
    versions.0[DocumentKind::Configuration.index()] = configuration;
    versions
}

impl DocumentOrigin for TestOrigin {
    type Error = String;

    const KINDS: &'static [DocumentKind] = &[DocumentKind::Configuration];

    async fn poll(&self, store: &DocumentStore) -> Result<Versions, String> {
        if !self.is_reachable {
            return Err("unreachable".to_owned());
        }
        store.offer(document(DocumentKind::Configuration, 1));
        Ok(versions(1))
    }

    async fn watch(&self, _kind: DocumentKind, _held: u64) -> Result<Option<Document>, String> {
        Err("unreachable".to_owned())
    }
}

#[derive(Debug, Clone)]
struct TestPeers;

impl Peers for TestPeers {
    async fn fetch(&self, node_id: &str, kind: DocumentKind, above: u64) -> Option<Document> {
        if node_id.starts_with(SILENT) {
            std::future::pending::<()>().await;
        }
        Some(document(kind, above + 1))
    }
}

fn member(node_id: &str, zone: &str) -> Member {
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
        state: MemberState::Alive,
        target: None,
    }
}

/// A member with this name and zone announces the new version.
type Announcement = (&'static str, &'static str);

/// A node's follower and what it receives.
struct Node {
    store: DocumentStore,
    stamps: broadcast::Sender<PeerStamp>,
    hints: mpsc::Sender<Hint>,
    timer: Timer,
    /// Keeps the channel open.
    _view: watch::Sender<Arc<View>>,
    _shutdown: DropGuard,
}

impl Node {
    fn start(mut members: Vec<Member>, origin: TestOrigin) -> Self {
        let shutdown = CancellationToken::new();
        members.push(member("own", ZONES[0]));
        members.sort_by(|one, other| one.node_id.cmp(&other.node_id));
        let (view_sender, view) = watch::channel(Arc::new(View::new(members)));
        let (stamps, stamp_receiver) = broadcast::channel(64);
        let (hints, hint_receiver) = mpsc::channel(64);
        let store = DocumentStore::new();
        let timer = Timer::new(shutdown.clone());
        spawn_follower(FollowerInputs {
            node_id: "own".to_owned(),
            zone: ZONES[0].to_owned(),
            store: store.clone(),
            origin,
            bounds: PollBounds::METERED_API,
            peers: TestPeers,
            view,
            probes: MemberProbes::new().0,
            stamps: stamp_receiver,
            hints: hint_receiver,
            timer: timer.clone(),
            shutdown: shutdown.clone(),
        });
        Self {
            store,
            stamps,
            hints,
            timer,
            _view: view_sender,
            _shutdown: shutdown.drop_guard(),
        }
    }

    /// Records that a relay has just polled the origin.
    fn confirm_now(&self) {
        let now_ms = self.timer.now_ms();
        let stamp = PeerStamp {
            node_id: RELAY_IDS[0].to_owned(),
            zone: ZONES[0].to_owned(),
            versions: Versions::default(),
            platform_seen_ms: Some(now_ms),
            is_origin_failing: false,
            probe_sent_ms: now_ms,
        };
        self.stamps.send(stamp).unwrap();
    }

    async fn until_configured(&self, limit: Duration) -> Result<(), Elapsed> {
        let mut configuration = self.store.subscribe(DocumentKind::Configuration);
        let held = configuration.wait_for(Option::is_some);
        timeout(limit, held).await.map(drop)
    }
}

/// Whether the follower holds the new version in time, after these announcements at once.
async fn fetch(announcements: &[Announcement]) -> Result<(), Elapsed> {
    let members = announcements
        .iter()
        .map(|(node_id, zone)| member(node_id, zone))
        .collect();
    let origin = TestOrigin {
        is_reachable: false,
    };
    let node = Node::start(members, origin);
    for (node_id, _) in announcements {
        let node_id = (*node_id).to_owned();
        let versions = versions(1);
        node.hints.send(Hint { node_id, versions }).await.unwrap();
    }
    node.until_configured(FETCH_LIMIT).await
}

/// Guards against a change that is late since the member that announced it was killed, cut off or
/// stands still, although others hold it.
#[tokio::test]
async fn a_member_that_does_not_respond_delays_no_document() {
    struct Case {
        name: &'static str,
        announcements: &'static [Announcement],
    }
    let cases = [
        Case {
            name: "announced last",
            announcements: &[("one", "a"), ("silent-1", "a")],
        },
        Case {
            name: "announced first",
            announcements: &[("silent-1", "a"), ("one", "a")],
        },
        Case {
            name: "two of the own zone",
            announcements: &[("silent-1", "a"), ("silent-2", "a"), ("one", "b")],
        },
        Case {
            name: "in another zone",
            announcements: &[("one", "b"), ("silent-1", "b")],
        },
    ];
    let mut failures = Vec::new();
    for case in cases {
        if fetch(case.announcements).await.is_err() {
            failures.push(case.name);
        }
    }
    assert!(failures.is_empty(), "late: {failures:?}");
}

/// Guards against a change that is late since both relays of a zone were lost just before it, and
/// its other members wait until the last poll is old.
#[tokio::test]
async fn members_poll_as_soon_as_both_relays_are_suspected() {
    let suspect = |node_id: &str| Member {
        state: MemberState::Suspect,
        ..member(node_id, ZONES[0])
    };
    let relays: Vec<Member> = RELAY_IDS.iter().map(|node_id| suspect(node_id)).collect();
    let view = View::new([&relays[..], &[member("own", ZONES[0])]].concat());
    assert_eq!(relay_rank(&view, ZONES[0], "own"), None, "it is no relay");
    let node = Node::start(relays, TestOrigin { is_reachable: true });
    node.confirm_now();
    node.until_configured(APPLY_LIMIT).await.expect("in time");
}

/// Guards against a change that is late since both relays of a zone were lost at the moment at
/// which it was written: their members learned of the loss only by a suspicion.
#[tokio::test]
async fn members_poll_when_no_relay_responds() {
    let relays = RELAY_IDS.map(|node_id| member(node_id, ZONES[0])).to_vec();
    let node = Node::start(relays, TestOrigin { is_reachable: true });
    node.confirm_now();
    node.until_configured(APPLY_LIMIT).await.expect("in time");
}
