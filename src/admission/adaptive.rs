//! Admission by an adaptive concurrency limit, with one queue per class, slots reserved for
//! critical requests and fair queuing across workspaces.

use {
    super::{
        AdmissionPolicy, Arrival, Decision, LoadReport, TargetResult, TargetSize, TicketKey,
        delay::SustainedDelay, limit::ConcurrencyLimit, queue::ClassQueue,
        queueing_delay::queueing_delay_us, reserve::Reserve, retry_after::retry_after_ms,
        service_time::ServiceTime, threshold::AdmissionThreshold, urgent_demand::UrgentDemand,
    },
    crate::{
        arena::{Arena, ArenaKey},
        model::{AdmissionLevel, CLASS_COUNT, Class, Reason, Refusal},
    },
};

/// Longest time that the queued requests of all classes may take at the current service rate.
const MAX_QUEUED_WORK_US: f64 = 500_000.0;
/// Most requests that may wait at any service rate; bounds memory.
const MAX_WAITING_COUNT: usize = 4096;
/// Fewest requests that may wait.
const MIN_WAITING_COUNT: usize = 8;
/// Mean service time of browse requests over that of higher classes above which browse
/// requests may use only the slots that higher classes leave free.
const SLOW_BROWSE_RATIO: f64 = 3.0;
/// Fewest browse requests that may wait.
const MIN_BROWSE_WAITING_COUNT: usize = 2;
/// Longest wait of each class, in order of [`Class::ALL`].
const MAX_WAIT_US: [u64; CLASS_COUNT] = [1_000_000, 1_000_000, 5_000_000];
/// Remaining time over the mean service time below which a request cannot finish by its deadline.
const MIN_REMAINING_RATIO: f64 = 0.5;

/// A waiting or running request.
#[derive(Debug, Clone, Copy)]
struct Ticket {
    arrival: Arrival,
    arrived_us: u64,
    started_us: Option<u64>,
}

/// Adaptive admission policy of one target.
#[derive(Debug)]
pub struct Adaptive {
    tickets: Arena<TicketKey, Ticket>,
    limit: ConcurrencyLimit,
    queues: [ClassQueue; CLASS_COUNT],
    running_counts: [u32; CLASS_COUNT],
    reserve: Reserve,
    threshold: AdmissionThreshold,
    service_time: ServiceTime,
    browse_delay: SustainedDelay,
    browse_service_time: ServiceTime,
    urgent_service_time: ServiceTime,
    urgent_demand: UrgentDemand,
    draining: bool,
}

impl AdmissionPolicy for Adaptive {
    fn new(size: TargetSize) -> Self {
        Self {
            tickets: Arena::new(),
            limit: ConcurrencyLimit::new(size),
            queues: std::array::from_fn(|_| ClassQueue::new()),
            running_counts: [0; CLASS_COUNT],
            reserve: Reserve::new(),
            threshold: AdmissionThreshold::new(),
            service_time: ServiceTime::new(),
            browse_delay: SustainedDelay::new(),
            browse_service_time: ServiceTime::new(),
            urgent_service_time: ServiceTime::new(),
            urgent_demand: UrgentDemand::new(),
            draining: false,
        }
    }

    fn set_size(&mut self, size: TargetSize, restarted: bool, now_us: u64) {
        self.limit.set_size(size, restarted, now_us);
        if restarted {
            self.service_time = ServiceTime::new();
            self.browse_service_time = ServiceTime::new();
            self.urgent_service_time = ServiceTime::new();
        }
    }

    fn arrive(
        &mut self,
        arrival: Arrival,
        now_us: u64,
        decisions: &mut Vec<Decision>,
    ) -> TicketKey {
        let ticket = self.tickets.insert(Ticket {
            arrival,
            arrived_us: now_us,
            started_us: None,
        });
        if self.draining {
            self.refuse(ticket, Reason::Draining, now_us, decisions);
        } else if self.cannot_finish_by_deadline(arrival, now_us) {
            self.refuse(ticket, Reason::TooLate, now_us, decisions);
        } else if self.would_wait_past_deadline(arrival, now_us) {
            self.record_shed(arrival.class, now_us);
            self.refuse(ticket, Reason::Overloaded, now_us, decisions);
        } else {
            self.queues[arrival.class.index()].push(arrival.workspace, ticket);
            self.record_demand(now_us);
            self.start_waiting(now_us, decisions);
            self.shed_excess(now_us, decisions);
        }
        ticket
    }

    fn withdraw(&mut self, ticket: TicketKey, now_us: u64, decisions: &mut Vec<Decision>) {
        let Some(request) = self.tickets.get(ticket).copied() else {
            return;
        };
        if request.started_us.is_some() {
            self.end(ticket, TargetResult::Cancelled, now_us, decisions);
        } else {
            self.tickets.remove(ticket);
            self.remove_waiting(request.arrival);
        }
    }

    fn end(
        &mut self,
        ticket: TicketKey,
        result: TargetResult,
        now_us: u64,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(Ticket {
            arrival,
            started_us: Some(started_us),
            ..
        }) = self.tickets.get(ticket).copied()
        else {
            return;
        };
        self.tickets.remove(ticket);
        self.running_counts[arrival.class.index()] -= 1;
        self.record_result(arrival, result, started_us, now_us);
        self.start_waiting(now_us, decisions);
    }

    fn tick(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        self.limit.tick(now_us);
        self.refuse_expired(now_us, decisions);
        self.record_demand(now_us);
        self.start_waiting(now_us, decisions);
        self.threshold
            .tick(self.waiting_count(), self.capacity(now_us), now_us);
    }

    fn record_load_report(&mut self, report: LoadReport) {
        self.limit.record_load_report(report);
    }

    fn drain(&mut self) {
        self.draining = true;
    }

    fn refuse_waiting(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        let waiting_requests = self.waiting_requests();
        for (ticket, request) in waiting_requests {
            self.remove_refused(ticket, request.arrival);
            let refusal = self.refusal(ticket, Reason::Draining, now_us);
            decisions.push(Decision::Refuse(ticket, refusal));
        }
    }

    fn level(&self, class: Class, now_us: u64) -> AdmissionLevel {
        let waiting_counts = self.queues[class.index()..].iter().map(ClassQueue::len);
        let ahead_count = waiting_counts.sum::<usize>();
        let request_count = self.running_count() + ahead_count;
        let reserved_count = match class {
            Class::Critical => 0,
            Class::Standard | Class::Browse => self.unused_reserve(now_us) as usize,
        };
        let load_percent = request_count * 100 / self.limit.count() as usize;
        AdmissionLevel {
            lowest_class: self.threshold.lowest_class(),
            load_percent: u16::try_from(load_percent).unwrap_or(u16::MAX),
            draining: self.draining,
            work_time_percent: self.limit.work_time_percent(now_us),
            wait_us: queueing_delay_us(
                ahead_count,
                self.running_count() + reserved_count,
                self.limit.count(),
                self.service_time.mean_us(now_us),
            ),
            ..AdmissionLevel::idle()
        }
    }

    fn running_count(&self) -> usize {
        self.running_counts.iter().sum::<u32>() as usize
    }

    fn waiting_count(&self) -> usize {
        self.queues.iter().map(ClassQueue::len).sum()
    }
}

impl Adaptive {
    /// Requests that may currently run at the same time.
    #[must_use]
    pub fn limit_count(&self) -> u32 {
        self.limit.count()
    }

    fn record_result(
        &mut self,
        arrival: Arrival,
        result: TargetResult,
        started_us: u64,
        now_us: u64,
    ) {
        let latency_us = now_us.saturating_sub(started_us) as f64;
        let is_sample = match result {
            TargetResult::Completed => true,
            // The latency of a request cancelled while running is a lower bound. Without these
            // samples, only fast requests would count while a slow target times out.
            TargetResult::Cancelled => latency_us > self.service_time.mean_us(now_us),
            TargetResult::Shed | TargetResult::Failed => false,
        };
        if is_sample {
            self.service_time
                .record(arrival.workspace, latency_us, now_us);
            let class_service_time = match arrival.class {
                Class::Browse => &mut self.browse_service_time,
                Class::Standard | Class::Critical => &mut self.urgent_service_time,
            };
            class_service_time.record(arrival.workspace, latency_us, now_us);
            let was_cancelled = result == TargetResult::Cancelled;
            self.limit.record_end(started_us, was_cancelled, now_us);
        } else if result == TargetResult::Shed {
            self.limit.record_shed();
        }
    }

    fn cannot_finish_by_deadline(&self, arrival: Arrival, now_us: u64) -> bool {
        let remaining_us = arrival.deadline_us.saturating_sub(now_us) as f64;
        remaining_us <= 0.0
            || (self.service_time.is_known()
                && remaining_us < self.service_time.mean_us(now_us) * MIN_REMAINING_RATIO)
    }

    /// Whether the request could no longer finish by its deadline once its turn comes.
    ///
    /// Ahead of it are all requests of higher classes and, within its class, as many of each
    /// workspace as its own workspace has.
    fn would_wait_past_deadline(&self, arrival: Arrival, now_us: u64) -> bool {
        if self.is_newest_first(arrival.class) {
            return false;
        }
        let queue = &self.queues[arrival.class.index()];
        let own_class_count = queue.workspace_len(arrival.workspace) * queue.workspace_count();
        let higher_count: usize = self.queues[arrival.class.index() + 1..]
            .iter()
            .map(ClassQueue::len)
            .sum();
        let ahead_count = own_class_count.min(queue.len()) + higher_count;
        let service_us = self.service_time.mean_us(now_us);
        let wait_us = ahead_count as f64 * service_us / f64::from(self.limit.count());
        let remaining_us = arrival.deadline_us.saturating_sub(now_us) as f64;
        ahead_count > 0 && wait_us + service_us * MIN_REMAINING_RATIO > remaining_us
    }

    /// Requests that may wait: those that the target can serve in [`MAX_QUEUED_WORK_US`].
    fn capacity(&self, now_us: u64) -> usize {
        let limit = f64::from(self.limit.count());
        let servable_count =
            limit * MAX_QUEUED_WORK_US / self.service_time.mean_us(now_us).max(1.0);
        let min_count = MIN_WAITING_COUNT.max(self.limit.count() as usize / 2);
        (servable_count as usize).clamp(min_count.min(MAX_WAITING_COUNT), MAX_WAITING_COUNT)
    }

    fn record_shed(&mut self, class: Class, now_us: u64) {
        let (waiting_count, capacity) = (self.waiting_count(), self.capacity(now_us));
        self.threshold
            .record_shed(class, waiting_count, capacity, now_us);
    }

    fn record_demand(&mut self, now_us: u64) {
        let count = |class: Class| {
            self.queues[class.index()].len() + self.running_counts[class.index()] as usize
        };
        let critical_request_count = count(Class::Critical);
        let urgent_request_count = critical_request_count + count(Class::Standard);
        self.reserve.record_demand(critical_request_count, now_us);
        self.urgent_demand.record(urgent_request_count, now_us);
    }

    /// Browse requests that may run at the same time.
    fn browse_limit(&self, now_us: u64) -> u32 {
        let limit = self.limit.count();
        let urgent_service_us = self.urgent_service_time.mean_us(now_us);
        // Slots that browse requests free quickly need not stay idle, and a limit that is still
        // being estimated does not show how many slots there are.
        let is_browse_slow = self.limit.is_exact()
            && self.urgent_service_time.is_known()
            && self.browse_service_time.mean_us(now_us) > urgent_service_us * SLOW_BROWSE_RATIO;
        match is_browse_slow {
            true => {
                let limit = limit.saturating_sub(self.unused_reserve(now_us));
                self.urgent_demand.browse_slot_count(limit, now_us)
            }
            false => limit,
        }
    }

    /// Browse requests that may wait: those that can be served in [`MAX_QUEUED_WORK_US`].
    fn browse_capacity(&self, now_us: u64) -> usize {
        let limit = f64::from(self.browse_limit(now_us));
        let servable_count =
            limit * MAX_QUEUED_WORK_US / self.browse_service_time.mean_us(now_us).max(1.0);
        (servable_count as usize).max(MIN_BROWSE_WAITING_COUNT)
    }

    fn start_waiting(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        while let Some(class) = self.next_class(now_us) {
            let newest_first = self.is_newest_first(class);
            let Self {
                queues,
                tickets,
                service_time,
                ..
            } = self;
            let Some(ticket) = queues[class.index()].pop(
                newest_first,
                |ticket| tickets.get(ticket).is_some(),
                |workspace_index| service_time.cost_ratio(workspace_index),
            ) else {
                return;
            };
            let Some(request) = self.tickets.get_mut(ticket) else {
                continue;
            };
            let arrival = request.arrival;
            request.started_us = Some(now_us);
            if self.cannot_finish_by_deadline(arrival, now_us) {
                self.refuse(ticket, Reason::TooLate, now_us, decisions);
                continue;
            }
            self.running_counts[class.index()] += 1;
            // Unused reserved slots count as in use. Otherwise the limit would never appear to be
            // reached, and never grow, while only browse requests arrive.
            let in_use = self.running_counts.iter().sum::<u32>() + self.unused_reserve(now_us);
            self.limit.record_start(in_use);
            decisions.push(Decision::Start(ticket));
        }
    }

    /// Highest class that has waiting requests and may start one now.
    fn next_class(&self, now_us: u64) -> Option<Class> {
        let limit = self.limit.count();
        let running_count: u32 = self.running_counts.iter().sum();
        if running_count >= limit {
            return None;
        }
        let browse_count = self.running_counts[Class::Browse.index()];
        let is_at_browse_limit =
            |class| class == Class::Browse && browse_count >= self.browse_limit(now_us);
        let class = Class::ALL
            .into_iter()
            .rev()
            .find(|class| !self.queues[class.index()].is_empty() && !is_at_browse_limit(*class))?;
        if class == Class::Critical {
            return Some(class);
        }
        (running_count + self.unused_reserve(now_us) < limit).then_some(class)
    }

    fn unused_reserve(&self, now_us: u64) -> u32 {
        let critical_request_count = self.running_counts[Class::Critical.index()];
        self.reserve
            .slot_count(self.limit.count(), now_us)
            .saturating_sub(critical_request_count)
    }

    /// Sheds waiting requests, lowest class first, until the queues are within their limits.
    fn shed_excess(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        while let Some(class) = self.class_to_shed(now_us) {
            let newest_first = self.is_newest_first(class);
            let Self {
                queues, tickets, ..
            } = self;
            let queue = &mut queues[class.index()];
            let Some(ticket) =
                queue.pop_to_shed(newest_first, |ticket| tickets.get(ticket).is_some())
            else {
                return;
            };
            self.record_shed(class, now_us);
            self.refuse(ticket, Reason::Overloaded, now_us, decisions);
        }
    }

    /// Class to shed a waiting request of, if too many wait.
    fn class_to_shed(&self, now_us: u64) -> Option<Class> {
        let browse_count = self.queues[Class::Browse.index()].len();
        let is_browse_limited = self.browse_limit(now_us) < self.limit.count();
        if is_browse_limited && browse_count > self.browse_capacity(now_us) {
            return Some(Class::Browse);
        }
        if self.waiting_count() <= self.capacity(now_us) {
            return None;
        }
        Class::ALL
            .into_iter()
            .find(|class| !self.queues[class.index()].is_empty())
    }

    fn refuse_expired(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        let mut oldest_browse_us = 0;
        for (ticket, request) in self.waiting_requests() {
            let waited_us = now_us.saturating_sub(request.arrived_us);
            let reason = if self.cannot_finish_by_deadline(request.arrival, now_us) {
                Reason::TooLate
            } else if waited_us > MAX_WAIT_US[request.arrival.class.index()] {
                Reason::Overloaded
            } else {
                if request.arrival.class == Class::Browse {
                    oldest_browse_us = oldest_browse_us.max(waited_us);
                }
                continue;
            };
            self.remove_refused(ticket, request.arrival);
            let refusal = self.refusal(ticket, reason, now_us);
            decisions.push(Decision::Refuse(ticket, refusal));
        }
        self.browse_delay.record(oldest_browse_us, now_us);
    }

    fn is_newest_first(&self, class: Class) -> bool {
        class == Class::Browse && self.browse_delay.is_sustained()
    }

    fn waiting_requests(&self) -> Vec<(TicketKey, Ticket)> {
        self.tickets
            .iter()
            .filter(|(_, request)| request.started_us.is_none())
            .map(|(ticket, request)| (ticket, *request))
            .collect()
    }

    fn remove_refused(&mut self, ticket: TicketKey, arrival: Arrival) {
        self.tickets.remove(ticket);
        self.remove_waiting(arrival);
    }

    fn remove_waiting(&mut self, arrival: Arrival) {
        let Self {
            queues, tickets, ..
        } = self;
        queues[arrival.class.index()]
            .record_removal(arrival.workspace, |ticket| tickets.get(ticket).is_some());
    }

    fn refuse(
        &mut self,
        ticket: TicketKey,
        reason: Reason,
        now_us: u64,
        decisions: &mut Vec<Decision>,
    ) {
        self.tickets.remove(ticket);
        let refusal = self.refusal(ticket, reason, now_us);
        decisions.push(Decision::Refuse(ticket, refusal));
    }

    /// A refusal whose retry time is when the queue will be empty, spread over tickets so that
    /// callers do not all retry at once.
    fn refusal(&self, ticket: TicketKey, reason: Reason, now_us: u64) -> Refusal {
        let waiting_per_slot = self.waiting_count() as f64 / f64::from(self.limit.count());
        let backlog_ms = waiting_per_slot * self.service_time.mean_us(now_us) / 1000.0;
        let spread_step =
            (ticket.index() as u32).wrapping_add(ticket.generation().wrapping_mul(31));
        Refusal::not_run(reason).with_retry_after_ms(retry_after_ms(backlog_ms, spread_step))
    }
}
