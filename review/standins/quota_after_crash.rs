//! A tenant sends several times its rate while the only endpoint of a service is down for some
//! seconds. What runs when the endpoint is back must stay within the allowance.

use {
    crate::{
        client::Client,
        deployment::{safe_request, Allowance, Deployment, Plan},
        endpoint::Endpoint,
        Stage, Verdict,
    },
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const ALLOWANCE: Allowance = Allowance {
    rate_per_s: 100,
    burst: 100,
};
/// Together the clients send five times the rate: eight times as much as usual, where the
/// allowance is 1.6 times the usual.
const CLIENT_COUNT: u32 = 50;
const PERIOD: Duration = Duration::from_millis(100);
const TIME_BEFORE: Duration = Duration::from_secs(10);
/// Time for which the endpoint is down.
const DOWN_TIME: Duration = Duration::from_secs(5);
const TIME_AFTER: Duration = Duration::from_secs(12);
/// Bounds of the rule.
const WINDOW_MS: u64 = 5000;
const OVER_RATIO: f64 = 0.1;
const SLACK_COUNT: f64 = 20.0;

pub fn play(stage: &Stage) -> std::io::Result<Verdict> {
    let plan = Plan {
        allowance: ALLOWANCE,
        ..Plan::new(Duration::from_millis(20))
    };
    let deployment = Deployment::start(stage, plan)?;
    let is_over = AtomicBool::new(false);
    let mut second_process = None;
    thread::scope(|scope| {
        for index in 0..CLIENT_COUNT {
            let (deployment, is_over) = (&deployment, &is_over);
            scope.spawn(move || {
                let mut client = Client::new(deployment.front.outbound());
                let mut next = Instant::now() + PERIOD * index / CLIENT_COUNT;
                while !is_over.load(Ordering::Relaxed) {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    client.send(safe_request(), &stage.record);
                    next += PERIOD;
                }
            });
        }
        thread::sleep(TIME_BEFORE);
        if stage.has_trouble {
            deployment.endpoint.crash();
            thread::sleep(DOWN_TIME);
            let (back, record) = (&deployment.back, &stage.record);
            second_process = Some(Endpoint::start(
                back,
                plan.slots,
                plan.behaviour,
                13,
                record,
            ));
        }
        thread::sleep(TIME_AFTER);
        is_over.store(true, Ordering::Relaxed);
    });
    if let Some(Err(error)) = second_process {
        return Err(error);
    }
    Ok(judge(stage))
}

/// Counts the requests that were both sent and run in each window that begins with a request.
fn judge(stage: &Stage) -> Verdict {
    let requests = stage.record.requests();
    let mut runs: Vec<(u64, u64)> = requests
        .values()
        .filter_map(|request| Some((request.sent_ms, *request.run_ms.first()?)))
        .collect();
    runs.sort_unstable();
    let in_window = |from_ms: u64| {
        let later = runs.iter().filter(|(sent_ms, _)| *sent_ms >= from_ms);
        later
            .filter(|(_, run_ms)| *run_ms < from_ms + WINDOW_MS)
            .count()
    };
    let fullest = runs
        .iter()
        .map(|(sent_ms, _)| (in_window(*sent_ms), *sent_ms))
        .max();
    let (count, from_ms) = fullest.unwrap_or_default();
    let Allowance { rate_per_s, burst } = ALLOWANCE;
    let owed = f64::from(rate_per_s) * WINDOW_MS as f64 / 1000.0 + f64::from(burst);
    let allowed = owed * (1.0 + OVER_RATIO) + SLACK_COUNT;
    stage.record.report(&format!(
        "{} requests, {} run; most in {WINDOW_MS} ms: {count} from {from_ms} ms on, allowed {allowed:.0}",
        requests.len(),
        runs.len()
    ));
    match count as f64 > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
