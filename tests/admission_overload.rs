//! Admission against a model of a target that slows down or misleads.

mod admission_support;

use {
    admission_support::{Journal, Report, Scenario, Stream, run},
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

/// A target that becomes five times slower for 30 s while lower classes
/// triple their demand.
fn slow_spell(seed: u64) -> Scenario {
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

fn any(_class: Class, _workspace: u16) -> bool {
    true
}

fn goodput_per_s(journal: &Journal, from_s: u64, until_s: u64) -> f64 {
    f64::from(journal.whole_in(from_s, until_s, any)) / (until_s - from_s) as f64
}

/// Seconds after the spell until a second reaches 95 % of normal goodput.
fn recovery_s(journal: &Journal, scenario: &Scenario) -> Option<u64> {
    let normal_per_s = goodput_per_s(journal, 2, scenario.slow_from_s);
    (scenario.slow_until_s..scenario.until_s - 3)
        .find(|second| goodput_per_s(journal, *second, second + 3) >= normal_per_s * 0.95)
        .map(|second| second - scenario.slow_until_s)
}

fn critical_share(journal: &Journal, from_s: u64, until_s: u64) -> f64 {
    let is_critical = |class, _| class == Class::Critical;
    f64::from(journal.whole_in(from_s, until_s, is_critical))
        / f64::from(journal.offered_in(from_s, until_s, is_critical))
}

fn print_row<P: AdmissionPolicy>(name: &str, scenario: &Scenario) -> Journal {
    let (journal, _) = run::<P>(scenario.clone());
    println!(
        "{name}: seed {} slow goodput {:.1}/s critical {:.4} recovery {:?} s running {:.1} target queue {:.1}",
        scenario.seed,
        goodput_per_s(&journal, scenario.slow_from_s, scenario.slow_until_s),
        critical_share(&journal, scenario.slow_from_s, scenario.slow_until_s),
        recovery_s(&journal, scenario),
        journal.mean_running(scenario.slow_from_s + 2, scenario.slow_until_s),
        journal.mean_target_waiting(scenario.slow_from_s + 2, scenario.slow_until_s),
    );
    journal
}

/// The target's own dependency becomes five times slower while demand triples.
/// A limit that follows latency alone falls to its minimum, and users see far
/// fewer answers than the slow service could give, for longer than it is slow.
#[test]
fn a_slower_service_keeps_its_goodput_and_recovers() {
    for seed in 1..=20 {
        let scenario = slow_spell(seed);
        let journal = print_row::<Adaptive>("adaptive", &scenario);
        print_row::<StaticLimit>("static", &scenario);
        print_row::<AdmitAll>("admit all", &scenario);
        let slowed_per_s = CAPACITY_PER_S / scenario.slowdown;
        let goodput = goodput_per_s(&journal, scenario.slow_from_s, scenario.slow_until_s);
        assert!(
            goodput >= slowed_per_s * 0.85,
            "seed {seed}: {goodput} of {slowed_per_s}"
        );
        let critical = critical_share(&journal, scenario.slow_from_s, scenario.slow_until_s);
        // Of exponential service times of 250 ms, 1.8 % exceed the deadline.
        assert!(critical >= 0.95, "seed {seed}: critical {critical}");
        let recovery = recovery_s(&journal, &scenario);
        assert!(
            recovery.is_some_and(|seconds| seconds <= 5),
            "seed {seed}: {recovery:?}"
        );
    }
}

struct LieCase {
    name: &'static str,
    announced_slots: u32,
    slowdown: f64,
    /// Second from which the limit must have settled; the spell begins at 10.
    settled_from_s: u64,
    /// Most that may wait inside the target then, over its real slots.
    waiting_ratio: f64,
}

const LIES: &[LieCase] = &[
    LieCase {
        name: "twice the slots",
        announced_slots: 40,
        slowdown: 1.0,
        settled_from_s: 15,
        waiting_ratio: 0.5,
    },
    LieCase {
        name: "four times the slots",
        announced_slots: 80,
        slowdown: 1.0,
        settled_from_s: 15,
        waiting_ratio: 0.5,
    },
    LieCase {
        name: "four times the slots, and slow",
        announced_slots: 80,
        slowdown: 5.0,
        // Each trial lasts over a second while requests take one.
        settled_from_s: 25,
        waiting_ratio: 1.0,
    },
];

/// A target announces more slots than it has. What is sent beyond the real
/// ones waits inside it, where an order can't overtake browsing: users see
/// orders that take as long as everything else.
#[test]
fn too_many_announced_slots_do_not_fill_the_targets_own_queue() {
    for case in LIES {
        for seed in 1..=10 {
            let scenario = Scenario {
                announced_slots: case.announced_slots,
                slowdown: case.slowdown,
                ..slow_spell(seed)
            };
            let journal = print_row::<Adaptive>(case.name, &scenario);
            print_row::<StaticLimit>(case.name, &scenario);
            let capacity = CAPACITY_PER_S / case.slowdown;
            let goodput = goodput_per_s(&journal, case.settled_from_s, 40);
            assert!(goodput >= capacity * 0.85, "{}: {goodput}", case.name);
            let waiting = journal.mean_target_waiting(case.settled_from_s, 40);
            assert!(
                waiting <= SLOT_COUNT as f64 * case.waiting_ratio,
                "{}: {waiting}",
                case.name
            );
        }
    }
}

/// A target's load report is stuck at idle or at busy. Whoever believed it
/// would flood the target or starve it.
#[test]
fn a_lying_load_report_does_not_mislead() {
    for seed in 1..=10 {
        let (truth, _) = run::<Adaptive>(slow_spell(seed));
        for busy_ratio in [0.0, 1.0] {
            let scenario = Scenario {
                report: Report::Always(busy_ratio),
                ..slow_spell(seed)
            };
            let (journal, _) = run::<Adaptive>(scenario.clone());
            for (from_s, until_s) in [(2, 10), (10, 40), (45, 60)] {
                let without = goodput_per_s(&truth, from_s, until_s);
                let with = goodput_per_s(&journal, from_s, until_s);
                println!(
                    "report {busy_ratio} seed {seed} {from_s}-{until_s} s: {with:.1}/s, without {without:.1}/s"
                );
                assert!(with >= without * 0.95, "{busy_ratio}: {with} {without}");
            }
        }
    }
}

/// One workspace sends six times the others' rate. Without fairness inside
/// the class the others see most of their requests refused.
#[test]
fn one_greedy_workspace_does_not_displace_the_others() {
    for seed in 1..=10 {
        let mut scenario = slow_spell(seed);
        scenario.slowdown = 1.0;
        scenario.streams = vec![
            stream(Class::Browse, 0, 600.0, 1.0),
            stream(Class::Browse, 1, 90.0, 1.0),
            stream(Class::Browse, 2, 90.0, 1.0),
            stream(Class::Browse, 3, 90.0, 1.0),
        ];
        for (name, journal) in [
            ("adaptive", run::<Adaptive>(scenario.clone()).0),
            ("static", run::<StaticLimit>(scenario.clone()).0),
        ] {
            let worst = (1..=3)
                .map(|workspace| {
                    let is_own = |_, other| other == workspace;
                    f64::from(journal.whole_in(2, 60, is_own))
                        / f64::from(journal.offered_in(2, 60, is_own))
                })
                .fold(f64::MAX, f64::min);
            println!(
                "{name}: seed {seed} worst-served workspace {worst:.3}, goodput {:.1}/s, running {:.1}",
                goodput_per_s(&journal, 2, 60),
                journal.mean_running(2, 60),
            );
            if name == "adaptive" {
                assert!(worst >= 0.97, "{worst}");
            }
        }
    }
}

/// As the slow spell, and clients send what was refused or timed out again
/// after 10 ms, three times, whatever they are told. Were the limit or the
/// estimates misled by the extra arrivals, users would see the overload
/// outlast its cause.
#[test]
fn clients_that_retry_hard_do_not_make_the_overload_last() {
    for seed in 1..=10 {
        let scenario = Scenario {
            client_retry_count: 3,
            ..slow_spell(seed)
        };
        let journal = print_row::<Adaptive>("adaptive, retries", &scenario);
        print_row::<StaticLimit>("static, retries", &scenario);
        print_row::<AdmitAll>("admit all, retries", &scenario);
        let slowed_per_s = CAPACITY_PER_S / scenario.slowdown;
        let goodput = goodput_per_s(&journal, scenario.slow_from_s, scenario.slow_until_s);
        assert!(goodput >= slowed_per_s * 0.85, "seed {seed}: {goodput}");
        let recovery = recovery_s(&journal, &scenario);
        assert!(
            recovery.is_some_and(|seconds| seconds <= 5),
            "seed {seed}: {recovery:?}"
        );
    }
}
