//! A request that crashes its targets, through nodes that speak the native dialect.

mod local_mesh;

use {
    local_mesh::{
        client::{self, CallerResponse},
        mesh::{KEY, Mesh},
    },
    std::time::Duration,
};

/// Time in which reports reach the other nodes.
const REPORT_TIME: Duration = Duration::from_millis(300);

async fn get(mesh: &Mesh, entry: usize, path: &str) -> CallerResponse {
    let request = client::request("GET", path, &[("dogwood-key", KEY)], b"");
    client::send(mesh[entry].caller_address(), request).await
}

/// Guards against a request that has another identity at the node where it enters than beside
/// its target, so that it crashes the last target of its service, too.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_target_survives_a_request_that_crashed_the_others() {
    const SERVICES: [&str; 5] = ["a", "a", "a", "a", "b"];
    const ENTRY: usize = 4;
    let mesh = Mesh::start(&SERVICES).await;
    let mut outcomes = Vec::new();
    for _ in 0..6 {
        let response = get(&mesh, ENTRY, "/a/crash").await;
        let (status, outcome, reason) = response.summary();
        outcomes.push((status, outcome.to_owned(), reason.to_owned()));
        tokio::time::sleep(REPORT_TIME).await;
    }
    let crashed_count = mesh.instances.iter();
    let crashed_count = crashed_count
        .filter(|instance| instance.target.stop.is_cancelled())
        .count();
    assert_eq!(crashed_count, 3, "{outcomes:?}");
    let first = (502, "unknown".to_owned(), "target-crashed".to_owned());
    let last = (503, "not-run".to_owned(), "quarantined".to_owned());
    assert_eq!(outcomes[0], first, "{outcomes:?}");
    assert_eq!(outcomes[5], last, "{outcomes:?}");
    let other = get(&mesh, ENTRY, "/a/echo").await;
    assert_eq!(other.summary(), (200, "whole", ""), "{}", other.text());
}

/// Guards against a broken connection that is taken for a crash of its target.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_response_is_truncated_is_not_refused() {
    let mesh = Mesh::start(&["a", "a"]).await;
    for _ in 0..6 {
        let response = get(&mesh, 0, "/a/cut/1000").await;
        assert_eq!(response.summary(), (502, "unknown", "bad-answer"));
    }
}
