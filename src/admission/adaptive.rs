//! Admission by an adaptive concurrency limit, with one queue per class, slots reserved for
//! critical requests and fair queuing across workspaces.

mod waiting;

use {
    super::{
        AdmissionPolicy, Arrival, Decision, LoadReport, TargetResult, TargetSize, TicketKey,
        delay::SustainedDelay,
        limit::ConcurrencyLimit,
        objective_queue::StartTerms,
        queueing_delay::queueing_delay_us,
        reserve::Reserve,
        retry_after::retry_after_ms,
        service_time::ServiceTime,
        supply::{SupplyEstimate, TargetState},
        threshold::AdmissionThreshold,
        urgent_demand::UrgentDemand,
        waiting_queue::WaitingQueue,
    },
    crate::{
        arena::{Arena, ArenaKey},
        model::{AdmissionLevel, CLASS_COUNT, Class, Reason, Refusal},
        settings::QueueOrder,
    },
};

/// Utilisation that supply is measured for. The reserve keeps 5 % of the slots free in any case;
/// a ratio of 1 therefore leaves a queue of a twentieth of the window, about 10 ms, which keeps
/// the other slots in use. With 0.95, 4 % of them were idle while requests were refused.
const DESIRED_UTILISATION: f64 = 1.0;
/// Remaining time over the mean service time below which a request cannot finish by its deadline.
const MIN_REMAINING_RATIO: f64 = 0.5;

/// A waiting or running request.
#[derive(Debug, Clone, Copy)]
struct Ticket {
    arrival: Arrival,
    arrived_us: u64,
    terms: StartTerms,
    started_us: Option<u64>,
}

/// Adaptive admission policy of one target.
#[derive(Debug)]
pub struct Adaptive {
    tickets: Arena<TicketKey, Ticket>,
    limit: ConcurrencyLimit,
    queues: [WaitingQueue; CLASS_COUNT],
    running_counts: [u32; CLASS_COUNT],
    reserve: Reserve,
    threshold: AdmissionThreshold,
    service_time: ServiceTime,
    browse_delay: SustainedDelay,
    browse_service_time: ServiceTime,
    urgent_service_time: ServiceTime,
    urgent_demand: UrgentDemand,
    supply: SupplyEstimate,
    draining: bool,
    late_start_count: u64,
}

impl AdmissionPolicy for Adaptive {
    fn new(size: TargetSize) -> Self {
        Self {
            tickets: Arena::new(),
            limit: ConcurrencyLimit::new(size),
            queues: std::array::from_fn(|_| WaitingQueue::new(QueueOrder::Arrival)),
            running_counts: [0; CLASS_COUNT],
            reserve: Reserve::new(),
            threshold: AdmissionThreshold::new(),
            service_time: ServiceTime::new(),
            browse_delay: SustainedDelay::new(),
            browse_service_time: ServiceTime::new(),
            urgent_service_time: ServiceTime::new(),
            urgent_demand: UrgentDemand::new(),
            supply: SupplyEstimate::new(),
            draining: false,
            late_start_count: 0,
        }
    }

    fn with_queue_order(mut self, order: QueueOrder) -> Self {
        self.queues = std::array::from_fn(|_| WaitingQueue::new(order));
        self
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
        let terms = self.start_terms(arrival, now_us);
        let ticket = self.tickets.insert(Ticket {
            arrival,
            arrived_us: now_us,
            terms,
            started_us: None,
        });
        if self.draining {
            self.refuse(ticket, Reason::Draining, now_us, decisions);
        } else if self.cannot_finish_by_deadline(arrival, now_us) {
            self.refuse(ticket, Reason::TooLate, now_us, decisions);
        } else if self.would_wait_past_deadline(arrival, now_us) {
            self.supply.record_arrival(now_us);
            self.record_shed(arrival.class, now_us);
            self.refuse(ticket, Reason::Overloaded, now_us, decisions);
        } else {
            self.supply.record_arrival(now_us);
            self.queues[arrival.class.index()].push(arrival.workspace, ticket, terms);
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
            self.remove_waiting(ticket);
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
        for (ticket, _) in waiting_requests {
            self.remove_waiting(ticket);
            let refusal = self.refusal(ticket, Reason::Draining, now_us);
            decisions.push(Decision::Refuse(ticket, refusal));
        }
    }

    fn level(&self, class: Class, now_us: u64) -> AdmissionLevel {
        let waiting_counts = self.queues[class.index()..].iter().map(WaitingQueue::len);
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
            supply_percent: self.supply_percent(now_us),
            ..AdmissionLevel::idle()
        }
    }

    fn running_count(&self) -> usize {
        self.running_counts.iter().sum::<u32>() as usize
    }

    fn waiting_count(&self) -> usize {
        self.queues.iter().map(WaitingQueue::len).sum()
    }

    fn late_start_count(&self) -> u64 {
        self.late_start_count
    }
}

impl Adaptive {
    /// Requests that may currently run at the same time.
    #[must_use]
    pub fn limit_count(&self) -> u32 {
        self.limit.count()
    }

    fn supply_percent(&self, now_us: u64) -> u16 {
        let is_known = self.service_time.is_known();
        let state = TargetState {
            service_us: is_known.then(|| self.service_time.mean_us(now_us)),
            waiting_count: self.waiting_count(),
            slot_count: self.limit.count(),
            desired_utilisation: DESIRED_UTILISATION,
        };
        self.supply.percent(state, now_us)
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
