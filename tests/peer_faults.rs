//! Faults on connections between nodes: broken connections, fake peers at a
//! node's address, malformed headers and wrong clocks.

#[path = "admission_support/generated.rs"]
mod generated;
mod local_mesh;

use {
    bytes::Bytes,
    dogwoodbridge::{
        exchange::{ANSWER, ANSWER_AUTH, CONTEXT},
        keys::KeyDigest,
        model::{AdmissionLevel, Class, Names, RequestContext, RequestId},
        peer::{
            AttemptContext, ContentDigest, FleetAuth, PeerHeaderError, PeerLink, ResponseMetadata,
            decode_context, encode_context, encode_response_metadata,
        },
        target::ReportedLimit,
        timer::unix_ms,
    },
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode, body::Incoming, header::HeaderValue, server::conn::http2,
        service::service_fn,
    },
    hyper_util::rt::{TokioExecutor, TokioIo},
    local_mesh::{
        client::{self, CallerResponse},
        mesh::{KEY, Mesh, SECRET},
    },
    std::{convert::Infallible, net::SocketAddr},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const CALL_COUNT: usize = 30;
const GENERATED_CASE_COUNT: usize = 2000;

async fn get(mesh: &Mesh, path: &str) -> CallerResponse {
    let request = client::request("GET", path, &[("dogwood-key", KEY)], b"");
    client::send(mesh[0].caller_address(), request).await
}

/// What a test places at the address of a member.
#[derive(Clone, Copy)]
enum FakePeer {
    /// Nothing listens.
    NotListening,
    /// Reads part of the request and closes the connection.
    ClosesConnection,
    /// Sends a well-formed HTTP/2 response without authentication.
    RespondsUnauthenticated,
    /// Sends an authentic response whose status is none of HTTP's.
    RespondsWithoutStatus,
}

async fn start_fake_peer(kind: FakePeer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    match kind {
        FakePeer::NotListening => drop(listener),
        FakePeer::ClosesConnection => {
            tokio::spawn(async move {
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    // Sends HTTP/2 settings, so that the client sends the request.
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
        FakePeer::RespondsUnauthenticated => {
            tokio::spawn(serve_responses(listener, |_| Response::new(body())));
        }
        FakePeer::RespondsWithoutStatus => {
            tokio::spawn(serve_responses(listener, response_without_status));
        }
    }
    address
}

fn body() -> Full<Bytes> {
    Full::new(Bytes::from_static(b"mine"))
}

/// Answers an attempt as a node of the fleet does, but with a status above 599.
fn response_without_status(request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let context = request.headers().get(CONTEXT).unwrap();
    let attempt = decode_context(context, &Names::default(), unix_ms()).unwrap();
    let metadata = encode_response_metadata(&ResponseMetadata {
        attempt_id: attempt.attempt_id,
        refusal: None,
        unspent: 0,
        level: AdmissionLevel::idle(),
        leaving_process_id: 0,
        reported_limit: None,
    });
    let proof = FleetAuth::new(SECRET).sign(&[metadata.as_bytes()]);
    let mut response = Response::new(body());
    *response.status_mut() = StatusCode::from_u16(600).unwrap();
    response.headers_mut().insert(ANSWER, metadata);
    response.headers_mut().insert(ANSWER_AUTH, proof);
    response
}

async fn serve_responses(
    listener: TcpListener,
    respond: fn(&Request<Incoming>) -> Response<Full<Bytes>>,
) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(move |request| {
            let response = respond(&request);
            async { Ok::<_, Infallible>(response) }
        });
        let builder = http2::Builder::new(TokioExecutor::new());
        tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
    }
}

struct FakePeerCase {
    name: &'static str,
    kind: FakePeer,
    expected: (u16, &'static str, &'static str),
}

/// The only node of a service is gone, closes the connection, or is replaced by
/// a fake peer. The reported outcome decides whether the caller may send an
/// unrepeatable request again.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_attempt_is_not_run_only_if_nothing_was_sent() {
    let cases = [
        FakePeerCase {
            name: "not listening",
            kind: FakePeer::NotListening,
            expected: (502, "not-run", "connection-lost"),
        },
        FakePeerCase {
            name: "closes the connection",
            kind: FakePeer::ClosesConnection,
            expected: (502, "unknown", "connection-lost"),
        },
        FakePeerCase {
            name: "responds without authentication",
            kind: FakePeer::RespondsUnauthenticated,
            expected: (502, "unknown", "bad-answer"),
        },
        FakePeerCase {
            name: "responds without a valid status",
            kind: FakePeer::RespondsWithoutStatus,
            expected: (502, "unknown", "bad-answer"),
        },
    ];
    for case in &cases {
        let mesh = Mesh::start(&["a"]).await;
        mesh.add_fake_member("stranger", "x", start_fake_peer(case.kind).await)
            .await;
        let response = get(&mesh, "/x/once/echo").await;
        assert_eq!(
            response.summary(),
            case.expected,
            "{}: {}",
            case.name,
            response.text()
        );
        assert!(!response.text().contains("mine"));
    }
}

/// One of two nodes closes the connection during a request. Repeatable requests
/// are retried on the other node; an unrepeatable one must not be, since the
/// first node may have started it.
#[tokio::test(flavor = "multi_thread")]
async fn only_repeatable_requests_are_retried_after_a_broken_connection() {
    for kind in [
        FakePeer::ClosesConnection,
        FakePeer::RespondsUnauthenticated,
    ] {
        let mesh = Mesh::start(&["a"]).await;
        mesh.add_fake_member("stranger", "a", start_fake_peer(kind).await)
            .await;
        for _ in 0..CALL_COUNT {
            let response = get(&mesh, "/a/echo").await;
            assert_eq!(
                response.summary(),
                (200, "whole", ""),
                "{}",
                response.text()
            );
        }
        // A new mesh, since this one's router already avoids the broken node.
        let mesh = Mesh::start(&["a"]).await;
        mesh.add_fake_member("stranger", "a", start_fake_peer(kind).await)
            .await;
        let mut whole_count = 0;
        for _ in 0..CALL_COUNT {
            let response = get(&mesh, "/a/once/echo").await;
            let (_, outcome, reason) = response.summary();
            match outcome {
                "whole" => whole_count += 1,
                _ => assert!(outcome == "unknown", "{outcome} {reason}"),
            }
        }
        assert_eq!(mesh[0].target.executions().len(), whole_count);
        assert!(whole_count < CALL_COUNT, "the fake peer was never picked");
    }
}

/// An instance is gone and its address was reassigned to an instance of another
/// service, while nodes still route to the old one. The new target would execute
/// requests that were sent to another service.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_no_request_for_another_service() {
    let mesh = Mesh::start(&["a", "b"]).await;
    let peer = SocketAddr::new(mesh[1].node.settings.ip, mesh[1].node.settings.peer_port);
    mesh.add_fake_member("gone", "x", peer).await;
    for path in ["/x/echo", "/x/once/echo"] {
        let response = get(&mesh, path).await;
        let (status, outcome, reason) = response.summary();
        assert_eq!((status, outcome), (503, "not-run"), "{path}: {reason}");
    }
    assert!(mesh[1].target.executions().is_empty());
}

/// A node that is gone but still a member: the request was not sent, so a retry
/// on another node must succeed even if it is unrepeatable.
#[tokio::test(flavor = "multi_thread")]
async fn an_unsent_unrepeatable_request_is_retried_on_another_node() {
    let mesh = Mesh::start(&["a"]).await;
    mesh.add_fake_member(
        "stranger",
        "a",
        start_fake_peer(FakePeer::NotListening).await,
    )
    .await;
    for _ in 0..CALL_COUNT {
        let response = get(&mesh, "/a/once/echo").await;
        assert_eq!(
            response.summary(),
            (200, "whole", ""),
            "{}",
            response.text()
        );
    }
    assert_eq!(mesh[0].target.executions().len(), CALL_COUNT);
}

/// The last service of a chain breaks every response. If each hop retried
/// independently, a chain of four would send up to 64 requests instead of one.
#[tokio::test(flavor = "multi_thread")]
async fn retries_of_a_chain_share_one_allotment() {
    let mesh = Mesh::start(&["a", "b", "c", "d"]).await;
    let response = get(&mesh, "/a/chain/b/c/d/cut/100").await;
    assert_eq!(
        response.header("dogwood-outcome"),
        "whole",
        "{}",
        response.text()
    );
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
        objective_remaining_us: 0,
        retry_allotment: 3,
        depth: 2,
        repeatable: false,
    }
}

const REMEMBERED_LIMIT: ReportedLimit = ReportedLimit {
    process_id: 7,
    milli_per_s: 34_300,
    reporter_id: 8,
};

#[test]
fn a_context_survives_encoding_and_decoding() {
    let names = Names::new();
    let context = context(&names);
    for body in [&b"body"[..], b""] {
        let attempt = AttemptContext {
            context,
            attempt_id: 42,
            is_guarded: true,
            content: ContentDigest::new(None, body),
            remembered_limit: Some(REMEMBERED_LIMIT),
        };
        let value = encode_context(&attempt, &names, unix_ms());
        assert_eq!(decode_context(&value, &names, unix_ms()), Ok(attempt));
    }
}

#[test]
fn a_change_to_any_part_invalidates_the_proof() {
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
    // A truncated proof, down to the empty one, is invalid.
    let text = proof.to_str().unwrap();
    for length in 0..text.len() {
        let part = HeaderValue::from_str(&text[..length]).unwrap();
        assert!(!auth.is_authentic(&part, &parts), "{length} characters");
    }
    for value in ["", "0", "zz", "00ff"] {
        assert!(!auth.is_authentic(&HeaderValue::from_static(value), &parts));
    }
}

/// Headers between nodes come from the network: a node must reject malformed
/// ones without a panic, whatever their bytes.
#[test]
fn decoding_arbitrary_header_bytes_does_not_panic() {
    let names = Names::new();
    generated::for_each_case(GENERATED_CASE_COUNT, |bytes: Vec<u8>| {
        let text: Vec<u8> = bytes.iter().map(|byte| 33 + byte % 90).collect();
        let value = HeaderValue::from_bytes(&text).unwrap();
        let _ = decode_context(&value, &names, unix_ms());
        let _ = dogwoodbridge::peer::decode_response_metadata(&value);
    });
}

/// A process started while its instance's clock was forty minutes off. By its
/// timestamps all its requests look replayed, and peers would refuse them until
/// it is restarted. It must use the clock that the peer reported instead.
#[test]
fn contexts_are_accepted_after_a_peer_reported_its_clock() {
    const LOCAL_UNIX_MS: u64 = 1_800_000_000_000;
    for offset_ms in [-2_400_000_i64, -31_000, 31_000, 2_400_000] {
        let peer_unix_ms = LOCAL_UNIX_MS.saturating_add_signed(offset_ms);
        let address = "127.0.0.1:1".parse().unwrap();
        let link = PeerLink::new(std::net::Ipv4Addr::LOCALHOST.into(), address);
        let names = Names::new();
        let attempt = AttemptContext {
            context: context(&names),
            attempt_id: 43,
            is_guarded: false,
            content: ContentDigest::new(None, b"body"),
            remembered_limit: None,
        };
        let timestamp = |local_unix_ms| link.peer_unix_ms(local_unix_ms);
        let value = encode_context(&attempt, &names, timestamp(LOCAL_UNIX_MS));
        assert_eq!(
            decode_context(&value, &names, peer_unix_ms),
            Err(PeerHeaderError::TimestampOutOfRange {
                attempt_id: attempt.attempt_id
            })
        );
        link.record_clock(peer_unix_ms, LOCAL_UNIX_MS);
        let value = encode_context(&attempt, &names, timestamp(LOCAL_UNIX_MS + 5000));
        assert_eq!(
            decode_context(&value, &names, peer_unix_ms + 5000),
            Ok(attempt)
        );
    }
}
