//! Senders with routers of their own and targets with FIFO queues, as a simulation of events.

use {
    super::{
        parts::{Entry, Event, Job, Sender, Target},
        setup::{
            Fault, Figures, Report, SENDER_COUNT, SERVICE_US, SLOT_COUNT, SLOW_FACTOR, SLOW_SHARE,
            Setup, WARM_UP_US, Way, ZONE_COUNT,
        },
    },
    dogwoodbridge::{
        model::{AdmissionLevel, Class, RegionSet, ServiceKey},
        routing::{AttemptResult, RoutePolicy, RouteRequest, TargetKey, ZoneRouter},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

const TICK_US: u64 = 10_000;
const WORK_PERIOD_US: u64 = 600_000;
const DEADLINE_US: u64 = 2_000_000;
const ONE_WAY_US: [u64; 2] = [100, 900];

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
        let mut rng = StdRng::seed_from_u64(setup.seed);
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
            work_rng: StdRng::seed_from_u64(setup.seed + 1),
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
        self.senders[sender].restart(self.setup.way, &self.targets, self.now_us);
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
            Event::Figure(sender, key, level) => {
                let now_us = self.now_us;
                self.senders[sender]
                    .router
                    .record_level(key, Class::Standard, level, now_us);
            }
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
            Way::WeightedByFreeSlots | Way::OneQueue => {
                self.senders[sender].pick_by_free_slots(&self.targets, &mut self.rng)
            }
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
            let delay_us = match self.setup.figure_delay_us.is_empty() {
                true => 0,
                false => self.rng.random_range(self.setup.figure_delay_us.clone()),
            };
            self.schedule(delay_us, Event::Figure(job.sender, key, level));
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
