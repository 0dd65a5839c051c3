//! Senders with routers of their own and targets with FIFO queues, as a simulation of events.

use {
    dogwoodbridge::{
        admission::queueing_delay_us,
        model::{AdmissionLevel, Class, RegionKey, RegionSet, ServiceKey, ZoneKey},
        routing::{
            AttemptResult, Distance, RoutePolicy, RouteRequest, TargetInfo, TargetKey, ZoneRouter,
        },
        settings::TargetChoice,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

pub const SERVICE_US: f64 = 83_000.0;
pub const SLOT_COUNT: u32 = 100;
pub const SENDER_COUNT: usize = 70;
const ZONE_COUNT: usize = 3;
const TICK_US: u64 = 10_000;
const WORK_PERIOD_US: u64 = 600_000;
/// Share of the periods in which work takes longer, and by how much.
const SLOW_SHARE: f64 = 0.15;
pub const SLOW_FACTOR: f64 = 2.5;
/// Start of the measurement.
const WARM_UP_US: u64 = 2_000_000;
const DEADLINE_US: u64 = 2_000_000;
const ONE_WAY_US: [u64; 2] = [100, 900];

/// Rule by which senders choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Latency,
    CompletionOfTwo,
    CompletionOfThree,
    WeightedByFreeSlots,
    /// Bound: one queue for all targets, so that no slot is idle while a request waits.
    OneQueue,
}

/// What a target reports instead of its true figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    True,
    Nothing,
    Constant,
    WorkTime(u16),
}

/// Properties of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    pub way: Way,
    pub speeds: Vec<f64>,
    pub zones: Vec<usize>,
    /// Demand over the mean capacity of the targets.
    pub load_ratio: f64,
    pub duration_us: u64,
    pub changes_work_time: bool,
    /// Whether the demand follows the capacity of the moment, so that it never exceeds it.
    pub follows_capacity: bool,
    /// Changes at a time.
    pub faults: Vec<(u64, Fault)>,
}

/// A change during a run.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Report(usize, Report),
    WorkFactor(usize, f64),
    PartitionZone(usize),
    Remove(usize),
    RestartSenders,
}

impl Setup {
    pub fn new(way: Way, load_ratio: f64) -> Self {
        Self {
            way,
            speeds: vec![0.5, 1.0, 1.0, 1.5],
            zones: vec![0, 0, 1, 2],
            load_ratio,
            duration_us: 10_000_000,
            changes_work_time: true,
            follows_capacity: false,
            faults: Vec::new(),
        }
    }

    pub fn with_fault(mut self, at_us: u64, fault: Fault) -> Self {
        self.faults.push((at_us, fault));
        self
    }

    /// Requests that the targets can serve in a second, on average over the work times.
    fn capacity_per_s(&self) -> f64 {
        let usual_share = match self.changes_work_time {
            true => 1.0 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR,
            false => 1.0,
        };
        let speed: f64 = self.speeds.iter().sum();
        speed * usual_share * f64::from(SLOT_COUNT) * 1e6 / SERVICE_US
    }
}

/// Figures of a run.
#[derive(Debug, Default)]
pub struct Figures {
    /// Waits of the requests that started, with their time of start.
    pub waits_us: Vec<(u64, u64)>,
    pub busy_us: Vec<f64>,
    pub count: usize,
    pub outside_zone_count: usize,
    /// Refused requests, with their time.
    pub refusals_us: Vec<u64>,
    /// Requests sent to a target beyond a partition: time, sender and target.
    pub losses: Vec<(u64, usize, usize)>,
    /// Requests per target that started after the last fault.
    pub started_after_faults: Vec<usize>,
    pub figure_ages_us: Vec<u64>,
    /// Longest time for which a target had queued requests while another had idle slots.
    pub longest_imbalance_us: u64,
}

impl Figures {
    pub fn mean_wait_ms(&self) -> f64 {
        let sum: u64 = self.waits_us.iter().map(|(_, wait_us)| wait_us).sum();
        sum as f64 / 1e3 / self.waits_us.len().max(1) as f64
    }

    pub fn wait_ms(&self, share: f64) -> f64 {
        self.wait_between_ms(share, 0, u64::MAX)
    }

    pub fn wait_between_ms(&self, share: f64, start_us: u64, end_us: u64) -> f64 {
        let range = start_us..end_us;
        let waits = self
            .waits_us
            .iter()
            .filter(|(at_us, _)| range.contains(at_us));
        quantile(waits.map(|(_, wait_us)| *wait_us).collect(), share) as f64 / 1e3
    }

    pub fn max_over_mean(&self) -> f64 {
        let mean = self.busy_us.iter().sum::<f64>() / self.busy_us.len() as f64;
        self.busy_us.iter().copied().fold(0.0, f64::max) / mean
    }

    pub fn outside_zone_share(&self) -> f64 {
        self.outside_zone_count as f64 / self.count.max(1) as f64
    }
}

pub fn quantile(mut values: Vec<u64>, share: f64) -> u64 {
    values.sort_unstable();
    let index = (values.len() as f64 * share) as usize;
    values.get(index).or(values.last()).copied().unwrap_or(0)
}

struct Job {
    sender: usize,
    key: Option<TargetKey>,
    sent_us: u64,
    arrived_us: u64,
    target: usize,
    epoch: u32,
    service_us: f64,
}

struct Target {
    speed: f64,
    zone: usize,
    work_factor: f64,
    report: Report,
    running_count: u32,
    queue: VecDeque<Job>,
    mean_service_us: f64,
    is_removed: bool,
    queued_since_us: Option<u64>,
}

impl Target {
    fn level(&self) -> Option<AdmissionLevel> {
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

struct Sender {
    zone: usize,
    share: f64,
    router: ZoneRouter,
    keys: Vec<Option<TargetKey>>,
    /// Load ratios for the way that is not in the router, with the time of receipt.
    loads: Vec<Option<(f64, u64)>>,
    epoch: u32,
}

enum Event {
    Send(usize),
    Arrive(Job),
    End(Job),
    Response(Job, Option<AdmissionLevel>),
    Tick,
    Work,
    Fault(Fault),
}

struct Entry(u64, u64, Event);

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

/// A run.
pub struct Model {
    setup: Setup,
    targets: Vec<Target>,
    senders: Vec<Sender>,
    events: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
    now_us: u64,
    rng: StdRng,
    /// Separate, so that the work times are the same for all ways.
    work_rng: StdRng,
    cut_zone: Option<usize>,
    shared_queue: VecDeque<Job>,
    figures: Figures,
}

impl Model {
    pub fn run(setup: Setup) -> Figures {
        let mut model = Self::new(setup);
        while let Some(Reverse(Entry(at_us, _, event))) = model.events.pop() {
            if at_us > model.setup.duration_us {
                break;
            }
            model.now_us = at_us;
            model.handle(event);
        }
        model.figures
    }

    fn new(setup: Setup) -> Self {
        let mut rng = StdRng::seed_from_u64(11);
        let target_of = |(speed, zone): (&f64, &usize)| Target {
            speed: *speed,
            zone: *zone,
            work_factor: 1.0,
            report: Report::True,
            running_count: 0,
            queue: VecDeque::new(),
            mean_service_us: SERVICE_US / speed,
            is_removed: false,
            queued_since_us: None,
        };
        let targets: Vec<Target> = setup
            .speeds
            .iter()
            .zip(&setup.zones)
            .map(target_of)
            .collect();
        // Rates of 1 to 40, so that some senders get a figure of a target every few
        // milliseconds and others twice a second.
        let rates: Vec<f64> = (0..SENDER_COUNT)
            .map(|_| 40_f64.powf(rng.random::<f64>()))
            .collect();
        let rate_sum: f64 = rates.iter().sum();
        let senders = rates.iter().enumerate().map(|(index, rate)| Sender {
            zone: index % ZONE_COUNT,
            share: rate / rate_sum,
            router: ZoneRouter::new(),
            keys: Vec::new(),
            loads: Vec::new(),
            epoch: 0,
        });
        let mut model = Self {
            figures: Figures {
                busy_us: vec![0.0; targets.len()],
                started_after_faults: vec![0; targets.len()],
                ..Figures::default()
            },
            targets,
            senders: senders.collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            now_us: 0,
            rng,
            work_rng: StdRng::seed_from_u64(12),
            cut_zone: None,
            shared_queue: VecDeque::new(),
            setup,
        };
        for sender in 0..SENDER_COUNT {
            model.restart_sender(sender);
            model.schedule_send(sender);
        }
        model.schedule(TICK_US, Event::Tick);
        if model.setup.changes_work_time {
            model.schedule(WORK_PERIOD_US, Event::Work);
        }
        for (at_us, fault) in model.setup.faults.clone() {
            model.schedule(at_us, Event::Fault(fault));
        }
        model
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        let entry = Entry(self.now_us + delay_us, self.sequence, event);
        self.events.push(Reverse(entry));
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn schedule_send(&mut self, sender: usize) {
        let capacity_per_s = match self.setup.follows_capacity {
            true => self.current_capacity_per_s(),
            false => self.setup.capacity_per_s(),
        };
        let rate_per_us = capacity_per_s * self.setup.load_ratio * self.senders[sender].share / 1e6;
        let delay_us = self.exponential() / rate_per_us;
        self.schedule(delay_us as u64, Event::Send(sender));
    }

    fn current_capacity_per_s(&self) -> f64 {
        let speeds = self
            .targets
            .iter()
            .map(|target| target.speed / target.work_factor);
        speeds.sum::<f64>() * f64::from(SLOT_COUNT) * 1e6 / SERVICE_US
    }

    fn restart_sender(&mut self, sender: usize) {
        let choice = match self.setup.way {
            Way::CompletionOfTwo | Way::CompletionOfThree => TargetChoice::Completion,
            _ => TargetChoice::Latency,
        };
        let draw_count = match self.setup.way {
            Way::CompletionOfThree => 3,
            _ => 2,
        };
        let entry = &mut self.senders[sender];
        entry.epoch += 1;
        entry.loads = vec![None; self.targets.len()];
        entry.router = ZoneRouter::new()
            .with_target_choice(choice)
            .with_draw_count(draw_count);
        let infos = self.targets.iter().map(|target| TargetInfo {
            service: ServiceKey::new(0),
            zone: ZoneKey::new(target.zone as u16),
            region: RegionKey::new(0),
            distance: match target.zone == entry.zone {
                true => Distance::SameZone,
                false => Distance::SameRegion,
            },
            slot_count: SLOT_COUNT,
            draining: target.is_removed,
            starts_slowly: false,
        });
        let infos: Vec<TargetInfo> = infos.collect();
        entry.keys = infos
            .into_iter()
            .map(|info| Some(entry.router.add(info, self.now_us)))
            .collect();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(sender) => {
                self.send(sender);
                self.schedule_send(sender);
            }
            Event::Arrive(job) => {
                let target = job.target;
                let arrived_us = self.now_us;
                let is_removed = self.targets[target].is_removed;
                if is_removed {
                    self.respond(job);
                    return;
                }
                let job = Job { arrived_us, ..job };
                if self.setup.way == Way::OneQueue {
                    self.shared_queue.push_back(job);
                    for target in (0..self.targets.len()).rev() {
                        self.start_queued(target);
                    }
                    return;
                }
                self.targets[target].queue.push_back(job);
                self.start_queued(target);
            }
            Event::End(job) => {
                let target = job.target;
                let entry = &mut self.targets[target];
                entry.running_count -= 1;
                entry.mean_service_us += (job.service_us - entry.mean_service_us) / 16.0;
                self.start_queued(target);
                self.respond(job);
            }
            Event::Response(job, level) => self.receive(&job, level),
            Event::Tick => self.tick(),
            Event::Work => {
                for target in 0..self.targets.len() {
                    let is_slow = self.work_rng.random::<f64>() < SLOW_SHARE;
                    self.targets[target].work_factor = if is_slow { SLOW_FACTOR } else { 1.0 };
                }
                self.schedule(WORK_PERIOD_US, Event::Work);
            }
            Event::Fault(fault) => self.apply(fault),
        }
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Report(target, report) => self.targets[target].report = report,
            Fault::WorkFactor(target, factor) => self.targets[target].work_factor = factor,
            Fault::PartitionZone(zone) => self.cut_zone = Some(zone),
            Fault::Remove(target) => {
                self.targets[target].is_removed = true;
                let queue = std::mem::take(&mut self.targets[target].queue);
                for job in queue {
                    self.respond(job);
                }
                for sender in &mut self.senders {
                    if let Some(key) = sender.keys[target].take() {
                        sender.router.remove(key);
                    }
                }
            }
            Fault::RestartSenders => {
                for sender in 0..SENDER_COUNT {
                    self.restart_sender(sender);
                }
            }
        }
    }

    fn is_cut(&self, sender: usize, target: usize) -> bool {
        let (sender_zone, target_zone) = (self.senders[sender].zone, self.targets[target].zone);
        self.cut_zone.is_some_and(|zone| {
            sender_zone != target_zone && (sender_zone == zone || target_zone == zone)
        })
    }

    fn one_way_us(&self, sender: usize, target: usize) -> u64 {
        ONE_WAY_US[usize::from(self.senders[sender].zone != self.targets[target].zone)]
    }

    fn send(&mut self, sender: usize) {
        let picked = match self.setup.way {
            Way::WeightedByFreeSlots | Way::OneQueue => self.pick_by_free_slots(sender),
            _ => self.pick(sender),
        };
        self.figures.count += usize::from(self.now_us >= WARM_UP_US);
        let Some((target, key)) = picked else {
            self.figures.refusals_us.push(self.now_us);
            return;
        };
        if self.now_us >= WARM_UP_US {
            let is_outside = self.senders[sender].zone != self.targets[target].zone;
            self.figures.outside_zone_count += usize::from(is_outside);
            let received = self.senders[sender].loads[target];
            let age_us = received.map(|(_, received_us)| self.now_us - received_us);
            self.figures.figure_ages_us.extend(age_us);
        }
        let job = Job {
            sender,
            key,
            sent_us: self.now_us,
            arrived_us: self.now_us,
            target,
            epoch: self.senders[sender].epoch,
            service_us: 0.0,
        };
        if self.is_cut(sender, target) {
            // Nothing comes back; the attempt ends at its deadline.
            self.figures.losses.push((self.now_us, sender, target));
            self.schedule(DEADLINE_US, Event::Response(job, None));
        } else {
            self.schedule(self.one_way_us(sender, target), Event::Arrive(job));
        }
    }

    fn pick(&mut self, sender: usize) -> Option<(usize, Option<TargetKey>)> {
        let entry = &mut self.senders[sender];
        let request = RouteRequest {
            service: ServiceKey::new(0),
            class: Class::Standard,
            regions: RegionSet::ANY,
        };
        let key = entry
            .router
            .pick(request, &[], self.now_us, &mut self.rng)
            .ok()?;
        let target = entry.keys.iter().position(|other| *other == Some(key))?;
        Some((target, Some(key)))
    }

    /// Weighted random: each target with a probability in proportion to its free slots by the
    /// last figure, at least one, over its service time.
    fn pick_by_free_slots(&mut self, sender: usize) -> Option<(usize, Option<TargetKey>)> {
        let entry = &self.senders[sender];
        let weight_of = |target: usize| {
            let load_ratio = entry.loads[target].map_or(0.0, |(load_ratio, _)| load_ratio);
            match entry.keys[target] {
                Some(_) => (1.0 - load_ratio).max(0.01) * self.targets[target].speed,
                None => 0.0,
            }
        };
        let weights: Vec<f64> = (0..self.targets.len()).map(weight_of).collect();
        let mut left = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        let target = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        })?;
        Some((target, None))
    }

    fn start_queued(&mut self, target: usize) {
        while self.targets[target].running_count < SLOT_COUNT {
            let shared = self
                .shared_queue
                .pop_front()
                .map(|job| Job { target, ..job });
            let Some(job) = shared.or_else(|| self.targets[target].queue.pop_front()) else {
                return;
            };
            // Two phases: service times vary by a factor of 0.7 around their mean.
            let size = (self.exponential() + self.exponential()) / 2.0;
            let entry = &mut self.targets[target];
            let service_us = SERVICE_US / entry.speed * entry.work_factor * size;
            entry.running_count += 1;
            if self.now_us >= WARM_UP_US {
                self.figures
                    .waits_us
                    .push((self.now_us, self.now_us - job.arrived_us));
                self.figures.busy_us[target] += service_us;
                let last_fault_us = self.setup.faults.last().map_or(0, |(at_us, _)| *at_us);
                self.figures.started_after_faults[target] +=
                    usize::from(self.now_us >= last_fault_us);
            }
            self.schedule(service_us as u64, Event::End(Job { service_us, ..job }));
        }
    }

    fn respond(&mut self, job: Job) {
        if self.is_cut(job.sender, job.target) {
            self.schedule(DEADLINE_US, Event::Response(job, None));
            return;
        }
        let level = self.targets[job.target].level();
        let delay_us = self.one_way_us(job.sender, job.target);
        self.schedule(delay_us, Event::Response(job, level));
    }

    fn receive(&mut self, job: &Job, level: Option<AdmissionLevel>) {
        let result = match (self.targets[job.target].is_removed, level) {
            (true, _) => AttemptResult::Refused,
            (false, None) if self.targets[job.target].report == Report::True => {
                AttemptResult::Failed
            }
            (false, _) => AttemptResult::Completed,
        };
        let now_us = self.now_us;
        let sender = &mut self.senders[job.sender];
        if sender.epoch != job.epoch {
            return;
        }
        if let Some(level) = level {
            let load_ratio = f64::from(level.load_percent) / 100.0;
            sender.loads[job.target] = Some((load_ratio, now_us));
        }
        let Some(key) = job.key else { return };
        let latency_us = now_us - job.sent_us;
        sender
            .router
            .end_attempt(key, result, latency_us, level, now_us);
        if let Some(level) = level {
            sender
                .router
                .record_level(key, Class::Standard, level, now_us);
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK_US, Event::Tick);
        for sender in 0..SENDER_COUNT {
            let cut: Vec<bool> = (0..self.targets.len())
                .map(|target| self.is_cut(sender, target))
                .collect();
            let entry = &mut self.senders[sender];
            entry.router.tick(self.now_us);
            for key in entry.router.check_silence(self.now_us).to_probe {
                let target = entry.keys.iter().position(|other| *other == Some(key));
                if target.is_some_and(|target| !cut[target]) {
                    entry.router.record_response(key, self.now_us);
                }
            }
        }
        self.record_imbalance();
    }

    fn record_imbalance(&mut self) {
        let now_us = self.now_us;
        let is_idle = |target: &Target| !target.is_removed && target.running_count < SLOT_COUNT;
        let has_idle = self.targets.iter().any(is_idle);
        for target in &mut self.targets {
            if target.queue.is_empty() || !has_idle {
                target.queued_since_us = None;
                continue;
            }
            let since_us = *target.queued_since_us.get_or_insert(now_us);
            if now_us >= WARM_UP_US {
                let longest_us = &mut self.figures.longest_imbalance_us;
                *longest_us = (*longest_us).max(now_us - since_us.max(WARM_UP_US));
            }
        }
    }
}
