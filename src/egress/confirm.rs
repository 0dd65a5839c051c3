//! Confirms the first heartbeat of a target that is older than its node's process.

use {
    super::announce::apply_heartbeat,
    crate::{
        dialect::Heartbeat,
        event,
        events::Event,
        node::{Node, Policies},
        target::{Health, check_health},
    },
    std::{sync::Arc, time::Duration},
};

/// Time between two looks for a configuration while there is none.
const CONFIGURATION_POLL: Duration = Duration::from_millis(50);

/// Asks the target whether it stays, and applies its heartbeat if it does.
///
/// If it does not answer, its next heartbeat counts; if it denies, it is asked again then.
pub async fn confirm<P: Policies>(node: Arc<Node<P>>, heartbeat: Heartbeat) {
    let health = tokio::select! {
        () = node.stopped.cancelled() => return,
        health = check_target(&node, &heartbeat) => health,
    };
    let (instance_id, started_unix_ms) = (&heartbeat.instance_id, heartbeat.started_unix_ms);
    let is_confirmed = node
        .registration()
        .record_check(instance_id, started_unix_ms, health);
    let (sequence, age_ms) = (heartbeat.sequence, node.timer.now_ms());
    event!(
        Event::TargetChecked,
        "instance={instance_id} sequence={sequence:?} health={health:?} is_confirmed={is_confirmed} node_age_ms={age_ms}"
    );
    if is_confirmed {
        apply_heartbeat(&node, heartbeat);
    }
}

async fn check_target<P: Policies>(node: &Node<P>, heartbeat: &Heartbeat) -> Health {
    // Until then the node serves no requests.
    while node.running().revision == 0 {
        tokio::time::sleep(CONFIGURATION_POLL).await;
    }
    let service = node.names.service(&heartbeat.service);
    let running = node.running();
    let Some(path) = running.health_paths.get(&service) else {
        return Health::Unknown;
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
