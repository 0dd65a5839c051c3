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

/// Time between two looks for the health path while the node has no configuration.
const CONFIGURATION_POLL: Duration = Duration::from_millis(50);
/// Maximum wait for a configuration. By then the target's next heartbeat has arrived, which
/// confirms the first one.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Asks the target whether it stays, and applies its heartbeat if it does.
///
/// If it does not say so, its next heartbeat decides.
pub async fn confirm<P: Policies>(node: Arc<Node<P>>, heartbeat: Heartbeat) {
    let health = tokio::select! {
        () = node.stopped.cancelled() => return,
        health = check_target(&node, &heartbeat) => health,
    };
    let (instance_id, started_unix_ms) = (&heartbeat.instance_id, heartbeat.started_unix_ms);
    let is_confirmed =
        health == Health::Staying && node.registration().confirm(instance_id, started_unix_ms);
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
    let path = tokio::time::timeout(CONFIGURATION_TIMEOUT, health_path(node, &heartbeat.service));
    let Ok(path) = path.await else {
        return Health::Unknown;
    };
    let ip = node.settings.ip;
    check_health(
        &node.dialect,
        ip,
        heartbeat.port,
        &path,
        &heartbeat.instance_id,
    )
    .await
}

/// Waits until the configuration has a health path for the service.
async fn health_path<P: Policies>(node: &Node<P>, service: &str) -> String {
    let service = node.names.service(service);
    loop {
        if let Some(path) = node.running().health_paths.get(&service) {
            return path.clone();
        }
        tokio::time::sleep(CONFIGURATION_POLL).await;
    }
}
