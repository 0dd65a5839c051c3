//! Load that a target reports to its node.

mod support;

use {
    clap::Parser,
    standins::target::{Faults, Journal, LoadReport, Target, TargetConf},
    std::{net::SocketAddr, time::Instant},
    support::{listener, send, wait_until},
};

/// Starts a target with these flags; returns its own and its admin address.
async fn start(flags: &[&str]) -> (SocketAddr, SocketAddr) {
    let (listener, admin_listener) = (listener().await, listener().await);
    let address = listener.local_addr().expect("bound");
    let admin = admin_listener.local_addr().expect("bound");
    let (listen_flag, admin_flag) = (address.to_string(), admin.to_string());
    let mut arguments = vec!["target", "--service", "pricing"];
    arguments.extend(["--listen", &listen_flag, "--admin", &admin_flag]);
    arguments.extend(flags);
    let target = Target::new(TargetConf::parse_from(arguments), Journal::new());
    tokio::spawn(target.serve(listener, admin_listener));
    (address, admin)
}

/// Another target stands in for the node: its journal keeps the notices.
struct Node {
    egress: String,
    admin: SocketAddr,
}

impl Node {
    async fn start() -> Self {
        let (address, admin) = start(&["--latency", "fixed:0"]).await;
        Self {
            egress: address.to_string(),
            admin,
        }
    }

    /// Waits for a report that passes; the reports before it are skipped.
    async fn wait_for_report(&self, is_expected: impl Fn(&LoadReport) -> bool) {
        wait_until(|| async {
            let reports = self.reports().await;
            reports.iter().any(&is_expected).then_some(())
        })
        .await;
    }

    async fn reports(&self) -> Vec<LoadReport> {
        let answer = send(self.admin, "GET", "/-/journal?from=0", &[], b"").await;
        let body = answer.expect("answered").body;
        let entries: Vec<standins::target::Entry> = serde_json::from_slice(&body).expect("JSON");
        let loads = entries.iter().filter(|entry| entry.path == "/-/load");
        loads
            .map(|entry| serde_json::from_str(&entry.body).expect("a report"))
            .collect()
    }
}

/// Guards against a stand-in whose reports do not follow its state, so that tests of nodes
/// would pass on figures that no target sends.
#[tokio::test]
async fn reports_follow_the_state() {
    let node = Node::start().await;
    let flags = [
        "--latency",
        "fixed:600000",
        "--slots",
        "2",
        "--egress",
        &node.egress,
    ];
    let (address, admin) = start(&flags).await;
    let is_idle = |report: &LoadReport| report.busy_ratio == 0.0 && report.waiting_count == 0;
    let has_percent =
        |percent| move |report: &LoadReport| report.work_time_percent == Some(percent);
    node.wait_for_report(|report| is_idle(report) && has_percent(100.0)(report))
        .await;
    for _ in 0..5 {
        tokio::spawn(send(address, "GET", "/a", &[], b""));
    }
    node.wait_for_report(|report| report.busy_ratio == 1.0 && report.waiting_count == 3)
        .await;
    let slow = Faults {
        slow_factor: 2.5,
        ..Faults::default()
    };
    put_faults(admin, slow).await;
    node.wait_for_report(has_percent(250.0)).await;
}

/// Guards against a slowdown that is reported but not applied, or does not end.
#[tokio::test]
async fn a_target_is_slow_for_a_while() {
    let node = Node::start().await;
    let flags = [
        "--latency",
        "fixed:300",
        "--slow-for-ms",
        "1500",
        "--egress",
        &node.egress,
    ];
    let (address, _) = start(&flags).await;
    let begun = Instant::now();
    send(address, "GET", "/a", &[], b"")
        .await
        .expect("answered");
    assert!(begun.elapsed().as_millis() >= 750, "{:?}", begun.elapsed());
    node.wait_for_report(|report| report.work_time_percent == Some(250.0))
        .await;
    node.wait_for_report(|report| report.work_time_percent == Some(100.0))
        .await;
}

/// Guards against misreports that tests ask for and the target does not send.
#[tokio::test]
async fn work_times_are_misreported() {
    struct Case {
        flags: &'static [&'static str],
        faults: Faults,
        work_time_percent: Option<f64>,
    }
    let constant = |percent| Case {
        flags: &[],
        faults: Faults {
            slow_factor: 2.5,
            lie_work_time_percent: Some(percent),
            ..Faults::default()
        },
        work_time_percent: Some(percent),
    };
    let cases = [
        constant(100.0),
        constant(1.0),
        constant(1_000_000.0),
        Case {
            flags: &[],
            faults: Faults {
                hide_work_time: true,
                ..Faults::default()
            },
            work_time_percent: None,
        },
        Case {
            flags: &["--lie-work-time-percent", "1000000"],
            faults: Faults::default(),
            work_time_percent: Some(1_000_000.0),
        },
        Case {
            flags: &["--hide-work-time"],
            faults: Faults::default(),
            work_time_percent: None,
        },
    ];
    for case in cases {
        let node = Node::start().await;
        let mut flags = vec!["--egress", &node.egress, "--lie-busy-ratio", "0.25"];
        flags.extend(case.flags);
        let (_, admin) = start(&flags).await;
        put_faults(admin, case.faults).await;
        // One report may have been under way when the fault was set.
        let earlier_count = node.reports().await.len() + 1;
        let reports = wait_until(|| async {
            let reports = node.reports().await;
            (reports.len() > earlier_count).then_some(reports)
        })
        .await;
        for report in &reports[earlier_count..] {
            assert_eq!(report.work_time_percent, case.work_time_percent);
            assert_eq!(report.busy_ratio, 0.25);
        }
    }
}

async fn put_faults(admin: SocketAddr, faults: Faults) {
    let body = serde_json::to_vec(&faults).expect("faults are JSON");
    let answer = send(admin, "PUT", "/-/faults", &[], &body).await;
    assert_eq!(answer.expect("answered").status, 200);
}
