//! Calls in progress at a node that does not respond for a while.

mod local_mesh;

use {
    futures::future::join_all,
    local_mesh::{
        client::{self, CallerResponse},
        mesh::{KEY, Mesh, set_responsive},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::net::TcpListener,
};

const CALL_COUNT: usize = 8;
const STRANGER: &str = "stranger";
/// Time after which a node is silent and a call at it may be retried.
const SILENT_AFTER: Duration = Duration::from_millis(800);

async fn get(mesh: &Mesh, path: &str) -> CallerResponse {
    let request = client::request("GET", path, &[("dogwood-key", KEY)], b"");
    client::send(mesh[0].caller_address(), request).await
}

fn assert_whole(name: &str, response: &CallerResponse) {
    let text = response.text();
    assert_eq!(response.summary(), (200, "whole", ""), "{name}: {text}");
}

/// Accepts connections and never responds.
async fn start_hanging_peer(stem: &str) -> (String, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut streams = Vec::new();
        loop {
            streams.push(listener.accept().await.unwrap());
        }
    });
    (format!("{stem}-{}", address.port()), address)
}

/// What makes a retry of the calls at the silent node impossible.
#[derive(Clone, Copy)]
enum Obstacle {
    NoOtherTarget,
    OtherTargetDrains,
    OtherNodeIsGone,
    BudgetIsSpent,
    MayNotRunTwice,
}

struct SilentCase {
    name: &'static str,
    obstacle: Obstacle,
    services: &'static [&'static str],
    flags: &'static [&'static str],
    path: &'static str,
}

impl SilentCase {
    const fn new(name: &'static str, obstacle: Obstacle) -> Self {
        Self {
            name,
            obstacle,
            services: match obstacle {
                Obstacle::NoOtherTarget | Obstacle::OtherNodeIsGone => &["b", "a"],
                _ => &["b", "a", "a"],
            },
            flags: match obstacle {
                Obstacle::BudgetIsSpent => &["--retry-percent", "0", "--retry-floor", "0"],
                _ => &[],
            },
            path: match obstacle {
                Obstacle::MayNotRunTwice => "/a/once/slow/1000",
                _ => "/a/slow/1000",
            },
        }
    }
}

/// A call was given up because its node was silent, before it was known whether it could be
/// retried. The caller got an error although the response was on its way.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_at_a_silent_node_is_kept_if_it_cannot_be_retried() {
    let cases = [
        SilentCase::new("no other target", Obstacle::NoOtherTarget),
        SilentCase::new("the other target drains", Obstacle::OtherTargetDrains),
        SilentCase::new("the other node is gone", Obstacle::OtherNodeIsGone),
        SilentCase::new("the retry budget is spent", Obstacle::BudgetIsSpent),
        SilentCase::new("it may not run twice", Obstacle::MayNotRunTwice),
    ];
    for case in &cases {
        let mesh = Mesh::start_with_flags(case.services, case.flags).await;
        match case.obstacle {
            Obstacle::OtherTargetDrains => {
                mesh[2].target.announce(true).await;
                wait_for_target_count(&mesh, 1).await;
            }
            Obstacle::OtherNodeIsGone => {
                let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let address = unused.local_addr().unwrap();
                drop(unused);
                mesh.add_fake_member(STRANGER, "a", address).await;
            }
            _ => {}
        }
        set_responsive(&mesh[1].node.settings.node_id, false);
        let responses = join_all((0..CALL_COUNT).map(|_| get(&mesh, case.path))).await;
        for response in &responses {
            assert_whole(case.name, response);
        }
    }
}

async fn wait_for_target_count(mesh: &Mesh, expected_count: usize) {
    let node = &mesh[0].node;
    let service = node.names.service("a");
    while node.routes().target_count(service) != expected_count {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A silent node responds after all that its target did not execute the request, and so does
/// the node of the retry. The caller was told that the request may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_no_target_executed_is_refused_as_not_run() {
    let mesh = Mesh::start(&["b", "a", "a"]).await;
    set_responsive(&mesh[1].node.settings.node_id, false);
    let responses = join_all((0..CALL_COUNT).map(|_| get(&mesh, "/a/shed-after/600"))).await;
    for response in &responses {
        let (status, outcome, reason) = response.summary();
        assert_eq!((status, outcome), (503, "not-run"), "{reason}");
    }
}

/// A zone is cut off and its nodes never respond. Callers must not wait until the deadline
/// when another target has room.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_at_a_node_that_never_responds_is_retried() {
    let mesh = Mesh::start(&["b", "a"]).await;
    let (node_id, address) = start_hanging_peer("cut-off").await;
    mesh.add_fake_member(&node_id, "a", address).await;
    set_responsive(&node_id, false);
    let responses = join_all((0..CALL_COUNT).map(|_| get(&mesh, "/a/echo"))).await;
    for response in &responses {
        assert_whole("cut off", response);
    }
}

/// No target can be picked when a node becomes silent, and another one returns before the
/// deadline. The call waited for the silent node alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_at_a_silent_node_is_retried_when_another_target_returns() {
    let mesh = Mesh::start(&["b", "a"]).await;
    let (node_id, address) = start_hanging_peer("cut-off").await;
    mesh[1].target.announce(true).await;
    wait_for_target_count(&mesh, 0).await;
    mesh.add_fake_member(&node_id, "a", address).await;
    set_responsive(&node_id, false);
    let returning = async {
        tokio::time::sleep(SILENT_AFTER).await;
        mesh[1].target.announce(false).await;
    };
    let (response, ()) = tokio::join!(get(&mesh, "/a/echo"), returning);
    assert_whole("returned", &response);
}
