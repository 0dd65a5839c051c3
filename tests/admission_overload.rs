//! Admission with a simulated target that slows down or reports wrong sizes or loads.

mod admission_support;

use {
    admission_support::{Recorder, Report, Scenario, Stream, run},
    dogwoodbridge::{
        admission::{Adaptive, AdmissionPolicy, AdmitAll, StaticLimit},
        model::Class,
    },
};

const SLOT_COUNT: usize = 20;
const SERVICE_MS: f64 = 50.0;
const CAPACITY_PER_S: f64 = SLOT_COUNT as f64 * 1000.0 / SERVICE_MS;

fn stream(class: Class, workspace: u16, rate_per_s: f64, surge: f64) -> Stream {
    Stream {
        class,
        workspace,
        rate_per_s,
        surge,
        deadline_ms: 1000,
    }
}

/// A target that becomes five times slower for 30 s while the rate of lower classes triples.
fn slowdown_scenario(seed: u64) -> Scenario {
    Scenario {
        real_slots: SLOT_COUNT,
        announced_slots: SLOT_COUNT as u32,
        service_ms: SERVICE_MS,
        slowdown: 5.0,
        slow_from_s: 10,
        slow_until_s: 40,
        until_s: 60,
        streams: vec![
            stream(Class::Critical, 0, 20.0, 1.0),
            stream(Class::Standard, 1, 60.0, 3.0),
            stream(Class::Browse, 2, 80.0, 3.0),
            stream(Class::Browse, 3, 80.0, 3.0),
        ],
        report: Report::None,
        client_retry_count: 0,
        seed,
    }
}

fn every_stream(_class: Class, _workspace: u16) -> bool {
    true
}

fn goodput_per_s(recorder: &Recorder, from_s: u64, until_s: u64) -> f64 {
    f64::from(recorder.completed_in(from_s, until_s, every_stream)) / (until_s - from_s) as f64
}

/// Seconds from the end of the slowdown until the goodput of the next 3 s is at least 95 % of
/// normal.
fn recovery_s(recorder: &Recorder, scenario: &Scenario) -> Option<u64> {
    let normal_per_s = goodput_per_s(recorder, 2, scenario.slow_from_s);
    (scenario.slow_until_s..scenario.until_s - 3)
        .find(|second| goodput_per_s(recorder, *second, second + 3) >= normal_per_s * 0.95)
        .map(|second| second - scenario.slow_until_s)
}

fn critical_share(recorder: &Recorder, from_s: u64, until_s: u64) -> f64 {
    let is_critical = |class, _| class == Class::Critical;
    f64::from(recorder.completed_in(from_s, until_s, is_critical))
        / f64::from(recorder.offered_in(from_s, until_s, is_critical))
}

fn run_and_print<P: AdmissionPolicy>(name: &str, scenario: &Scenario) -> Recorder {
    let (recorder, _) = run::<P>(scenario.clone());
    println!(
        "{name}: seed {} slow goodput {:.1}/s critical {:.4} recovery {:?} s running {:.1} target queue {:.1}",
        scenario.seed,
        goodput_per_s(&recorder, scenario.slow_from_s, scenario.slow_until_s),
        critical_share(&recorder, scenario.slow_from_s, scenario.slow_until_s),
        recovery_s(&recorder, scenario),
        recorder.mean_running(scenario.slow_from_s + 2, scenario.slow_until_s),
        recorder.mean_target_waiting(scenario.slow_from_s + 2, scenario.slow_until_s),
    );
    recorder
}

/// A dependency of the target becomes five times slower while demand triples. A limit that only
/// follows latency falls to its minimum: goodput is far below the capacity of the slow service and
/// stays low after the slowdown has ended.
#[test]
fn a_slower_service_keeps_its_goodput_and_recovers() {
    for seed in 1..=20 {
        let scenario = slowdown_scenario(seed);
        let recorder = run_and_print::<Adaptive>("adaptive", &scenario);
        run_and_print::<StaticLimit>("static", &scenario);
        run_and_print::<AdmitAll>("admit all", &scenario);
        let slow_capacity_per_s = CAPACITY_PER_S / scenario.slowdown;
        let goodput = goodput_per_s(&recorder, scenario.slow_from_s, scenario.slow_until_s);
        assert!(
            goodput >= slow_capacity_per_s * 0.85,
            "seed {seed}: {goodput} of {slow_capacity_per_s}"
        );
        let critical = critical_share(&recorder, scenario.slow_from_s, scenario.slow_until_s);
        // With exponential service times of mean 250 ms, 1.8 % exceed the deadline.
        assert!(critical >= 0.95, "seed {seed}: critical {critical}");
        let recovery = recovery_s(&recorder, &scenario);
        assert!(
            recovery.is_some_and(|seconds| seconds <= 5),
            "seed {seed}: {recovery:?}"
        );
    }
}

struct OverstatedSlots {
    name: &'static str,
    announced_slots: u32,
    slowdown: f64,
    /// Second from which the limit must have converged; the slowdown starts at 10.
    converged_from_s: u64,
    /// Largest number of requests queued inside the target from then on, over its real slots.
    max_waiting_ratio: f64,
}

const OVERSTATED_SLOTS: &[OverstatedSlots] = &[
    OverstatedSlots {
        name: "twice the slots",
        announced_slots: 40,
        slowdown: 1.0,
        converged_from_s: 15,
        max_waiting_ratio: 0.5,
    },
    OverstatedSlots {
        name: "four times the slots",
        announced_slots: 80,
        slowdown: 1.0,
        converged_from_s: 15,
        max_waiting_ratio: 0.5,
    },
    OverstatedSlots {
        name: "four times the slots, and slow",
        announced_slots: 80,
        slowdown: 5.0,
        // Each trial lasts more than a second while a request takes one second.
        converged_from_s: 25,
        max_waiting_ratio: 1.0,
    },
];

/// A target announces more slots than it has. Requests in excess of the real slots are queued
/// inside the target, where critical requests cannot overtake browse requests and become as slow
/// as these.
#[test]
fn overstated_slots_do_not_fill_the_target_queue() {
    for case in OVERSTATED_SLOTS {
        for seed in 1..=10 {
            let scenario = Scenario {
                announced_slots: case.announced_slots,
                slowdown: case.slowdown,
                ..slowdown_scenario(seed)
            };
            let recorder = run_and_print::<Adaptive>(case.name, &scenario);
            run_and_print::<StaticLimit>(case.name, &scenario);
            let capacity_per_s = CAPACITY_PER_S / case.slowdown;
            let goodput = goodput_per_s(&recorder, case.converged_from_s, 40);
            assert!(goodput >= capacity_per_s * 0.85, "{}: {goodput}", case.name);
            let waiting = recorder.mean_target_waiting(case.converged_from_s, 40);
            assert!(
                waiting <= SLOT_COUNT as f64 * case.max_waiting_ratio,
                "{}: {waiting}",
                case.name
            );
        }
    }
}

/// The load report of a target is stuck at idle or at busy. Trusting it would overload or starve
/// the target.
#[test]
fn a_wrong_load_report_does_not_reduce_goodput() {
    for seed in 1..=10 {
        let (without_reports, _) = run::<Adaptive>(slowdown_scenario(seed));
        for busy_ratio in [0.0, 1.0] {
            let scenario = Scenario {
                report: Report::Always(busy_ratio),
                ..slowdown_scenario(seed)
            };
            let (recorder, _) = run::<Adaptive>(scenario.clone());
            for (from_s, until_s) in [(2, 10), (10, 40), (45, 60)] {
                let without_per_s = goodput_per_s(&without_reports, from_s, until_s);
                let with_per_s = goodput_per_s(&recorder, from_s, until_s);
                println!(
                    "report {busy_ratio} seed {seed} {from_s}-{until_s} s: {with_per_s:.1}/s, without {without_per_s:.1}/s"
                );
                assert!(
                    with_per_s >= without_per_s * 0.95,
                    "{busy_ratio}: {with_per_s} {without_per_s}"
                );
            }
        }
    }
}

/// One workspace sends more than six times the rate of each other workspace. Without fairness
/// within the class, most requests of the others would be refused.
#[test]
fn one_busy_workspace_does_not_displace_the_others() {
    for seed in 1..=10 {
        let mut scenario = slowdown_scenario(seed);
        scenario.slowdown = 1.0;
        scenario.streams = vec![
            stream(Class::Browse, 0, 600.0, 1.0),
            stream(Class::Browse, 1, 90.0, 1.0),
            stream(Class::Browse, 2, 90.0, 1.0),
            stream(Class::Browse, 3, 90.0, 1.0),
        ];
        for (name, recorder) in [
            ("adaptive", run::<Adaptive>(scenario.clone()).0),
            ("static", run::<StaticLimit>(scenario.clone()).0),
        ] {
            let worst_served_ratio = (1..=3)
                .map(|workspace| {
                    let is_own = |_, other_workspace| other_workspace == workspace;
                    f64::from(recorder.completed_in(2, 60, is_own))
                        / f64::from(recorder.offered_in(2, 60, is_own))
                })
                .fold(f64::MAX, f64::min);
            println!(
                "{name}: seed {seed} worst-served workspace {worst_served_ratio:.3}, goodput {:.1}/s, running {:.1}",
                goodput_per_s(&recorder, 2, 60),
                recorder.mean_running(2, 60),
            );
            if name == "adaptive" {
                assert!(worst_served_ratio >= 0.97, "{worst_served_ratio}");
            }
        }
    }
}

/// As in the slowdown above, and clients retry refused and timed-out requests three times after
/// 10 ms, ignoring the retry time. If the extra arrivals distorted the limit or the estimates, the
/// overload would outlast its cause.
#[test]
fn aggressive_client_retries_do_not_prolong_the_overload() {
    for seed in 1..=10 {
        let scenario = Scenario {
            client_retry_count: 3,
            ..slowdown_scenario(seed)
        };
        let recorder = run_and_print::<Adaptive>("adaptive, retries", &scenario);
        run_and_print::<StaticLimit>("static, retries", &scenario);
        run_and_print::<AdmitAll>("admit all, retries", &scenario);
        let slow_capacity_per_s = CAPACITY_PER_S / scenario.slowdown;
        let goodput = goodput_per_s(&recorder, scenario.slow_from_s, scenario.slow_until_s);
        assert!(
            goodput >= slow_capacity_per_s * 0.85,
            "seed {seed}: {goodput}"
        );
        let recovery = recovery_s(&recorder, &scenario);
        assert!(
            recovery.is_some_and(|seconds| seconds <= 5),
            "seed {seed}: {recovery:?}"
        );
    }
}
