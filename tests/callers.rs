//! Callers that are slow or idle, exceed the connection limit, or use HTTP/2.

mod local_mesh;

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http2,
    hyper_util::rt::{TokioExecutor, TokioIo},
    local_mesh::{
        client,
        mesh::{KEY, Mesh},
    },
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const SHORT_READ_TIMEOUT: [&str; 2] = ["--caller-read-timeout-ms", "300"];

/// Sends these bytes; returns the response until the node closes the connection.
async fn raw_response(mesh: &Mesh, bytes: &str) -> String {
    let mut stream = TcpStream::connect(mesh[0].caller_address()).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8_lossy(&text).into_owned()
}

struct SlowCase {
    name: &'static str,
    sent: String,
    expected_start: &'static str,
}

/// Callers send half a request and wait. If it were admitted already, a few such callers
/// would occupy all slots.
#[tokio::test(flavor = "multi_thread")]
async fn slow_callers_occupy_no_slot_and_are_disconnected() {
    let mesh = Mesh::start_with_flags(&["a"], &SHORT_READ_TIMEOUT).await;
    let head = format!("POST /a/echo HTTP/1.1\r\nhost: n\r\ndogwood-key: {KEY}\r\n");
    let cases = [
        SlowCase {
            name: "idle",
            sent: String::new(),
            expected_start: "",
        },
        SlowCase {
            name: "part of an HTTP/2 preface",
            sent: "PRI * HT".to_owned(),
            expected_start: "",
        },
        SlowCase {
            name: "incomplete head",
            sent: head.clone(),
            expected_start: "",
        },
        SlowCase {
            name: "incomplete body",
            sent: format!("{head}content-length: 10\r\n\r\nhalf"),
            expected_start: "HTTP/1.1 400",
        },
        SlowCase {
            name: "not HTTP",
            sent: "\u{1}\u{2}\u{3}\r\n\r\n".to_owned(),
            expected_start: "HTTP/1.1 400",
        },
    ];
    for case in &cases {
        let response = raw_response(&mesh, &case.sent).await;
        assert!(
            response.starts_with(case.expected_start),
            "{}: {response}",
            case.name
        );
        if case.expected_start.is_empty() {
            assert!(
                !response.contains("HTTP/1.1 200"),
                "{}: {response}",
                case.name
            );
        }
        assert_eq!(mesh[0].node.admission().counts(), (0, 0));
    }
    assert!(mesh[0].target.executions().is_empty());
    let request = client::request("GET", "/a/echo", &[("dogwood-key", KEY)], b"");
    let response = client::send(mesh[0].caller_address(), request).await;
    assert_eq!(response.summary(), (200, "whole", ""));
}

/// More callers connect than the node allows. The surplus is refused immediately with a
/// reason instead of waiting without a response.
#[tokio::test(flavor = "multi_thread")]
async fn surplus_connections_are_refused_with_a_reason() {
    let mesh = Mesh::start_with_flags(&["a"], &["--max-connections", "2"]).await;
    let request = || client::request("GET", "/a/echo", &[("dogwood-key", KEY)], b"");
    let mut first = client::connect(mesh[0].caller_address()).await;
    let mut second = client::connect(mesh[0].caller_address()).await;
    assert_eq!(client::exchange(&mut first, request()).await.status, 200);
    assert_eq!(client::exchange(&mut second, request()).await.status, 200);
    let response = raw_response(&mesh, "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("dogwood-outcome: not-run"), "{response}");
    assert!(response.contains("too-many-connections"), "{response}");
    assert_eq!(client::exchange(&mut first, request()).await.status, 200);
}

/// Concurrent requests on one HTTP/2 connection all complete.
#[tokio::test(flavor = "multi_thread")]
async fn callers_can_use_http2() {
    let mesh = Mesh::start(&["a", "b"]).await;
    let stream = TcpStream::connect(mesh[1].caller_address()).await.unwrap();
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let mut pending_responses = Vec::new();
    for path in ["/a/echo", "/b/echo", "/a/chain/b"] {
        let mut request = client::request("GET", path, &[("dogwood-key", KEY)], b"");
        request.headers_mut().remove("host");
        *request.uri_mut() = format!("http://node{path}").parse().unwrap();
        pending_responses.push(sender.send_request(request));
    }
    let mut texts = Vec::new();
    for pending in pending_responses {
        let response: hyper::Response<_> = pending.await.unwrap();
        assert_eq!(response.headers()["dogwood-outcome"], "whole");
        let body: Bytes = response.into_body().collect().await.unwrap().to_bytes();
        texts.push(String::from_utf8(body.to_vec()).unwrap());
    }
    assert_eq!(texts, ["a ran", "b ran", "a > b ran"]);
    let _: &http2::SendRequest<Full<Bytes>> = &sender;
}

/// A caller pipelines a second request, which is started early, and disconnects before
/// either response. If both were not cancelled, the target would do wasted work, which
/// displaces other requests under overload.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_are_cancelled_when_their_caller_disconnects() {
    let mesh = Mesh::start(&["a"]).await;
    let mut stream = TcpStream::connect(mesh[0].caller_address()).await.unwrap();
    let head = format!("HTTP/1.1\r\nhost: n\r\ndogwood-key: {KEY}\r\n\r\n");
    let both = format!("GET /a/slow/2500 {head}GET /a/slow/2400 {head}");
    stream.write_all(both.as_bytes()).await.unwrap();
    let both_started = async {
        while mesh[0].target.executions().len() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(20), both_started).await;
    assert!(result.is_ok(), "the second request was not started early");
    drop(stream);
    wait_for_admission_counts(&mesh, (0, 0)).await;
    let executions = mesh[0].target.executions();
    let completed: Vec<bool> = executions
        .iter()
        .map(|execution| execution.is_completed)
        .collect();
    assert_eq!(
        completed,
        [false, false],
        "the target completed a request without a caller"
    );
}

/// Waits until the counts of running and queued requests have these values.
async fn wait_for_admission_counts(mesh: &Mesh, counts: (usize, usize)) {
    let waiting = async {
        while mesh[0].node.admission().counts() != counts {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(20), waiting).await;
    let last = mesh[0].node.admission().counts();
    assert!(result.is_ok(), "the counts stay at {last:?}");
}
