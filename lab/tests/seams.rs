//! What callers, targets and strangers cannot make a node believe, with real
//! processes.

use {
    bytes::Bytes,
    dogwoodbridge::settings::ports,
    lab::{
        admin::AdminAddress,
        caller::{CallRequest, Caller, Judgement},
        mesh::{Instance, Mesh, MeshConf},
        wait::{GENEROUS_LIMIT, wait_until},
    },
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const WORKSPACE: &str = "second-shelf";
const OTHER_WORKSPACE: &str = "northwind-dealers";
const FORGED: &str = "forged-by-a-stranger";
const FORGED_EVENT: &str = r#""port":"peer""#;

const CARDS: &str = r#"service = "cards"
retries = 0
deadline_ms = 10000

[[route]]
methods = ["POST"]
path = "orders"
class = "critical"
repeatable = false

[[route]]
methods = ["GET"]
path = "short"
class = "browse"
repeatable = true
deadline_ms = 1500

[[route]]
methods = ["GET"]
path = "**"
class = "browse"
repeatable = true
"#;

async fn start(target_flags: &[&str], node_flags: &[&str]) -> Mesh {
    let workspace = |name: &str| {
        format!(
            "[[workspace]]\nname = \"{name}\"\nrate_per_s = 1000\nburst = 1000\nkey_lease_s = 60\n"
        )
    };
    let workspaces = workspace(WORKSPACE) + &workspace(OTHER_WORKSPACE);
    let conf = MeshConf::new()
        .with_instance("az1", "cards", target_flags)
        .with_node_flags(node_flags)
        .with_file("cards.toml", CARDS)
        .with_file("workspaces.toml", &workspaces);
    Mesh::start(conf).await.expect("a mesh")
}

fn log_of(instance: &Instance) -> String {
    instance.node.as_ref().expect("a node").log()
}

struct ForgedCase {
    name: &'static str,
    headers: &'static [(&'static str, &'static str)],
}

const FORGED_CASES: [ForgedCase; 5] = [
    ForgedCase {
        name: "context",
        headers: &[("dogwood-context", FORGED)],
    },
    ForgedCase {
        name: "handle",
        headers: &[("dogwood-call", FORGED)],
    },
    ForgedCase {
        name: "workspace",
        headers: &[("dogwood-workspace", FORGED)],
    },
    ForgedCase {
        name: "class",
        headers: &[("dogwood-class", FORGED)],
    },
    ForgedCase {
        name: "admission level",
        headers: &[("dogwood-answer", FORGED)],
    },
];

/// A caller sets the headers by which nodes talk to each other. Were they
/// passed on, it could spend another workspace's rate or jump the queue.
#[tokio::test(flavor = "multi_thread")]
async fn internal_headers_of_callers_reach_no_target() {
    let mesh = start(&["--latency", "fixed:0"], &[]).await;
    let key = granted_key(&mesh).await;
    let caller = Caller::new();
    for case in &FORGED_CASES {
        let mut request = CallRequest::new("GET", "/cards/a").with_key(&key);
        for (name, value) in case.headers {
            request = request.with_header(name, value);
        }
        let address = mesh.instances[0].caller_address();
        let record = caller.send(address, &request).await.expect("a request");
        assert_eq!(
            record.judgement,
            Judgement::Whole,
            "{}: {record:?}",
            case.name
        );
    }
    let journal = mesh.instances[0].target_admin().journal(0).await;
    let journal = format!("{:?}", journal.expect("a journal"));
    assert!(!journal.contains(FORGED) && !journal.contains(&key));
    let log = log_of(&mesh.instances[0]);
    for case in &FORGED_CASES {
        let dropped = format!("\"header\":\"{} dropped\"", case.headers[0].0);
        assert!(log.contains(&dropped), "{}: {log}", case.name);
    }
}

/// A key that the node of the mesh honours. The platform acknowledges it before
/// the node has heard of it. Asks for a path without a route, so that nothing
/// reaches the target.
async fn granted_key(mesh: &Mesh) -> String {
    let key = mesh.create_key(WORKSPACE).await.expect("a key");
    let address = mesh.instances[0].caller_address();
    let request = &CallRequest::new("POST", "/cards/no-such-route").with_key(&key);
    wait_until("the key is honoured", GENEROUS_LIMIT, || async move {
        let record = Caller::new().send(address, request).await.ok()?;
        (record.reason.as_deref() == Some("no-route")).then_some(())
    })
    .await
    .expect("the key is honoured");
    key
}

/// Someone on the network talks to the ports between nodes without knowing
/// the fleet's secret.
#[tokio::test(flavor = "multi_thread")]
async fn ports_between_nodes_give_strangers_nothing() {
    let mesh = start(&["--latency", "fixed:0"], &[]).await;
    let ip = mesh.instances[0].ip;
    let peer = AdminAddress(SocketAddr::new(ip, ports::PEER));
    for path in ["/a", "/orders", "/-/announce", "/metrics"] {
        let (status, body) = peer.call("POST", path, Bytes::new()).await.expect("told");
        assert_eq!(status, 403, "{path}: {body:?}");
    }
    let egress = AdminAddress(SocketAddr::new(ip, ports::EGRESS));
    let (status, _) = egress
        .call("POST", "/cards/orders", Bytes::new())
        .await
        .expect("told");
    assert_eq!(status, 409);
    let journal = mesh.instances[0].target_admin().journal(0).await;
    assert!(journal.expect("a journal").is_empty());
    let log = log_of(&mesh.instances[0]);
    assert!(log.contains(FORGED_EVENT), "{log}");
}

/// An operator revokes a key while its requests wait for a slot. A long queue
/// would otherwise go on working for its holder; what the target has begun is
/// answered.
#[tokio::test(flavor = "multi_thread")]
async fn queued_work_of_a_revoked_key_reaches_no_target() {
    let mesh = start(&["--slots", "1", "--latency", "fixed:4000"], &[]).await;
    let key = granted_key(&mesh).await;
    let address = mesh.instances[0].caller_address();
    let send = || {
        let request = CallRequest::new("POST", "/cards/orders").with_key(&key);
        tokio::spawn(async move { Caller::new().send(address, &request).await })
    };
    let running = send();
    let admin = mesh.instances[0].target_admin();
    wait_until("work begins", GENEROUS_LIMIT, || async move {
        let journal = admin.journal(0).await.ok()?;
        (!journal.is_empty()).then_some(())
    })
    .await
    .expect("work begins");
    let waiting = [send(), send()];
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let revoked = mesh.revoke_key(&key).await.expect("revoked");
    assert_eq!(revoked.code, Some(0), "{revoked:?}");
    let first = running.await.expect("no panic").expect("a request");
    assert_eq!(first.judgement, Judgement::Whole, "{first:?}");
    for waiter in waiting {
        let record = waiter.await.expect("no panic").expect("a request");
        assert_eq!(record.judgement, Judgement::NotRun, "{record:?}");
        assert_eq!(record.reason.as_deref(), Some("revoked-key"));
    }
    let journal = admin.journal(0).await.expect("a journal");
    assert_eq!(journal.len(), 1, "{journal:?}");
}

/// A caller asks for a large answer and does not read it. Were its slot held
/// as long as the caller likes, a few such callers would stop the service.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_gives_its_slot_back_at_its_deadline() {
    let flags = [
        "--slots",
        "1",
        "--latency",
        "fixed:0",
        "--answer-bytes",
        "33554432",
    ];
    let mesh = start(&flags, &[]).await;
    let key = granted_key(&mesh).await;
    let address = mesh.instances[0].caller_address();
    let mut slow = TcpStream::connect(address).await.expect("connected");
    let head = format!("GET /cards/short HTTP/1.1\r\nhost: node\r\ndogwood-key: {key}\r\n\r\n");
    slow.write_all(head.as_bytes()).await.expect("sent");
    let mut start = [0; 12];
    slow.read_exact(&mut start).await.expect("an answer begins");
    assert_eq!(&start, b"HTTP/1.1 200");
    // An order waits for the slot; browsing would be shed after such a delay.
    let request = CallRequest::new("POST", "/cards/orders").with_key(&key);
    let record = Caller::new().send(address, &request).await;
    let record = record.expect("a request");
    let (reason, error) = (&record.reason, &record.error);
    assert_eq!(record.judgement, Judgement::Whole, "{reason:?} {error:?}");
    // What the slow reader gets in the end is cut, never seemingly whole.
    let mut rest = Vec::new();
    let read = slow.read_to_end(&mut rest).await;
    assert!(read.is_err() || rest.len() < 33_554_432);
}
