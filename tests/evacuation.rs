//! Requests while an availability zone is evacuated.

mod local_mesh;

use {
    dogwoodbridge::conf::{Evacuations, Running},
    local_mesh::{
        client,
        mesh::{Instance, KEY, Mesh},
    },
    std::{sync::Arc, time::Duration},
};

/// Longest wait for a condition; far more than any takes.
const LIMIT: Duration = Duration::from_secs(20);
const ZONE: &str = "a";

fn set_evacuated(instance: &Instance, is_evacuated: bool) {
    let zones = is_evacuated.then(|| ZONE.to_owned()).into_iter().collect();
    let evacuations = Arc::new(Evacuations { zones });
    instance.evacuations.send_replace(evacuations);
}

async fn get(instance: &Instance) -> client::Seen {
    let headers = [("dogwood-key", KEY)];
    let request = client::request("GET", "/a/echo", &headers, b"");
    client::send(instance.caller_address(), request).await
}

/// Sends until an answer has this status; returns that answer.
async fn get_until(instance: &Instance, status: u16) -> client::Seen {
    let begun = tokio::time::Instant::now();
    loop {
        let seen = get(instance).await;
        if seen.status == status {
            return seen;
        }
        assert!(begun.elapsed() < LIMIT, "{}", seen.text());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A caller's node has not learned yet that a zone is evacuated. The node
/// beside the target refuses, and the request is served elsewhere; it failed
/// where that used up its retries.
#[tokio::test(flavor = "multi_thread")]
async fn the_targets_node_refuses_what_others_still_send() {
    let mesh = Mesh::start(&["a", "a"]).await;
    set_evacuated(&mesh.instances[1], true);
    tokio::time::sleep(Duration::from_millis(100)).await;
    for _ in 0..50 {
        let seen = get(&mesh.instances[0]).await;
        assert_eq!(seen.summary(), (200, "whole", ""), "{}", seen.text());
    }
    assert!(mesh.instances[1].target.executions().is_empty());
    assert_eq!(mesh.instances[0].target.executions().len(), 50);
}

/// All targets of a service are in evacuated zones. Callers are told at once
/// that nothing ran and when to come back, and are served after the evacuation
/// is taken back.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_without_another_zone_is_refused_until_it_is_taken_back() {
    let mesh = Mesh::start(&["a", "a"]).await;
    for instance in mesh.instances.iter() {
        set_evacuated(instance, true);
    }
    let seen = get_until(&mesh.instances[0], 503).await;
    assert_eq!(seen.header("dogwood-outcome"), "not-run");
    assert!(!seen.header("retry-after").is_empty(), "{}", seen.text());
    let executed = || -> usize {
        let executions = mesh.instances.iter();
        executions
            .map(|instance| instance.target.executions().len())
            .sum()
    };
    let before = executed();
    for _ in 0..20 {
        assert_eq!(get(&mesh.instances[0]).await.status, 503);
    }
    assert_eq!(executed(), before);
    for instance in mesh.instances.iter() {
        set_evacuated(instance, false);
    }
    get_until(&mesh.instances[0], 200).await;
}

/// A zone is taken back with cold targets that have not told so yet. They fell
/// over under the work that came back at once.
#[tokio::test(flavor = "multi_thread")]
async fn targets_of_a_zone_that_is_taken_back_get_no_burst() {
    const COLD_RATE_PER_S: u32 = 10;
    let mesh = Mesh::start(&["a"]).await;
    let instance = &mesh.instances[0];
    let mut running = Running::clone(&instance.node.running());
    let service = instance.node.names.service("a");
    running.cold_rates_per_s.insert(service, COLD_RATE_PER_S);
    instance.running.send_replace(Arc::new(running));
    set_evacuated(instance, true);
    get_until(instance, 503).await;
    let before = instance.target.executions().len();
    set_evacuated(instance, false);
    let begun = tokio::time::Instant::now();
    let mut refused = None;
    while begun.elapsed() < Duration::from_millis(500) {
        let seen = get(instance).await;
        if seen.status != 200 {
            refused = Some(seen);
        }
    }
    let ran = instance.target.executions().len() - before;
    assert!((1..=COLD_RATE_PER_S as usize).contains(&ran), "{ran}");
    let refused = refused.expect("more came than a cold target bears");
    assert_eq!(refused.header("dogwood-outcome"), "not-run");
    get_until(instance, 200).await;
}
