//! Time that the path adds to a call, against the same target called directly
//! in the same run. Prints figures and judges none of them; optimised builds are
//! measured with DOGWOOD_LATENCY_CALL_COUNT=2000 by
//! `cargo test --release --test added_latency -- --nocapture`.

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
/// Calls on each way, unless the environment asks for more.
const CALL_COUNT: usize = 200;
const CALL_COUNT_VARIABLE: &str = "DOGWOOD_LATENCY_CALL_COUNT";
/// About 500 calls a second, low load.
const PAUSE: Duration = Duration::from_micros(2000);

struct Way {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
}

fn call_count() -> usize {
    let asked = std::env::var(CALL_COUNT_VARIABLE).ok();
    asked.map_or(CALL_COUNT, |count| {
        count.parse().expect("a number of calls")
    })
}

async fn latencies_us(way: &Way) -> Vec<u128> {
    let mut connection = client::connect(way.address).await;
    let call_count = call_count();
    let mut taken = Vec::with_capacity(call_count);
    for index in 0..WARM_UP_COUNT + call_count {
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
