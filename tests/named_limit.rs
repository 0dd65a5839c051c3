//! Limits that a target names in its responses.

use {
    dogwoodbridge::{
        dialect::LimitSignal,
        model::Class,
        target::{
            ColdReport, GateClosed, NamedLimit, PoolTarget, Priority, ReportedLimit, SendGate,
            TargetPool,
        },
    },
    hyper::header::HeaderValue,
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const SECOND_US: u64 = 1_000_000;
const CHAIN: Priority = Priority::ChainInProgress;
const BROWSE: Priority = Priority::NewChain(Class::Browse);

/// Guards against a value that stops a target's traffic or lifts its limit by mistake.
#[test]
fn each_value_of_the_header_has_a_defined_meaning() {
    let cases = [
        (None, LimitSignal::NotNamed),
        (Some("34.3"), LimitSignal::PerS(34.3)),
        (Some(" 7 "), LimitSignal::PerS(7.0)),
        (Some("0.25"), LimitSignal::PerS(0.25)),
        (Some("0"), LimitSignal::PerS(0.0)),
        (Some("1e300"), LimitSignal::PerS(1e300)),
        (Some("-1"), LimitSignal::Unreadable),
        (Some("NaN"), LimitSignal::Unreadable),
        (Some("inf"), LimitSignal::Unreadable),
        (Some(""), LimitSignal::Unreadable),
        (Some("many"), LimitSignal::Unreadable),
    ];
    for (text, expected) in cases {
        let value = text.map(|text| HeaderValue::from_str(text).unwrap());
        assert_eq!(
            LimitSignal::from_header(value.as_ref()),
            expected,
            "{text:?}"
        );
    }
}

/// Guards against a limit that rises by a response that is older than the last one, or ends by a
/// response without it while others still name it.
#[test]
fn only_a_newer_response_raises_a_limit_and_none_ends_it_at_once() {
    struct Case {
        name: &'static str,
        signal: LimitSignal,
        sent_us: u64,
        expected_per_s: Option<f64>,
    }
    const NAMED_US: u64 = 10 * SECOND_US;
    let (before_us, after_us) = (NAMED_US - 1, NAMED_US + 1);
    let cases = [
        Case {
            name: "named again",
            signal: LimitSignal::PerS(20.0),
            sent_us: after_us,
            expected_per_s: Some(20.0),
        },
        Case {
            name: "raised",
            signal: LimitSignal::PerS(30.0),
            sent_us: after_us,
            expected_per_s: Some(30.0),
        },
        Case {
            name: "raised by an older response",
            signal: LimitSignal::PerS(30.0),
            sent_us: before_us,
            expected_per_s: Some(20.0),
        },
        Case {
            name: "lowered by an older response",
            signal: LimitSignal::PerS(10.0),
            sent_us: before_us,
            expected_per_s: Some(10.0),
        },
        Case {
            name: "not named by a newer response",
            signal: LimitSignal::NotNamed,
            sent_us: after_us,
            expected_per_s: Some(20.0),
        },
        Case {
            name: "not named by an older response",
            signal: LimitSignal::NotNamed,
            sent_us: before_us,
            expected_per_s: Some(20.0),
        },
        Case {
            name: "unreadable",
            signal: LimitSignal::Unreadable,
            sent_us: after_us,
            expected_per_s: Some(20.0),
        },
        Case {
            name: "no request at all would leave no way to end it",
            signal: LimitSignal::PerS(0.0),
            sent_us: after_us,
            expected_per_s: Some(0.1),
        },
    ];
    for case in cases {
        let mut limit = NamedLimit::new();
        assert!(limit.record_response(LimitSignal::PerS(20.0), 0, NAMED_US));
        let is_changed = limit.record_response(case.signal, case.sent_us, NAMED_US + SECOND_US);
        assert_eq!(limit.rate_per_s(), case.expected_per_s, "{}", case.name);
        assert_eq!(
            is_changed,
            case.expected_per_s != Some(20.0),
            "{}",
            case.name
        );
    }
}

/// Guards against a limit that is lifted while it may still be named, at once, or never.
#[test]
fn responses_without_a_limit_lift_it_in_steps() {
    const HOLD_US: u64 = 3 * SECOND_US;
    let mut limit = NamedLimit::new();
    limit.record_response(LimitSignal::PerS(20.0), 0, 0);
    let mut rates_per_s = Vec::new();
    for tenth in 1..200u64 {
        let now_us = tenth * SECOND_US / 10;
        limit.record_response(LimitSignal::NotNamed, now_us, now_us);
        match limit.rate_per_s() {
            Some(rate_per_s) if now_us < HOLD_US => assert_eq!(rate_per_s, 20.0),
            Some(rate_per_s) if rates_per_s.last() != Some(&rate_per_s) => {
                rates_per_s.push(rate_per_s);
            }
            Some(_) => {}
            None => break,
        }
    }
    assert_eq!(rates_per_s, [40.0, 80.0, 160.0, 320.0, 640.0]);
    assert_eq!(limit.rate_per_s(), None);
    limit.record_response(LimitSignal::PerS(20.0), 0, 0);
    limit.record_response(LimitSignal::NotNamed, HOLD_US, HOLD_US);
    limit.record_response(LimitSignal::PerS(20.0), HOLD_US, HOLD_US + 1);
    assert_eq!(limit.rate_per_s(), Some(20.0), "named again");
}

/// Guards against more requests than one and a half times the limit allows, at any limit, load
/// and pause.
#[test]
fn no_window_exceeds_the_named_limit() {
    const WINDOW_US: u64 = 4 * SECOND_US;
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let rate_per_s = 10f64.powf(rng.random_range(-1.0..3.0));
        let allowed_count = 1.5 * rate_per_s * 4.0 + 5.0;
        let mut gate = SendGate::new();
        gate.record_cold_time(0, true, 0);
        gate.record_limit(LimitSignal::PerS(rate_per_s), 0, 0);
        let mut sent_us = Vec::new();
        let mut now_us = 0;
        for _ in 0..3000 {
            let pause_us = match rng.random_bool(0.01) {
                true => rng.random_range(0..5 * SECOND_US),
                false => rng.random_range(0..(SECOND_US as f64 / rate_per_s) as u64 + 2),
            };
            now_us += pause_us;
            let priority = if rng.random() { CHAIN } else { BROWSE };
            if gate.try_pass(priority, 0, now_us).is_ok() {
                sent_us.push(now_us);
            }
        }
        assert!(!sent_us.is_empty());
        for (index, first_us) in sent_us.iter().enumerate() {
            let in_window = sent_us[index..].iter();
            let count = in_window
                .take_while(|at_us| **at_us < first_us + WINDOW_US)
                .count();
            assert!(
                count as f64 <= allowed_count,
                "seed {seed}: {count} at {rate_per_s}"
            );
        }
    }
}

/// Guards against a limited target that is used up by the least class, is not used at all, or
/// stays limited when its process was replaced.
#[test]
fn a_limited_gate_reserves_tokens_and_forgets_with_the_process() {
    let mut gate = SendGate::new();
    gate.record_cold_time(0, true, 0);
    gate.record_limit(LimitSignal::PerS(20.0), 0, 0);
    assert!(gate.load_percent(0) >= 120, "others are preferred");
    let mut now_us = 10 * SECOND_US;
    assert_eq!(gate.load_percent(now_us), 0);
    while gate.try_pass(BROWSE, 0, now_us).is_ok() {}
    assert!(gate.try_pass(CHAIN, 0, now_us).is_ok());
    while gate.try_pass(CHAIN, 0, now_us).is_ok() {}
    let Err(GateClosed::Limited { left_us }) = gate.check(CHAIN, 0, now_us) else {
        panic!("the limit is reached");
    };
    now_us += left_us + 1;
    assert!(gate.check(CHAIN, 0, now_us).is_ok());
    // The smaller of two limits holds.
    gate.record_cold_time(5 * SECOND_US, false, now_us);
    let passed = (0..10).filter(|_| gate.try_pass(CHAIN, 2, now_us + SECOND_US).is_ok());
    assert_eq!(passed.count(), 2);
    gate.record_cold_time(0, true, now_us);
    let passed = (0..100).filter(|_| gate.try_pass(BROWSE, 0, now_us).is_ok());
    assert_eq!(passed.count(), 100);
}

/// Guards against a limit that a restarted node does not take over, or takes over from its own
/// report or for another process of the target.
#[test]
fn only_a_report_of_an_earlier_process_of_the_node_restores_a_limit() {
    let start_node = || {
        let pool = TargetPool::new(std::net::Ipv4Addr::LOCALHOST.into());
        let target = PoolTarget {
            instance_id: "i-1".to_owned(),
            port: 8547,
            started_unix_ms: 7,
            connection_count: 8,
        };
        pool.announce(target, ColdReport::new(0), 0);
        pool
    };
    let earlier = start_node();
    assert_eq!(earlier.reported_limit(), None);
    earlier
        .gate()
        .record_limit(LimitSignal::PerS(20.0), 0, SECOND_US);
    let report = earlier.reported_limit().expect("it names a limit");
    let restarted = start_node();
    let other_process = ReportedLimit {
        process_id: report.process_id + 1,
        ..report
    };
    assert!(!restarted.restore_limit(other_process, SECOND_US));
    assert!(restarted.restore_limit(report, SECOND_US));
    assert_eq!(restarted.gate().named_limit_per_s(), Some(20.0));
    assert!(!restarted.restore_limit(report, SECOND_US), "it is known");
    let own_report = restarted.reported_limit().expect("it names a limit");
    restarted.gate().record_cold_time(0, true, SECOND_US);
    assert!(
        !restarted.restore_limit(own_report, SECOND_US),
        "the node has dropped it itself"
    );
    // However late a sender reads the report of the earlier process.
    assert!(restarted.restore_limit(report, 60 * SECOND_US));
}
