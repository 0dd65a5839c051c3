//! A warm endpoint becomes cold and says so, and its node is killed right after that. A heartbeat
//! that the endpoint sent before arrives at the new process of the node. The cold endpoint must
//! not get more requests in a second than it tolerates.

use {
    crate::{
        client::Client,
        deployment::{safe_request, Deployment, Plan},
        Stage, Verdict,
    },
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::Duration,
    },
};

/// `ColdPerS`, `ColdOver` and `ColdSlack` of tally-mesh-now-grown.
const COLD_PER_S: u32 = 12;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 8.0;
const COLD_TIME: Duration = Duration::from_millis(4500);
const WINDOW_MS: u64 = 1000;
const CLIENT_COUNT: usize = 10;
/// Pause of a client after each answer.
const PAUSE: Duration = Duration::from_millis(40);
const BEAT_PERIOD: Duration = Duration::from_millis(1500);
/// Time from the heartbeat that is late to the one that tells of the cold time, from that to the
/// kill, and from the kill to the arrival of the late one.
const LATE_TO_COLD: Duration = Duration::from_millis(500);
const COLD_TO_KILL: Duration = Duration::from_millis(200);
const KILL_TO_LATE: Duration = Duration::from_millis(700);

pub fn play(stage: &Stage) -> std::io::Result<Verdict> {
    let plan = Plan {
        cold_per_s: COLD_PER_S,
        ..Plan::new(Duration::from_millis(20))
    };
    let mut deployment = Deployment::start(stage, plan)?;
    let endpoint = deployment.endpoint.clone();
    let (front, control) = (deployment.front.outbound(), deployment.back.control());
    let zone = deployment.back.zone.clone();
    let record = &stage.record;
    let is_over = AtomicBool::new(false);
    let mut cold_from_ms = 0;
    thread::scope(|scope| -> std::io::Result<()> {
        for _ in 0..CLIENT_COUNT {
            scope.spawn(|| {
                let mut client = Client::new(front);
                while !is_over.load(Ordering::Relaxed) {
                    client.send(safe_request(), record);
                    thread::sleep(PAUSE);
                }
            });
        }
        thread::sleep(Duration::from_secs(5));
        endpoint.pause_beats();
        thread::sleep(BEAT_PERIOD);
        let late_sequence = endpoint.next_sequence();
        thread::sleep(LATE_TO_COLD);
        let tell = |cold_left| {
            let status = endpoint.beat_cold(control, &zone, endpoint.next_sequence(), cold_left);
            record.line(&format!("cold for {cold_left:?}, answered {status}"));
        };
        tell(COLD_TIME);
        cold_from_ms = record.now_ms();
        let cold_left = |record_ms: u64| {
            COLD_TIME.saturating_sub(Duration::from_millis(record_ms - cold_from_ms))
        };
        thread::sleep(COLD_TO_KILL);
        if stage.has_trouble {
            deployment.back.kill_and_start()?;
            record.line("the node of the endpoint is killed and started");
        }
        thread::sleep(KILL_TO_LATE);
        let status = endpoint.beat(control, &zone, late_sequence);
        record.line(&format!(
            "late heartbeat {late_sequence} is answered {status}"
        ));
        thread::sleep(BEAT_PERIOD - COLD_TO_KILL - KILL_TO_LATE);
        for _ in 0..2 {
            tell(cold_left(record.now_ms()));
            thread::sleep(BEAT_PERIOD);
        }
        is_over.store(true, Ordering::Relaxed);
        Ok(())
    })?;
    Ok(judge(stage, cold_from_ms))
}

/// Counts the requests that were sent and arrived inside each second of the cold time.
fn judge(stage: &Stage, cold_from_ms: u64) -> Verdict {
    let requests = stage.record.requests();
    let cold_until_ms = cold_from_ms + COLD_TIME.as_millis() as u64;
    let mut runs: Vec<(u64, u64)> = requests
        .values()
        .filter_map(|request| Some((request.sent_ms, *request.run_ms.first()?)))
        .filter(|(_, run_ms)| (cold_from_ms..cold_until_ms).contains(run_ms))
        .collect();
    runs.sort_unstable();
    let in_second = |from_ms: u64| {
        let later = runs.iter().filter(|(sent_ms, _)| *sent_ms >= from_ms);
        later
            .filter(|(_, run_ms)| *run_ms < from_ms + WINDOW_MS)
            .count()
    };
    let most = runs.iter().map(|(sent_ms, _)| in_second(*sent_ms)).max();
    let most = most.unwrap_or(0);
    let allowed = f64::from(COLD_PER_S) * COLD_OVER + COLD_SLACK;
    stage.record.report(&format!(
        "{} requests run at the cold endpoint; most in a second: {most}, allowed {allowed:.0}",
        runs.len()
    ));
    match most as f64 > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
