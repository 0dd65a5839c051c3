//! Invariants of the router under random sequences of operations.

#[path = "admission_support/generated.rs"]
mod generated;

use {
    dogwoodbridge::{
        model::{AdmissionLevel, Class, Outcome, RegionKey, RegionSet, ServiceKey, ZoneKey},
        routing::{
            AttemptResult, Distance, RoutePolicy, RouteRequest, TargetInfo, TargetKey, ZoneRouter,
        },
    },
    generated::for_each_case,
    rand::{SeedableRng, rngs::StdRng},
    std::collections::BTreeMap,
};

const STEP_COUNT: usize = 200;
const CASE_COUNT: usize = 2000;
const RESULTS: [AttemptResult; 4] = [
    AttemptResult::Completed,
    AttemptResult::Refused,
    AttemptResult::Failed,
    AttemptResult::Cancelled,
];

/// Router under test with the state that it should have.
struct Fixture {
    router: ZoneRouter,
    infos: BTreeMap<TargetKey, TargetInfo>,
    outstanding: Vec<TargetKey>,
    rng: StdRng,
    now_us: u64,
    pick_count: usize,
}

impl Fixture {
    fn new() -> Self {
        Self {
            router: ZoneRouter::new(),
            infos: BTreeMap::new(),
            outstanding: Vec::new(),
            rng: StdRng::seed_from_u64(9),
            now_us: 0,
            pick_count: 0,
        }
    }

    fn step(&mut self, (kind, choice, gap): (u8, u8, u8)) {
        self.now_us += u64::from(gap) * 5000;
        match kind % 16 {
            0 => self.add(choice),
            1 => self.remove(choice),
            2 => self.drain(choice),
            3 => drop(self.router.tick(self.now_us)),
            4..=9 => self.pick(choice),
            _ => self.end(choice),
        }
        for key in self.infos.keys() {
            let expected_count = self
                .outstanding
                .iter()
                .filter(|other| *other == key)
                .count();
            let router_count = self.router.outstanding_count(*key);
            assert_eq!(
                router_count,
                u32::try_from(expected_count).ok(),
                "outstanding attempts of {key:?}"
            );
        }
    }

    fn add(&mut self, choice: u8) {
        let distances = [
            Distance::SameZone,
            Distance::SameRegion,
            Distance::OtherRegion,
        ];
        let info = TargetInfo {
            service: ServiceKey::new(u16::from(choice % 2)),
            zone: ZoneKey::new(0),
            region: RegionKey::new(0),
            distance: distances[usize::from(choice / 2) % 3],
            slot_count: u32::from(choice % 8),
            draining: choice > 240,
            starts_slowly: true,
        };
        let key = self.router.add(info, self.now_us);
        assert!(self.infos.insert(key, info).is_none());
    }

    fn existing_target(&self, choice: u8) -> Option<TargetKey> {
        let index = usize::from(choice) % self.infos.len().max(1);
        self.infos.keys().nth(index).copied()
    }

    fn remove(&mut self, choice: u8) {
        if let Some(key) = self.existing_target(choice) {
            self.router.remove(key);
            self.infos.remove(&key);
        }
    }

    fn drain(&mut self, choice: u8) {
        let Some(key) = self.existing_target(choice) else {
            return;
        };
        if let Some(info) = self.infos.get_mut(&key) {
            info.draining = true;
            self.router.update(key, *info);
        }
    }

    fn pick(&mut self, choice: u8) {
        let service = ServiceKey::new(u16::from(choice % 2));
        let class = Class::ALL[usize::from(choice) % 3];
        let request = RouteRequest {
            service,
            class,
            regions: RegionSet::ANY,
        };
        let tried: Vec<TargetKey> = self.outstanding.iter().rev().take(2).copied().collect();
        let picked = self
            .router
            .pick(request, &tried, self.now_us, &mut self.rng);
        match picked {
            Ok(key) => {
                let info = self.infos.get(&key).expect("a removed target was picked");
                assert!(!info.draining, "a draining target was picked");
                assert_eq!(info.service, service);
                self.outstanding.push(key);
                self.pick_count += 1;
            }
            Err(refusal) => {
                assert_eq!(refusal.outcome, Outcome::NotRun);
                assert!(refusal.retry_after_ms > 0);
            }
        }
    }

    fn end(&mut self, choice: u8) {
        if self.outstanding.is_empty() {
            return;
        }
        let index = usize::from(choice) % self.outstanding.len();
        let key = self.outstanding.swap_remove(index);
        let level = AdmissionLevel {
            lowest_class: Class::ALL[usize::from(choice / 4) % 3],
            load_percent: u16::from(choice),
            draining: choice > 250,
            ..AdmissionLevel::idle()
        };
        let result = RESULTS[usize::from(choice) % 4];
        let latency_us = u64::from(choice) * 1000;
        self.router
            .end_attempt(key, result, latency_us, Some(level), self.now_us);
    }
}

/// Targets are added, drained and removed while attempts run, so that counts of
/// attempts can leak or a stale target be picked.
#[test]
fn outstanding_counts_are_conserved_and_drained_targets_never_picked() {
    let mut pick_count = 0;
    for_each_case(CASE_COUNT, |steps: [(u8, u8, u8); STEP_COUNT]| {
        let mut fixture = Fixture::new();
        fixture.add(0);
        fixture.add(1);
        for step in steps {
            fixture.step(step);
        }
        pick_count += fixture.pick_count;
    });
    println!("{CASE_COUNT} cases, {pick_count} picks");
    assert!(
        pick_count > CASE_COUNT,
        "too few picks in the generated cases"
    );
}
