//! Which target is picked when zones are full and targets fail, drain or shed.

use {
    dogwoodbridge::{
        model::{AdmissionLevel, Class, Reason, RegionKey, RegionSet, ServiceKey, ZoneKey},
        routing::{
            AttemptResult, Distance, LEVEL_AGE_LIMIT_US, RoutePolicy, RouteRequest,
            SHED_PROBE_PERIOD_US, TargetInfo, TargetKey, ZoneRouter,
        },
    },
    rand::{SeedableRng, rngs::StdRng},
    std::collections::HashMap,
};

const SERVICE: ServiceKey = ServiceKey::new(0);
const SECOND_US: u64 = 1_000_000;
/// Time at which new targets have their full share.
const SETTLED_US: u64 = 60 * SECOND_US;

struct Fixture {
    router: ZoneRouter,
    targets: Vec<TargetKey>,
    rng: StdRng,
    now_us: u64,
}

impl Fixture {
    fn new(distances: &[Distance]) -> Self {
        let mut router = ZoneRouter::new();
        let targets = distances
            .iter()
            .map(|distance| router.add(target_info(*distance), 0))
            .collect();
        Self {
            router,
            targets,
            rng: StdRng::seed_from_u64(4),
            now_us: SETTLED_US,
        }
    }

    fn pick(&mut self, class: Class) -> Result<TargetKey, Reason> {
        self.router
            .pick(request(class), &[], self.now_us, &mut self.rng)
            .map_err(|refusal| refusal.reason)
    }

    fn end(&mut self, target: TargetKey, result: AttemptResult, latency_us: u64) {
        self.router
            .end_attempt(target, result, latency_us, None, self.now_us);
    }

    fn respond_with_level(&mut self, target: TargetKey, admission_level: AdmissionLevel) {
        let result = AttemptResult::Completed;
        self.router
            .end_attempt(target, result, 1000, Some(admission_level), self.now_us);
    }

    /// Sends requests 1 ms apart and counts them by the target's index;
    /// `response` returns the result and latency of a target at a time.
    fn send(
        &mut self,
        count: usize,
        response: impl Fn(usize, u64) -> (AttemptResult, u64),
    ) -> HashMap<usize, usize> {
        let mut counts = HashMap::new();
        for _ in 0..count {
            self.now_us += 1000;
            if self.now_us.is_multiple_of(10_000) {
                self.router.tick(self.now_us);
            }
            let Ok(target) = self.pick(Class::Standard) else {
                continue;
            };
            let index = self.target_index(target);
            *counts.entry(index).or_default() += 1;
            let (result, latency_us) = response(index, self.now_us);
            self.end(target, result, latency_us);
        }
        counts
    }

    fn target_index(&self, target: TargetKey) -> usize {
        self.targets
            .iter()
            .position(|other| *other == target)
            .expect("the picked target was added")
    }
}

const fn request(class: Class) -> RouteRequest {
    RouteRequest {
        service: SERVICE,
        class,
        regions: RegionSet::ANY,
    }
}

const fn target_info(distance: Distance) -> TargetInfo {
    TargetInfo {
        service: SERVICE,
        zone: ZoneKey::new(0),
        region: RegionKey::new(0),
        distance,
        slot_count: 10,
        draining: false,
        starts_slowly: true,
    }
}

const fn admission_level(lowest_class: Class, load_percent: u16) -> AdmissionLevel {
    AdmissionLevel {
        lowest_class,
        load_percent,
        ..AdmissionLevel::idle()
    }
}

/// Requests that leave their zone cost traffic and are lost if the zone is cut
/// off; requests to a busy target wait although another one has room.
#[test]
fn the_nearest_target_with_room_is_picked() {
    use Distance::{OtherRegion, SameRegion, SameZone};
    struct Case {
        name: &'static str,
        distances: &'static [Distance],
        levels: Vec<Option<AdmissionLevel>>,
        class: Class,
        picked: &'static [usize],
    }
    let cases = [
        Case {
            name: "target in the same zone",
            distances: &[OtherRegion, SameRegion, SameZone],
            levels: vec![None, None, None],
            class: Class::Browse,
            picked: &[2],
        },
        Case {
            name: "no target in the same zone",
            distances: &[OtherRegion, SameRegion],
            levels: vec![None, None],
            class: Class::Browse,
            picked: &[1],
        },
        Case {
            name: "nearest target is busy",
            distances: &[SameZone, SameRegion],
            levels: vec![Some(admission_level(Class::Browse, 150)), None],
            class: Class::Browse,
            picked: &[1],
        },
        Case {
            name: "all targets are busy",
            distances: &[SameZone, SameRegion],
            levels: vec![
                Some(admission_level(Class::Browse, 150)),
                Some(admission_level(Class::Browse, 150)),
            ],
            class: Class::Browse,
            picked: &[0],
        },
        Case {
            name: "nearest target sheds the class",
            distances: &[SameZone, OtherRegion],
            levels: vec![Some(admission_level(Class::Standard, 100)), None],
            class: Class::Browse,
            picked: &[1],
        },
        Case {
            name: "nearest target sheds lower classes only",
            distances: &[SameZone, OtherRegion],
            levels: vec![Some(admission_level(Class::Standard, 100)), None],
            class: Class::Standard,
            picked: &[0],
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(case.distances);
        for (index, admission_level) in case.levels.iter().enumerate() {
            if let Some(admission_level) = admission_level {
                fixture.respond_with_level(fixture.targets[index], *admission_level);
            }
        }
        for _ in 0..50 {
            let target = fixture.pick(case.class).expect(case.name);
            let index = fixture.target_index(target);
            assert!(case.picked.contains(&index), "{}: {index}", case.name);
            fixture.end(target, AttemptResult::Cancelled, 0);
        }
    }
}

/// All targets of a service shed the browse class. Sending requests there would
/// only cost hops; sending none would keep them refused after a recovery.
#[test]
fn a_shed_class_is_refused_except_for_probes() {
    let mut fixture = Fixture::new(&[Distance::SameZone, Distance::SameRegion]);
    for target in fixture.targets.clone() {
        fixture.respond_with_level(target, admission_level(Class::Standard, 300));
    }
    let mut probe_count = 0;
    for _ in 0..500 {
        fixture.now_us += 1000;
        if let Ok(target) = fixture.pick(Class::Browse) {
            probe_count += 1;
            fixture.respond_with_level(target, admission_level(Class::Standard, 300));
        }
        let critical = fixture.pick(Class::Critical).expect("critical is admitted");
        fixture.respond_with_level(critical, admission_level(Class::Standard, 300));
    }
    let max_probe_count = 500 * 1000 / SHED_PROBE_PERIOD_US + 1;
    assert!(
        (2..=max_probe_count).contains(&probe_count),
        "{probe_count} probes"
    );
    assert_eq!(fixture.pick(Class::Browse), Err(Reason::Overloaded));
    // The first response that reports room admits the class again.
    fixture.respond_with_level(fixture.targets[0], admission_level(Class::Browse, 50));
    assert!(fixture.pick(Class::Browse).is_ok());
}

/// A target shed a class a while ago and has got no request since. If its last
/// level still counted, the class would stay refused after a recovery.
#[test]
fn a_level_above_its_age_limit_is_ignored() {
    let mut fixture = Fixture::new(&[Distance::SameZone]);
    fixture.respond_with_level(fixture.targets[0], admission_level(Class::Critical, 900));
    assert!(
        fixture.pick(Class::Browse).is_ok(),
        "the first request is a probe"
    );
    assert_eq!(fixture.pick(Class::Browse), Err(Reason::Overloaded));
    fixture.now_us += LEVEL_AGE_LIMIT_US + 1;
    for _ in 0..5 {
        assert!(fixture.pick(Class::Browse).is_ok());
    }
}

/// A target reports in a response that it drains, before membership does.
/// Requests sent to it afterwards would be refused or aborted.
#[test]
fn a_draining_target_gets_no_requests() {
    struct Case {
        name: &'static str,
        by_membership: bool,
    }
    for case in [
        Case {
            name: "reported by membership",
            by_membership: true,
        },
        Case {
            name: "reported in a response",
            by_membership: false,
        },
    ] {
        let mut fixture = Fixture::new(&[Distance::SameZone]);
        let target = fixture.targets[0];
        if case.by_membership {
            let draining = TargetInfo {
                draining: true,
                ..target_info(Distance::SameZone)
            };
            fixture.router.update(target, draining);
        } else {
            let draining = AdmissionLevel {
                draining: true,
                ..AdmissionLevel::idle()
            };
            fixture.respond_with_level(target, draining);
        }
        assert_eq!(
            fixture.pick(Class::Critical),
            Err(Reason::NoTarget),
            "{}",
            case.name
        );
        let other = fixture
            .router
            .add(target_info(Distance::OtherRegion), fixture.now_us);
        assert_eq!(fixture.pick(Class::Critical), Ok(other), "{}", case.name);
    }
}

/// One of four targets fails or becomes ten times slower and recovers later.
/// Without an ejection every fourth request would fail or be slow; without its
/// end, three targets would carry the load of four.
#[test]
fn a_failing_or_slow_target_is_ejected_and_restored() {
    struct Case {
        name: &'static str,
        faulty: (AttemptResult, u64),
    }
    for case in [
        Case {
            name: "fails",
            faulty: (AttemptResult::Failed, 1000),
        },
        Case {
            name: "slow",
            faulty: (AttemptResult::Completed, 100_000),
        },
    ] {
        let mut fixture = Fixture::new(&[Distance::SameZone; 4]);
        let healthy = (AttemptResult::Completed, 10_000);
        let before = fixture.send(4000, |_, _| healthy);
        let is_even = before.values().all(|count| (600..1400).contains(count));
        assert!(is_even, "{}: {before:?}", case.name);
        let faulty = case.faulty;
        let during = fixture.send(10_000, |index, _| if index == 0 { faulty } else { healthy });
        let faulty_count = during.get(&0).copied().unwrap_or(0);
        println!(
            "{}: {faulty_count} of 10000 requests went to the faulty target",
            case.name
        );
        assert!(faulty_count < 200, "{}: {faulty_count}", case.name);
        let recovering = fixture.send(40_000, |_, _| healthy);
        let after = fixture.send(4000, |_, _| healthy);
        println!(
            "{}: during recovery {recovering:?}, after it {after:?}",
            case.name
        );
        let restored_count = after.get(&0).copied().unwrap_or(0);
        assert!(
            (600..1400).contains(&restored_count),
            "{}: {after:?}",
            case.name
        );
    }
}

/// A node with many slots aborts each attempt at once, so that dozens of attempts
/// fit between two ticks. It always seems idle and would attract attempts until
/// the retries of the service are exhausted; callers would get failures although
/// another target is idle.
#[test]
fn a_target_that_fails_fast_is_ejected_between_ticks() {
    let mut fixture = Fixture::new(&[Distance::SameZone; 2]);
    let large = TargetInfo {
        slot_count: 1000,
        ..target_info(Distance::SameZone)
    };
    fixture.router.update(fixture.targets[0], large);
    let mut failed_count = 0;
    for _ in 0..200 {
        let target = fixture
            .pick(Class::Standard)
            .expect("one target is healthy");
        let (result, latency_us) = match fixture.target_index(target) {
            0 => (AttemptResult::Failed, 50),
            _ => (AttemptResult::Completed, 1000),
        };
        failed_count += usize::from(result == AttemptResult::Failed);
        fixture.end(target, result, latency_us);
    }
    assert!(
        failed_count <= 5,
        "{failed_count} attempts at the failing target"
    );
    let changes = fixture.router.tick(fixture.now_us);
    assert_eq!(changes, [(fixture.targets[0], true)]);
}

/// All targets fail because a dependency that they share is down. If all were
/// ejected, no attempt would detect the recovery; a single remaining target would
/// be overloaded.
#[test]
fn at_most_half_of_a_service_is_ejected() {
    let mut fixture = Fixture::new(&[Distance::SameZone; 4]);
    let mut ejections: HashMap<TargetKey, bool> = HashMap::new();
    for _ in 0..5000 {
        fixture.now_us += 1000;
        if let Ok(target) = fixture.pick(Class::Standard) {
            fixture.end(target, AttemptResult::Failed, 1000);
        }
        for (target, is_ejected) in fixture.router.tick(fixture.now_us) {
            ejections.insert(target, is_ejected);
        }
        assert!(ejections.values().filter(|is_ejected| **is_ejected).count() <= 2);
    }
    assert!(!ejections.is_empty());
}

/// The only target of a service fails for a while. It must keep getting attempts,
/// since there is no other one.
#[test]
fn the_only_target_of_a_service_is_never_ejected() {
    let mut fixture = Fixture::new(&[Distance::SameZone]);
    let counts = fixture.send(1000, |_, _| (AttemptResult::Failed, 1000));
    assert_eq!(counts.get(&0), Some(&1000));
}

/// A new target is cold and would respond late if it got its full share at once.
#[test]
fn a_new_target_gets_a_growing_share() {
    let mut fixture = Fixture::new(&[Distance::SameZone; 3]);
    let healthy = (AttemptResult::Completed, 10_000);
    fixture.send(3000, |_, _| healthy);
    let new_target = fixture
        .router
        .add(target_info(Distance::SameZone), fixture.now_us);
    fixture.targets.push(new_target);
    let early = fixture.send(1000, |_, _| healthy);
    let early_count = early.get(&3).copied().unwrap_or(0);
    assert!(early_count < 150, "{early:?}");
    fixture.send(10_000, |_, _| healthy);
    let later = fixture.send(4000, |_, _| healthy);
    let later_count = later.get(&3).copied().unwrap_or(0);
    assert!(later_count > 600, "{later:?}");
}

/// A retry at the target that has just failed would probably fail again.
#[test]
fn a_tried_target_is_avoided_while_there_is_another() {
    let mut fixture = Fixture::new(&[Distance::SameZone, Distance::OtherRegion]);
    let tried = [fixture.targets[0]];
    let mut pick = |tried: &[TargetKey]| {
        fixture.router.pick(
            request(Class::Standard),
            tried,
            SETTLED_US,
            &mut fixture.rng,
        )
    };
    for _ in 0..5 {
        assert_eq!(pick(&tried), Ok(fixture.targets[1]));
    }
    assert!(pick(&fixture.targets.clone()).is_ok());
}

/// A workspace may only run in certain regions, but its requests were sent to the
/// nearest target regardless of its region.
#[test]
fn a_request_is_sent_only_to_its_allowed_regions() {
    struct Case {
        name: &'static str,
        regions: RegionSet,
        expected: Option<usize>,
    }
    let [near, far] = [RegionKey::new(0), RegionKey::new(1)];
    let cases = [
        Case {
            name: "any region",
            regions: RegionSet::only([]),
            expected: Some(0),
        },
        Case {
            name: "the far region",
            regions: RegionSet::only([far]),
            expected: Some(1),
        },
        Case {
            name: "both regions",
            regions: RegionSet::only([near, far]),
            expected: Some(0),
        },
        Case {
            name: "a region without targets",
            regions: RegionSet::only([RegionKey::new(2)]),
            expected: None,
        },
        Case {
            name: "a route and a workspace without a common region",
            regions: RegionSet::only([near]).intersection(RegionSet::only([far])),
            expected: None,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(&[Distance::SameZone]);
        let far_info = TargetInfo {
            region: far,
            ..target_info(Distance::OtherRegion)
        };
        let far_target = fixture.router.add(far_info, 0);
        fixture.targets.push(far_target);
        let request = RouteRequest {
            regions: case.regions,
            ..request(Class::Critical)
        };
        // The same holds after all targets have been tried.
        for tried in [Vec::new(), fixture.targets.clone()] {
            let now_us = fixture.now_us;
            let picked = fixture
                .router
                .pick(request, &tried, now_us, &mut fixture.rng);
            let expected = case.expected.map(|index| fixture.targets[index]);
            assert_eq!(picked.ok(), expected, "{}", case.name);
        }
    }
}
