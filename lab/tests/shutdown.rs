//! Planned stops under full load, with real processes and chains in flight.

use {
    lab::{
        load::{ClosedLoad, WORKSPACE, begun_after, check_orders},
        mesh::{Instance, Mesh, MeshConf},
        wait::{GENEROUS_LIMIT, wait_until},
    },
    standins::target::Faults,
    std::time::Duration,
    tokio::time::sleep,
};

/// Callers in a closed loop, more than the targets have slots.
const CALLER_COUNT: usize = 40;
const SURGE_CALLER_COUNT: usize = 160;
const LOAD_BEFORE: Duration = Duration::from_secs(2);
const LOAD_AFTER: Duration = Duration::from_secs(1);
/// Time after which a departing target may get no new work.
const DEPARTURE_MS: u64 = 3000;

const CATALOG: &str = r#"service = "catalog"
retries = 2
deadline_ms = 20000

[[route]]
methods = ["GET"]
path = "prices/*"
class = "browse"
repeatable = true

[[route]]
methods = ["POST"]
path = "orders"
class = "critical"
repeatable = false
"#;

const PRICING: &str = r#"service = "pricing"
retries = 2
deadline_ms = 20000

[[route]]
methods = ["GET"]
path = "quotes/*"
class = "standard"
repeatable = true

[[route]]
methods = ["POST"]
path = "quotes/*"
class = "critical"
repeatable = false
"#;

async fn start() -> Mesh {
    let catalog = [
        "--slots",
        "8",
        "--latency",
        "fixed:30",
        "--calls",
        "* /pricing/quotes/7",
    ];
    let pricing = ["--slots", "8", "--latency", "fixed:20"];
    let workspace = format!(
        "[[workspace]]\nname = \"{WORKSPACE}\"\nrate_per_s = 5000\nburst = 10000\nkey_lease_s = 60\n"
    );
    let conf = MeshConf::new()
        .with_instance("az1", "catalog", &catalog)
        .with_instance("az1", "pricing", &pricing)
        .with_instance("az2", "catalog", &catalog)
        .with_instance("az2", "pricing", &pricing)
        .with_file("catalog.toml", CATALOG)
        .with_file("pricing.toml", PRICING)
        .with_file("workspaces.toml", &workspace);
    Mesh::start(conf).await.expect("a mesh")
}

async fn wait_node_exit(instance: &mut Instance) {
    let node = instance.node.as_mut().expect("a node");
    let status = node.wait_exit(GENEROUS_LIMIT).await.expect("the node ends");
    assert_eq!(status.code(), Some(0), "{}", node.log());
}

async fn wait_ready(instance: &Instance) {
    let admin = instance.node_admin();
    wait_until("the node is ready", GENEROUS_LIMIT, || async move {
        admin.is_ok("/readyz").await.then_some(())
    })
    .await
    .expect("the node is ready");
}

/// How an instance is told to leave.
#[derive(Clone, Copy)]
enum Stop {
    /// SIGTERM to the node.
    Signal,
    /// `dogwoodctl drain`.
    Operator,
    /// The target announces that it drains.
    Target,
}

struct StopCase {
    name: &'static str,
    stop: Stop,
    /// Place of the instance that leaves.
    index: usize,
}

const STOP_CASES: [StopCase; 5] = [
    StopCase {
        name: "signal to the entry of a chain",
        stop: Stop::Signal,
        index: 0,
    },
    StopCase {
        name: "signal to the end of a chain",
        stop: Stop::Signal,
        index: 1,
    },
    StopCase {
        name: "operator",
        stop: Stop::Operator,
        index: 0,
    },
    StopCase {
        name: "target at the entry of a chain",
        stop: Stop::Target,
        index: 0,
    },
    StopCase {
        name: "target at the end of a chain",
        stop: Stop::Target,
        index: 1,
    },
];

/// An instance is replaced on purpose while its slots and queues are full. A
/// node that left at once would cut dealers off in the middle of an order,
/// and work sent to a target that leaves would be lost with it.
async fn an_instance_leaves(case: &StopCase) {
    let mut mesh = start().await;
    let load = ClosedLoad::start(&mesh, CALLER_COUNT).await;
    sleep(LOAD_BEFORE).await;
    let began_ms = lab::caller::unix_ms();
    stop(&mut mesh, case).await;
    match case.stop {
        Stop::Signal | Stop::Operator => wait_node_exit(&mut mesh.instances[case.index]).await,
        Stop::Target => {
            let target = &mut mesh.instances[case.index].target;
            let status = target.wait_exit(GENEROUS_LIMIT).await.expect("it ends");
            assert_eq!(status.code(), Some(0), "{}", case.name);
        }
    }
    sleep(LOAD_AFTER).await;
    let seen = load.finish().await;
    seen.assert_all_whole(case.name);
    let node_id = &mesh.instances[case.index].node_id;
    let late = begun_after(&mesh, node_id, began_ms + DEPARTURE_MS);
    assert_eq!(late, 0, "{}: work at a departing target", case.name);
    check_orders(&mesh, &seen, case.name);
}

async fn stop(mesh: &mut Mesh, case: &StopCase) {
    let instance = &mut mesh.instances[case.index];
    match case.stop {
        Stop::Signal => {
            let node = instance.node.as_mut().expect("a node");
            node.terminate().expect("told to end");
        }
        Stop::Operator => {
            let address = instance.control_address().to_string();
            mesh.ctl_ok(&["drain", &address]).await.expect("it drains");
        }
        Stop::Target => {
            let admin = instance.target_admin();
            admin.drain_target().await.expect("it drains");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_cut_off_no_request() {
    for case in &STOP_CASES {
        an_instance_leaves(case).await;
    }
}

/// All nodes are replaced one after the other, as on any ordinary day. A
/// request that is lost or doubled on the way would be a lost price change or
/// a second order.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_loses_and_doubles_nothing() {
    let mut mesh = start().await;
    let load = ClosedLoad::start(&mesh, CALLER_COUNT).await;
    sleep(LOAD_BEFORE).await;
    for index in 0..mesh.instances.len() {
        let instance = &mut mesh.instances[index];
        let node = instance.node.as_mut().expect("a node");
        node.terminate().expect("told to end");
        wait_node_exit(instance).await;
        let node = instance.node.as_mut().expect("a node");
        node.restart().expect("restarted");
        wait_ready(instance).await;
        sleep(LOAD_BEFORE).await;
    }
    let seen = load.finish().await;
    seen.assert_all_whole("rolling replacement");
    check_orders(&mesh, &seen, "rolling replacement");
}

/// Callers surge while the deep service is slow, and just then an instance
/// leaves. Some requests are refused; what was begun must still be answered,
/// and no refusal may be of work that ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_in_a_surge_cuts_off_no_request() {
    let mut mesh = start().await;
    let load = ClosedLoad::start(&mesh, CALLER_COUNT).await;
    sleep(LOAD_BEFORE).await;
    let slow = Faults {
        slow_factor: 3.0,
        ..Faults::default()
    };
    for index in [1, 3] {
        let admin = mesh.instances[index].target_admin();
        admin.set_target_faults(slow).await.expect("set");
    }
    let surge = ClosedLoad::start(&mesh, SURGE_CALLER_COUNT).await;
    sleep(LOAD_BEFORE).await;
    let began_ms = lab::caller::unix_ms();
    let admin = mesh.instances[1].target_admin();
    admin.drain_target().await.expect("it drains");
    let node = mesh.instances[0].node.as_mut().expect("a node");
    node.terminate().expect("told to end");
    wait_node_exit(&mut mesh.instances[0]).await;
    sleep(LOAD_AFTER).await;
    let seen = load.finish().await.merged(surge.finish().await);
    seen.assert_none_cut("surge");
    for index in [0, 1] {
        let node_id = &mesh.instances[index].node_id;
        let late = begun_after(&mesh, node_id, began_ms + DEPARTURE_MS);
        assert_eq!(late, 0, "{node_id}: work at a departing target");
    }
    check_orders(&mesh, &seen, "surge");
}

struct PauseCase {
    name: &'static str,
    pause_ms: u64,
    drains: bool,
}

const PAUSE_CASES: [PauseCase; 3] = [
    PauseCase {
        name: "a short pause while the other node drains",
        pause_ms: 350,
        drains: true,
    },
    PauseCase {
        name: "a long pause while the other node drains",
        pause_ms: 700,
        drains: true,
    },
    PauseCase {
        name: "a long pause beside another node",
        pause_ms: 700,
        drains: false,
    },
];

const PAUSE_COUNT: usize = 4;
const BETWEEN_PAUSES: Duration = Duration::from_millis(300);

/// One node of a service drains and the other stands still for a moment. Calls at the one
/// that stood still were given up, and no other target was left for a retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stands_still_loses_no_request() {
    for case in &PAUSE_CASES {
        let mut mesh = start().await;
        let load = ClosedLoad::start(&mesh, CALLER_COUNT).await;
        sleep(LOAD_BEFORE).await;
        if case.drains {
            let address = mesh.instances[0].control_address().to_string();
            mesh.ctl_ok(&["drain", &address]).await.expect("it drains");
        }
        for _ in 0..PAUSE_COUNT {
            sleep(BETWEEN_PAUSES).await;
            let node = mesh.instances[2].node.as_mut().expect("a node");
            node.pause().await.expect("paused");
            sleep(Duration::from_millis(case.pause_ms)).await;
            node.resume().expect("resumed");
        }
        if case.drains {
            wait_node_exit(&mut mesh.instances[0]).await;
        }
        sleep(LOAD_AFTER).await;
        let seen = load.finish().await;
        seen.assert_all_whole(case.name);
        check_orders(&mesh, &seen, case.name);
    }
}
