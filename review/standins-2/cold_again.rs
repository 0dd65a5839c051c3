//! A warm endpoint becomes cold and says so, and its node is killed right after that. A ping that the
//! endpoint sent before arrives at the new process.

use {
    crate::{
        http::call,
        mesh::{Mesh, open_config},
        record::Record,
    },
    std::{
        sync::{
            Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// `ColdPerS`, `ColdOver` and `ColdSlack` of tally-mesh-now-grown.
const COLD_PER_S: u32 = 12;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 8.0;
const COLD_TIME: Duration = Duration::from_millis(4500);
const WINDOW: Duration = Duration::from_secs(1);
const CLIENT_COUNT: usize = 10;
const PAUSE: Duration = Duration::from_millis(40);
const BEAT: Duration = Duration::from_millis(1500);
/// From the ping that is late to the cold time, from that to the kill, and from the kill to the
/// arrival of the late ping.
const LATE_TO_COLD: Duration = Duration::from_millis(500);
const COLD_TO_KILL: Duration = Duration::from_millis(200);
const KILL_TO_LATE: Duration = Duration::from_millis(700);

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let config = open_config(7, &[("/list/", "svc-a", "safe", 5.0)], &["svc-a", "svc-b"]);
    let config = config.replace(
        "\"HealthPath\"",
        &format!("\"ColdPerS\":{COLD_PER_S},\"HealthPath\""),
    );
    let mut mesh = Mesh::start(
        &[("z-a", "svc-b", 260), ("z-b", "svc-a", 260)],
        &config,
        record,
    )?;
    let mut back = mesh.nodes.pop().ok_or("no node")?;
    let endpoint = mesh.endpoints[1].clone();
    let sent = Mutex::new(Vec::new());
    let is_over = AtomicBool::new(false);
    let mut cold_from = Instant::now();
    std::thread::scope(|scope| -> std::io::Result<()> {
        for _ in 0..CLIENT_COUNT {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let id = mesh.request_id();
                    sent.lock().unwrap().push((id.clone(), Instant::now()));
                    let request = mesh.get("/list/a", &id, 5000);
                    let answer = call(mesh.nodes[0].outbound(), &request, Duration::from_secs(5));
                    record.line(&format!(
                        "request {id}: {}",
                        answer.map_or(0, |answer| answer.status())
                    ));
                    std::thread::sleep(PAUSE);
                }
            });
        }
        std::thread::sleep(Duration::from_secs(3));
        endpoint.pause_pings();
        std::thread::sleep(BEAT);
        let late_sequence = endpoint.next_sequence();
        std::thread::sleep(LATE_TO_COLD);
        endpoint.become_cold(COLD_TIME);
        cold_from = Instant::now();
        record.line(&format!(
            "the endpoint is cold for {COLD_TIME:?}; its ping is acknowledged: {}",
            endpoint.ping()
        ));
        std::thread::sleep(COLD_TO_KILL);
        if has_trouble {
            back.start_again()?;
            record.line("the node of the endpoint is killed and started");
        }
        std::thread::sleep(KILL_TO_LATE);
        let acknowledged = endpoint.send_ping(late_sequence, Duration::ZERO);
        record.line(&format!(
            "the ping from before arrives late; acknowledged: {acknowledged}"
        ));
        std::thread::sleep(BEAT - COLD_TO_KILL - KILL_TO_LATE);
        for _ in 0..2 {
            endpoint.ping();
            std::thread::sleep(BEAT);
        }
        is_over.store(true, Ordering::Relaxed);
        Ok(())
    })
    .map_err(|error| error.to_string())?;
    let sent = sent.into_inner().unwrap();
    let runs = sent
        .iter()
        .filter_map(|(id, sent_at)| Some((*sent_at, mesh.runs.of(id).first()?.at)));
    let cold = runs.filter(|(_, run_at)| (cold_from..cold_from + COLD_TIME).contains(run_at));
    let cold: Vec<(Instant, Instant)> = cold.collect();
    let in_window = |from: Instant| {
        cold.iter()
            .filter(|(sent_at, run_at)| *sent_at >= from && *run_at < from + WINDOW)
            .count()
    };
    let most = cold
        .iter()
        .map(|(sent_at, _)| in_window(*sent_at))
        .max()
        .unwrap_or(0);
    let allowed = f64::from(COLD_PER_S) * COLD_OVER + COLD_SLACK;
    println!(
        "{} requests run at the cold endpoint; most in a second: {most}, allowed {allowed}",
        cold.len()
    );
    Ok(most as f64 <= allowed)
}
