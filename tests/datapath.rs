//! Requests of callers through nodes to targets and back.

mod local_mesh;

use {
    local_mesh::{
        client::{self, CallerResponse},
        mesh::{KEY, Mesh, REVOKED_KEY},
    },
    std::time::Duration,
};

async fn get(mesh: &Mesh, entry: usize, path: &str) -> CallerResponse {
    let request = client::request("GET", path, &[("dogwood-key", KEY)], b"");
    client::send(mesh[entry].caller_address(), request).await
}

/// Chains complete from every entry; targets see neither tenant keys nor internal headers.
#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_four_calls_completes() {
    let mesh = Mesh::start(&["a", "b", "c", "d"]).await;
    for entry in 0..4 {
        let response = get(&mesh, entry, "/a/chain/b/c/d").await;
        assert_eq!(
            response.summary(),
            (200, "whole", ""),
            "{}",
            response.text()
        );
        assert_eq!(response.text(), "a > b > c > d ran");
    }
    for instance in mesh.instances.iter() {
        for execution in instance.target.executions() {
            let text = format!("{execution:?}");
            assert!(
                !text.contains(KEY),
                "a target received a tenant key: {text}"
            );
            assert!(!text.contains("dogwood-context") && !text.contains("dogwood-auth"));
        }
        assert_eq!(instance.target.executions().len(), 4);
    }
}

struct RefusedCase {
    name: &'static str,
    method: &'static str,
    path: String,
    headers: Vec<(&'static str, String)>,
    body_bytes: usize,
    expected: (u16, &'static str, &'static str),
    expected_detail: &'static str,
}

fn refused_case(
    name: &'static str,
    path: &str,
    headers: &[(&'static str, &str)],
    expected: (u16, &'static str, &'static str),
    expected_detail: &'static str,
) -> RefusedCase {
    let headers = headers
        .iter()
        .map(|(name, value)| (*name, (*value).to_owned()));
    RefusedCase {
        name,
        method: "POST",
        path: path.to_owned(),
        headers: headers.collect(),
        body_bytes: 0,
        expected,
        expected_detail,
    }
}

fn refused_cases() -> Vec<RefusedCase> {
    let key = ("dogwood-key", KEY);
    let bad_request = (400, "not-run", "bad-request");
    let too_large = (413, "not-run", "too-large");
    let long_key = "k".repeat(129);
    let long_header = "h".repeat(17 << 10);
    vec![
        refused_case(
            "no key",
            "/a/echo",
            &[],
            (401, "not-run", "missing-key"),
            "dogwood-key",
        ),
        refused_case(
            "unknown key",
            "/a/echo",
            &[("dogwood-key", "guess")],
            (401, "not-run", "unknown-key"),
            "unknown",
        ),
        refused_case(
            "revoked key",
            "/a/echo",
            &[("dogwood-key", REVOKED_KEY)],
            (401, "not-run", "revoked-key"),
            "revoked",
        ),
        refused_case("two keys", "/a/echo", &[key, key], bad_request, "once"),
        refused_case(
            "no service",
            "/z/echo",
            &[key],
            (404, "not-run", "no-route"),
            "service",
        ),
        refused_case(
            "dot segments",
            "/a/browse/../once/x",
            &[key],
            bad_request,
            "segments",
        ),
        refused_case("encoded dots", "/a/%2E%2e/x", &[key], bad_request, "%2e"),
        refused_case(
            "empty segment",
            "/a//once/x",
            &[key],
            bad_request,
            "segments",
        ),
        refused_case(
            "deadline text",
            "/a/echo",
            &[key, ("dogwood-deadline-ms", "soon")],
            bad_request,
            "dogwood-deadline-ms",
        ),
        refused_case(
            "deadline zero",
            "/a/echo",
            &[key, ("dogwood-deadline-ms", "0")],
            bad_request,
            "dogwood-deadline-ms",
        ),
        refused_case(
            "deadline sign",
            "/a/echo",
            &[key, ("dogwood-deadline-ms", "+5")],
            bad_request,
            "dogwood-deadline-ms",
        ),
        refused_case(
            "deadline huge",
            "/a/echo",
            &[key, ("dogwood-deadline-ms", "99999999999999999999")],
            bad_request,
            "dogwood-deadline-ms",
        ),
        refused_case(
            "idempotency key long",
            "/a/echo",
            &[key, ("idempotency-key", &long_key)],
            bad_request,
            "idempotency-key",
        ),
        refused_case(
            "idempotency key empty",
            "/a/echo",
            &[key, ("idempotency-key", "")],
            bad_request,
            "idempotency-key",
        ),
        refused_case(
            "idempotency key space",
            "/a/echo",
            &[key, ("idempotency-key", "a b")],
            bad_request,
            "idempotency-key",
        ),
        refused_case(
            "headers large",
            "/a/echo",
            &[key, ("x-long", &long_header)],
            too_large,
            "headers",
        ),
        RefusedCase {
            body_bytes: (1 << 20) + 1,
            ..refused_case("body large", "/a/echo", &[key], too_large, "body")
        },
    ]
}

/// Invalid requests are refused with a detail that names the fault, and none is executed.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_with_a_detail_and_reach_no_target() {
    let mesh = Mesh::start(&["a"]).await;
    for case in refused_cases() {
        let headers: Vec<_> = case
            .headers
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        let body = vec![b'x'; case.body_bytes];
        let request = client::request(case.method, &case.path, &headers, &body);
        let response = client::send(mesh[0].caller_address(), request).await;
        assert_eq!(
            response.summary(),
            case.expected,
            "{}: {}",
            case.name,
            response.text()
        );
        assert!(
            response.text().contains(case.expected_detail),
            "{}: {}",
            case.name,
            response.text()
        );
    }
    assert!(mesh[0].target.executions().is_empty());
    assert_eq!(get(&mesh, 0, "/a/echo").await.summary(), (200, "whole", ""));
}

/// A key is revoked while its caller holds a connection open. If keys were checked only
/// for new connections, the caller would be served for hours.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_refused_on_an_open_connection() {
    let mesh = Mesh::start(&["a"]).await;
    let mut connection = client::connect(mesh[0].caller_address()).await;
    let request = || client::request("GET", "/a/echo", &[("dogwood-key", KEY)], b"");
    let before = client::exchange(&mut connection, request()).await;
    assert_eq!(before.summary(), (200, "whole", ""));
    mesh[0].running.send_modify(|running| {
        let mut next = (**running).clone();
        next.revoked.insert(local_mesh::mesh::digest(KEY));
        *running = std::sync::Arc::new(next);
    });
    let after = client::exchange(&mut connection, request()).await;
    assert_eq!(after.summary(), (401, "not-run", "revoked-key"));
    assert_eq!(mesh[0].target.executions().len(), 1);
}

struct ResponseCase {
    name: &'static str,
    path: &'static str,
    expected: (u16, &'static str, &'static str),
    execution_count: usize,
}

/// Targets send responses to other calls, truncated responses, or shed. A caller would act
/// on a truncated response that looks complete, and would send an order twice after a
/// wrong `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn broken_responses_are_reported_with_their_outcome() {
    let cases = [
        ResponseCase {
            name: "response to another call, repeatable",
            path: "/a/crossed",
            expected: (502, "unknown", "bad-answer"),
            execution_count: 4,
        },
        ResponseCase {
            name: "response to another call, unrepeatable",
            path: "/a/once/crossed",
            expected: (502, "unknown", "bad-answer"),
            execution_count: 1,
        },
        ResponseCase {
            name: "truncated, repeatable",
            path: "/a/cut/1000",
            expected: (502, "unknown", "bad-answer"),
            execution_count: 4,
        },
        ResponseCase {
            name: "shed without execution",
            path: "/a/shed",
            expected: (503, "not-run", "overloaded"),
            execution_count: 4,
        },
        ResponseCase {
            name: "error of the target",
            path: "/a/fail",
            expected: (503, "whole", ""),
            execution_count: 1,
        },
    ];
    // Through the target's node, then through another node.
    for entry in [0, 1] {
        let mesh = Mesh::start(&["a", "b"]).await;
        for case in &cases {
            mesh[0].target.recorder.lock().unwrap().clear();
            let response = get(&mesh, entry, case.path).await;
            let name = case.name;
            assert_eq!(
                response.summary(),
                case.expected,
                "{name} by {entry}: {}",
                response.text()
            );
            assert_eq!(
                mesh[0].target.executions().len(),
                case.execution_count,
                "{name} by {entry}"
            );
        }
        assert_eq!(get(&mesh, entry, "/a/echo").await.text(), "a ran");
    }
}

/// The response to a repeatable request breaks, and its retry is refused before it runs. If
/// `not-run` were reported, the caller would assume that nothing was executed.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_retry_does_not_hide_an_earlier_attempt_that_may_have_run() {
    for entry in [0, 1] {
        let mesh = Mesh::start(&["a", "b"]).await;
        let response = get(&mesh, entry, "/a/cut-then-shed/1000").await;
        assert_eq!(
            response.summary(),
            (503, "unknown", "overloaded"),
            "entry {entry}"
        );
    }
}

/// A large response breaks after its head was sent. The caller must see a broken transfer,
/// not a truncated response that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_response_is_streamed_and_a_truncated_one_never_looks_complete() {
    let mesh = Mesh::start(&["a", "b"]).await;
    for entry in [0, 1] {
        let complete = get(&mesh, entry, "/a/big/3000000").await;
        assert_eq!(complete.body.map(|body| body.len()), Some(3_000_000));
        let truncated = get(&mesh, entry, "/a/cut/3000000").await;
        assert_eq!(truncated.body, None, "entry {entry}");
    }
}

/// A caller disconnects while its call chain is executed. The deepest target must be
/// cancelled, or it does wasted work while others wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_cancels_its_child_calls() {
    let mesh = Mesh::start(&["a", "b", "c"]).await;
    let mut connection = client::connect(mesh[0].caller_address()).await;
    let request = client::request("GET", "/a/chain/b/slow/2000", &[("dogwood-key", KEY)], b"");
    let caller = tokio::spawn(async move {
        let _ = connection.send_request(request).await;
    });
    while mesh[1].target.executions().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    caller.abort();
    for instance in mesh.instances.iter() {
        while instance.node.in_flight_count() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(instance.node.calls().is_empty());
    }
    assert!(!mesh[1].target.executions()[0].is_completed);
}

/// A caller disconnects. The retry allotment of its attempt would stay in memory for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_attempt_leaves_no_retry_allotment() {
    let mesh = Mesh::start(&["b", "a"]).await;
    let mut connection = client::connect(mesh[0].caller_address()).await;
    let request = client::request("GET", "/a/slow/2000", &[("dogwood-key", KEY)], b"");
    let caller = tokio::spawn(async move {
        let _ = connection.send_request(request).await;
    });
    while mesh[1].target.executions().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(mesh[0].node.retries().child_allotment_count(), 1);
    caller.abort();
    for instance in mesh.instances.iter() {
        while instance.node.in_flight_count() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let retries = instance.node.retries();
        assert_eq!(
            (retries.call_count(), retries.child_allotment_count()),
            (0, 0)
        );
    }
}

/// A request that may still run at the caller's deadline must not be reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_expired_deadline_is_reported_with_an_unknown_outcome() {
    let mesh = Mesh::start(&["a", "b"]).await;
    for entry in [0, 1] {
        let headers = [("dogwood-key", KEY), ("dogwood-deadline-ms", "100")];
        let request = client::request("GET", "/a/slow/2000", &headers, b"");
        let response = client::send(mesh[entry].caller_address(), request).await;
        assert_eq!(response.summary(), (504, "unknown", "deadline-exceeded"));
        assert_eq!(response.header("retry-after"), "1");
    }
}

/// An outsider sends to the ports between nodes, or a target forges a call handle. If
/// either were accepted, requests could run for any workspace.
#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_requests_are_refused_on_internal_ports() {
    let mesh = Mesh::start(&["a"]).await;
    let forged = [("dogwood-context", "AAAA"), ("dogwood-auth", "00")];
    for headers in [&[][..], &forged[..]] {
        let request = client::request("GET", "/echo", headers, b"");
        let response = client::send(mesh[0].peer_address(), request).await;
        assert_eq!(response.summary(), (403, "not-run", "not-authentic"));
    }
    for handle in ["", "00000000000000000000000000000001", "x"] {
        let request = client::request("GET", "/a/echo", &[("dogwood-call", handle)], b"");
        let response = client::send(mesh[0].egress_address(), request).await;
        assert_eq!(response.summary(), (409, "not-run", "bad-handle"));
    }
    assert!(mesh[0].target.executions().is_empty());
    // The handle of a call that has ended.
    get(&mesh, 0, "/a/echo").await;
    let execution = &mesh[0].target.executions()[0];
    let handle = execution
        .headers
        .iter()
        .find(|(name, _)| name == "dogwood-call");
    let headers = [("dogwood-call", handle.unwrap().1.as_str())];
    let request = client::request("GET", "/a/echo", &headers, b"");
    let response = client::send(mesh[0].egress_address(), request).await;
    assert_eq!(response.summary(), (409, "not-run", "bad-handle"));
    assert_eq!(mesh[0].target.executions().len(), 1);
}

/// Without a retry delay, refused callers would retry immediately.
#[tokio::test(flavor = "multi_thread")]
async fn a_workspace_over_its_rate_gets_a_retry_delay() {
    let mesh = Mesh::start(&["a"]).await;
    let mut refused = None;
    for _ in 0..10 {
        let request = client::request("GET", "/a/echo", &[("dogwood-key", "tiny-key")], b"");
        let response = client::send(mesh[0].caller_address(), request).await;
        if response.status == 429 {
            refused = Some(response);
        }
    }
    let response = refused.expect("10 requests at once exceed a burst of 2");
    assert_eq!(response.summary(), (429, "not-run", "over-quota"));
    assert_eq!(response.header("retry-after"), "1");
    assert!(!response.header("dogwood-retry-after-ms").is_empty());
}

/// A node is drained with requests in flight. If it stopped immediately, orders would be
/// aborted.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_aborts_no_request() {
    let mesh = Mesh::start(&["a", "a"]).await;
    let address = mesh[0].caller_address();
    let slow = tokio::spawn(async move {
        let request = client::request("GET", "/a/slow/1500", &[("dogwood-key", KEY)], b"");
        client::send(address, request).await
    });
    while mesh[0].node.in_flight_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    mesh[0].node.drain();
    let during = get(&mesh, 0, "/a/echo").await;
    assert_eq!(during.summary(), (200, "whole", ""));
    assert_eq!(during.header("connection"), "close");
    assert_eq!(slow.await.unwrap().summary(), (200, "whole", ""));
    mesh[0].tasks.wait().await;
    for _ in 0..4 {
        assert_eq!(get(&mesh, 1, "/a/echo").await.summary(), (200, "whole", ""));
    }
}

/// A target announces that it drains. Requests sent to it afterwards would fail; its node
/// still serves callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_requests() {
    let mesh = Mesh::start(&["a", "a"]).await;
    mesh[0].target.announce(true).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let previous_count = mesh[0].target.executions().len();
    for _ in 0..20 {
        let response = get(&mesh, 0, "/a/echo").await;
        assert_eq!(response.summary(), (200, "whole", ""));
    }
    assert_eq!(mesh[0].target.executions().len(), previous_count);
    assert_eq!(mesh[1].target.executions().len(), 20);
}

/// A zone is cut off from the platform and the other zones. A key that was revoked there
/// must not stay valid in this zone.
#[tokio::test(flavor = "multi_thread")]
async fn keys_expire_in_a_zone_that_stays_cut_off() {
    let mesh = Mesh::start(&["a"]).await;
    let freshness = &mesh[0].freshness;
    freshness.send_replace(dogwoodbridge::freshness::Snapshot::cut_off());
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = get(&mesh, 0, "/a/echo").await;
    assert_eq!(response.summary(), (401, "not-run", "key-lease-expired"));
    freshness.send_replace(local_mesh::mesh::ALWAYS_FRESH);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(get(&mesh, 0, "/a/echo").await.summary(), (200, "whole", ""));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_admin_port_reports_health_readiness_and_requests() {
    let mesh = Mesh::start(&["a"]).await;
    get(&mesh, 0, "/a/echo").await;
    for (path, expected_text) in [
        ("/healthz", "ok"),
        ("/readyz", "ready"),
        ("/metrics", "outcome=\"whole\""),
    ] {
        let response = client::send(
            mesh[0].admin_address(),
            client::request("GET", path, &[], b""),
        )
        .await;
        assert_eq!(response.status, 200);
        assert!(
            response.text().contains(expected_text),
            "{path}: {}",
            response.text()
        );
    }
}

/// A target crashes, its node does not. If requests were still routed there, they would fail
/// until an operator intervenes.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_target_is_removed_and_others_serve() {
    let mesh = Mesh::start(&["a", "a"]).await;
    mesh[0].target.stop.cancel();
    for _ in 0..20 {
        assert_eq!(get(&mesh, 0, "/a/echo").await.summary(), (200, "whole", ""));
    }
    while mesh[0].node.own_state.borrow().target.is_some() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let response = get(&mesh, 0, "/a/echo").await;
    assert_eq!(response.summary(), (200, "whole", ""));
}
