//! The control port: only who proves the operator secret is served.

mod platform_support;

use {
    dogwoodbridge::{
        control::{ControlError, connect, prove, verify},
        keys::KeyDigest,
    },
    platform_support::node::{FakeNode, SECRET, idle_target},
    std::{net::SocketAddr, sync::atomic::Ordering, time::Duration},
    tarpc::context,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

const LIMIT_MS: u64 = 20_000;

#[tokio::test]
async fn the_secret_opens_the_port() {
    let (node, address) = FakeNode::spawn("n1", "az1").await;
    let client = connect(address, SECRET, LIMIT_MS).await.expect("connects");
    let status = client
        .status(context::current(), false)
        .await
        .expect("answers");
    assert_eq!(
        (status.node_id.as_str(), status.zone.as_str()),
        ("n1", "az1")
    );
    client.drain(context::current()).await.expect("answers");
    assert!(node.drained.load(Ordering::Relaxed));
    node.shutdown.cancel();
}

/// Guards against a call that tells another node's figures, or that fails on a node without a
/// target.
#[tokio::test]
async fn a_node_tells_its_own_capacity() {
    let (node, address) = FakeNode::spawn("n1", "az1").await;
    let client = connect(address, SECRET, LIMIT_MS).await.expect("connects");
    for expected in [Some(idle_target()), None] {
        node.capacity
            .lock()
            .expect("not poisoned")
            .clone_from(&expected);
        let capacity = client.capacity(context::current()).await.expect("answers");
        assert_eq!(
            (capacity.node_id.as_str(), capacity.target),
            ("n1", expected)
        );
    }
    node.shutdown.cancel();
}

/// What someone without the secret sends after the node's nonce.
struct Intruder {
    name: &'static str,
    sends: Vec<u8>,
}

// Someone on the network finds the control port and sends calls without the
// secret, or a guess. Were they served, a stranger could drain the fleet.
#[tokio::test]
async fn nobody_else_is_served() {
    let call = br#"{"Request":{"context":{"deadline":{"secs":9,"nanos":0},"trace_context":{"trace_id":[0,0],"span_id":0,"sampling_decision":"Unsampled"}},"id":0,"message":{"Drain":{}}}}"#;
    let mut framed = u32::try_from(call.len())
        .expect("short")
        .to_be_bytes()
        .to_vec();
    framed.extend_from_slice(call);
    let cases = [
        Intruder {
            name: "zeros",
            sends: vec![0; 64],
        },
        Intruder {
            name: "a call at once",
            sends: framed.clone(),
        },
        Intruder {
            name: "zeros, then a call",
            sends: [vec![0; 64], framed].concat(),
        },
        Intruder {
            name: "HTTP",
            sends: b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".repeat(8),
        },
    ];
    let (node, address) = FakeNode::spawn("n1", "az1").await;
    for case in cases {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        let mut nonce = [0; 32];
        stream.read_exact(&mut nonce).await.expect("the nonce");
        stream.write_all(&case.sends).await.expect("sends");
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        let _ = timeout(Duration::from_millis(LIMIT_MS), read)
            .await
            .expect("is closed");
        assert!(answer.is_empty(), "{}: {answer:?}", case.name);
        assert!(!node.drained.load(Ordering::Relaxed), "{}", case.name);
    }
    let rejected = connect(address, "another-secret-here", LIMIT_MS).await;
    assert!(matches!(rejected, Err(ControlError::Closed)));
    connect(address, SECRET, LIMIT_MS)
        .await
        .expect("the node goes on");
    node.shutdown.cancel();
}

/// Runs both sides of a handshake.
async fn shake(client: &str, server: &str) -> (Result<(), ControlError>, Result<(), ControlError>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let client = async {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        prove(&mut stream, client).await
    };
    let server = async {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        verify(&mut stream, server).await
    };
    tokio::join!(client, server)
}

#[tokio::test]
async fn both_sides_prove_the_secret() {
    let (client, server) = shake("one secret", "one secret").await;
    assert!(client.is_ok() && server.is_ok());
    let (client, server) = shake("one secret", "another").await;
    assert!(matches!(server, Err(ControlError::NotAuthentic)));
    assert!(client.is_err());
}

// Something else listens at a node's address and answers whatever it is sent.
// An operator's tool that believed it would report a key revoked that is not.
#[tokio::test]
async fn an_impostor_is_noticed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("bound");
    let impostor = async {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        stream.write_all(&[7; 32]).await.expect("sends");
        let mut sent = [0; 64];
        stream.read_exact(&mut sent).await.expect("nonce and proof");
        let text = String::from_utf8_lossy(&sent).into_owned();
        assert!(!text.contains(SECRET), "the secret does not travel");
        // The client's own proof, sent back.
        stream.write_all(&sent[32..]).await.expect("sends");
    };
    let (connected, ()) = tokio::join!(connect(address, SECRET, LIMIT_MS), impostor);
    assert!(matches!(connected, Err(ControlError::NotAuthentic)));
}

// A connection that never proves the secret would hold its place for ever, and
// enough of them would lock the operators out.
#[tokio::test]
async fn silent_connections_are_closed() {
    let (node, address) = FakeNode::spawn("n1", "az1").await;
    let mut silent = Vec::new();
    for _ in 0..80 {
        silent.push(TcpStream::connect(address).await.expect("connects"));
    }
    let client = connect(address, SECRET, LIMIT_MS)
        .await
        .expect("gets its turn");
    let digest = KeyDigest::of_key("k");
    client
        .key_verdict(context::current(), digest)
        .await
        .expect("answers");
    node.shutdown.cancel();
}
