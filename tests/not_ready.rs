//! A node that holds no configuration yet, beside a target that is known to all.

mod local_mesh;

use {
    dogwoodbridge::conf::Running,
    local_mesh::{
        client,
        mesh::{KEY, Mesh},
    },
    std::sync::Arc,
};

/// A node is started anew and its target is known before the configuration has
/// come. Requests from others ran there, the calls of the target were told
/// that no route exists, and the requests failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_configuration_takes_no_work_from_others() {
    let mesh = Mesh::start(&["a", "a"]).await;
    let empty = &mesh.instances[1];
    empty.running.send_replace(Arc::new(Running::default()));
    for _ in 0..20 {
        let headers = [("dogwood-key", KEY)];
        let request = client::request("GET", "/a/echo", &headers, b"");
        let seen = client::send(mesh.instances[0].caller_address(), request).await;
        assert_eq!(seen.summary(), (200, "whole", ""), "{}", seen.text());
    }
    assert!(empty.target.executions().is_empty());
    assert_eq!(mesh.instances[0].target.executions().len(), 20);
}
