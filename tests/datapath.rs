//! The path from a caller through nodes to targets and back.

mod local_mesh;

use {
    local_mesh::{
        client::{self, Seen},
        mesh::{KEY, Mesh, REVOKED_KEY},
    },
    std::time::Duration,
};

async fn get(mesh: &Mesh, entry: usize, path: &str) -> Seen {
    let request = client::request("GET", path, &[("dogwood-key", KEY)], b"");
    client::send(mesh[entry].caller_address(), request).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_four_calls_comes_back_whole() {
    let mesh = Mesh::start(&["a", "b", "c", "d"]).await;
    for entry in 0..4 {
        let seen = get(&mesh, entry, "/a/chain/b/c/d").await;
        assert_eq!(seen.summary(), (200, "whole", ""), "{}", seen.text());
        assert_eq!(seen.text(), "a > b > c > d ran");
    }
    for instance in mesh.instances.iter() {
        for execution in instance.target.executions() {
            let text = format!("{execution:?}");
            assert!(!text.contains(KEY), "a target saw a key: {text}");
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
    says: &'static str,
}

fn refused(
    name: &'static str,
    path: &str,
    headers: &[(&'static str, &str)],
    expected: (u16, &'static str, &'static str),
    says: &'static str,
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
        says,
    }
}

fn refused_cases() -> Vec<RefusedCase> {
    let key = ("dogwood-key", KEY);
    let bad = (400, "not-run", "bad-request");
    let large = (413, "not-run", "too-large");
    let long_key = "k".repeat(129);
    let long = "h".repeat(17 << 10);
    vec![
        refused(
            "no key",
            "/a/echo",
            &[],
            (401, "not-run", "missing-key"),
            "dogwood-key",
        ),
        refused(
            "unknown key",
            "/a/echo",
            &[("dogwood-key", "guess")],
            (401, "not-run", "unknown-key"),
            "unknown",
        ),
        refused(
            "revoked key",
            "/a/echo",
            &[("dogwood-key", REVOKED_KEY)],
            (401, "not-run", "revoked-key"),
            "revoked",
        ),
        refused("two keys", "/a/echo", &[key, key], bad, "once"),
        refused(
            "no service",
            "/z/echo",
            &[key],
            (404, "not-run", "no-route"),
            "service",
        ),
        refused(
            "dot segments",
            "/a/browse/../once/x",
            &[key],
            bad,
            "segments",
        ),
        refused("encoded dots", "/a/%2E%2e/x", &[key], bad, "%2e"),
        refused("empty segment", "/a//once/x", &[key], bad, "segments"),
        refused(
            "deadline text",
            "/a/echo",
            &[key, ("dogwood-deadline-ms", "soon")],
            bad,
            "dogwood-deadline-ms",
        ),
        refused(
            "deadline zero",
            "/a/echo",
            &[key, ("dogwood-deadline-ms", "0")],
            bad,
            "dogwood-deadline-ms",
        ),
        refused(
            "deadline sign",
            "/a/echo",
            &[key, ("dogwood-deadline-ms", "+5")],
            bad,
            "dogwood-deadline-ms",
        ),
        refused(
            "deadline huge",
            "/a/echo",
            &[key, ("dogwood-deadline-ms", "99999999999999999999")],
            bad,
            "dogwood-deadline-ms",
        ),
        refused(
            "idempotency key long",
            "/a/echo",
            &[key, ("idempotency-key", &long_key)],
            bad,
            "idempotency-key",
        ),
        refused(
            "idempotency key empty",
            "/a/echo",
            &[key, ("idempotency-key", "")],
            bad,
            "idempotency-key",
        ),
        refused(
            "idempotency key space",
            "/a/echo",
            &[key, ("idempotency-key", "a b")],
            bad,
            "idempotency-key",
        ),
        refused(
            "headers large",
            "/a/echo",
            &[key, ("x-long", &long)],
            large,
            "headers",
        ),
        RefusedCase {
            body_bytes: (1 << 20) + 1,
            ..refused("body large", "/a/echo", &[key], large, "body")
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_request_is_refused_by_name_and_reaches_no_target() {
    let mesh = Mesh::start(&["a"]).await;
    for case in refused_cases() {
        let headers: Vec<_> = case
            .headers
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        let body = vec![b'x'; case.body_bytes];
        let request = client::request(case.method, &case.path, &headers, &body);
        let seen = client::send(mesh[0].caller_address(), request).await;
        assert_eq!(
            seen.summary(),
            case.expected,
            "{}: {}",
            case.name,
            seen.text()
        );
        assert!(
            seen.text().contains(case.says),
            "{}: {}",
            case.name,
            seen.text()
        );
    }
    assert!(mesh[0].target.executions().is_empty());
    assert_eq!(get(&mesh, 0, "/a/echo").await.summary(), (200, "whole", ""));
}

/// Operators revoke a key while its caller holds a connection open. Were only
/// new connections checked, the caller would go on for hours.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_stops_on_an_open_connection() {
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

struct AnswerCase {
    name: &'static str,
    path: &'static str,
    expected: (u16, &'static str, &'static str),
    executions: usize,
}

/// Targets answer for other calls, break off in the middle or shed. A caller
/// that took half an answer for a whole one would act on it; one that was told
/// `not-run` wrongly would send an order twice.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answers_are_told_as_what_they_are() {
    let cases = [
        AnswerCase {
            name: "crossed, repeatable",
            path: "/a/crossed",
            expected: (502, "unknown", "bad-answer"),
            executions: 4,
        },
        AnswerCase {
            name: "crossed, once",
            path: "/a/once/crossed",
            expected: (502, "unknown", "bad-answer"),
            executions: 1,
        },
        AnswerCase {
            name: "cut, repeatable",
            path: "/a/cut/1000",
            expected: (502, "unknown", "bad-answer"),
            executions: 4,
        },
        AnswerCase {
            name: "shed untouched",
            path: "/a/shed",
            expected: (503, "not-run", "overloaded"),
            executions: 4,
        },
        AnswerCase {
            name: "failed by itself",
            path: "/a/fail",
            expected: (503, "whole", ""),
            executions: 1,
        },
    ];
    // Once through the target's own node, once through another.
    for entry in [0, 1] {
        let mesh = Mesh::start(&["a", "b"]).await;
        for case in &cases {
            mesh[0].target.journal.lock().unwrap().clear();
            let seen = get(&mesh, entry, case.path).await;
            let name = case.name;
            assert_eq!(
                seen.summary(),
                case.expected,
                "{name} by {entry}: {}",
                seen.text()
            );
            assert_eq!(
                mesh[0].target.executions().len(),
                case.executions,
                "{name} by {entry}"
            );
        }
        assert_eq!(get(&mesh, entry, "/a/echo").await.text(), "a ran");
    }
}

/// The answer to a repeatable request breaks, and its retry is refused before it
/// runs. Told `not-run`, the caller would take it that nothing happened at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_retry_does_not_hide_an_earlier_attempt_that_may_have_run() {
    for entry in [0, 1] {
        let mesh = Mesh::start(&["a", "b"]).await;
        let seen = get(&mesh, entry, "/a/cut-then-shed/1000").await;
        assert_eq!(
            seen.summary(),
            (503, "unknown", "overloaded"),
            "entry {entry}"
        );
    }
}

/// A large answer breaks after its head has gone out. Its caller must see a
/// broken transfer, not a short answer that looks whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_is_streamed_and_a_cut_one_never_looks_whole() {
    let mesh = Mesh::start(&["a", "b"]).await;
    for entry in [0, 1] {
        let whole = get(&mesh, entry, "/a/big/3000000").await;
        assert_eq!(whole.body.map(|body| body.len()), Some(3_000_000));
        let cut = get(&mesh, entry, "/a/cut/3000000").await;
        assert_eq!(cut.body, None, "entry {entry}");
    }
}

/// A caller gives up while the chain works. The deepest target must notice,
/// or it works on for nobody while others wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_takes_its_children_along() {
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
    assert!(!mesh[1].target.executions()[0].ended);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_ends_the_wait_with_an_unknown_outcome() {
    let mesh = Mesh::start(&["a", "b"]).await;
    for entry in [0, 1] {
        let headers = [("dogwood-key", KEY), ("dogwood-deadline-ms", "100")];
        let request = client::request("GET", "/a/slow/2000", &headers, b"");
        let seen = client::send(mesh[entry].caller_address(), request).await;
        assert_eq!(seen.summary(), (504, "unknown", "deadline-exceeded"));
        assert_eq!(seen.header("retry-after"), "1");
    }
}

/// Someone on the network sends to the ports between nodes, or a target makes
/// up a handle. Were either believed, requests could run for any workspace.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_are_refused_on_the_ports_between_nodes() {
    let mesh = Mesh::start(&["a"]).await;
    let forged = [("dogwood-context", "AAAA"), ("dogwood-auth", "00")];
    for headers in [&[][..], &forged[..]] {
        let request = client::request("GET", "/echo", headers, b"");
        let seen = client::send(mesh[0].peer_address(), request).await;
        assert_eq!(seen.summary(), (403, "not-run", "not-authentic"));
    }
    for handle in ["", "00000000000000000000000000000001", "x"] {
        let request = client::request("GET", "/a/echo", &[("dogwood-call", handle)], b"");
        let seen = client::send(mesh[0].egress_address(), request).await;
        assert_eq!(seen.summary(), (409, "not-run", "bad-handle"));
    }
    assert!(mesh[0].target.executions().is_empty());
    // The handle of a call that is over.
    get(&mesh, 0, "/a/echo").await;
    let execution = &mesh[0].target.executions()[0];
    let handle = execution
        .headers
        .iter()
        .find(|(name, _)| name == "dogwood-call");
    let headers = [("dogwood-call", handle.unwrap().1.as_str())];
    let request = client::request("GET", "/a/echo", &headers, b"");
    let seen = client::send(mesh[0].egress_address(), request).await;
    assert_eq!(seen.summary(), (409, "not-run", "bad-handle"));
    assert_eq!(mesh[0].target.executions().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_workspace_over_its_rate_is_told_when_to_come_back() {
    let mesh = Mesh::start(&["a"]).await;
    let mut refused = None;
    for _ in 0..10 {
        let request = client::request("GET", "/a/echo", &[("dogwood-key", "tiny-key")], b"");
        let seen = client::send(mesh[0].caller_address(), request).await;
        if seen.status == 429 {
            refused = Some(seen);
        }
    }
    let seen = refused.expect("10 requests at once exceed a burst of 2");
    assert_eq!(seen.summary(), (429, "not-run", "over-quota"));
    assert_eq!(seen.header("retry-after"), "1");
    assert!(!seen.header("dogwood-retry-after-ms").is_empty());
}

/// A planned stop with work in progress. A node that left at once would cut
/// its callers off in the middle of an order.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_cuts_off_no_request() {
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

/// A target leaves on its own account. Work sent there afterwards would fail
/// with it; its node goes on as an entry for callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_no_new_work() {
    let mesh = Mesh::start(&["a", "a"]).await;
    mesh[0].target.announce(true).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before = mesh[0].target.executions().len();
    for _ in 0..20 {
        let seen = get(&mesh, 0, "/a/echo").await;
        assert_eq!(seen.summary(), (200, "whole", ""));
    }
    assert_eq!(mesh[0].target.executions().len(), before);
    assert_eq!(mesh[1].target.executions().len(), 20);
}

/// A zone is cut off from the platform and from the others. A key that was
/// revoked elsewhere must not work here for ever.
#[tokio::test(flavor = "multi_thread")]
async fn keys_lapse_in_a_zone_that_stays_cut_off() {
    let mesh = Mesh::start(&["a"]).await;
    let freshness = &mesh[0].freshness;
    freshness.send_replace(dogwoodbridge::freshness::Snapshot::cut_off());
    tokio::time::sleep(Duration::from_millis(300)).await;
    let seen = get(&mesh, 0, "/a/echo").await;
    assert_eq!(seen.summary(), (401, "not-run", "key-lease-expired"));
    freshness.send_replace(local_mesh::mesh::ALWAYS_FRESH);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(get(&mesh, 0, "/a/echo").await.summary(), (200, "whole", ""));
}

#[tokio::test(flavor = "multi_thread")]
async fn monitoring_tells_health_readiness_and_requests() {
    let mesh = Mesh::start(&["a"]).await;
    get(&mesh, 0, "/a/echo").await;
    for (path, says) in [
        ("/healthz", "ok"),
        ("/readyz", "ready"),
        ("/metrics", "outcome=\"whole\""),
    ] {
        let seen = client::send(
            mesh[0].admin_address(),
            client::request("GET", path, &[], b""),
        )
        .await;
        assert_eq!(seen.status, 200);
        assert!(seen.text().contains(says), "{path}: {}", seen.text());
    }
}

/// A target dies without a word, its node stays. Sent there for good, every
/// request would fail until somebody noticed.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_target_is_lost_and_others_serve() {
    let mesh = Mesh::start(&["a", "a"]).await;
    mesh[0].target.stop.cancel();
    for _ in 0..20 {
        assert_eq!(get(&mesh, 0, "/a/echo").await.summary(), (200, "whole", ""));
    }
    while mesh[0].node.own_state.borrow().target.is_some() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let seen = get(&mesh, 0, "/a/echo").await;
    assert_eq!(seen.summary(), (200, "whole", ""));
}
