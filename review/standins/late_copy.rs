//! An endpoint rejects some orders as not executed, and a second copy of some of its answers
//! arrives late. An order that is answered as not run must never have run.

use {
    crate::{
        client::Client,
        deployment::{unsafe_request, Deployment, Plan},
        Stage, Verdict,
    },
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::Duration,
    },
};

/// Late copies come for this time, and after a pause as long they come again.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const TROUBLE_COUNT: u32 = 6;
const CLIENT_COUNT: usize = 16;
/// Pause of a client after each answer.
const PAUSE: Duration = Duration::from_millis(20);
/// Share of the orders that the endpoint rejects, with the disruption and without it.
const SHED_SHARE: f64 = 0.05;
/// Share of the answers that come twice: the dose of `extra late` in the site file.
const LATE_EXTRA_SHARE: f64 = 0.03;

pub fn play(stage: &Stage) -> std::io::Result<Verdict> {
    let plan = Plan::new(Duration::from_millis(20));
    let deployment = Deployment::start(stage, plan)?;
    deployment.endpoint.set_behaviour(|behaviour| {
        behaviour.shed_share = SHED_SHARE;
    });
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..CLIENT_COUNT {
            scope.spawn(|| {
                let mut client = Client::new(deployment.front.outbound());
                while !is_over.load(Ordering::Relaxed) {
                    client.send(unsafe_request(b"{\"cards\":3}"), &stage.record);
                    thread::sleep(PAUSE);
                }
            });
        }
        for _ in 0..TROUBLE_COUNT {
            let share = if stage.has_trouble {
                LATE_EXTRA_SHARE
            } else {
                0.0
            };
            let endpoint = &deployment.endpoint;
            endpoint.set_behaviour(|behaviour| behaviour.late_extra_share = share);
            thread::sleep(TROUBLE_TIME);
            endpoint.set_behaviour(|behaviour| behaviour.late_extra_share = 0.0);
            thread::sleep(TROUBLE_TIME);
        }
        is_over.store(true, Ordering::Relaxed);
    });
    // Orders that were answered may still run.
    thread::sleep(Duration::from_secs(3));
    Ok(judge(stage, deployment.endpoint.late_extra_count()))
}

fn judge(stage: &Stage, late_extra_count: u64) -> Verdict {
    let requests = stage.record.requests();
    let orders = requests.iter().filter(|(_, request)| request.is_unsafe());
    let (mut refused_count, mut false_count, mut twice_count) = (0, 0, 0);
    for (id, order) in orders.clone() {
        let is_refused = matches!(order.status, Some(408 | 421 | 429 | 503));
        refused_count += usize::from(is_refused);
        if is_refused && !order.run_ms.is_empty() {
            false_count += 1;
            let status = order.status.unwrap_or(0);
            let text = format!("REFUSED: {id} was answered {status}, and ran");
            stage.record.report(&text);
        }
        if order.run_ms.len() > 1 {
            twice_count += 1;
            let text = format!("TWICE: {id} ran {} times", order.run_ms.len());
            stage.record.report(&text);
        }
    }
    let count = |status: u16| {
        let found = orders.clone();
        found
            .filter(|(_, order)| order.status == Some(status))
            .count()
    };
    stage.record.report(&format!(
        "{} orders: {} answered 200, {} answered 502, {refused_count} answered as not run; {late_extra_count} late copies",
        orders.clone().count(),
        count(200),
        count(502),
    ));
    stage.record.report(&format!(
        "answered as not run, but ran: {false_count}; ran twice: {twice_count}"
    ));
    match false_count + twice_count {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
