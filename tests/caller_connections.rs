//! Connections of callers when many are open.

mod local_mesh;

use local_mesh::{
    client,
    mesh::{KEY, Mesh},
};

/// Many requests are refused: their callers retry on new connections and leave the old ones
/// open. If these were kept, memory and file descriptors would run out, and callers within
/// their rate could not connect.
#[tokio::test(flavor = "multi_thread")]
async fn refused_callers_are_disconnected_if_many_connections_are_open() {
    struct Case {
        name: &'static str,
        idle_count: usize,
        key: &'static str,
        status: u16,
        is_closed: bool,
    }
    let cases = [
        Case {
            name: "refused, few connections",
            idle_count: 0,
            key: "guess",
            status: 401,
            is_closed: false,
        },
        Case {
            name: "refused, many connections",
            idle_count: 300,
            key: "guess",
            status: 401,
            is_closed: true,
        },
        Case {
            name: "served, many connections",
            idle_count: 300,
            key: KEY,
            status: 200,
            is_closed: false,
        },
    ];
    let mesh = Mesh::start(&["a"]).await;
    let address = mesh[0].caller_address();
    let get = |key: &str| client::request("GET", "/a/echo", &[("dogwood-key", key)], b"");
    for case in cases {
        let mut idle_connections = Vec::new();
        for _ in 0..case.idle_count {
            let mut sender = client::connect(address).await;
            // A connection is certainly counted once a request on it was served.
            client::exchange(&mut sender, get(KEY)).await;
            idle_connections.push(sender);
        }
        let response = client::send(address, get(case.key)).await;
        assert_eq!(response.status, case.status, "{}", case.name);
        let is_closed = response.header("connection") == "close";
        assert_eq!(is_closed, case.is_closed, "{}", case.name);
        drop(idle_connections);
    }
}
