//! A target whose node does not respond gets no new requests until it does.

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
/// Maximum time until requests to a node that does not respond stop.
const MAX_DETECTION_US: u64 = 500_000;

struct Fixture {
    router: ZoneRouter,
    rng: StdRng,
    now_us: u64,
    targets: Vec<TargetKey>,
    /// Targets whose nodes cannot be reached.
    unreachable: Vec<TargetKey>,
}

const REQUEST: RouteRequest = RouteRequest {
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
            unreachable: Vec::new(),
        }
    }

    fn pick(&mut self) -> Result<TargetKey, Reason> {
        self.router
            .pick(REQUEST, &[], self.now_us, &mut self.rng)
            .map_err(|refusal| refusal.reason)
    }

    /// One periodic check; reachable nodes respond to probes at once.
    fn step(&mut self) {
        self.now_us += STEP_US;
        for target in self.router.check_silence(self.now_us).to_probe {
            if !self.unreachable.contains(&target) {
                self.router.record_response(target, self.now_us);
            }
        }
    }

    /// Sends one request per step; those to unreachable nodes get no response.
    /// Returns the time and target of each request.
    fn send_requests(&mut self, duration_us: u64) -> Vec<(u64, TargetKey)> {
        let mut picked = Vec::new();
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            self.step();
            if let Ok(target) = self.pick() {
                picked.push((self.now_us, target));
                if !self.unreachable.contains(&target) {
                    let result = AttemptResult::Completed;
                    self.router
                        .end_attempt(target, result, 5000, None, self.now_us);
                }
            }
        }
        picked
    }
}

// All packets to a zone are lost, and requests sent there hang until their
// deadline. Membership needs seconds to declare its nodes dead; until then,
// callers in other zones would see timeouts.
#[test]
fn requests_avoid_a_zone_that_loses_packets_within_half_a_second() {
    let mut fixture = Fixture::new(&[Distance::SameRegion; 3]);
    fixture.send_requests(2_000_000);
    let unreachable = fixture.targets[0];
    fixture.unreachable.push(unreachable);
    let outage_start_us = fixture.now_us;
    let picked = fixture.send_requests(3_000_000);
    let last_pick = picked
        .iter()
        .rev()
        .find(|(_, target)| *target == unreachable);
    let last_us = last_pick.map_or(outage_start_us, |(picked_us, _)| *picked_us);
    assert!(
        last_us <= outage_start_us + MAX_DETECTION_US,
        "{} us",
        last_us - outage_start_us
    );

    fixture.unreachable.clear();
    let outage_end_us = fixture.now_us;
    let picked = fixture.send_requests(2_000_000);
    let first_pick = picked.iter().find(|(_, target)| *target == unreachable);
    let first_us = first_pick.map_or(u64::MAX, |(picked_us, _)| *picked_us);
    assert!(first_us <= outage_end_us + MAX_DETECTION_US);
}

// A target executes a request for many seconds and sends nothing meanwhile, but
// its node responds to probes. If the target were considered silent, long
// requests would be abandoned and executed again elsewhere.
#[test]
fn a_slow_target_whose_node_responds_is_not_silent() {
    let mut fixture = Fixture::new(&[Distance::SameZone]);
    fixture.pick().unwrap();
    for _ in 0..3000 {
        fixture.step();
    }
    assert_eq!(fixture.pick(), Ok(fixture.targets[0]));
}

// This node's instance is suspended. When it resumes, the responses of the other
// nodes wait in its socket; if it considered them all silent, it would refuse its
// callers.
#[test]
fn a_suspended_node_does_not_consider_others_silent() {
    let mut fixture = Fixture::new(&[Distance::SameZone, Distance::SameRegion]);
    for _ in 0..2 {
        fixture.pick().unwrap();
    }
    fixture.send_requests(1_000_000);
    fixture.now_us += 5_000_000;
    fixture.router.check_silence(fixture.now_us);
    assert!(fixture.pick().is_ok());
    let newly_silent = fixture
        .router
        .check_silence(fixture.now_us + STEP_US)
        .newly_silent;
    assert!(newly_silent.is_empty());
}

// All targets of a service are unreachable. A request sent anyway hangs until its
// deadline; if it is refused at once, its caller knows that it was not executed
// and when to retry.
#[test]
fn requests_are_refused_at_once_while_all_targets_are_silent() {
    let mut fixture = Fixture::new(&[Distance::SameRegion; 2]);
    fixture.unreachable = fixture.targets.clone();
    fixture.send_requests(1_000_000);
    assert_eq!(fixture.pick(), Err(Reason::NoTarget));
}

/// One zone with this many targets, each at its own node, and a target of
/// another zone.
fn zone_fixture(target_count: usize) -> Fixture {
    let mut fixture = Fixture::new(&vec![Distance::SameRegion; target_count]);
    let info = TargetInfo {
        service: SERVICE,
        zone: ZoneKey::new(1),
        region: RegionKey::new(0),
        distance: Distance::SameRegion,
        slot_count: 20,
        draining: false,
        starts_slowly: true,
    };
    let other = fixture.router.add(info, 0);
    fixture.targets.push(other);
    fixture
}

/// Single nodes of a large fleet fail in every zone. When each caller probed all
/// nodes of such a zone, the probes grew with the square of the fleet and took
/// the processor time of the nodes that responded.
#[test]
fn probes_for_a_failed_node_do_not_grow_with_its_zone() {
    /// For the failed node and for the sample of its zone.
    const MAX_PROBE_COUNT: usize = 40;
    for target_count in [25, 50, 100, 200, 400] {
        let mut fixture = zone_fixture(target_count);
        let failed = fixture.pick().unwrap();
        fixture.unreachable.push(failed);
        let mut probe_count = 0;
        for _ in 0..300 {
            fixture.now_us += STEP_US;
            let to_probe = fixture.router.check_silence(fixture.now_us).to_probe;
            probe_count += to_probe.len();
            for target in to_probe {
                if target != failed {
                    fixture.router.record_response(target, fixture.now_us);
                }
            }
        }
        assert!(
            probe_count <= MAX_PROBE_COUNT,
            "{probe_count} probes in a zone of {target_count}"
        );
        assert!(fixture.router.is_silent(failed));
    }
}

/// A zone of hundreds of nodes is cut off. Only a sample of it is probed, and
/// requests would hang at each of the others until their deadline.
#[test]
fn requests_avoid_all_targets_of_a_zone_whose_sample_is_silent() {
    for target_count in [3, 25, 200] {
        let mut fixture = zone_fixture(target_count);
        fixture.send_requests(200_000);
        let other = fixture.targets[target_count];
        fixture.unreachable = fixture.targets[..target_count].to_vec();
        let outage_start_us = fixture.now_us;
        let is_cut_off = |(_, target): &(u64, TargetKey)| *target != other;
        let picked = fixture.send_requests(2_000_000);
        let last_us = picked.iter().rev().find(|pick| is_cut_off(pick));
        let last_us = last_us.map_or(outage_start_us, |(picked_us, _)| *picked_us);
        assert!(
            last_us <= outage_start_us + MAX_DETECTION_US,
            "{target_count} targets: {} us",
            last_us - outage_start_us
        );
        fixture.unreachable.clear();
        let outage_end_us = fixture.now_us;
        let picked = fixture.send_requests(2_000_000);
        let first_us = picked.iter().find(|pick| is_cut_off(pick));
        let first_us = first_us.map_or(u64::MAX, |(picked_us, _)| *picked_us);
        assert!(
            first_us <= outage_end_us + MAX_DETECTION_US,
            "{target_count} targets"
        );
    }
}

/// A node of a large fleet knows hundreds of targets and has requests at a few.
/// When each tick checked all of them, idle targets took most of a node's
/// control time.
#[test]
fn a_tick_checks_only_targets_with_requests() {
    const REQUEST_COUNT: usize = 3;
    for target_count in [50, 100, 200, 400] {
        let mut fixture = Fixture::new(&vec![Distance::SameRegion; target_count]);
        fixture.step();
        assert_eq!(fixture.router.watched_count(), 0, "{target_count} targets");
        let picked: Vec<TargetKey> = (0..REQUEST_COUNT)
            .map(|_| fixture.pick().unwrap())
            .collect();
        fixture.step();
        let watched_count = fixture.router.watched_count();
        assert!(
            (1..=REQUEST_COUNT).contains(&watched_count),
            "{watched_count} of {target_count}"
        );
        for target in picked {
            let result = AttemptResult::Completed;
            let now_us = fixture.now_us;
            fixture
                .router
                .end_attempt(target, result, 5000, None, now_us);
        }
        fixture.step();
        assert_eq!(fixture.router.watched_count(), 0, "{target_count} targets");
    }
}

/// A node is cut off from the other nodes of its zone. Its callers can still be
/// served by its own target, which no network failure separates from it.
#[test]
fn the_local_target_serves_while_the_rest_of_its_zone_is_silent() {
    for target_count in [3, 25, 200] {
        let mut fixture = Fixture::new(&vec![Distance::SameZone; target_count]);
        let local = fixture.targets[target_count / 2];
        fixture.router.set_local(local);
        fixture.send_requests(200_000);
        fixture.unreachable = fixture.targets.clone();
        fixture.unreachable.retain(|target| *target != local);
        fixture.send_requests(1_000_000);
        for _ in 0..10 {
            assert_eq!(fixture.pick(), Ok(local), "{target_count} targets");
            fixture.step();
        }
    }
}
