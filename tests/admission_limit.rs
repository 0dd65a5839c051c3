//! Concurrency limit algorithms compared on the same simulated target.

mod admission_support;

use {
    admission_support::{Recorder, Report, Scenario, Stream, run},
    dogwoodbridge::{
        admission::{
            AdmissionPolicy, Arrival, ConcurrencyLimit, Decision, LoadReport, MIN_LIMIT,
            TargetResult, TargetSize, TicketKey,
        },
        arena::Arena,
        model::{AdmissionLevel, Class, Reason, Refusal},
    },
};

/// Algorithm that adjusts a concurrency limit.
trait LimitAlgorithm: Send + 'static {
    fn new(size: TargetSize) -> Self;
    fn count(&self) -> u32;
    fn record_start(&mut self, running_count: u32);
    fn record_end(&mut self, started_us: u64, was_cancelled: bool, now_us: u64);
    fn tick(&mut self, now_us: u64);
}

/// The algorithm used by the adaptive policy.
impl LimitAlgorithm for ConcurrencyLimit {
    fn new(size: TargetSize) -> Self {
        Self::new(size)
    }

    fn count(&self) -> u32 {
        self.count()
    }

    fn record_start(&mut self, running_count: u32) {
        self.record_start(running_count);
    }

    fn record_end(&mut self, started_us: u64, was_cancelled: bool, now_us: u64) {
        self.record_end(started_us, was_cancelled, now_us);
    }

    fn tick(&mut self, now_us: u64) {
        self.tick(now_us);
    }
}

/// Always the announced slots.
struct Fixed(u32);

impl LimitAlgorithm for Fixed {
    fn new(size: TargetSize) -> Self {
        Self(size.slot_count)
    }

    fn count(&self) -> u32 {
        self.0
    }

    fn record_start(&mut self, _running_count: u32) {}

    fn record_end(&mut self, _started_us: u64, _was_cancelled: bool, _now_us: u64) {}

    fn tick(&mut self, _now_us: u64) {}
}

/// Limit times latency floor over latency, plus headroom. The floor follows rising latency slowly
/// unless `FLOOR_WEIGHT_PER_MILLION` is 0.
struct Gradient<const FLOOR_WEIGHT_PER_MILLION: u32> {
    slots: f64,
    limit: f64,
    floor_us: f64,
    latency_us: f64,
}

impl<const WEIGHT: u32> LimitAlgorithm for Gradient<WEIGHT> {
    fn new(size: TargetSize) -> Self {
        Self {
            slots: f64::from(size.slot_count),
            limit: MIN_LIMIT,
            floor_us: f64::MAX,
            latency_us: 0.0,
        }
    }

    fn count(&self) -> u32 {
        self.limit as u32
    }

    fn record_start(&mut self, _running_count: u32) {}

    fn record_end(&mut self, started_us: u64, _was_cancelled: bool, now_us: u64) {
        let sample_us = (now_us - started_us) as f64;
        if self.latency_us == 0.0 {
            self.latency_us = sample_us;
        }
        self.latency_us += (sample_us - self.latency_us) / 40.0;
        let weight = f64::from(WEIGHT) / 1_000_000.0;
        self.floor_us = if self.latency_us < self.floor_us {
            self.latency_us
        } else {
            self.floor_us + (self.latency_us - self.floor_us) * weight
        };
        let gradient = (1.5 * self.floor_us / self.latency_us).clamp(0.5, 1.0);
        let next_limit = self.limit * gradient + self.limit.sqrt();
        self.limit = (self.limit + (next_limit - self.limit) * 0.05).clamp(MIN_LIMIT, self.slots);
    }

    fn tick(&mut self, _now_us: u64) {}
}

/// Starts requests up to the limit of the algorithm and refuses the rest.
struct LimitOnly<L> {
    algorithm: L,
    running: Arena<TicketKey, u64>,
}

impl<L: LimitAlgorithm> AdmissionPolicy for LimitOnly<L> {
    fn new(size: TargetSize) -> Self {
        Self {
            algorithm: L::new(size),
            running: Arena::new(),
        }
    }

    fn set_size(&mut self, _size: TargetSize, _restarted: bool, _now_us: u64) {}

    fn arrive(
        &mut self,
        _arrival: Arrival,
        now_us: u64,
        decisions: &mut Vec<Decision>,
    ) -> TicketKey {
        let ticket = self.running.insert(now_us);
        let running_count = u32::try_from(self.running.len()).expect("fits");
        if running_count > self.algorithm.count() {
            self.running.remove(ticket);
            decisions.push(Decision::Refuse(
                ticket,
                Refusal::not_run(Reason::Overloaded),
            ));
        } else {
            self.algorithm.record_start(running_count);
            decisions.push(Decision::Start(ticket));
        }
        ticket
    }

    fn withdraw(&mut self, _ticket: TicketKey, _now_us: u64, _decisions: &mut Vec<Decision>) {}

    fn end(
        &mut self,
        ticket: TicketKey,
        result: TargetResult,
        now_us: u64,
        _decisions: &mut Vec<Decision>,
    ) {
        if let Some(started_us) = self.running.remove(ticket) {
            let was_cancelled = result == TargetResult::Cancelled;
            self.algorithm.record_end(started_us, was_cancelled, now_us);
        }
    }

    fn tick(&mut self, now_us: u64, _decisions: &mut Vec<Decision>) {
        self.algorithm.tick(now_us);
    }

    fn record_load_report(&mut self, _report: LoadReport) {}

    fn drain(&mut self) {}

    fn refuse_waiting(&mut self, _now_us: u64, _decisions: &mut Vec<Decision>) {}

    fn level(&self, _class: Class, _now_us: u64) -> AdmissionLevel {
        AdmissionLevel::idle()
    }

    fn running_count(&self) -> usize {
        self.running.len()
    }

    fn waiting_count(&self) -> usize {
        0
    }
}

struct Case {
    name: &'static str,
    real_slots: usize,
    announced_slots: u32,
    service_ms: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "20 slots",
        real_slots: 20,
        announced_slots: 20,
        service_ms: 50.0,
    },
    Case {
        name: "20 slots, 80 announced",
        real_slots: 20,
        announced_slots: 80,
        service_ms: 50.0,
    },
    Case {
        name: "150 slots",
        real_slots: 150,
        announced_slots: 150,
        service_ms: 50.0,
    },
    Case {
        name: "150 slots, 300 announced",
        real_slots: 150,
        announced_slots: 300,
        service_ms: 50.0,
    },
    Case {
        name: "40 slots of 5 ms",
        real_slots: 40,
        announced_slots: 40,
        service_ms: 5.0,
    },
];
const SLOWDOWN: f64 = 5.0;

impl Case {
    fn capacity_per_s(&self) -> f64 {
        self.real_slots as f64 * 1000.0 / self.service_ms
    }

    fn scenario(&self, seed: u64) -> Scenario {
        Scenario {
            real_slots: self.real_slots,
            announced_slots: self.announced_slots,
            service_ms: self.service_ms,
            slowdown: SLOWDOWN,
            slow_from_s: 10,
            slow_until_s: 40,
            until_s: 50,
            streams: vec![Stream {
                class: Class::Standard,
                workspace: 0,
                rate_per_s: self.capacity_per_s() * 2.0,
                surge: 1.0,
                deadline_ms: 5000,
            }],
            report: Report::None,
            client_retry_count: 0,
            seed,
        }
    }
}

/// Goodput over capacity before, during and after the slowdown, and mean number of requests queued
/// inside the target late in the slowdown.
fn measure<L: LimitAlgorithm>(name: &str, case: &Case, seed: u64) -> [f64; 4] {
    let (recorder, _) = run::<LimitOnly<L>>(case.scenario(seed));
    let goodput_ratio = |recorder: &Recorder, from_s: u64, until_s: u64, capacity_per_s: f64| {
        let completed_count = recorder.completed_in(from_s, until_s, |_, _| true);
        f64::from(completed_count) / (until_s - from_s) as f64 / capacity_per_s
    };
    let capacity_per_s = case.capacity_per_s();
    let measured = [
        goodput_ratio(&recorder, 5, 10, capacity_per_s),
        goodput_ratio(&recorder, 10, 40, capacity_per_s / SLOWDOWN),
        goodput_ratio(&recorder, 45, 50, capacity_per_s),
        recorder.mean_target_waiting(25, 40),
    ];
    println!(
        "{}; {name}; seed {seed}; normal {:.2}, slow {:.2}, after {:.2}, waiting in target {:.1}",
        case.name, measured[0], measured[1], measured[2], measured[3]
    );
    measured
}

/// A saturated target becomes five times slower. A limit that mistakes this for queuing leaves most
/// slots idle; a limit of the announced slots lets requests queue inside the target, beyond the
/// reach of priorities.
#[test]
fn the_limit_keeps_slots_busy_and_the_target_queue_short() {
    for case in CASES {
        for seed in 1..=3 {
            if seed == 1 {
                measure::<Fixed>("fixed", case, seed);
                measure::<Gradient<0>>("gradient, fixed floor", case, seed);
                measure::<Gradient<2000>>("gradient, rising floor", case, seed);
            }
            let [normal, slow, after, waiting] = measure::<ConcurrencyLimit>("trials", case, seed);
            assert!(normal >= 0.85, "{}: normal {normal}", case.name);
            assert!(slow >= 0.85, "{}: slow {slow}", case.name);
            assert!(after >= 0.85, "{}: after {after}", case.name);
            let max_waiting = case.real_slots as f64 * 0.5;
            assert!(waiting <= max_waiting, "{}: {waiting}", case.name);
        }
    }
}

/// The calls of a target become ten times slower, and its requests with them, or it sheds some
/// itself, with as many slots as before. A limit that followed latency would refuse requests at a
/// service with free slots, for seconds after the downstream service has recovered.
#[test]
fn exact_slots_are_the_limit_at_any_latency() {
    let exact = TargetSize {
        slot_count: 197,
        connection_count: 1282,
        is_exact: true,
    };
    let mut limit = ConcurrencyLimit::new(exact);
    // There is no slow start.
    assert_eq!(limit.count(), 197);
    let mut now_us = 0;
    for step in 0..4000_u64 {
        now_us = step * 5000;
        let latency_us = if step < 2000 { 50_000 } else { 500_000 };
        limit.record_start(197);
        limit.record_end(now_us.saturating_sub(latency_us), step % 3 == 0, now_us);
        if step % 10 == 0 {
            limit.record_shed();
        }
        limit.tick(now_us);
        assert_eq!(limit.count(), 197, "after {now_us} us");
    }
    // Only an announcement changes the limit.
    let smaller = TargetSize {
        slot_count: 100,
        ..exact
    };
    limit.set_size(smaller, false, now_us);
    assert_eq!(limit.count(), 100);
}
