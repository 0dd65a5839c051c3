//! Load and refusals of a node's target, in the operators' call and in the metrics.

mod local_mesh;

use {
    dogwoodbridge::control::{TargetCapacity, node_capacity},
    local_mesh::{
        client,
        mesh::{KEY, Mesh},
    },
    std::time::Duration,
};

async fn metrics(mesh: &Mesh, index: usize) -> String {
    let request = client::request("GET", "/metrics", &[], b"");
    client::send(mesh[index].admin_address(), request)
        .await
        .text()
}

fn capacity(mesh: &Mesh, index: usize) -> TargetCapacity {
    let node = node_capacity(&mesh[index].node);
    assert_eq!(node.node_id, mesh[index].node.settings.node_id);
    node.target.expect("it is announced")
}

/// Guards against refusals that are counted at the caller's node instead of the target's, or not
/// at all, and against an unknown figure that is exported as 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_shed_request_counts_at_the_node_of_its_target() {
    let mesh = Mesh::start(&["a", "b"]).await;
    for (path, class) in [("/b/shed", "browse"), ("/b/once/shed", "critical")] {
        let headers = [("dogwood-key", KEY), ("idempotency-key", "order-1")];
        let request = client::request("GET", path, &headers, b"");
        let response = client::send(mesh[0].caller_address(), request).await;
        assert_eq!(response.status, 503, "{class}: {}", response.text());
    }
    let (callers, targets) = (capacity(&mesh, 0), capacity(&mesh, 1));
    assert_eq!(callers.refused_by_class.total(), 0);
    assert_eq!(callers.last_refused_ago_ms, None);
    assert_eq!((targets.service.as_str(), targets.slots.value), ("b", 64));
    let refused = targets.refused_by_class;
    assert!(refused.browse >= 1 && refused.critical >= 1, "{refused:?}");
    assert_eq!(refused.standard, 0);
    let by_workspace = &targets.refused_by_workspace;
    assert_eq!(by_workspace.len(), 1, "{by_workspace:?}");
    assert_eq!(by_workspace[0].workspace, "tally");
    assert_eq!(by_workspace[0].count, refused.total());
    assert!(targets.last_refused_ago_ms.is_some());

    let text = metrics(&mesh, 1).await;
    for line in [
        "dogwood_target_slots{service=\"b\"} 64".to_owned(),
        "dogwood_target_running{service=\"b\"} 0".to_owned(),
        "dogwood_target_refused_total{class=\"standard\"} 0".to_owned(),
        format!(
            "dogwood_target_refused_10s{{service=\"b\",class=\"browse\"}} {}",
            refused.browse
        ),
        format!(
            "dogwood_target_refused_total{{class=\"critical\"}} {}",
            refused.critical
        ),
        "dogwood_target_figure_age_ms{service=\"b\",figure=\"slots\"}".to_owned(),
    ] {
        assert!(text.contains(&line), "{line}: {text}");
    }
    assert!(!text.contains("dogwood_target_supply_percent{"), "{text}");
    assert!(!text.contains("tally"), "workspaces are no label: {text}");
}

/// Guards against requests that are refused before admission because the services below are full,
/// and that no operator sees: the queue of their target is empty.
#[tokio::test(flavor = "multi_thread")]
async fn a_throttled_request_counts_as_refused() {
    let mesh = Mesh::start(&["a"]).await;
    let node = &mesh[0].node;
    let now_us = node.timer.now_us();
    // Calls below have failed for long enough that the shares are at their minimum.
    for window in 0..30 {
        for _ in 0..20 {
            node.downstream()
                .record_call(true, now_us + window * 200_000);
        }
    }
    let mut refused_count = 0;
    for _ in 0..50 {
        let request = client::request("GET", "/a/echo", &[("dogwood-key", KEY)], b"");
        let response = client::send(mesh[0].caller_address(), request).await;
        refused_count += u64::from(response.header("dogwood-reason") == "overloaded");
    }
    let target = capacity(&mesh, 0);
    assert!(refused_count > 0, "nothing was throttled");
    assert_eq!(target.refused_by_class.browse, refused_count);
    assert_eq!(target.refused_by_workspace[0].count, refused_count);
    assert_eq!(target.waiting.value, 0);
}

/// Guards against series of a target that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_is_gone_has_no_figures() {
    let mesh = Mesh::start(&["a"]).await;
    assert!(metrics(&mesh, 0).await.contains("dogwood_target_slots{"));
    mesh[0].target.stop.cancel();
    while mesh[0].node.own_state.borrow().target.is_some() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(node_capacity(&mesh[0].node).target, None);
    let text = metrics(&mesh, 0).await;
    assert!(!text.contains("{service="), "{text}");
}
