//! Clients upload bodies that are far below the `MaxBodyBytes` of the configuration, some of
//! them larger than 1 MiB. None may be refused for good.

use {
    crate::{
        client::Client,
        deployment::{unsafe_request, Deployment, Plan},
        Stage, Verdict,
    },
    std::{thread, time::Duration},
};

const UPLOAD_COUNT: usize = 400;
const SMALL_BYTES: usize = 360_000;
const LARGE_BYTES: usize = 2 << 20;
/// One upload in so many is large.
const LARGE_PERIOD: usize = 10;
const PAUSE: Duration = Duration::from_millis(50);
/// Bound of the rule: so many, and one in so many of all requests.
const ALLOWED_COUNT: usize = 5;
const ALLOWED_PERIOD: usize = 500;

pub fn play(stage: &Stage) -> std::io::Result<Verdict> {
    let plan = Plan::new(Duration::from_millis(20));
    let deployment = Deployment::start(stage, plan)?;
    let mut client = Client::new(deployment.front.outbound());
    for index in 0..UPLOAD_COUNT {
        let is_large = stage.has_trouble && index % LARGE_PERIOD == 0;
        let length = if is_large { LARGE_BYTES } else { SMALL_BYTES };
        client.send(unsafe_request(&vec![b'x'; length]), &stage.record);
        thread::sleep(PAUSE);
    }
    Ok(judge(stage))
}

fn judge(stage: &Stage) -> Verdict {
    let requests = stage.record.requests();
    let denied = requests.values().filter(|request| {
        let status = request.status.unwrap_or(0);
        (300..500).contains(&status) && !matches!(status, 408 | 421 | 429)
    });
    let denied_count = denied.count();
    let allowed_count = ALLOWED_COUNT + requests.len() / ALLOWED_PERIOD;
    let count = |status: u16| {
        let found = requests.values();
        found
            .filter(|request| request.status == Some(status))
            .count()
    };
    stage.record.report(&format!(
        "{} requests: {} answered 200, {} answered 413; {denied_count} denied, allowed {allowed_count}",
        requests.len(),
        count(200),
        count(413),
    ));
    match denied_count > allowed_count {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
