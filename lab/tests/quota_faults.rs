//! The promise of quota on real processes: in no window do all nodes together
//! admit more than rate and burst, whatever fails.
//!
//! The workspace sends three times its rate all the time. Each request was
//! admitted between its send by the caller and its begin in a target's
//! journal; the check finds windows that no time of admission in between could
//! explain.

use {
    dogwoodbridge::{
        membership::{Member, MemberPorts, MemberState, View},
        quota::{Rate, pool_nodes, window_violations},
        settings::ports,
    },
    futures::future::join_all,
    lab::{
        LabError,
        mesh::Mesh,
        rules,
        scenario::{FaultRun, Scenario, run_with_fault},
    },
    standins::faultproxy::{CutMode, Rule},
    std::time::Duration,
    tokio::time::sleep,
};

const SCENARIO: &str = r#"
name = "quota under faults"
seed = 11
duration_s = 300
behind_proxy = true

[[group]]
zone = "az1"
service = "pricing"
count = 2
target_flags = ["--slots", "200", "--latency", "fixed:2"]

[[group]]
zone = "az2"
service = "pricing"
count = 2
target_flags = ["--slots", "200", "--latency", "fixed:2"]

[[file]]
name = "pricing.toml"
text = """
service = "pricing"
retries = 0
deadline_ms = 2000

[[route]]
methods = ["GET"]
path = "**"
class = "standard"
repeatable = true
"""

[[workspace]]
name = "shop"
rate_per_s = 60
burst = 40

[[load]]
name = "az1"
workspace = "shop"
method = "GET"
path = "/pricing/quotes/7"
rate_per_s = 90
deadline_ms = 2000
zones = ["az1"]
move_every_s = 2

[[load]]
name = "az2"
workspace = "shop"
method = "GET"
path = "/pricing/quotes/7"
rate_per_s = 90
deadline_ms = 2000
zones = ["az2"]
move_every_s = 2
"#;

const RATE: Rate = Rate {
    rate_per_s: 60,
    burst_count: 40,
};

const ZONES: [&str; 2] = ["az1", "az2"];

#[derive(Debug, Clone, Copy)]
enum Fault {
    PauseBank(Duration),
    PauseOwner(Duration),
    PauseBankAndOwner(Duration),
    RestartInPlace,
    CutZone(Duration),
    SplitMembership(Duration),
    KillBank,
}

struct Case {
    name: &'static str,
    fault: Fault,
    /// Whether callers in both zones are served also during the fault.
    serves_meanwhile: bool,
}

async fn make(fault: Fault, mesh: &mut Mesh) -> Result<(), LabError> {
    let bank = bank_index(mesh, "shop");
    let owner = (bank + 1) % mesh.instances.len();
    match fault {
        Fault::PauseBank(time) => pause(mesh, &[bank], time).await,
        Fault::PauseOwner(time) => pause(mesh, &[owner], time).await,
        Fault::PauseBankAndOwner(time) => pause(mesh, &[bank, owner], time).await,
        Fault::RestartInPlace => {
            for index in [owner, bank] {
                node(mesh, index).restart()?;
                sleep(Duration::from_secs(2)).await;
            }
            Ok(())
        }
        Fault::CutZone(time) => {
            let rules = rules::isolate("az2", &ZONES, CutMode::BlackHole);
            with_rules(mesh, rules, time).await
        }
        Fault::SplitMembership(time) => {
            let mut rules = rules::cut("az1", "az2", CutMode::BlackHole);
            for rule in &mut rules {
                rule.port = Some(ports::GOSSIP);
            }
            with_rules(mesh, rules, time).await
        }
        Fault::KillBank => {
            node(mesh, bank).kill();
            sleep(Duration::from_secs(5)).await;
            Ok(())
        }
    }
}

/// Place of the node that is the bank of a workspace while all are alive.
fn bank_index(mesh: &Mesh, workspace: &str) -> usize {
    let mut members: Vec<Member> = mesh
        .instances
        .iter()
        .map(|instance| Member {
            node_id: instance.node_id.clone(),
            ip: instance.ip,
            ports: MemberPorts {
                peer: 0,
                gossip: 0,
                rpc: 0,
                control: 0,
            },
            region: String::new(),
            zone: instance.zone.clone(),
            started_unix_ms: 0,
            incarnation: 0,
            state: MemberState::Alive,
            target: None,
        })
        .collect();
    members.sort_by(|a, b| a.node_id.cmp(&b.node_id));
    let view = View::new(members);
    let bank = pool_nodes(&view, workspace, "");
    let bank = bank.first().expect("a mesh with nodes");
    let place = mesh
        .instances
        .iter()
        .position(|i| i.node_id == bank.node_id);
    place.expect("the bank is a node")
}

fn node(mesh: &mut Mesh, index: usize) -> &mut lab::process::Process {
    let node = mesh.instances[index].node.as_mut();
    node.expect("a mesh with nodes")
}

async fn pause(mesh: &mut Mesh, indices: &[usize], time: Duration) -> Result<(), LabError> {
    for index in indices {
        node(mesh, *index).pause().await?;
    }
    sleep(time).await;
    for index in indices {
        node(mesh, *index).resume()?;
    }
    Ok(())
}

async fn with_rules(mesh: &Mesh, rules: Vec<Rule>, time: Duration) -> Result<(), LabError> {
    mesh.proxy_admin().set_rules(rules).await?;
    sleep(time).await;
    mesh.proxy_admin().set_rules(Vec::new()).await
}

/// A node stops for seconds, restarts, or cannot reach the others while a
/// workspace sends far more than it may. If tokens were spent twice the
/// workspace would get more than it pays for, at the cost of all others; if
/// they were lost for good it would get less than it pays for, for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_window_is_exceeded() {
    let cases = [
        // The bank stands still with loans given and answers under way. What
        // it lent must be over before others lend the same shares.
        Case {
            name: "bank paused",
            fault: Fault::PauseBank(Duration::from_secs(4)),
            serves_meanwhile: false,
        },
        // An owner stands still while its share is leased. When it goes on it
        // must know that its lease has ended meanwhile, or was taken over.
        Case {
            name: "owner paused",
            fault: Fault::PauseOwner(Duration::from_secs(10)),
            serves_meanwhile: false,
        },
        // Both stand still and go on at the same moment, each with its view
        // from before.
        Case {
            name: "bank and owner paused",
            fault: Fault::PauseBankAndOwner(Duration::from_secs(3)),
            serves_meanwhile: false,
        },
        // Nodes forget all leases and loans. Users see a short gap, no second
        // burst.
        Case {
            name: "restarted in place",
            fault: Fault::RestartInPlace,
            serves_meanwhile: false,
        },
        // A zone reaches neither the platform nor the other zone. Its callers
        // are served on its own share, and the sum stays within the rate.
        Case {
            name: "zone cut off",
            fault: Fault::CutZone(Duration::from_secs(12)),
            serves_meanwhile: true,
        },
        // The zones take each other for dead, but calls get through: there
        // are two banks at once that lease from the same owners.
        Case {
            name: "split membership",
            fault: Fault::SplitMembership(Duration::from_secs(10)),
            serves_meanwhile: true,
        },
        // The bank dies. Users see nothing admitted until its leases are over.
        Case {
            name: "bank killed",
            fault: Fault::KillBank,
            serves_meanwhile: false,
        },
    ];
    let scenario = Scenario::parse(SCENARIO).expect("a scenario");
    let runs = cases.iter().map(async |case| {
        let fault = async |mesh: &mut Mesh| make(case.fault, mesh).await;
        let run = run_with_fault(&scenario, fault).await;
        (case, run.expect(case.name))
    });
    let runs = join_all(runs).await;
    for (case, run) in &runs {
        report(case, run);
    }
    for (case, run) in &runs {
        check(case, run);
    }
}

fn check(case: &Case, run: &FaultRun) {
    let name = case.name;
    let checks = &run.result.checks;
    assert_eq!(checks.proven_excess["shop"], 0.0, "{name}");
    assert!(checks.is_clean(), "{name}: {checks:?}");
    let shop = &run.result.workspaces[0];
    assert!(shop.over_quota_count > 0, "{name}: nothing was refused");
    for (load_index, zone) in ZONES.iter().enumerate() {
        let after_count = run.whole_after_count(load_index);
        assert!(after_count > 0, "{name}: {zone} is not served afterwards");
        // What is lent at the cut is over by its second half.
        let half_us = u64::midpoint(run.from_us, run.until_us);
        let meanwhile_count = run.whole_count(load_index, half_us, run.until_us);
        assert!(
            !case.serves_meanwhile || meanwhile_count > 0,
            "{name}: {zone} is not served meanwhile"
        );
    }
}

/// Prints what the fault cost; figures, no checks.
fn report(case: &Case, run: &FaultRun) {
    let executions = run.evidence.executions.iter();
    let times_us: Vec<u64> = executions.map(|e| e.entry.started_unix_ms * 1000).collect();
    let late_count = window_violations(&times_us, RATE).len();
    let [first, second] = [0, 1].map(|load| run.whole_count(load, run.from_us, run.until_us));
    println!(
        "{}: {:.1} s of fault, served meanwhile {first} and {second}, afterwards {} and {}, \
         proven excess {:.1}; by time of execution {late_count} windows, excess {:.1}; \
         longest gap {} ms",
        case.name,
        (run.until_us - run.from_us) as f64 / 1e6,
        run.whole_after_count(0),
        run.whole_after_count(1),
        run.result.checks.proven_excess["shop"],
        run.result.checks.window_excess["shop"],
        longest_gap_ms(run),
    );
}

/// Longest time without a begin of work from the fault on.
fn longest_gap_ms(run: &FaultRun) -> u64 {
    let from_ms = (run.evidence.started_unix_us + run.from_us) / 1000;
    let executions = run.evidence.executions.iter();
    let mut times_ms: Vec<u64> = executions.map(|e| e.entry.started_unix_ms).collect();
    times_ms.retain(|time_ms| *time_ms >= from_ms);
    times_ms.push(from_ms);
    times_ms.sort_unstable();
    let gaps = times_ms.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or(0)
}
