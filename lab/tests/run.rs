//! Scenarios from start to report, without nodes: what the load does to
//! targets that nothing protects.

use lab::{
    caller::Judgement,
    scenario::{Scenario, run},
};

const SCENARIO: &str = r#"
name = "targets alone"
duration_s = 6
without_nodes = true

[[group]]
zone = "a"
service = "pricing"
count = 2
target_flags = ["--latency", "fixed:2"]

[[workspace]]
name = "shop"
rate_per_s = 1000
burst = 1000

[[load]]
name = "reads"
workspace = "shop"
method = "GET"
path = "/pricing/quotes/7"
rate_per_s = 50
deadline_ms = 5000
retry = { limit = 2, backoff_ms = 20 }

[[load]]
name = "orders"
workspace = "shop"
method = "POST"
path = "/pricing/orders"
rate_per_s = 20
deadline_ms = 5000
"#;

#[tokio::test]
async fn calm_run() {
    let scenario = Scenario::parse(SCENARIO).expect("a scenario");
    let result = run(&scenario).await.expect("a result");
    for load in &result.loads {
        let whole_count = load.judgements.get(&Judgement::Whole).copied();
        assert_eq!(whole_count, Some(load.offered_count), "{load:?}");
        assert_eq!(
            (load.attempt_count, load.unsent_count),
            (load.offered_count, 0)
        );
    }
    let offered_count: u64 = result.seconds.iter().map(|s| s.offered_count).sum();
    assert!(offered_count > 200, "{offered_count}");
    assert_eq!(result.checks.max_execution_count, 1);
    assert_eq!(result.wrongful_ratio, 0.0);
    assert!(result.normal_per_s > 30.0, "{}", result.normal_per_s);
    // Without nodes the targets do see the keys, so the check has to say so.
    assert_eq!(result.checks.leaked_key_count, offered_count);
}

/// Both targets fail for a second, then one is killed and comes back. Clients
/// repeat reads, not orders; the report shows the loss and the way back.
#[tokio::test]
async fn faults_on_a_timetable() {
    let faults = r#"
[[fault]]
at_s = 1
until_s = 2
action = { target = { faults = { fail_ratio = 1.0 } } }

[[fault]]
at_s = 2.5
until_s = 3
action = { kill = { process = "target", select = { count = 1 } } }

[[fault]]
at_s = 1
until_s = 3
action = { platform = { down = true } }
"#;
    let scenario = Scenario::parse(&format!("{SCENARIO}{faults}")).expect("a scenario");
    let result = run(&scenario).await.expect("a result");
    let [reads, orders] = &result.loads[..] else {
        panic!("two loads");
    };
    assert!(reads.attempt_count > reads.offered_count, "{reads:?}");
    assert_eq!(orders.attempt_count, orders.offered_count, "{orders:?}");
    assert!(orders.judgements.contains_key(&Judgement::TargetFailed));
    assert_eq!(result.checks.double_execution_count, 0);
    assert!(result.checks.max_execution_count > 1);
    assert!(result.trouble_per_s.is_some());
}
