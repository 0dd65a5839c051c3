//! At most once on real processes: no idempotency key is executed twice and
//! `not-run` is never said of a request that ran, whatever fails.
//!
//! Orders with a key are sent all the time by callers that repeat them at the
//! next node until they have an answer. What ran is read from the targets'
//! journals.

use {
    dogwoodbridge::slices::Section,
    futures::future::join_all,
    lab::{
        LabError,
        mesh::Mesh,
        rules,
        scenario::{FaultRun, Scenario, run_with_fault, wait_for_table},
    },
    standins::{
        faultproxy::{CutMode, Rule},
        platform,
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::time::sleep,
};

const SCENARIO: &str = r#"
name = "at most once under faults"
seed = 12
duration_s = 300
behind_proxy = true

[[group]]
zone = "az1"
service = "pricing"
count = 2
target_flags = ["--slots", "200", "--latency", "fixed:30"]

[[group]]
zone = "az2"
service = "pricing"
count = 2
target_flags = ["--slots", "200", "--latency", "fixed:30"]

[[file]]
name = "pricing.toml"
text = """
service = "pricing"
retries = 1
deadline_ms = 3000

[[route]]
methods = ["POST"]
path = "**"
class = "critical"
repeatable = false
"""

[[workspace]]
name = "shop"
rate_per_s = 2000
burst = 2000

[[load]]
name = "orders"
workspace = "shop"
method = "POST"
path = "/pricing/orders"
rate_per_s = 30
deadline_ms = 1500
with_idempotency_key = true
retry = { limit = 30, backoff_ms = 300 }

[[load]]
name = "impatient orders"
workspace = "shop"
method = "POST"
path = "/pricing/orders"
rate_per_s = 10
deadline_ms = 35
with_idempotency_key = true
retry = { limit = 10, backoff_ms = 20 }

[[load]]
name = "orders sent once"
workspace = "shop"
method = "POST"
path = "/pricing/orders"
rate_per_s = 20
deadline_ms = 1500
with_idempotency_key = true
"#;

/// Loads of the scenario by their place.
const ORDERS: usize = 0;
const SENT_ONCE: usize = 2;

const ZONES: [&str; 2] = ["az1", "az2"];

#[derive(Debug, Clone, Copy)]
enum Fault {
    LoseAnswers,
    PauseHomeAcrossTakeover,
    CutHomeOff,
    RestartHome,
    OldTable,
    LoseTableWrites,
    KillHome,
}

struct Case {
    name: &'static str,
    fault: Fault,
}

/// The home that fails, in the second zone.
const HOME: usize = 2;
/// A node that is used as ingress.
const INGRESS: usize = 1;

async fn make(fault: Fault, mesh: &mut Mesh) -> Result<(), LabError> {
    let home_id = mesh.instances[HOME].node_id.clone();
    match fault {
        Fault::LoseAnswers => lose_answers(mesh).await,
        Fault::PauseHomeAcrossTakeover => {
            node(mesh, HOME).pause().await?;
            wait_for_takeover(mesh, &home_id).await?;
            node(mesh, HOME).resume()
        }
        Fault::CutHomeOff => {
            let rules = rules::isolate("az2", &ZONES, CutMode::BlackHole);
            mesh.proxy_admin().set_rules(rules).await?;
            wait_for_takeover(mesh, &home_id).await?;
            sleep(Duration::from_secs(3)).await;
            mesh.proxy_admin().set_rules(Vec::new()).await
        }
        Fault::RestartHome => {
            for _ in 0..3 {
                node(mesh, HOME).restart()?;
                sleep(Duration::from_secs(2)).await;
            }
            Ok(())
        }
        Fault::OldTable => {
            node(mesh, INGRESS).pause().await?;
            drain_and_restart(mesh, &home_id).await?;
            node(mesh, INGRESS).resume()
        }
        Fault::LoseTableWrites => {
            let faults = platform::Faults {
                lose_answers_to_writes: true,
                ..platform::Faults::default()
            };
            mesh.platform_admin().set_platform_faults(faults).await?;
            drain_and_restart(mesh, &home_id).await?;
            let none = platform::Faults::default();
            mesh.platform_admin().set_platform_faults(none).await
        }
        Fault::KillHome => {
            node(mesh, HOME).kill();
            wait_for_takeover(mesh, &home_id).await?;
            // Keys made after the takeover are served once clocks cannot
            // explain the difference any more.
            sleep(Duration::from_secs(5)).await;
            Ok(())
        }
    }
}

async fn lose_answers(mesh: &Mesh) -> Result<(), LabError> {
    let from_home = Rule {
        from_ip: Some(mesh.instances[HOME].ip),
        cut: Some(CutMode::BlackHole),
        port: Some(dogwoodbridge::settings::ports::PEER),
        ..Rule::default()
    };
    for _ in 0..4 {
        let rules = vec![from_home.clone()];
        mesh.proxy_admin().set_rules(rules).await?;
        sleep(Duration::from_secs(1)).await;
        mesh.proxy_admin().set_rules(Vec::new()).await?;
        sleep(Duration::from_millis(500)).await;
    }
    Ok(())
}

async fn drain_and_restart(mesh: &mut Mesh, node_id: &str) -> Result<(), LabError> {
    node(mesh, HOME).terminate()?;
    wait_for_takeover(mesh, node_id).await?;
    node(mesh, HOME)
        .wait_exit(lab::wait::GENEROUS_LIMIT)
        .await?;
    node(mesh, HOME).restart()
}

/// Waits until this node is the home of no keys any more.
async fn wait_for_takeover(mesh: &Mesh, node_id: &str) -> Result<(), LabError> {
    wait_for_table(mesh, "keys are taken over", |table| {
        let slot = table.find(node_id);
        slot.is_none_or(|slot| table.owned(Section::Keys, slot).next().is_none())
    })
    .await
}

fn node(mesh: &mut Mesh, index: usize) -> &mut lab::process::Process {
    let node = mesh.instances[index].node.as_mut();
    node.expect("a mesh with nodes")
}

/// The node that remembers an order's key fails or cannot be reached while
/// callers send the order again elsewhere. If two nodes took themselves for
/// the key's home the customer would pay twice; if `not-run` were said of an
/// order that ran, the caller would order anew under another key.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_key_runs_twice() {
    let cases = [
        // Answers of the home get lost on the way to the ingress; the order
        // ran, and its resend by another ingress must be told so.
        Case {
            name: "answers lost",
            fault: Fault::LoseAnswers,
        },
        // The home stops with orders in its sockets, its keys get another
        // home, then it goes on and finds these orders.
        Case {
            name: "home paused across a takeover",
            fault: Fault::PauseHomeAcrossTakeover,
        },
        // The home reaches nobody outside its zone but is alive, and callers
        // in its zone go on sending it orders that others resend elsewhere.
        Case {
            name: "home cut off but alive",
            fault: Fault::CutHomeOff,
        },
        // The home forgets its keys.
        Case {
            name: "home restarted",
            fault: Fault::RestartHome,
        },
        // An ingress that stood still sends orders to the home that its old
        // table names.
        Case {
            name: "ingress with an old table",
            fault: Fault::OldTable,
        },
        // The home gives its keys up, but does not learn that its write took
        // effect.
        Case {
            name: "answers to table writes lost",
            fault: Fault::LoseTableWrites,
        },
        // The home dies for good.
        Case {
            name: "home killed",
            fault: Fault::KillHome,
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
    assert_eq!(checks.double_execution_count, 0, "{name}");
    assert_eq!(checks.false_not_run_count, 0, "{name}");
    assert!(checks.is_clean(), "{name}: {checks:?}");
    // Without these a fleet that refuses everything would pass.
    let before_count = run.whole_count(ORDERS, 0, run.from_us);
    assert!(before_count > 0, "{name}: nothing is served before");
    let after_count = run.whole_after_count(ORDERS);
    assert!(after_count > 0, "{name}: nothing is served afterwards");
    let originals = &run.evidence.originals;
    let resent_count = originals.iter().filter(|o| o.attempts.len() > 1).count();
    assert!(resent_count > 0, "{name}: nothing was resent");
}

/// Prints what the fault cost; figures, no checks.
fn report(case: &Case, run: &FaultRun) {
    let originals = &run.evidence.originals;
    println!(
        "{}: {:.1} s of fault, {} orders, {} resent, {} executions, twice {}, false not-run {}",
        case.name,
        (run.until_us - run.from_us) as f64 / 1e6,
        originals.len(),
        originals.iter().filter(|o| o.attempts.len() > 1).count(),
        run.evidence.executions.len(),
        run.result.checks.double_execution_count,
        run.result.checks.false_not_run_count,
    );
    let once = originals.iter().filter(|o| o.load_index == SENT_ONCE);
    // Seconds since the begin of the fault: orders sent once, by their ends.
    let mut ends: BTreeMap<u64, BTreeMap<String, usize>> = BTreeMap::new();
    for original in once.filter(|o| o.intended_us >= run.from_us) {
        let second = (original.intended_us - run.from_us) / 1_000_000;
        let reason = original.attempts.last().and_then(|a| a.reason.as_deref());
        let end = format!("{:?} {}", original.judgement(), reason.unwrap_or(""));
        *ends.entry(second).or_default().entry(end).or_default() += 1;
    }
    for (second, ends) in ends {
        println!("  {second:>3} s: {ends:?}");
    }
}
