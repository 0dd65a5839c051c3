//! Connections between nodes break, and strangers stand where nodes should.

#[path = "admission_support/generated.rs"]
mod generated;
mod local_mesh;

use {
    dogwoodbridge::{
        keys::KeyDigest,
        model::{Class, Names, RequestContext, RequestId},
        peer::{
            ContentDigest, FleetAuth, PeerHeaderError, PeerLink, ReceivedContext, decode_context,
            encode_context,
        },
        timer::unix_ms,
    },
    hyper::header::HeaderValue,
    local_mesh::{
        client::{self, Seen},
        mesh::{KEY, Mesh},
    },
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const CALL_COUNT: usize = 30;
const GENERATED_COUNT: usize = 2000;

async fn get(mesh: &Mesh, path: &str) -> Seen {
    let request = client::request("GET", path, &[("dogwood-key", KEY)], b"");
    client::send(mesh[0].caller_address(), request).await
}

/// What stands at the address of a member.
#[derive(Clone, Copy)]
enum Stranger {
    /// Nothing listens.
    Nobody,
    /// Reads what is sent and closes.
    Breaks,
    /// Answers with a well-formed HTTP/2 response of its own.
    Answers,
}

async fn stranger(kind: Stranger) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    match kind {
        Stranger::Nobody => drop(listener),
        Stranger::Breaks => {
            tokio::spawn(async move {
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    // Acknowledges the settings, so that the request is sent.
                    let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0];
                    stream.write_all(&settings).await.unwrap();
                    let mut read_bytes = 0;
                    let mut buffer = [0; 4096];
                    while read_bytes < 200 {
                        match stream.read(&mut buffer).await {
                            Ok(count) if count > 0 => read_bytes += count,
                            _ => break,
                        }
                    }
                }
            });
        }
        Stranger::Answers => {
            tokio::spawn(serve_stranger(listener));
        }
    }
    address
}

async fn serve_stranger(listener: TcpListener) {
    use hyper_util::rt::{TokioExecutor, TokioIo};
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let service = hyper::service::service_fn(|_request| async {
            let body = http_body_util::Full::new(bytes::Bytes::from_static(b"mine"));
            Ok::<_, std::convert::Infallible>(hyper::Response::new(body))
        });
        let builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
        tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
    }
}

struct StrangerCase {
    name: &'static str,
    kind: Stranger,
    alone: (u16, &'static str, &'static str),
}

/// The only node of a service is gone, breaks off, or is an impostor. What a
/// caller is told decides whether it may send an order again.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_attempt_is_not_run_only_if_nothing_was_sent() {
    let cases = [
        StrangerCase {
            name: "nobody",
            kind: Stranger::Nobody,
            alone: (502, "not-run", "connection-lost"),
        },
        StrangerCase {
            name: "breaks",
            kind: Stranger::Breaks,
            alone: (502, "unknown", "connection-lost"),
        },
        StrangerCase {
            name: "answers",
            kind: Stranger::Answers,
            alone: (502, "unknown", "bad-answer"),
        },
    ];
    for case in &cases {
        let mesh = Mesh::start(&["a"]).await;
        mesh.add_stranger("stranger", "x", stranger(case.kind).await)
            .await;
        let seen = get(&mesh, "/x/once/echo").await;
        assert_eq!(seen.summary(), case.alone, "{}: {}", case.name, seen.text());
        assert!(!seen.text().contains("mine"));
    }
}

/// One of two nodes breaks off in the middle. Repeatable requests go to the
/// other one; an order must not, since the first may have begun it.
#[tokio::test(flavor = "multi_thread")]
async fn only_repeatable_requests_are_sent_again_after_a_break() {
    for kind in [Stranger::Breaks, Stranger::Answers] {
        let mesh = Mesh::start(&["a"]).await;
        mesh.add_stranger("stranger", "a", stranger(kind).await)
            .await;
        for _ in 0..CALL_COUNT {
            let seen = get(&mesh, "/a/echo").await;
            assert_eq!(seen.summary(), (200, "whole", ""), "{}", seen.text());
        }
        // A fresh mesh: this one's router avoids the broken node by now.
        let mesh = Mesh::start(&["a"]).await;
        mesh.add_stranger("stranger", "a", stranger(kind).await)
            .await;
        let mut whole_count = 0;
        for _ in 0..CALL_COUNT {
            let seen = get(&mesh, "/a/once/echo").await;
            let (_, outcome, reason) = seen.summary();
            match outcome {
                "whole" => whole_count += 1,
                _ => assert!(outcome == "unknown", "{outcome} {reason}"),
            }
        }
        assert_eq!(mesh[0].target.executions().len(), whole_count);
        assert!(whole_count < CALL_COUNT, "the stranger was never picked");
    }
}

/// An instance is gone for good and its address was given to one of another
/// service, while others still know the old one there. The new target would run
/// orders that were meant for a service that it knows nothing of.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_no_request_for_another_service() {
    let mesh = Mesh::start(&["a", "b"]).await;
    let peer = SocketAddr::new(mesh[1].node.settings.ip, mesh[1].node.settings.peer_port);
    mesh.add_stranger("gone", "x", peer).await;
    for path in ["/x/echo", "/x/once/echo"] {
        let seen = get(&mesh, path).await;
        let (status, outcome, reason) = seen.summary();
        assert_eq!((status, outcome), (503, "not-run"), "{path}: {reason}");
    }
    assert!(mesh[1].target.executions().is_empty());
}

/// A node that is gone but still known costs a retry, never an answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_never_left_is_sent_elsewhere() {
    let mesh = Mesh::start(&["a"]).await;
    mesh.add_stranger("stranger", "a", stranger(Stranger::Nobody).await)
        .await;
    for _ in 0..CALL_COUNT {
        let seen = get(&mesh, "/a/once/echo").await;
        assert_eq!(seen.summary(), (200, "whole", ""), "{}", seen.text());
    }
    assert_eq!(mesh[0].target.executions().len(), CALL_COUNT);
}

/// The deepest service breaks every answer. Were each hop to retry by itself,
/// a chain of four would send up to 64 requests where one was meant.
#[tokio::test(flavor = "multi_thread")]
async fn retries_of_a_chain_share_one_allotment() {
    let mesh = Mesh::start(&["a", "b", "c", "d"]).await;
    let seen = get(&mesh, "/a/chain/b/c/d/cut/100").await;
    assert_eq!(seen.header("dogwood-outcome"), "whole", "{}", seen.text());
    let counts: Vec<usize> = (0..4)
        .map(|index| mesh[index].target.executions().len())
        .collect();
    assert_eq!(&counts[..3], &[1, 1, 1]);
    assert!(counts[3] <= 1 + 3, "{counts:?}");
}

fn context(names: &Names) -> RequestContext {
    RequestContext {
        request_id: RequestId::new("7").unwrap(),
        workspace: names.workspace("tally"),
        key: KeyDigest::of_key("tally-key-1"),
        service: names.service("orders"),
        class: Class::Critical,
        remaining_us: 1_000_000,
        retry_allotment: 3,
        depth: 2,
        repeatable: false,
    }
}

#[test]
fn a_context_comes_back_as_it_was() {
    let names = Names::new();
    let context = context(&names);
    for body in [&b"body"[..], b""] {
        let sent = ReceivedContext {
            context,
            attempt_id: 42,
            is_guarded: true,
            content: ContentDigest::new(None, body),
        };
        let value = encode_context(&sent, &names, unix_ms());
        assert_eq!(decode_context(&value, &names, unix_ms()), Ok(sent));
    }
}

#[test]
fn any_changed_part_breaks_the_proof() {
    let auth = FleetAuth::new("the-secret-of-the-fleet");
    let other = FleetAuth::new("the-secret-of-another-fleet");
    let parts: [&[u8]; 3] = [b"context", b"GET", b"/path"];
    let proof = auth.sign(&parts);
    assert!(auth.is_authentic(&proof, &parts));
    assert!(!other.is_authentic(&proof, &parts));
    let changed: [[&[u8]; 3]; 3] = [
        [b"Context", b"GET", b"/path"],
        [b"context", b"GE", b"T/path"],
        [b"context", b"GET", b"/paths"],
    ];
    for parts in changed {
        assert!(!auth.is_authentic(&proof, &parts), "{parts:?}");
    }
    // A part of a proof, down to none, proves nothing.
    let text = proof.to_str().unwrap();
    for length in 0..text.len() {
        let part = HeaderValue::from_str(&text[..length]).unwrap();
        assert!(!auth.is_authentic(&part, &parts), "{length} characters");
    }
    for value in ["", "0", "zz", "00ff"] {
        assert!(!auth.is_authentic(&HeaderValue::from_static(value), &parts));
    }
}

/// Headers between nodes come over the network; whatever they hold, a node
/// must refuse them and go on.
#[test]
fn no_bytes_in_a_context_header_bring_a_node_down() {
    let names = Names::new();
    generated::for_each_case(GENERATED_COUNT, |bytes: Vec<u8>| {
        let text: Vec<u8> = bytes.iter().map(|byte| 33 + byte % 90).collect();
        let value = HeaderValue::from_bytes(&text).unwrap();
        let _ = decode_context(&value, &names, unix_ms());
        let _ = dogwoodbridge::peer::decode_answer(&value);
    });
}

/// A process started while its instance's clock was forty minutes off. Judged by
/// its stamps, all that it sends looks recorded long ago, and no request would
/// pass between it and the others until it is restarted.
#[test]
fn a_node_whose_clock_differs_is_told_the_others() {
    const OWN_UNIX_MS: u64 = 1_800_000_000_000;
    for offset_ms in [-2_400_000_i64, -31_000, 31_000, 2_400_000] {
        let their_unix_ms = OWN_UNIX_MS.saturating_add_signed(offset_ms);
        let address = "127.0.0.1:1".parse().unwrap();
        let link = PeerLink::new(std::net::Ipv4Addr::LOCALHOST.into(), address);
        let names = Names::new();
        let sent = ReceivedContext {
            context: context(&names),
            attempt_id: 43,
            is_guarded: false,
            content: ContentDigest::new(None, b"body"),
        };
        let stamp = |own_unix_ms| link.their_unix_ms(own_unix_ms);
        let value = encode_context(&sent, &names, stamp(OWN_UNIX_MS));
        assert_eq!(
            decode_context(&value, &names, their_unix_ms),
            Err(PeerHeaderError::TooOld {
                attempt_id: sent.attempt_id
            })
        );
        link.record_clock(their_unix_ms, OWN_UNIX_MS);
        let value = encode_context(&sent, &names, stamp(OWN_UNIX_MS + 5000));
        assert_eq!(
            decode_context(&value, &names, their_unix_ms + 5000),
            Ok(sent)
        );
    }
}
