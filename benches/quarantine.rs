//! Cost of the quarantine for a request, and how often it refuses a wrong one; run with
//! `cargo bench --bench quarantine`.

use {
    dogwoodbridge::{
        exchange::OutboundRequest,
        peer::FleetAuth,
        quarantine::{
            Crash, CrashKey, CrashReport, Quarantine, ReportPacket, RequestDigest, SuspectTable,
            Verdict,
        },
    },
    hyper::{HeaderMap, Method, http::uri::PathAndQuery},
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::{hint::black_box, time::Instant},
};

const ROUND_COUNT: u32 = 200_000;
const REPEAT_COUNT: usize = 5;
const DAY_COUNT: u64 = 2000;

fn main() {
    report("check, no suspects", check_without_suspects);
    report("digest, no body", || digest(0));
    report("digest, body of 4 KB", || digest(4 << 10));
    report("verdict, 4096 suspects", verdict);
    for case in &CASES {
        let wrong_count: u64 = (0..DAY_COUNT).map(|seed| wrong_verdicts(case, seed)).sum();
        let per_cause = wrong_count as f64 / DAY_COUNT as f64;
        println!("wrong verdicts per cause, {}: {per_cause:.4}", case.name);
    }
}

/// Prints the median of the runs.
fn report(name: &str, mut run: impl FnMut() -> f64) {
    let mut nanos: Vec<f64> = (0..REPEAT_COUNT).map(|_| run()).collect();
    nanos.sort_by(f64::total_cmp);
    println!("{name}: {:.0} ns", nanos[REPEAT_COUNT / 2]);
}

fn per_round(started: Instant) -> f64 {
    started.elapsed().as_nanos() as f64 / f64::from(ROUND_COUNT)
}

fn check_without_suspects() -> f64 {
    let quarantine = Quarantine::new();
    let started = Instant::now();
    for index in 0..ROUND_COUNT {
        black_box(quarantine.is_empty());
        quarantine.record_response(u64::from(index));
    }
    per_round(started)
}

fn digest(body_bytes: usize) -> f64 {
    let auth = FleetAuth::new("fleet-secret-of-the-benchmarks");
    let outbound = OutboundRequest {
        method: Method::GET,
        host: Some("shop.example".to_owned()),
        path: PathAndQuery::from_static("/archive/batch/2f?since=2026-01-01"),
        headers: HeaderMap::new(),
        body: bytes::Bytes::from(vec![b'x'; body_bytes]).into(),
    };
    let started = Instant::now();
    for _ in 0..ROUND_COUNT / 10 {
        black_box(RequestDigest::new(&auth, "tally", "a", &outbound));
    }
    10.0 * per_round(started)
}

fn verdict() -> f64 {
    let quarantine = Quarantine::new();
    for crash in 0..16 {
        let digests = (0..256).map(|index| RequestDigest(crash * 256 + index));
        let report = CrashReport {
            crash: CrashKey(crash),
            age_ms: 0,
            digests: digests.collect(),
        };
        let packet = ReportPacket {
            crashes: vec![report],
            ..ReportPacket::default()
        };
        quarantine.merge(&packet, 0);
    }
    let started = Instant::now();
    for index in 0..ROUND_COUNT {
        black_box(quarantine.verdict(RequestDigest(u64::from(index)), 1000));
    }
    per_round(started)
}

/// A service in which one request crashes the targets that run it.
struct WrongVerdictCase {
    name: &'static str,
    target_count: usize,
    /// Other requests that run at a target when it crashes.
    beside_count: usize,
    /// Part of them that repeat after a failure, as the cause does.
    repeat_share: f64,
    /// Whether each target crashes before the reports of the earlier crashes arrive there.
    are_reports_late: bool,
}

const CASES: [WrongVerdictCase; 6] = [
    WrongVerdictCase {
        name: "4 targets, 25 beside, a third repeats",
        target_count: 4,
        beside_count: 25,
        repeat_share: 0.33,
        are_reports_late: false,
    },
    WrongVerdictCase {
        name: "4 targets, 80 beside, all repeat",
        target_count: 4,
        beside_count: 80,
        repeat_share: 1.0,
        are_reports_late: false,
    },
    WrongVerdictCase {
        name: "2 targets, 80 beside, all repeat",
        target_count: 2,
        beside_count: 80,
        repeat_share: 1.0,
        are_reports_late: false,
    },
    WrongVerdictCase {
        name: "48 targets, 80 beside, all repeat",
        target_count: 48,
        beside_count: 80,
        repeat_share: 1.0,
        are_reports_late: false,
    },
    WrongVerdictCase {
        name: "4 targets, 25 beside, a third repeats, reports late",
        target_count: 4,
        beside_count: 25,
        repeat_share: 0.33,
        are_reports_late: true,
    },
    WrongVerdictCase {
        name: "4 targets, 80 beside, all repeat, reports late",
        target_count: 4,
        beside_count: 80,
        repeat_share: 1.0,
        are_reports_late: true,
    },
];

/// Other requests that are refused by the time the cause is.
///
/// Worst case in time: after each crash all requests that repeat arrive at once at the other
/// targets, before any of them completes. From the second crash on, those that must run alone
/// do.
fn wrong_verdicts(case: &WrongVerdictCase, seed: u64) -> u64 {
    const CAUSE: RequestDigest = RequestDigest(0);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut table = SuspectTable::new();
    let targets: Vec<usize> = (0..case.target_count).collect();
    let mut beside: Vec<RequestDigest> = (0..case.beside_count as u64)
        .map(|index| RequestDigest(1 + index))
        .collect();
    let mut next_digest = 1 + beside.len() as u64;
    let mut crash_key = 0;
    while !matches!(table.verdict(CAUSE, 0), Verdict::Quarantined { .. }) {
        let is_alone = |digest| table.verdict(digest, 0) == Verdict::Suspected { runs_alone: true };
        let cause_runs_alone = is_alone(CAUSE) && !case.are_reports_late;
        let mut digests: Vec<RequestDigest> = beside
            .iter()
            .copied()
            .filter(|digest| !(cause_runs_alone && is_alone(*digest)))
            .collect();
        digests.push(CAUSE);
        let key = CrashKey(crash_key);
        crash_key += 1;
        if case.are_reports_late {
            let report = CrashReport {
                crash: key,
                age_ms: 0,
                digests,
            };
            table.merge_crash(&report, 0);
        } else {
            table.record_crash(&Crash { key, digests }, 0);
        }
        // The target of the crash is down; the others share what repeats.
        let cause_target = targets[1..].choose(&mut rng);
        beside.retain(|_| {
            let repeats = rng.random_bool(case.repeat_share);
            repeats && targets[1..].choose(&mut rng) == cause_target
        });
        while beside.len() < case.beside_count {
            beside.push(RequestDigest(next_digest));
            next_digest += 1;
        }
    }
    let refused = (1..next_digest).filter(|index| {
        matches!(
            table.verdict(RequestDigest(*index), 0),
            Verdict::Quarantined { .. }
        )
    });
    refused.count() as u64
}
