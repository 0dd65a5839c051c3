//! Requests with an idempotency key on unrepeatable routes, sent through a mesh.

mod local_mesh;

use {
    local_mesh::{
        client::{self, CallerResponse},
        mesh::{KEY, Mesh},
    },
    std::{sync::Arc, time::Duration},
};

async fn submit(mesh: &Mesh, entry: usize, key: &str, path: &str, body: &[u8]) -> CallerResponse {
    let headers = [("dogwood-key", KEY), ("idempotency-key", key)];
    let request = client::request("POST", path, &headers, body);
    client::send(mesh[entry].caller_address(), request).await
}

fn execution_count(mesh: &Mesh) -> usize {
    let counts = mesh
        .instances
        .iter()
        .map(|instance| instance.target.executions().len());
    counts.sum()
}

/// A caller resends an order because it missed the response. If it ran twice, the
/// caller would pay twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_through_any_node_gets_the_first_response() {
    let mesh = Mesh::start(&["a", "a", "a"]).await;
    for index in 0..12 {
        let key = format!("order-{index}");
        for entry in [0, 1, 2, 0] {
            let seen = submit(&mesh, entry, &key, "/a/once/echo", b"10 boxes").await;
            assert_eq!(seen.summary(), (200, "whole", ""), "{key}: {}", seen.text());
            assert_eq!(seen.text(), "a ran");
        }
        assert_eq!(execution_count(&mesh), index + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_for_another_request_is_refused() {
    let mesh = Mesh::start(&["a"]).await;
    let first = submit(&mesh, 0, "k", "/a/once/echo", b"10 boxes").await;
    assert_eq!(first.summary(), (200, "whole", ""));
    for (path, body) in [("/a/once/echo", b"11 boxes"), ("/a/once/else", b"10 boxes")] {
        let seen = submit(&mesh, 0, "k", path, body).await;
        assert_eq!(seen.summary(), (422, "not-run", "key-reused"));
    }
    assert_eq!(execution_count(&mesh), 1);
}

/// A client sends the same order twenty times at once, through all nodes.
#[tokio::test(flavor = "multi_thread")]
async fn resends_at_the_same_time_execute_once() {
    let mesh = Arc::new(Mesh::start(&["a", "a", "a"]).await);
    let sends = (0..20).map(|index| {
        let mesh = Arc::clone(&mesh);
        tokio::spawn(async move { submit(&mesh, index % 3, "k", "/a/once/slow/100", b"").await })
    });
    let sends: Vec<_> = sends.collect();
    let mut whole_count = 0;
    for send in sends {
        let seen = send.await.unwrap();
        match seen.summary() {
            (200, "whole", "") => whole_count += 1,
            (409, "unknown", "in-progress") => {}
            other => panic!("{other:?}"),
        }
    }
    assert!(whole_count >= 1);
    assert_eq!(execution_count(&mesh), 1);
    let resent = submit(&mesh, 1, "k", "/a/once/slow/100", b"").await;
    assert_eq!(resent.summary(), (200, "whole", ""));
    assert_eq!(execution_count(&mesh), 1);
}

/// A caller disconnects while its order is being executed and resends it later.
#[tokio::test(flavor = "multi_thread")]
async fn the_response_is_stored_when_the_caller_disconnects() {
    let mesh = Mesh::start(&["a", "a"]).await;
    for index in 0..4 {
        let key = format!("k{index}");
        let path = "/a/once/slow/200";
        let request = submit(&mesh, index % 2, &key, path, b"");
        assert!(
            tokio::time::timeout(Duration::from_millis(100), request)
                .await
                .is_err()
        );
        let seen = loop {
            let seen = submit(&mesh, 0, &key, path, b"").await;
            if seen.header("dogwood-reason") != "in-progress" {
                break seen;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(seen.summary(), (200, "whole", ""));
        assert_eq!(execution_count(&mesh), index + 1);
    }
}

/// The home of some keys has stopped. Requests with these keys must not run at
/// another node, which does not know whether they ran before.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_home_is_gone_does_not_run() {
    let mesh = Mesh::start(&["a", "a"]).await;
    mesh[1].node.stopped.cancel();
    mesh[1].tasks.wait().await;
    let mut refused_count = 0;
    for index in 0..20 {
        let count_before = execution_count(&mesh);
        let seen = submit(&mesh, 0, &format!("k{index}"), "/a/once/echo", b"").await;
        match seen.summary() {
            (200, "whole", "") => assert_eq!(execution_count(&mesh), count_before + 1),
            (503, "not-run", "no-home") => {
                refused_count += 1;
                assert_eq!(execution_count(&mesh), count_before);
                assert!(!seen.header("retry-after").is_empty());
            }
            other => panic!("{other:?}"),
        }
    }
    assert!((1..20).contains(&refused_count), "{refused_count}");
}

/// A target closes the connection in the middle of an order, so it is unknown
/// whether the order ran. A resend must report this and not run it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_an_unknown_outcome_does_not_run() {
    let mesh = Mesh::start(&["a", "a"]).await;
    let first = submit(&mesh, 0, "k", "/a/once/cut/100", b"").await;
    assert_eq!(first.summary(), (502, "unknown", "bad-answer"));
    for entry in [0, 1] {
        let seen = submit(&mesh, entry, "k", "/a/once/cut/100", b"").await;
        assert_eq!(seen.summary(), (409, "unknown", "earlier-unknown"));
    }
    assert_eq!(execution_count(&mesh), 1);
    // A request that provably did not run may run again.
    let shed = submit(&mesh, 0, "s", "/a/once/shed", b"").await;
    assert_eq!(shed.summary(), (503, "not-run", "overloaded"));
    let resent = submit(&mesh, 1, "s", "/a/once/shed", b"").await;
    assert_eq!(resent.summary(), (503, "not-run", "overloaded"));
}
