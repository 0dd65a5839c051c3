//! Confirms the first heartbeat of a target that is older than its node's process.

use {
    super::announce::apply_heartbeat,
    crate::{
        backoff::Backoff,
        dialect::Heartbeat,
        event,
        events::Event,
        node::{Node, Policies},
        target::{Health, HealthReport, check_health},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time between two looks for a configuration while there is none.
const CONFIGURATION_POLL: Duration = Duration::from_millis(50);

/// Time for which a target that does not answer is asked again. A heartbeat that arrives after it
/// was sent after the node's start.
const LONGEST_CHECK: Duration = Duration::from_secs(30);
const FIRST_PAUSE_MS: u64 = 100;
const LONGEST_PAUSE_MS: u64 = 1000;

/// Asks the target whether it stays, and applies its heartbeat if it does.
///
/// If its answer does not tell, its next heartbeat counts; if it denies, it is asked again then.
/// Without an answer it is asked again: further heartbeats may all have been sent before a leave
/// that an earlier process of the node acknowledged.
pub async fn confirm<P: Policies>(node: Arc<Node<P>>, heartbeat: Heartbeat) {
    let report = tokio::select! {
        () = node.stopped.cancelled() => return,
        report = check_until_answered(&node, &heartbeat) => report,
    };
    let HealthReport {
        health,
        cold_left_ms,
    } = report;
    let (instance_id, started_unix_ms) = (&heartbeat.instance_id, heartbeat.started_unix_ms);
    let is_confirmed = node
        .registration()
        .record_check(instance_id, started_unix_ms, health);
    let (sequence, age_ms) = (heartbeat.sequence, node.timer.now_ms());
    event!(
        Event::TargetChecked,
        "instance={instance_id} sequence={sequence:?} health={health:?} is_confirmed={is_confirmed} cold_left_ms={cold_left_ms:?} node_age_ms={age_ms}"
    );
    if is_confirmed {
        apply_heartbeat(&node, heartbeat, cold_left_ms);
    }
}

async fn check_until_answered<P: Policies>(node: &Node<P>, heartbeat: &Heartbeat) -> HealthReport {
    let started = Instant::now();
    let mut backoff = Backoff::new(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
    loop {
        let report = check_target(node, heartbeat).await;
        let is_in_check = node
            .registration()
            .is_in_check(&heartbeat.instance_id, heartbeat.started_unix_ms);
        let may_answer = report.health == Health::Unanswered && started.elapsed() < LONGEST_CHECK;
        if !may_answer || !is_in_check {
            return report;
        }
        backoff.wait().await;
    }
}

async fn check_target<P: Policies>(node: &Node<P>, heartbeat: &Heartbeat) -> HealthReport {
    // Until then the node serves no requests.
    while node.running().revision == 0 {
        tokio::time::sleep(CONFIGURATION_POLL).await;
    }
    let service = node.names.service(&heartbeat.service);
    let running = node.running();
    let Some(path) = running.health_paths.get(&service) else {
        return HealthReport::new(Health::Unknown);
    };
    check_health(
        &node.dialect,
        node.settings.ip,
        heartbeat.port,
        path,
        &heartbeat.instance_id,
    )
    .await
}
