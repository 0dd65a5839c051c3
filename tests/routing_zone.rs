//! Where attempts go when zones are full, targets fail, drain or shed.

use {
    dogwoodbridge::{
        model::{AdmissionLevel, Class, Reason, RegionKey, RegionSet, ServiceKey, ZoneKey},
        routing::{
            AttemptResult, Distance, LEVEL_AGE_LIMIT_US, PROBE_PERIOD_US, RoutePolicy,
            RouteRequest, TargetInfo, TargetKey, ZoneRouter,
        },
    },
    rand::{SeedableRng, rngs::StdRng},
    std::collections::HashMap,
};

const SERVICE: ServiceKey = ServiceKey::new(0);
const SECOND_US: u64 = 1_000_000;
/// When new targets have their full share.
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
            .map(|distance| router.add(info(*distance), 0))
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
            .pick(wanted(class), &[], self.now_us, &mut self.rng)
            .map_err(|refusal| refusal.reason)
    }

    fn end(&mut self, target: TargetKey, result: AttemptResult, latency_us: u64) {
        self.router
            .end(target, result, latency_us, None, self.now_us);
    }

    fn tell(&mut self, target: TargetKey, level: AdmissionLevel) {
        let result = AttemptResult::Answered;
        self.router
            .end(target, result, 1000, Some(level), self.now_us);
    }

    /// Sends requests one after the other, 1 ms apart, and counts where they
    /// went; a target's latency and failure are given by its place.
    fn send(
        &mut self,
        count: usize,
        answer: impl Fn(usize, u64) -> (AttemptResult, u64),
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
            let place = self.place(target);
            *counts.entry(place).or_default() += 1;
            let (result, latency_us) = answer(place, self.now_us);
            self.end(target, result, latency_us);
        }
        counts
    }

    fn place(&self, target: TargetKey) -> usize {
        self.targets
            .iter()
            .position(|other| *other == target)
            .expect("picked targets are known")
    }
}

const fn wanted(class: Class) -> RouteRequest {
    RouteRequest {
        service: SERVICE,
        class,
        regions: RegionSet::ANY,
    }
}

const fn info(distance: Distance) -> TargetInfo {
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

const fn level(lowest_class: Class, load_percent: u16) -> AdmissionLevel {
    AdmissionLevel {
        lowest_class,
        load_percent,
        below_percent: 0,
        draining: false,
    }
}

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
            name: "local",
            distances: &[OtherRegion, SameRegion, SameZone],
            levels: vec![None, None, None],
            class: Class::Browse,
            picked: &[2],
        },
        Case {
            name: "no local one",
            distances: &[OtherRegion, SameRegion],
            levels: vec![None, None],
            class: Class::Browse,
            picked: &[1],
        },
        Case {
            name: "local one is busy",
            distances: &[SameZone, SameRegion],
            levels: vec![Some(level(Class::Browse, 150)), None],
            class: Class::Browse,
            picked: &[1],
        },
        Case {
            name: "all are busy",
            distances: &[SameZone, SameRegion],
            levels: vec![
                Some(level(Class::Browse, 150)),
                Some(level(Class::Browse, 150)),
            ],
            class: Class::Browse,
            picked: &[0],
        },
        Case {
            name: "local one sheds the class",
            distances: &[SameZone, OtherRegion],
            levels: vec![Some(level(Class::Standard, 100)), None],
            class: Class::Browse,
            picked: &[1],
        },
        Case {
            name: "local one sheds lower classes only",
            distances: &[SameZone, OtherRegion],
            levels: vec![Some(level(Class::Standard, 100)), None],
            class: Class::Standard,
            picked: &[0],
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(case.distances);
        for (place, level) in case.levels.iter().enumerate() {
            if let Some(level) = level {
                fixture.tell(fixture.targets[place], *level);
            }
        }
        for _ in 0..50 {
            let target = fixture.pick(case.class).expect(case.name);
            let place = fixture.place(target);
            assert!(case.picked.contains(&place), "{}: {place}", case.name);
            fixture.end(target, AttemptResult::Cancelled, 0);
        }
    }
}

/// All targets of a service shed browsing. Sending on would only cost hops;
/// sending nothing would leave users refused after the target has recovered.
#[test]
fn a_shed_class_is_refused_here_but_for_probes() {
    let mut fixture = Fixture::new(&[Distance::SameZone, Distance::SameRegion]);
    for target in fixture.targets.clone() {
        fixture.tell(target, level(Class::Standard, 300));
    }
    let mut sent_count = 0;
    for _ in 0..500 {
        fixture.now_us += 1000;
        if let Ok(target) = fixture.pick(Class::Browse) {
            sent_count += 1;
            fixture.tell(target, level(Class::Standard, 300));
        }
        let critical = fixture.pick(Class::Critical).expect("critical is admitted");
        fixture.tell(critical, level(Class::Standard, 300));
    }
    let most = 500 * 1000 / PROBE_PERIOD_US + 1;
    assert!((2..=most).contains(&sent_count), "{sent_count} probes");
    assert_eq!(fixture.pick(Class::Browse), Err(Reason::Overloaded));
    // The first answer that tells of room lets browsing through again.
    fixture.tell(fixture.targets[0], level(Class::Browse, 50));
    assert!(fixture.pick(Class::Browse).is_ok());
}

/// A level that lags: the target shed a while ago and nobody asked it since.
#[test]
fn a_level_past_its_age_limit_counts_for_nothing() {
    let mut fixture = Fixture::new(&[Distance::SameZone]);
    fixture.tell(fixture.targets[0], level(Class::Critical, 900));
    assert!(fixture.pick(Class::Browse).is_ok(), "the first is a probe");
    assert_eq!(fixture.pick(Class::Browse), Err(Reason::Overloaded));
    fixture.now_us += LEVEL_AGE_LIMIT_US + 1;
    for _ in 0..5 {
        assert!(fixture.pick(Class::Browse).is_ok());
    }
}

/// A target says on an answer that it drains, before membership tells. Work
/// sent to it then would be refused or cut off.
#[test]
fn a_draining_target_gets_nothing() {
    struct Case {
        name: &'static str,
        by_membership: bool,
    }
    for case in [
        Case {
            name: "by membership",
            by_membership: true,
        },
        Case {
            name: "by its answer",
            by_membership: false,
        },
    ] {
        let mut fixture = Fixture::new(&[Distance::SameZone]);
        let target = fixture.targets[0];
        if case.by_membership {
            let draining = TargetInfo {
                draining: true,
                ..info(Distance::SameZone)
            };
            fixture.router.update(target, draining);
        } else {
            let draining = AdmissionLevel {
                draining: true,
                ..AdmissionLevel::idle()
            };
            fixture.tell(target, draining);
        }
        assert_eq!(
            fixture.pick(Class::Critical),
            Err(Reason::NoTarget),
            "{}",
            case.name
        );
        let other = fixture
            .router
            .add(info(Distance::OtherRegion), fixture.now_us);
        assert_eq!(fixture.pick(Class::Critical), Ok(other), "{}", case.name);
    }
}

/// One target of four fails or becomes ten times slower, and recovers later.
/// Users would see every fourth request fail, or, after its recovery, three
/// targets carry the load of four.
#[test]
fn an_unfit_target_is_ejected_and_comes_back() {
    struct Case {
        name: &'static str,
        bad: (AttemptResult, u64),
    }
    for case in [
        Case {
            name: "fails",
            bad: (AttemptResult::Failed, 1000),
        },
        Case {
            name: "slow",
            bad: (AttemptResult::Answered, 100_000),
        },
    ] {
        let mut fixture = Fixture::new(&[Distance::SameZone; 4]);
        let good = (AttemptResult::Answered, 10_000);
        let before = fixture.send(4000, |_, _| good);
        let even = before.values().all(|count| (600..1400).contains(count));
        assert!(even, "{}: {before:?}", case.name);
        let bad = case.bad;
        let during = fixture.send(10_000, |place, _| if place == 0 { bad } else { good });
        let share = during.get(&0).copied().unwrap_or(0);
        println!("{}: {share} of 10000 went to the unfit target", case.name);
        assert!(share < 200, "{}: {share}", case.name);
        let recovering = fixture.send(40_000, |_, _| good);
        let after = fixture.send(4000, |_, _| good);
        println!("{}: then {recovering:?}, at last {after:?}", case.name);
        let share = after.get(&0).copied().unwrap_or(0);
        assert!((600..1400).contains(&share), "{}: {after:?}", case.name);
    }
}

/// A node with many slots breaks off each attempt at once, so that dozens of
/// attempts fit between two ticks. It always looks like the idlest: it would
/// draw attempts until the retries of the service are used up, and callers
/// would see failures beside an idle target.
#[test]
fn a_target_that_fails_fast_is_ejected_between_ticks() {
    let mut fixture = Fixture::new(&[Distance::SameZone; 2]);
    let large = TargetInfo {
        slot_count: 1000,
        ..info(Distance::SameZone)
    };
    fixture.router.update(fixture.targets[0], large);
    let mut failed_count = 0;
    for _ in 0..200 {
        let target = fixture.pick(Class::Standard).expect("one target works");
        let (result, latency_us) = match fixture.place(target) {
            0 => (AttemptResult::Failed, 50),
            _ => (AttemptResult::Answered, 1000),
        };
        failed_count += usize::from(result == AttemptResult::Failed);
        fixture.end(target, result, latency_us);
    }
    assert!(
        failed_count <= 5,
        "{failed_count} attempts at a broken target"
    );
    let changes = fixture.router.tick(fixture.now_us);
    assert_eq!(changes, [(fixture.targets[0], true)]);
}

/// All targets fail, since a dependency of theirs is down. Ejecting all would
/// leave nobody to notice the recovery, and one left alone would drown.
#[test]
fn at_most_half_of_a_service_is_ejected() {
    let mut fixture = Fixture::new(&[Distance::SameZone; 4]);
    let mut ejected: HashMap<TargetKey, bool> = HashMap::new();
    for _ in 0..5000 {
        fixture.now_us += 1000;
        if let Ok(target) = fixture.pick(Class::Standard) {
            fixture.end(target, AttemptResult::Failed, 1000);
        }
        for (target, is_ejected) in fixture.router.tick(fixture.now_us) {
            ejected.insert(target, is_ejected);
        }
        assert!(ejected.values().filter(|is_ejected| **is_ejected).count() <= 2);
    }
    assert!(!ejected.is_empty());
}

/// A service has one target and it fails for a while. It must be tried again
/// at once, there is no other.
#[test]
fn a_lone_target_is_never_ejected() {
    let mut fixture = Fixture::new(&[Distance::SameZone]);
    let counts = fixture.send(1000, |_, _| (AttemptResult::Failed, 1000));
    assert_eq!(counts.get(&0), Some(&1000));
}

/// A new target is cold: its full share at once would be answered late.
#[test]
fn a_new_target_gets_a_growing_share() {
    let mut fixture = Fixture::new(&[Distance::SameZone; 3]);
    let good = (AttemptResult::Answered, 10_000);
    fixture.send(3000, |_, _| good);
    let new = fixture.router.add(info(Distance::SameZone), fixture.now_us);
    fixture.targets.push(new);
    let first = fixture.send(1000, |_, _| good);
    let share = first.get(&3).copied().unwrap_or(0);
    assert!(share < 150, "{first:?}");
    fixture.send(10_000, |_, _| good);
    let later = fixture.send(4000, |_, _| good);
    let share = later.get(&3).copied().unwrap_or(0);
    assert!(share > 600, "{later:?}");
}

#[test]
fn a_tried_target_is_avoided_while_there_is_another() {
    let mut fixture = Fixture::new(&[Distance::SameZone, Distance::OtherRegion]);
    let tried = [fixture.targets[0]];
    let mut pick = |tried: &[TargetKey]| {
        fixture
            .router
            .pick(wanted(Class::Standard), tried, SETTLED_US, &mut fixture.rng)
    };
    for _ in 0..5 {
        assert_eq!(pick(&tried), Ok(fixture.targets[1]));
    }
    assert!(pick(&fixture.targets.clone()).is_ok());
}

/// A workspace may only run in named regions. Its work was sent to the nearest
/// target wherever that stood.
#[test]
fn a_request_goes_only_to_regions_in_which_it_may_run() {
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
            regions: RegionSet::only([near]).both(RegionSet::only([far])),
            expected: None,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(&[Distance::SameZone]);
        let elsewhere = TargetInfo {
            region: far,
            ..info(Distance::OtherRegion)
        };
        let elsewhere = fixture.router.add(elsewhere, 0);
        fixture.targets.push(elsewhere);
        let wanted = RouteRequest {
            regions: case.regions,
            ..wanted(Class::Critical)
        };
        // Also after all have been tried.
        for tried in [Vec::new(), fixture.targets.clone()] {
            let now_us = fixture.now_us;
            let picked = fixture
                .router
                .pick(wanted, &tried, now_us, &mut fixture.rng);
            let expected = case.expected.map(|index| fixture.targets[index]);
            assert_eq!(picked.ok(), expected, "{}", case.name);
        }
    }
}
