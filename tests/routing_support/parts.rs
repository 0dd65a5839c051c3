//! Targets, senders and events of the model.

use {
    super::setup::{Fault, Report, SLOT_COUNT, Way},
    dogwoodbridge::{
        admission::queueing_delay_us,
        model::{AdmissionLevel, RegionKey, ServiceKey, ZoneKey},
        routing::{Distance, RoutePolicy, TargetInfo, TargetKey, ZoneRouter},
        settings::TargetChoice,
    },
    rand::{Rng, rngs::StdRng},
    std::collections::VecDeque,
};

pub struct Job {
    pub sender: usize,
    pub key: Option<TargetKey>,
    pub sent_us: u64,
    pub arrived_us: u64,
    pub target: usize,
    pub epoch: u32,
    pub service_us: f64,
}

pub struct Target {
    pub speed: f64,
    pub zone: usize,
    pub work_factor: f64,
    pub report: Report,
    pub running_count: u32,
    pub queue: VecDeque<Job>,
    pub mean_service_us: f64,
    pub is_removed: bool,
    pub queued_since_us: Option<u64>,
}

impl Target {
    pub fn level(&self) -> Option<AdmissionLevel> {
        let queued_count = self.queue.len();
        let load_percent = (self.running_count as usize + queued_count) * 100 / SLOT_COUNT as usize;
        let level = AdmissionLevel {
            load_percent: u16::try_from(load_percent).unwrap_or(u16::MAX),
            wait_us: queueing_delay_us(
                queued_count,
                self.running_count as usize,
                SLOT_COUNT,
                self.mean_service_us,
            ),
            work_time_percent: (self.work_factor * 100.0) as u16,
            ..AdmissionLevel::idle()
        };
        match self.report {
            Report::True => Some(level),
            Report::Nothing => None,
            Report::Constant => Some(AdmissionLevel {
                load_percent: 50,
                work_time_percent: 100,
                ..AdmissionLevel::idle()
            }),
            Report::WorkTime(work_time_percent) => Some(AdmissionLevel {
                work_time_percent,
                ..level
            }),
        }
    }
}

pub struct Sender {
    pub zone: usize,
    pub share: f64,
    pub router: ZoneRouter,
    pub keys: Vec<Option<TargetKey>>,
    /// Load ratios for the way that is not in the router, with the time of receipt.
    pub loads: Vec<Option<(f64, u64)>>,
    pub epoch: u32,
}

impl Sender {
    /// Starts without state.
    pub fn restart(&mut self, way: Way, targets: &[Target], now_us: u64) {
        let (choice, draw_count) = match way {
            Way::CompletionOfTwo => (TargetChoice::Completion, 2),
            Way::CompletionOfThree => (TargetChoice::Completion, 3),
            Way::Latency | Way::WeightedByFreeSlots | Way::OneQueue => (TargetChoice::Latency, 2),
        };
        self.epoch += 1;
        self.loads = vec![None; targets.len()];
        self.router = ZoneRouter::new()
            .with_target_choice(choice)
            .with_draw_count(draw_count);
        let zone = self.zone;
        let info_of = |target: &Target| TargetInfo {
            service: ServiceKey::new(0),
            zone: ZoneKey::new(target.zone as u16),
            region: RegionKey::new(0),
            distance: match target.zone == zone {
                true => Distance::SameZone,
                false => Distance::SameRegion,
            },
            slot_count: SLOT_COUNT,
            draining: target.is_removed,
            starts_slowly: false,
        };
        let router = &mut self.router;
        let keys = targets
            .iter()
            .map(|target| Some(router.add(info_of(target), now_us)));
        self.keys = keys.collect();
    }

    /// Weighted random: each target with a probability in proportion to its free slots by the
    /// last figure, at least one, over its service time.
    pub fn pick_by_free_slots(
        &self,
        targets: &[Target],
        rng: &mut StdRng,
    ) -> Option<(usize, Option<TargetKey>)> {
        let weight_of = |index: usize| {
            let load_ratio: f64 = self.loads[index].map_or(0.0, |(load_ratio, _)| load_ratio);
            match self.keys[index] {
                Some(_) => (1.0 - load_ratio).max(0.01) * targets[index].speed,
                None => 0.0,
            }
        };
        let weights: Vec<f64> = (0..targets.len()).map(weight_of).collect();
        let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
        let index = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        })?;
        Some((index, None))
    }
}

pub enum Event {
    Send(usize),
    Arrive(Job),
    End(Job),
    Response(Job, Option<AdmissionLevel>),
    Tick,
    Figure(usize, TargetKey, AdmissionLevel),
    Work,
    Fault(Fault),
}

pub struct Entry(pub u64, pub u64, pub Event);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
