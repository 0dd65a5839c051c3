//! Fetches of documents from members that do not respond.

use {
    dogwoodbridge::{
        documents::{
            Document, DocumentKind, DocumentOrigin, DocumentStore, FollowerInputs, Hint, Peers,
            PollBounds, Versions, spawn_follower,
        },
        membership::{Member, MemberPorts, MemberProbes, MemberState, View},
        timer::Timer,
    },
    std::{
        net::{IpAddr, Ipv4Addr},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{broadcast, mpsc, watch},
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// A change is in force everywhere within 2 s, and a relay may take 1.5 s to find it.
const FETCH_LIMIT: Duration = Duration::from_millis(500);
/// Node ids of members that never respond to a fetch begin so.
const SILENT: &str = "silent";
const ZONES: [&str; 2] = ["a", "b"];

/// An origin that this node cannot reach.
#[derive(Debug, Clone)]
struct UnreachableOrigin;

impl DocumentOrigin for UnreachableOrigin {
    type Error = String;

    const KINDS: &'static [DocumentKind] = &[DocumentKind::Configuration];

    async fn poll(&self, _store: &DocumentStore) -> Result<Versions, String> {
        Err("unreachable".to_owned())
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
        Some(Document {
            kind,
            version: above + 1,
            content: Arc::from(&b"content"[..]),
        })
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

/// Time until the follower holds the new version, after these announcements at once.
async fn fetch(announcements: &[Announcement]) -> Result<(), tokio::time::error::Elapsed> {
    let shutdown = CancellationToken::new();
    let _guard = shutdown.clone().drop_guard();
    let mut members: Vec<Member> = announcements
        .iter()
        .map(|(node_id, zone)| member(node_id, zone))
        .collect();
    members.push(member("own", ZONES[0]));
    members.sort_by(|one, other| one.node_id.cmp(&other.node_id));
    let (_view, view) = watch::channel(Arc::new(View::new(members)));
    let (_stamps, stamps) = broadcast::channel(64);
    let (hints, hint_receiver) = mpsc::channel(64);
    let store = DocumentStore::new();
    spawn_follower(FollowerInputs {
        node_id: "own".to_owned(),
        zone: ZONES[0].to_owned(),
        store: store.clone(),
        origin: UnreachableOrigin,
        bounds: PollBounds::METERED_API,
        peers: TestPeers,
        view,
        probes: MemberProbes::new().0,
        stamps,
        hints: hint_receiver,
        timer: Timer::new(shutdown.clone()),
        shutdown,
    });
    let mut configuration = store.subscribe(DocumentKind::Configuration);
    for (node_id, _) in announcements {
        let mut versions = Versions::default();
        versions.0[DocumentKind::Configuration.index()] = 1;
        let node_id = (*node_id).to_owned();
        hints.send(Hint { node_id, versions }).await.unwrap();
    }
    let held = configuration.wait_for(Option::is_some);
    timeout(FETCH_LIMIT, held).await.map(drop)
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
