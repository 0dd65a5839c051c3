//! Measures and checks on made-up evidence.

use {
    lab::{
        caller::Judgement,
        load::{Attempt, Original},
        measure::{
            AdmissionSpan, Checks, Evidence, Execution, RateLimit, ScenarioResult, parse_journal,
            proven_excess, recovery_s, window_excess,
        },
        scenario::Scenario,
    },
    standins::target::{Entry, EntryState},
};

const LIMIT: RateLimit = RateLimit {
    rate_per_s: 10.0,
    burst: 5.0,
};

#[test]
fn excess_of_the_worst_window() {
    struct Case {
        name: &'static str,
        times_ms: Vec<u64>,
        excess: f64,
    }
    let cases = [
        Case {
            name: "nothing",
            times_ms: vec![],
            excess: 0.0,
        },
        Case {
            name: "the burst at once",
            times_ms: vec![50; 5],
            excess: 0.0,
        },
        Case {
            name: "two over the burst",
            times_ms: vec![50; 7],
            excess: 2.0,
        },
        Case {
            name: "at the rate for long",
            times_ms: (0..1000).map(|number| number * 100).collect(),
            excess: 0.0,
        },
        Case {
            name: "burst, then the rate",
            times_ms: [vec![0; 5], (1..50).map(|number| number * 100).collect()].concat(),
            excess: 0.0,
        },
        Case {
            name: "two bursts in half the time that the second needs, unsorted",
            times_ms: [vec![250; 5], vec![0; 5]].concat(),
            excess: 2.5,
        },
    ];
    for case in cases {
        let times_us = case.times_ms.iter().map(|time_ms| time_ms * 1000).collect();
        let excess = window_excess(times_us, LIMIT);
        assert!(
            (excess - case.excess).abs() < 1e-6,
            "{}: {excess}",
            case.name
        );
    }
}

/// A request waits between admission and execution. Executions bunch up then,
/// though the admissions kept the rate; only what no time of admission can
/// explain is an excess.
#[test]
fn proven_excesses() {
    struct Case {
        name: &'static str,
        spans_ms: Vec<(u64, u64)>,
        excess: f64,
    }
    let cases = [
        Case {
            name: "nothing",
            spans_ms: vec![],
            excess: 0.0,
        },
        Case {
            name: "late executions of admissions at the rate",
            spans_ms: (0..20).map(|n| (n * 100, 2000)).collect(),
            excess: 0.0,
        },
        Case {
            name: "twice the burst at once",
            spans_ms: (0..10).map(|_| (1000, 1000)).collect(),
            excess: 5.0,
        },
        Case {
            name: "too many inside a window of 100 ms",
            spans_ms: (0..10).map(|n| (1000 + n, 1100)).collect(),
            excess: 4.0,
        },
        Case {
            name: "two bursts 100 ms apart",
            spans_ms: (0..10).map(|n| (n / 5 * 100, n / 5 * 100)).collect(),
            excess: 4.0,
        },
    ];
    for case in cases {
        let spans = case.spans_ms.iter().map(|(from_ms, to_ms)| AdmissionSpan {
            from_us: from_ms * 1000,
            to_us: to_ms * 1000,
        });
        let excess = proven_excess(&spans.collect::<Vec<_>>(), LIMIT);
        let difference = (excess - case.excess).abs();
        assert!(difference < 1e-6, "{}: {excess}", case.name);
    }
}

#[test]
fn recovery() {
    struct Case {
        name: &'static str,
        goodput: Vec<f64>,
        recovery_s: Option<f64>,
    }
    let cases = [
        Case {
            name: "at once",
            goodput: vec![100.0, 10.0, 100.0, 100.0, 100.0, 100.0],
            recovery_s: Some(0.0),
        },
        Case {
            name: "two seconds later",
            goodput: vec![100.0, 10.0, 20.0, 30.0, 100.0, 100.0, 100.0],
            recovery_s: Some(2.0),
        },
        Case {
            name: "a single good second is none",
            goodput: vec![100.0, 10.0, 100.0, 10.0, 10.0, 10.0],
            recovery_s: None,
        },
    ];
    for case in cases {
        assert_eq!(
            recovery_s(&case.goodput, 100.0, 2.0),
            case.recovery_s,
            "{}",
            case.name
        );
    }
}

fn entry(sequence: u64, test_id: &str, state: EntryState) -> Entry {
    let is_ended = state != EntryState::Started;
    Entry {
        sequence,
        started_unix_ms: 1000,
        ended_unix_ms: is_ended.then_some(2000),
        state,
        method: "POST".to_owned(),
        path: "/quotes/7".to_owned(),
        headers: Vec::new(),
        body_digest: String::new(),
        body: String::new(),
        call_handle: None,
        test_id: Some(test_id.to_owned()),
    }
}

/// A target is killed and started again. Its file holds entries of both
/// processes with the same numbers, and a last line that is cut.
#[test]
fn journal_of_a_restarted_target() {
    let lines = [
        entry(0, "a", EntryState::Started),
        entry(0, "a", EntryState::Finished),
        entry(1, "b", EntryState::Started),
        entry(0, "c", EntryState::Started),
    ];
    let lines = lines
        .iter()
        .map(|entry| serde_json::to_string(entry).expect("JSON"));
    let text = lines.collect::<Vec<_>>().join("\n") + "\n{\"sequence\":1,\"sta";
    let entries = parse_journal(&text);
    let found: Vec<_> = entries
        .iter()
        .map(|entry| (entry.test_id.as_deref().unwrap_or(""), entry.state))
        .collect();
    let expected = [
        ("a", EntryState::Finished),
        ("b", EntryState::Started),
        ("c", EntryState::Started),
    ];
    assert_eq!(found, expected);
}

const SCENARIO: &str = r#"
name = "checks"
duration_s = 10

[[group]]
zone = "a"
service = "pricing"
count = 1

[[workspace]]
name = "shop"
rate_per_s = 1
burst = 2

[[load]]
name = "orders"
workspace = "shop"
method = "POST"
path = "/pricing/quotes/7"
rate_per_s = 1
deadline_ms = 1000
"#;

fn original(test_id: &str, attempts: &[(u64, Judgement, &str)]) -> Original {
    let attempts = attempts.iter().map(|(sent_us, judgement, reason)| Attempt {
        sent_us: *sent_us,
        judgement: *judgement,
        reason: (!reason.is_empty()).then(|| (*reason).to_owned()),
    });
    Original {
        test_id: test_id.to_owned(),
        load_index: 0,
        intended_us: 0,
        latency_us: 1000,
        attempts: attempts.collect(),
    }
}

fn checks(originals: Vec<Original>, entries: Vec<Entry>) -> Checks {
    result(originals, entries).checks
}

fn result(originals: Vec<Original>, entries: Vec<Entry>) -> ScenarioResult {
    let executions = entries.into_iter().map(|entry| Execution {
        service: "pricing".to_owned(),
        node_id: "n".to_owned(),
        entry,
    });
    let evidence = Evidence {
        originals,
        executions: executions.collect(),
        keys: vec!["secret-key".to_owned()],
        ..Evidence::default()
    };
    let scenario = Scenario::parse(SCENARIO).expect("a scenario");
    ScenarioResult::new(&scenario, &evidence)
}

/// Each thing that must never happen is put into the evidence once. The check
/// has to see it, or a clean report would mean nothing.
#[test]
fn violations_are_seen() {
    let whole = || original("a", &[(0, Judgement::Whole, "")]);
    let not_run = || original("a", &[(0, Judgement::NotRun, "overloaded")]);
    let finished = |sequence| entry(sequence, "a", EntryState::Finished);
    let refused = entry(1, "a", EntryState::Refused);
    let clean = checks(vec![whole()], vec![finished(0), refused.clone()]);
    assert!(clean.is_clean(), "{clean:?}");
    let double = checks(vec![whole()], vec![finished(0), finished(1)]);
    assert_eq!(double.double_execution_count, 1);
    let cancelled = entry(1, "a", EntryState::Cancelled);
    let double = checks(vec![whole()], vec![finished(0), cancelled]);
    assert_eq!(double.double_execution_count, 1);
    let not_run_but_run = checks(vec![not_run()], vec![finished(0)]);
    assert_eq!(not_run_but_run.false_not_run_count, 1);
    assert!(checks(vec![not_run()], vec![refused]).is_clean());
    let mut leak = finished(0);
    let header = ("x".to_owned(), "Bearer secret-key".to_owned());
    leak.headers.push(header);
    assert_eq!(checks(vec![whole()], vec![leak]).leaked_key_count, 1);
    let wrong = original("a", &[(0, Judgement::Wrong, "")]);
    assert_eq!(checks(vec![wrong], vec![]).wrong_answer_count, 1);
}

#[test]
fn wrongful_refusals_are_those_inside_the_rate() {
    let whole = |sent_us| original("w", &[(sent_us, Judgement::Whole, "")]);
    let over = |sent_us| original("o", &[(sent_us, Judgement::NotRun, "over-quota")]);
    struct Case {
        name: &'static str,
        originals: Vec<Original>,
        wrongful_count: u64,
        over_quota_count: u64,
    }
    let cases = [
        Case {
            name: "burst used up, then a refusal",
            originals: vec![whole(0), whole(1), over(2)],
            wrongful_count: 0,
            over_quota_count: 1,
        },
        Case {
            name: "refusal within the burst",
            originals: vec![whole(0), over(1)],
            wrongful_count: 1,
            over_quota_count: 1,
        },
        Case {
            name: "refusal after the bucket has filled again",
            originals: vec![whole(0), whole(1), over(2), over(1_100_000)],
            wrongful_count: 1,
            over_quota_count: 2,
        },
    ];
    for case in cases {
        let result = result(case.originals, Vec::new());
        let workspace = &result.workspaces[0];
        assert_eq!(
            workspace.wrongful_count, case.wrongful_count,
            "{}",
            case.name
        );
        assert_eq!(
            workspace.over_quota_count, case.over_quota_count,
            "{}",
            case.name
        );
    }
}
