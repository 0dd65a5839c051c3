//! Figures of an overload from callers' records and journals.

use {
    lab::{
        caller::Judgement,
        load::{Attempt, Original},
        measure::{Evidence, Execution, OverloadResult, ScenarioResult},
        scenario::Scenario,
    },
    standins::target::{Entry, EntryState},
};

const SCENARIO: &str = r#"
name = "overload"
duration_s = 10

[overload]
service = "cards"
possible_per_s = 2.0
critical_loads = ["orders"]

[[group]]
zone = "a"
service = "cards"
count = 1

[[workspace]]
name = "shop"
rate_per_s = 10
burst = 10

[[load]]
name = "reads"
workspace = "shop"
method = "GET"
path = "/cards/card/7"
rate_per_s = 1
deadline_ms = 1000

[[load]]
name = "orders"
workspace = "shop"
method = "POST"
path = "/cards/card/7"
rate_per_s = 1
deadline_ms = 1000

[[fault]]
at_s = 2
until_s = 4
action = { target = { faults = { slow_factor = 5.0 } } }
"#;

const READS: usize = 0;
const ORDERS: usize = 1;

fn original(test_id: &str, load_index: usize, at_s: u64, judgements: &[Judgement]) -> Original {
    let attempts = judgements.iter().map(|judgement| Attempt {
        sent_us: at_s * 1_000_000,
        judgement: *judgement,
        reason: None,
    });
    Original {
        test_id: test_id.to_owned(),
        load_index,
        intended_us: at_s * 1_000_000,
        latency_us: 1000,
        attempts: attempts.collect(),
    }
}

fn execution(service: &str, test_id: &str, state: EntryState) -> Execution {
    Execution {
        service: service.to_owned(),
        node_id: "n".to_owned(),
        entry: Entry {
            sequence: 0,
            started_unix_ms: 0,
            ended_unix_ms: None,
            state,
            method: "GET".to_owned(),
            path: "/card/7".to_owned(),
            headers: Vec::new(),
            body_digest: String::new(),
            body: String::new(),
            call_handle: None,
            test_id: Some(test_id.to_owned()),
        },
    }
}

fn overload(originals: Vec<Original>, executions: Vec<Execution>) -> OverloadResult {
    let scenario = Scenario::parse(SCENARIO).expect("a scenario");
    let evidence = Evidence {
        originals,
        executions,
        ..Evidence::default()
    };
    let result = ScenarioResult::new(&scenario, &evidence);
    result.overload.expect("the scenario names an overload")
}

fn assert_close(found: f64, expected: f64, name: &str) {
    assert!((found - expected).abs() < 1e-9, "{name}: {found}");
}

#[test]
fn figures_count_the_time_of_the_cause_only() {
    use Judgement::{NotRun, Whole};
    let originals = vec![
        original("before", READS, 0, &[Whole]),
        original("before-2", READS, 1, &[Whole]),
        original("read", READS, 2, &[NotRun, Whole]),
        original("lost", READS, 2, &[NotRun, NotRun]),
        original("order", ORDERS, 3, &[Whole]),
        original("after", READS, 5, &[Whole]),
    ];
    let executions = vec![
        execution("cards", "before", EntryState::Finished),
        execution("cards", "read", EntryState::Refused),
        execution("cards", "read", EntryState::Finished),
        execution("cards", "lost", EntryState::Cancelled),
        execution("cards", "lost", EntryState::Started),
        execution("cards", "lost", EntryState::Started),
        execution("cards", "order", EntryState::Finished),
        execution("orders", "order", EntryState::Finished),
    ];
    let found = overload(originals, executions);
    struct Case {
        name: &'static str,
        found: f64,
        expected: f64,
    }
    let cases = [
        Case {
            name: "goodput",
            found: found.goodput_per_s,
            expected: 1.0,
        },
        Case {
            name: "goodput over possible",
            found: found.goodput_ratio,
            expected: 0.5,
        },
        Case {
            name: "normal",
            found: found.normal_per_s,
            expected: 1.0,
        },
        Case {
            name: "critical",
            found: found.critical_served_ratio,
            expected: 1.0,
        },
        Case {
            name: "other",
            found: found.other_served_ratio,
            expected: 0.5,
        },
        Case {
            name: "sends",
            found: found.sends_per_original,
            expected: 5.0 / 3.0,
        },
        Case {
            name: "attempts, refused ones too",
            found: found.attempts_per_original,
            expected: 2.0,
        },
        Case {
            name: "most attempts per send",
            found: found.max_attempts_per_send,
            expected: 1.5,
        },
        Case {
            name: "in vain, of those begun",
            found: found.wasted_ratio,
            expected: 3.0 / 5.0,
        },
    ];
    for case in cases {
        assert_close(case.found, case.expected, case.name);
    }
    assert_eq!(
        (found.critical_offered_count, found.other_offered_count),
        (1, 2)
    );
}

#[test]
fn wrong_overloads_name_what_is_wrong() {
    struct Case {
        replace: (&'static str, &'static str),
        message: &'static str,
    }
    let cases = [
        Case {
            replace: ("[\"orders\"]", "[\"oders\"]"),
            message: "no load",
        },
        Case {
            replace: ("possible_per_s = 2.0", "possible_per_s = 0.0"),
            message: "possible_per_s",
        },
    ];
    for case in cases {
        let text = SCENARIO.replacen(case.replace.0, case.replace.1, 1);
        let error = Scenario::parse(&text).expect_err(case.message).to_string();
        assert!(error.contains(case.message), "{error}");
    }
}
