//! A node that stops to answer gets no new work until it does.

use {
    dogwoodbridge::{
        model::{Class, Reason, RegionKey, RegionSet, ServiceKey, ZoneKey},
        routing::{
            AttemptResult, Distance, RoutePolicy, RouteRequest, TargetInfo, TargetKey, ZoneRouter,
        },
    },
    rand::{SeedableRng, rngs::StdRng},
};

const SERVICE: ServiceKey = ServiceKey::new(0);
const STEP_US: u64 = 10_000;
const START_US: u64 = 60_000_000;
/// Time within which work stops going to a node that does not answer.
const NOTICED_US: u64 = 500_000;

struct Fixture {
    router: ZoneRouter,
    rng: StdRng,
    now_us: u64,
    targets: Vec<TargetKey>,
    /// Targets whose nodes are cut off.
    cut: Vec<TargetKey>,
}

const WANTED: RouteRequest = RouteRequest {
    service: SERVICE,
    class: Class::Standard,
    regions: RegionSet::ANY,
};

impl Fixture {
    fn new(distances: &[Distance]) -> Self {
        let mut router = ZoneRouter::new();
        let targets = distances.iter().map(|distance| {
            let info = TargetInfo {
                service: SERVICE,
                zone: ZoneKey::new(0),
                region: RegionKey::new(0),
                distance: *distance,
                slot_count: 20,
                draining: false,
                starts_slowly: true,
            };
            router.add(info, 0)
        });
        let targets = targets.collect();
        Self {
            router,
            rng: StdRng::seed_from_u64(3),
            now_us: START_US,
            targets,
            cut: Vec::new(),
        }
    }

    fn pick(&mut self) -> Result<TargetKey, Reason> {
        self.router
            .pick(WANTED, &[], self.now_us, &mut self.rng)
            .map_err(|refusal| refusal.reason)
    }

    /// One look; nodes that are not cut off answer at once.
    fn step(&mut self) {
        self.now_us += STEP_US;
        for target in self.router.check_silence(self.now_us).to_probe {
            if !self.cut.contains(&target) {
                self.router.record_response(target, self.now_us);
            }
        }
    }

    /// Requests of which one is sent each step; cut ones stay unanswered.
    fn run(&mut self, length_us: u64) -> Vec<(u64, TargetKey)> {
        let mut picked = Vec::new();
        let end_us = self.now_us + length_us;
        while self.now_us < end_us {
            self.step();
            if let Ok(target) = self.pick() {
                picked.push((self.now_us, target));
                if !self.cut.contains(&target) {
                    let result = AttemptResult::Answered;
                    self.router.end(target, result, 5000, None, self.now_us);
                }
            }
        }
        picked
    }
}

// A zone is cut off and its packets are swallowed: requests that go there hang
// until their deadline. Membership needs seconds to take its nodes for dead;
// callers of the other zones would see time outs all the while.
#[test]
fn work_leaves_a_zone_that_swallows_packets_within_half_a_second() {
    let mut fixture = Fixture::new(&[Distance::SameRegion; 3]);
    fixture.run(2_000_000);
    let cut = fixture.targets[0];
    fixture.cut.push(cut);
    let cut_us = fixture.now_us;
    let picked = fixture.run(3_000_000);
    let last_us = picked.iter().rev().find(|(_, target)| *target == cut);
    let last_us = last_us.map_or(cut_us, |(at_us, _)| *at_us);
    assert!(last_us <= cut_us + NOTICED_US, "{} us", last_us - cut_us);

    fixture.cut.clear();
    let healed_us = fixture.now_us;
    let picked = fixture.run(2_000_000);
    let first = picked.iter().find(|(_, target)| *target == cut);
    let first_us = first.map_or(u64::MAX, |(at_us, _)| *at_us);
    assert!(first_us <= healed_us + NOTICED_US);
}

// A target may work on a request for many seconds without a word. Its node
// answers that it lives; were its silence alone taken for death, long requests
// would be given up and run again elsewhere.
#[test]
fn a_target_that_takes_long_is_not_silent() {
    let mut fixture = Fixture::new(&[Distance::SameZone]);
    fixture.pick().unwrap();
    for _ in 0..3000 {
        fixture.step();
    }
    assert_eq!(fixture.pick(), Ok(fixture.targets[0]));
}

// This node itself stands still, as a suspended instance does. When it wakes,
// the answers of the others wait in its socket; it must not take all of them for
// gone and refuse its callers.
#[test]
fn a_node_that_stood_still_takes_nobody_for_silent() {
    let mut fixture = Fixture::new(&[Distance::SameZone, Distance::SameRegion]);
    for _ in 0..2 {
        fixture.pick().unwrap();
    }
    fixture.run(1_000_000);
    fixture.now_us += 5_000_000;
    fixture.router.check_silence(fixture.now_us);
    assert!(fixture.pick().is_ok());
    let silent = fixture
        .router
        .check_silence(fixture.now_us + STEP_US)
        .newly_silent;
    assert!(silent.is_empty());
}

// All targets of a service are out of reach. A request that is sent all the same
// hangs until its deadline; refused at once, its caller knows that it has not run
// and when to come back.
#[test]
fn with_all_targets_silent_requests_are_refused_at_once() {
    let mut fixture = Fixture::new(&[Distance::SameRegion; 2]);
    fixture.cut = fixture.targets.clone();
    fixture.run(1_000_000);
    assert_eq!(fixture.pick(), Err(Reason::NoTarget));
}
