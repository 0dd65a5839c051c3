//! What becomes of callers' connections when many are open.

mod local_mesh;

use local_mesh::{
    client,
    mesh::{KEY, Mesh},
};

/// A storm of refusals: callers come back on new connections and leave the old
/// ones open. Kept, they use up memory and descriptors, and callers within their
/// rate are not accepted any more.
#[tokio::test(flavor = "multi_thread")]
async fn refused_callers_are_disconnected_where_many_are_open() {
    struct Case {
        name: &'static str,
        idle_count: usize,
        key: &'static str,
        status: u16,
        is_closed: bool,
    }
    let cases = [
        Case {
            name: "refused among few",
            idle_count: 0,
            key: "guess",
            status: 401,
            is_closed: false,
        },
        Case {
            name: "refused among many",
            idle_count: 300,
            key: "guess",
            status: 401,
            is_closed: true,
        },
        Case {
            name: "served among many",
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
        let mut idle = Vec::new();
        for _ in 0..case.idle_count {
            let mut sender = client::connect(address).await;
            // Only one that was read is surely counted.
            client::exchange(&mut sender, get(KEY)).await;
            idle.push(sender);
        }
        let seen = client::send(address, get(case.key)).await;
        assert_eq!(seen.status, case.status, "{}", case.name);
        let is_closed = seen.header("connection") == "close";
        assert_eq!(is_closed, case.is_closed, "{}", case.name);
        drop(idle);
    }
}
