//! HTTP/1 pipelining: requests sent before the response to the previous one.

use {
    dogwoodbridge::exchange::{EarlyResponse, Pipeline, ResponseBody},
    hyper::{Request, Response, http::request::Parts},
    std::cell::RefCell,
};

const FIRST: &str = "GET /lots/7 HTTP/1.1\r\nhost: a.example\r\nid: 1\r\n\r\n";
const SECOND: &str = "GET /lots/8 HTTP/1.1\r\nhost: a.example\r\nid: 2\r\n\r\n";

fn start_early(paths: &RefCell<Vec<String>>, parts: &Parts) -> Option<EarlyResponse> {
    paths.borrow_mut().push(parts.uri.path().to_owned());
    let response = async { Response::new(ResponseBody::buffered("early".into())) };
    Some(EarlyResponse::new(tokio::spawn(response)))
}

fn request(path: &str, id: &str) -> Request<()> {
    let request = Request::get(path).header("host", "a.example");
    request.header("id", id).body(()).unwrap()
}

// A caller pipelines two requests. If the second is started only after the first response,
// it takes twice as long and may miss its deadline.
#[tokio::test]
async fn pipelined_requests_are_started_when_read() {
    struct Case {
        name: &'static str,
        reads: Vec<String>,
        expected_paths: Vec<&'static str>,
    }
    let with_body = "POST /lots/9 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc";
    let closing = "GET /lots/9 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let cases = [
        Case {
            name: "a single request is left to the library",
            reads: vec![FIRST.to_owned()],
            expected_paths: vec![],
        },
        Case {
            name: "two requests in one read",
            reads: vec![format!("{FIRST}{SECOND}")],
            expected_paths: vec!["/lots/8"],
        },
        Case {
            name: "second request in two reads",
            reads: vec![format!("{FIRST}{}", &SECOND[..20]), SECOND[20..].to_owned()],
            expected_paths: vec!["/lots/8"],
        },
        Case {
            name: "nothing after a request with a body",
            reads: vec![format!("{FIRST}{with_body}{SECOND}")],
            expected_paths: vec![],
        },
        Case {
            name: "nothing after connection: close",
            reads: vec![format!("{FIRST}{closing}{SECOND}")],
            expected_paths: vec![],
        },
        Case {
            name: "another protocol",
            reads: vec![
                "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
                SECOND.to_owned(),
            ],
            expected_paths: vec![],
        },
    ];
    for case in cases {
        let pipeline = Pipeline::new();
        let paths = RefCell::new(Vec::new());
        for read in &case.reads {
            pipeline.record_bytes(read.as_bytes(), |parts| start_early(&paths, parts));
        }
        assert_eq!(*paths.borrow(), case.expected_paths, "{}", case.name);
    }
}

// Responses are sent in the order of the requests, whichever completes first. A response to
// another request would reach the wrong caller.
#[tokio::test]
async fn each_request_gets_its_own_response() {
    let pipeline = Pipeline::new();
    let paths = RefCell::new(Vec::new());
    let both = format!("{FIRST}{SECOND}");
    pipeline.record_bytes(both.as_bytes(), |parts| start_early(&paths, parts));
    assert!(pipeline.has_early_requests());
    assert!(pipeline.take_response(&request("/lots/7", "1")).is_none());
    pipeline.record_response();
    assert!(pipeline.take_response(&request("/lots/8", "2")).is_some());
    assert!(!pipeline.has_early_requests());

    // The library parsed the request differently: it must not get the early response.
    let pipeline = Pipeline::new();
    pipeline.record_bytes(both.as_bytes(), |parts| start_early(&paths, parts));
    assert!(pipeline.take_response(&request("/lots/7", "1")).is_none());
    assert!(pipeline.take_response(&request("/lots/8", "3")).is_none());
}

// A request that may be executed only once must not be started early: it could run although
// its connection breaks, and its caller would send it again.
#[tokio::test]
async fn declined_requests_wait_for_their_turn() {
    let pipeline = Pipeline::new();
    let both = format!("{FIRST}{SECOND}");
    pipeline.record_bytes(both.as_bytes(), |_| None);
    assert!(!pipeline.has_early_requests());
    assert!(pipeline.take_response(&request("/lots/7", "1")).is_none());
    assert!(pipeline.take_response(&request("/lots/8", "2")).is_none());
}

// A caller disconnects: its early requests are cancelled, or targets would do wasted work.
#[tokio::test]
async fn early_requests_are_cancelled_with_their_connection() {
    let (sender, receiver) = tokio::sync::oneshot::channel::<()>();
    let sender = RefCell::new(Some(sender));
    let pipeline = Pipeline::new();
    let both = format!("{FIRST}{SECOND}");
    pipeline.record_bytes(both.as_bytes(), |_| {
        let sender_guard = sender.borrow_mut().take();
        let response = async move {
            let _sender_guard = sender_guard;
            std::future::pending::<()>().await;
            Response::new(ResponseBody::buffered("never".into()))
        };
        Some(EarlyResponse::new(tokio::spawn(response)))
    });
    drop(pipeline);
    assert!(receiver.await.is_err());
}
