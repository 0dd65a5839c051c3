//! Nanoseconds per decision; run with `cargo bench --bench decisions`.

use {
    dogwoodbridge::{
        admission::{
            Adaptive, AdmissionPolicy, AdmitAll, Arrival, Decision, StaticLimit, TargetResult,
            TargetSize,
        },
        logging::{LineRateLimiter, json_line},
        model::{AdmissionLevel, Class, RegionKey, RegionSet, ServiceKey, WorkspaceKey, ZoneKey},
        retry::{ChainBudget, RetryPolicy},
        routing::{AttemptResult, Distance, RoutePolicy, RouteRequest, TargetInfo, ZoneRouter},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, hint::black_box, time::Instant},
};

const ROUND_COUNT: u32 = 200_000;
const REPEAT_COUNT: usize = 5;
const SIZE: TargetSize = TargetSize {
    slot_count: 150,
    connection_count: 1000,
    is_exact: false,
};

fn main() {
    report("admission, admit all", admission::<AdmitAll>);
    report("admission, static limit", admission::<StaticLimit>);
    report("admission, adaptive", admission::<Adaptive>);
    report("admission, adaptive, overloaded 3x", overloaded);
    report("admission, adaptive, tick with a full queue", full_tick);
    report("retry, open lend give back close", retry);
    report("routing, pick and end, 4 targets", || routing(4));
    report("routing, pick and end, 48 targets", || routing(48));
    report("logging, form of a written line", written_line);
    report("logging, budget of a line left out", left_out_line);
}

/// Prints the median of the runs.
fn report(name: &str, mut run: impl FnMut() -> f64) {
    let mut nanos: Vec<f64> = (0..REPEAT_COUNT).map(|_| run()).collect();
    nanos.sort_by(f64::total_cmp);
    println!("{name}: {:.0} ns", nanos[REPEAT_COUNT / 2]);
}

fn per_round(started: Instant, count: u32) -> f64 {
    started.elapsed().as_nanos() as f64 / f64::from(count)
}

fn arrival(index: u32, now_us: u64) -> Arrival {
    Arrival {
        class: Class::ALL[index as usize % 3],
        workspace: WorkspaceKey::new((index % 8) as u16),
        deadline_us: now_us + 1_000_000,
        objective_us: None,
    }
}

/// The text of a refusal as a JSON object.
fn written_line() -> f64 {
    let message = "E412 AttemptRefused request=9c41d07be2a35f68 class=browse outcome=not-run \
                   reason=overloaded running=172 waiting=88 share=0.53 remaining_ms=4210";
    let started = Instant::now();
    for _ in 0..ROUND_COUNT {
        black_box(json_line(log::Level::Info, black_box(message), 0));
    }
    per_round(started, ROUND_COUNT)
}

fn left_out_line() -> f64 {
    let mut budget = LineRateLimiter::new();
    let started = Instant::now();
    for _ in 0..ROUND_COUNT {
        black_box(budget.check("AttemptRefused", log::Level::Info, 0));
    }
    per_round(started, ROUND_COUNT)
}

/// One arrival, start and end with 50 running.
fn admission<P: AdmissionPolicy>() -> f64 {
    let mut policy = P::new(SIZE);
    let mut decisions = Vec::new();
    let mut running = VecDeque::new();
    let started = Instant::now();
    for index in 0..ROUND_COUNT {
        let now_us = u64::from(index) * 100;
        policy.arrive(arrival(index, now_us), now_us, &mut decisions);
        step(&mut policy, &mut decisions, &mut running, 10, now_us);
    }
    per_round(started, ROUND_COUNT)
}

/// Three arrivals for each end, so that two of three are shed.
fn overloaded() -> f64 {
    let mut policy = Adaptive::new(SIZE);
    let mut decisions = Vec::new();
    let mut running = VecDeque::new();
    let started = Instant::now();
    for index in 0..ROUND_COUNT {
        let now_us = u64::from(index) * 100;
        policy.arrive(arrival(index, now_us), now_us, &mut decisions);
        let kept = if index.is_multiple_of(3) {
            15
        } else {
            usize::MAX
        };
        step(&mut policy, &mut decisions, &mut running, kept, now_us);
    }
    per_round(started, ROUND_COUNT)
}

fn step<P: AdmissionPolicy>(
    policy: &mut P,
    decisions: &mut Vec<Decision>,
    running: &mut VecDeque<dogwoodbridge::admission::TicketKey>,
    kept: usize,
    now_us: u64,
) {
    for decision in decisions.drain(..) {
        if let Decision::Start(ticket) = black_box(decision) {
            running.push_back(ticket);
        }
    }
    if running.len() > kept
        && let Some(ticket) = running.pop_front()
    {
        policy.end(ticket, TargetResult::Completed, now_us, decisions);
    }
}

fn full_tick() -> f64 {
    let mut policy = Adaptive::new(SIZE);
    let mut decisions = Vec::new();
    for index in 0..10_000 {
        policy.arrive(arrival(index, 0), 0, &mut decisions);
    }
    let tick_count = 1000;
    let started = Instant::now();
    for index in 0..tick_count {
        policy.tick(u64::from(index), &mut decisions);
    }
    per_round(started, tick_count)
}

fn retry() -> f64 {
    let mut budget = ChainBudget::new();
    let service = ServiceKey::new(0);
    let started = Instant::now();
    for index in 0..ROUND_COUNT {
        let call = budget.open(3);
        budget.record_first_attempt(service, u64::from(index) * 100);
        let loan = budget.allot_to_child(call);
        budget.return_unspent(loan.key, loan.allotment);
        black_box(budget.close(call));
    }
    per_round(started, ROUND_COUNT)
}

fn routing(target_count: u32) -> f64 {
    let mut router = ZoneRouter::new();
    let mut rng = StdRng::seed_from_u64(1);
    let service = ServiceKey::new(0);
    for index in 0..target_count {
        let info = TargetInfo {
            service,
            zone: ZoneKey::new(u16::try_from(index % 4).unwrap_or(0)),
            region: RegionKey::new(0),
            distance: if index.is_multiple_of(4) {
                Distance::SameZone
            } else {
                Distance::SameRegion
            },
            slot_count: 150,
            draining: false,
            starts_slowly: true,
        };
        router.add(info, 0);
    }
    let wanted = RouteRequest {
        service,
        class: Class::Standard,
        regions: RegionSet::ANY,
    };
    let started = Instant::now();
    for index in 0..ROUND_COUNT {
        let now_us = u64::from(index) * 100;
        if let Ok(target) = router.pick(wanted, &[], now_us, &mut rng) {
            let level = Some(AdmissionLevel::idle());
            router.end_attempt(target, AttemptResult::Completed, 10_000, level, now_us);
        }
    }
    per_round(started, ROUND_COUNT)
}
