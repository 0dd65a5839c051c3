//! Requests while an availability zone is evacuated.

mod local_mesh;

use {
    dogwoodbridge::{
        conf::{CompiledConfiguration, Evacuations},
        model::{Class, RegionSet},
        routing::RouteRequest,
    },
    local_mesh::{
        client,
        mesh::{Instance, KEY, Mesh},
    },
    std::{
        sync::{Arc, mpsc},
        time::Duration,
    },
};

/// Longest wait for a condition; conditions normally hold much sooner.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const ZONE: &str = "a";

fn set_evacuated(instance: &Instance, is_evacuated: bool) {
    let zones = is_evacuated.then(|| ZONE.to_owned()).into_iter().collect();
    let evacuations = Arc::new(Evacuations { zones });
    instance.evacuations.send_replace(evacuations);
}

async fn get(instance: &Instance) -> client::CallerResponse {
    let headers = [("dogwood-key", KEY)];
    let request = client::request("GET", "/a/echo", &headers, b"");
    client::send(instance.caller_address(), request).await
}

/// Sends requests until a response has this status; returns that response.
async fn get_until(instance: &Instance, status: u16) -> client::CallerResponse {
    let started = tokio::time::Instant::now();
    loop {
        let response = get(instance).await;
        if response.status == status {
            return response;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "{}", response.text());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The caller's node has not received the evacuation of a zone yet. The target's node
/// refuses, and the request is served elsewhere; it failed when these refusals used
/// up its retries.
#[tokio::test(flavor = "multi_thread")]
async fn targets_node_refuses_requests_to_evacuated_zone() {
    let mesh = Mesh::start(&["a", "a"]).await;
    set_evacuated(&mesh.instances[1], true);
    tokio::time::sleep(Duration::from_millis(100)).await;
    for _ in 0..50 {
        let response = get(&mesh.instances[0]).await;
        assert_eq!(
            response.summary(),
            (200, "whole", ""),
            "{}",
            response.text()
        );
    }
    assert!(mesh.instances[1].target.executions().is_empty());
    assert_eq!(mesh.instances[0].target.executions().len(), 50);
}

/// All targets of a service are in evacuated zones. Callers are refused at once as
/// not run, with a retry delay, and are served after the evacuation is revoked.
#[tokio::test(flavor = "multi_thread")]
async fn service_without_another_zone_is_refused_until_evacuation_is_revoked() {
    let mesh = Mesh::start(&["a", "a"]).await;
    for instance in mesh.instances.iter() {
        set_evacuated(instance, true);
    }
    let response = get_until(&mesh.instances[0], 503).await;
    assert_eq!(response.header("dogwood-outcome"), "not-run");
    assert!(
        !response.header("retry-after").is_empty(),
        "{}",
        response.text()
    );
    let count_executions = || -> usize {
        let executions = mesh.instances.iter();
        executions
            .map(|instance| instance.target.executions().len())
            .sum()
    };
    let previous_count = count_executions();
    for _ in 0..20 {
        assert_eq!(get(&mesh.instances[0]).await.status, 503);
    }
    assert_eq!(count_executions(), previous_count);
    for instance in mesh.instances.iter() {
        set_evacuated(instance, false);
    }
    get_until(&mesh.instances[0], 200).await;
}

/// An evacuation is revoked while the zone's targets are cold and have not reported
/// it yet. They failed under the load that returned at once.
#[tokio::test(flavor = "multi_thread")]
async fn targets_get_no_burst_after_evacuation_is_revoked() {
    const COLD_RATE_PER_S: u32 = 10;
    let mesh = Mesh::start(&["a"]).await;
    let instance = &mesh.instances[0];
    let mut running = CompiledConfiguration::clone(&instance.node.running());
    let service = instance.node.names.service("a");
    running.cold_rates_per_s.insert(service, COLD_RATE_PER_S);
    instance.running.send_replace(Arc::new(running));
    set_evacuated(instance, true);
    get_until(instance, 503).await;
    let previous_count = instance.target.executions().len();
    set_evacuated(instance, false);
    let started = tokio::time::Instant::now();
    let mut refusal = None;
    while started.elapsed() < Duration::from_millis(500) {
        let response = get(instance).await;
        if response.status != 200 {
            refusal = Some(response);
        }
    }
    let executed_count = instance.target.executions().len() - previous_count;
    assert!(
        (1..=COLD_RATE_PER_S as usize).contains(&executed_count),
        "{executed_count}"
    );
    let refusal = refusal.expect("more requests were sent than a cold target can handle");
    assert_eq!(refusal.header("dogwood-outcome"), "not-run");
    get_until(instance, 200).await;
}

/// Guards against routes that follow an evacuation before the send gate does: callers
/// saw it, the gate missed a short one and let the whole load through afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn routes_follow_an_evacuation_after_the_send_gate() {
    let mesh = Mesh::start(&["a"]).await;
    let instance = &mesh.instances[0];
    let request = RouteRequest {
        service: instance.node.names.service("a"),
        class: Class::Standard,
        regions: RegionSet::ANY,
    };
    let can_pick = || {
        let now_us = instance.node.timer.now_us();
        instance.node.routes().pick(request, &[], now_us).is_ok()
    };
    let (locked_sender, locked) = mpsc::channel();
    let (unlock, unlocked) = mpsc::channel::<()>();
    let node = Arc::clone(&instance.node);
    let holder = std::thread::spawn(move || {
        let _gate = node.target.gate();
        locked_sender.send(()).unwrap();
        let _ = unlocked.recv();
    });
    locked.recv().unwrap();
    set_evacuated(instance, true);
    for _ in 0..20 {
        assert!(can_pick(), "the routes changed before the gate");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(unlock);
    holder.join().unwrap();
    get_until(instance, 503).await;
    assert!(!can_pick());
}
