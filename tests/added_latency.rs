//! Latency that nodes add to a call, compared with direct calls of the same target in the
//! same run. Prints the figures without checking them. To measure an optimised build, set
//! DOGWOOD_LATENCY_CALL_COUNT=2000 and run
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
/// Default number of calls per path; the environment variable overrides it.
const CALL_COUNT: usize = 200;
const CALL_COUNT_VARIABLE: &str = "DOGWOOD_LATENCY_CALL_COUNT";
/// Pause between calls: about 500 calls per second, a low load.
const CALL_PAUSE: Duration = Duration::from_micros(2000);

struct CallPath {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
}

fn call_count() -> usize {
    let configured = std::env::var(CALL_COUNT_VARIABLE).ok();
    configured.map_or(CALL_COUNT, |count| {
        count
            .parse()
            .expect("DOGWOOD_LATENCY_CALL_COUNT must be a number of calls")
    })
}

async fn measure_sorted_latencies_us(call_path: &CallPath) -> Vec<u128> {
    let mut connection = client::connect(call_path.address).await;
    let call_count = call_count();
    let mut latencies_us = Vec::with_capacity(call_count);
    for index in 0..WARM_UP_COUNT + call_count {
        let request = client::request("GET", call_path.path, &[("dogwood-key", KEY)], b"");
        let started = Instant::now();
        let response = client::exchange(&mut connection, request).await;
        let latency_us = started.elapsed().as_micros();
        assert_eq!(
            response.status,
            200,
            "{}: {}",
            call_path.name,
            response.text()
        );
        if index >= WARM_UP_COUNT {
            latencies_us.push(latency_us);
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
    latencies_us.sort_unstable();
    latencies_us
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn added_latency_is_printed() {
    let mesh = Mesh::start(&["a", "b"]).await;
    let target = SocketAddr::new(mesh[0].node.settings.ip, mesh[0].target.port);
    let call_paths = [
        CallPath {
            name: "direct",
            address: target,
            path: "/echo",
        },
        CallPath {
            name: "local target",
            address: mesh[0].caller_address(),
            path: "/a/echo",
        },
        CallPath {
            name: "one hop",
            address: mesh[1].caller_address(),
            path: "/a/echo",
        },
        CallPath {
            name: "direct again",
            address: target,
            path: "/echo",
        },
    ];
    for call_path in &call_paths {
        let latencies_us = measure_sorted_latencies_us(call_path).await;
        let percentile_us = |percent: usize| latencies_us[(latencies_us.len() - 1) * percent / 100];
        println!(
            "{:<13} p50 {:>5} us  p99 {:>5} us  n {}",
            call_path.name,
            percentile_us(50),
            percentile_us(99),
            latencies_us.len()
        );
    }
}
