//! A node without a configuration whose target is already known to other nodes.

mod local_mesh;

use {
    dogwoodbridge::conf::CompiledConfiguration,
    local_mesh::{
        client,
        mesh::{KEY, Mesh},
    },
    std::sync::Arc,
};

/// A node restarts, and its target is known before its configuration arrives.
/// Requests from other nodes ran there; the target's downstream calls found no route,
/// and the requests failed.
#[tokio::test(flavor = "multi_thread")]
async fn node_without_configuration_accepts_no_work_from_other_nodes() {
    let mesh = Mesh::start(&["a", "a"]).await;
    let unconfigured = &mesh.instances[1];
    unconfigured
        .running
        .send_replace(Arc::new(CompiledConfiguration::default()));
    for _ in 0..20 {
        let headers = [("dogwood-key", KEY)];
        let request = client::request("GET", "/a/echo", &headers, b"");
        let response = client::send(mesh.instances[0].caller_address(), request).await;
        assert_eq!(
            response.summary(),
            (200, "whole", ""),
            "{}",
            response.text()
        );
    }
    assert!(unconfigured.target.executions().is_empty());
    assert_eq!(mesh.instances[0].target.executions().len(), 20);
}
