//! Time that the path adds to a call, against the same target called directly
//! in the same run. Prints figures and judges none of them; optimised builds are
//! measured by `cargo test --release --test added_latency -- --nocapture`.

mod local_mesh;

use {
    local_mesh::{
        client,
        mesh::{KEY, Mesh},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const WARM_UP_COUNT: usize = 200;
const CALL_COUNT: usize = 2000;
/// About 500 calls a second, low load.
const PAUSE: Duration = Duration::from_micros(2000);

struct Way {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
}

async fn latencies_us(way: &Way) -> Vec<u128> {
    let mut connection = client::connect(way.address).await;
    let mut taken = Vec::with_capacity(CALL_COUNT);
    for index in 0..WARM_UP_COUNT + CALL_COUNT {
        let request = client::request("GET", way.path, &[("dogwood-key", KEY)], b"");
        let started = Instant::now();
        let seen = client::exchange(&mut connection, request).await;
        let took_us = started.elapsed().as_micros();
        assert_eq!(seen.status, 200, "{}: {}", way.name, seen.text());
        if index >= WARM_UP_COUNT {
            taken.push(took_us);
        }
        tokio::time::sleep(PAUSE).await;
    }
    taken.sort_unstable();
    taken
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn added_latency_is_printed() {
    let mesh = Mesh::start(&["a", "b"]).await;
    let target = SocketAddr::new(mesh[0].node.settings.ip, mesh[0].target.port);
    let ways = [
        Way {
            name: "direct",
            address: target,
            path: "/echo",
        },
        Way {
            name: "own target",
            address: mesh[0].caller_address(),
            path: "/a/echo",
        },
        Way {
            name: "one hop",
            address: mesh[1].caller_address(),
            path: "/a/echo",
        },
        Way {
            name: "direct again",
            address: target,
            path: "/echo",
        },
    ];
    for way in &ways {
        let taken = latencies_us(way).await;
        let at = |percent: usize| taken[(taken.len() - 1) * percent / 100];
        println!(
            "{:<13} p50 {:>5} us  p99 {:>5} us  n {}",
            way.name,
            at(50),
            at(99),
            taken.len()
        );
    }
}
