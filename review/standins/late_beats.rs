//! An endpoint leaves, and its node is killed right after it has acknowledged that. Two
//! heartbeats that the endpoint sent before arrive at the new process of the node, while all
//! slots of the endpoint are taken. The endpoint must not get requests again.

use {
    crate::{
        client::{Client, Request},
        deployment::{safe_request, Deployment, Plan},
        Stage, Verdict,
    },
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::Duration,
    },
};

const SLOT_COUNT: usize = 8;
/// Clients that come at once before the endpoint leaves, and hold all its slots.
const BURST_COUNT: usize = 12;
/// Work of the endpoint while it is slow, and otherwise.
const SLOW_WORK: Duration = Duration::from_millis(4000);
const WORK: Duration = Duration::from_millis(40);
const DEADLINE_MS: u64 = 5000;
const BEAT_PERIOD: Duration = Duration::from_millis(1500);
/// Time from the acknowledgement to the arrival of each late heartbeat.
const LATE_BEATS: [Duration; 2] = [Duration::from_millis(2000), Duration::from_millis(2400)];
/// Bounds of the rule: `DrainS` and `StableWindowS`.
const DRAIN_MS: u64 = 2000;
const STABLE_WINDOW_MS: u64 = 3000;
/// Time from the acknowledgement to the end of the run; the endpoint goes on until then.
const END: Duration = Duration::from_millis(9000);

pub fn play(stage: &Stage) -> std::io::Result<Verdict> {
    let plan = Plan {
        slots: SLOT_COUNT,
        ..Plan::new(WORK)
    };
    let mut deployment = Deployment::start(stage, plan)?;
    let request = Request {
        deadline_ms: DEADLINE_MS,
        ..safe_request()
    };
    let record = &stage.record;
    let endpoint = deployment.endpoint.clone();
    let (outbound, control) = (deployment.back.outbound(), deployment.back.control());
    let zone = deployment.back.zone.clone();
    thread::sleep(BEAT_PERIOD);
    // From here on heartbeats are late; each keeps the sequence with which it was sent.
    endpoint.pause_beats();
    thread::sleep(BEAT_PERIOD);
    let first_sequence = endpoint.next_sequence();
    thread::sleep(BEAT_PERIOD);
    let second_sequence = endpoint.next_sequence();
    if !stage.has_trouble {
        endpoint.beat(control, &zone, first_sequence);
        endpoint.beat(control, &zone, second_sequence);
    }
    endpoint.set_behaviour(|behaviour| behaviour.work = SLOW_WORK);
    let is_over = AtomicBool::new(false);
    let (mut acknowledged_ms, mut touch_ms) = (0, 0);
    thread::scope(|scope| -> std::io::Result<()> {
        for _ in 0..BURST_COUNT {
            scope.spawn(|| Client::new(outbound).send(request, record));
        }
        thread::sleep(Duration::from_millis(300));
        endpoint.set_behaviour(|behaviour| behaviour.work = WORK);
        let status = endpoint.leave(control);
        acknowledged_ms = record.now_ms();
        record.line(&format!("the leave is answered {status}"));
        if stage.has_trouble {
            thread::sleep(Duration::from_millis(200));
            deployment.back.kill_and_start()?;
            record.line("the node of the endpoint is killed and started");
        }
        touch_ms = record.now_ms() + STABLE_WINDOW_MS;
        for _ in 0..4 {
            scope.spawn(|| {
                let mut client = Client::new(outbound);
                while !is_over.load(Ordering::Relaxed) {
                    client.send(request, record);
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
        let since_leave = |limit: Duration| {
            let passed = Duration::from_millis(record.now_ms() - acknowledged_ms);
            thread::sleep(limit.saturating_sub(passed));
        };
        for (late, sequence) in LATE_BEATS
            .into_iter()
            .zip([first_sequence, second_sequence])
        {
            since_leave(late);
            if stage.has_trouble {
                let status = endpoint.beat(control, &zone, sequence);
                record.line(&format!("late heartbeat {sequence} is answered {status}"));
            }
        }
        since_leave(END);
        is_over.store(true, Ordering::Relaxed);
        Ok(())
    })?;
    Ok(judge(stage, acknowledged_ms, touch_ms))
}

/// Counts what reaches the endpoint after `DrainS`, from a machine that is in touch again.
fn judge(stage: &Stage, acknowledged_ms: u64, touch_ms: u64) -> Verdict {
    let from_ms = touch_ms.max(acknowledged_ms + DRAIN_MS);
    let requests = stage.record.requests();
    let runs = requests.values().flat_map(|request| &request.run_ms);
    let late: Vec<u64> = runs.copied().filter(|run_ms| *run_ms > from_ms).collect();
    stage.record.report(&format!(
        "{} requests; {} run at the endpoint from {} ms after its leave was acknowledged on, the last after {} ms",
        requests.len(),
        late.len(),
        from_ms - acknowledged_ms,
        late.iter().max().map_or(0, |last_ms| last_ms - acknowledged_ms),
    ));
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
