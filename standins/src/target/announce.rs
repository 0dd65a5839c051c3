//! Announcements and load reports to the instance's node.

use {
    super::{Target, downstream::HttpClient},
    bytes::Bytes,
    http_body_util::Full,
    hyper::Request,
    serde::Serialize,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
    tokio::time::{self, Instant, MissedTickBehavior},
};

const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
const LOAD_PERIOD: Duration = Duration::from_millis(200);
const POST_LIMIT: Duration = Duration::from_secs(1);

/// What a target tells its node about itself, once a second.
#[derives::record]
#[derive(Eq)]
pub struct Announcement {
    /// Service that it serves.
    pub service: String,
    /// Port on the instance's address.
    pub port: u16,
    /// Requests that it works on at a time.
    pub slots: usize,
    /// Connections that it accepts.
    pub connections: usize,
    /// It wants no new work.
    pub draining: bool,
    /// Start of the process since the Unix epoch; a new value tells the node
    /// of a cold target.
    pub started_unix_ms: u64,
}

/// Load as the target tells it; may lag or lie.
#[derives::record]
#[derive(Copy)]
pub struct LoadReport {
    /// Share of the slots that is at work.
    pub busy_ratio: f64,
    /// Requests that wait for a slot.
    #[serde(default)]
    pub waiting_count: usize,
    /// Time that work takes now, in percent of the usual time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_time_percent: Option<f64>,
}

/// Announces at the start, each second and when draining begins.
pub(super) async fn announce(target: Target, egress: SocketAddr) {
    let mut ticks = time::interval(ANNOUNCE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let draining = target.draining();
    loop {
        if draining.is_cancelled() {
            ticks.tick().await;
        } else {
            tokio::select! {
                _ = ticks.tick() => {}
                () = draining.cancelled() => {}
            }
        }
        target.wait_unfrozen().await;
        post(
            target.client(),
            egress,
            "/-/announce",
            &target.announcement(),
        )
        .await;
    }
}

/// Reports the load five times a second.
pub(super) async fn report_load(target: Target, egress: SocketAddr) {
    let lag = Duration::from_millis(target.conf().load_report_lag_ms);
    let mut ticks = time::interval(LOAD_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut samples: VecDeque<(Instant, LoadReport)> = VecDeque::new();
    loop {
        ticks.tick().await;
        target.wait_unfrozen().await;
        let now = Instant::now();
        samples.push_back((now, target.load()));
        while samples.get(1).is_some_and(|(at, _)| now - *at >= lag) {
            samples.pop_front();
        }
        let measured = samples
            .front()
            .map_or_else(|| target.load(), |(_, load)| *load);
        let report = misreport(&target, measured);
        post(target.client(), egress, "/-/load", &report).await;
    }
}

/// The report with the configured errors.
fn misreport(target: &Target, measured: LoadReport) -> LoadReport {
    let (conf, faults) = (target.conf(), target.faults());
    let lie_percent = faults.lie_work_time_percent.or(conf.lie_work_time_percent);
    let is_hidden = faults.hide_work_time || conf.hide_work_time;
    LoadReport {
        busy_ratio: conf.lie_busy_ratio.unwrap_or(measured.busy_ratio),
        work_time_percent: lie_percent
            .or(measured.work_time_percent)
            .filter(|_| !is_hidden),
        ..measured
    }
}

/// A node that is away is told again at the next tick.
async fn post<T: Serialize>(client: &HttpClient, egress: SocketAddr, path: &str, message: &T) {
    let Ok(body) = serde_json::to_vec(message) else {
        return;
    };
    let request = Request::post(format!("http://{egress}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)));
    if let Ok(request) = request {
        let _ = time::timeout(POST_LIMIT, client.request(request)).await;
    }
}
