//! The waiting requests of the adaptive policy: which starts next, and which are shed.

use {
    super::{Adaptive, MIN_REMAINING_RATIO, Ticket},
    crate::{
        admission::{
            AdmissionPolicy, Arrival, Decision, TicketKey, objective_queue::StartTerms,
            waiting_queue::WaitingQueue,
        },
        model::{CLASS_COUNT, Class, Reason},
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
/// Longest time that a request may be overtaken by all requests with less slack: half of the work
/// that may wait. Without it, a far objective would reach its turn only when the queue is full.
const MAX_OVERTAKEN_US: u64 = 250_000;
/// Time kept free between the expected end of a request and its objective, in mean service times.
const SPARE_SERVICE_RATIO: f64 = 1.0;

impl Adaptive {
    /// Whether the request could no longer finish by its deadline once its turn comes.
    ///
    /// Ahead of it are all requests of higher classes and, within its class, as many of each
    /// workspace as its own workspace has.
    pub(super) fn would_wait_past_deadline(&self, arrival: Arrival, now_us: u64) -> bool {
        if self.is_newest_first(arrival.class) {
            return false;
        }
        let queue = &self.queues[arrival.class.index()];
        let higher_count: usize = self.queues[arrival.class.index() + 1..]
            .iter()
            .map(WaitingQueue::len)
            .sum();
        let ahead_count = queue.ahead_count(arrival.workspace) + higher_count;
        let service_us = self.service_time.mean_us(now_us);
        let wait_us = ahead_count as f64 * service_us / f64::from(self.limit.count());
        let remaining_us = arrival.deadline_us.saturating_sub(now_us) as f64;
        ahead_count > 0 && wait_us + service_us * MIN_REMAINING_RATIO > remaining_us
    }

    /// Requests that may wait: those that the target can serve in [`MAX_QUEUED_WORK_US`].
    pub(super) fn capacity(&self, now_us: u64) -> usize {
        let limit = f64::from(self.limit.count());
        let servable_count =
            limit * MAX_QUEUED_WORK_US / self.service_time.mean_us(now_us).max(1.0);
        let min_count = MIN_WAITING_COUNT.max(self.limit.count() as usize / 2);
        (servable_count as usize).clamp(min_count.min(MAX_WAITING_COUNT), MAX_WAITING_COUNT)
    }

    pub(super) fn record_shed(&mut self, class: Class, now_us: u64) {
        let (waiting_count, capacity) = (self.waiting_count(), self.capacity(now_us));
        self.threshold
            .record_shed(class, waiting_count, capacity, now_us);
    }

    pub(super) fn record_demand(&mut self, now_us: u64) {
        let count = |class: Class| {
            self.queues[class.index()].len() + self.running_counts[class.index()] as usize
        };
        let critical_request_count = count(Class::Critical);
        let urgent_request_count = critical_request_count + count(Class::Standard);
        self.reserve.record_demand(critical_request_count, now_us);
        self.urgent_demand.record(urgent_request_count, now_us);
    }

    /// Browse requests that may run at the same time.
    pub(super) fn browse_limit(&self, now_us: u64) -> u32 {
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
    pub(super) fn browse_capacity(&self, now_us: u64) -> usize {
        let limit = f64::from(self.browse_limit(now_us));
        let servable_count =
            limit * MAX_QUEUED_WORK_US / self.browse_service_time.mean_us(now_us).max(1.0);
        (servable_count as usize).max(MIN_BROWSE_WAITING_COUNT)
    }

    pub(super) fn start_waiting(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        while let Some(class) = self.next_class(now_us) {
            let newest_first = self.is_newest_first(class);
            let Self {
                queues,
                tickets,
                service_time,
                ..
            } = self;
            let Some(ticket) =
                queues[class.index()].pop(newest_first, now_us, service_time, |ticket| {
                    tickets.get(ticket).is_some()
                })
            else {
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
            self.record_start_by_objective(arrival, now_us);
            self.running_counts[class.index()] += 1;
            // Unused reserved slots count as in use. Otherwise the limit would never appear to be
            // reached, and never grow, while only browse requests arrive.
            let in_use = self.running_counts.iter().sum::<u32>() + self.unused_reserve(now_us);
            self.limit.record_start(in_use);
            decisions.push(Decision::Start(ticket));
        }
    }

    /// Highest class that has waiting requests and may start one now.
    pub(super) fn next_class(&self, now_us: u64) -> Option<Class> {
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

    pub(super) fn unused_reserve(&self, now_us: u64) -> u32 {
        let critical_request_count = self.running_counts[Class::Critical.index()];
        self.reserve
            .slot_count(self.limit.count(), now_us)
            .saturating_sub(critical_request_count)
    }

    /// Sheds waiting requests, lowest class first, until the queues are within their limits.
    pub(super) fn shed_excess(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
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
    pub(super) fn class_to_shed(&self, now_us: u64) -> Option<Class> {
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

    pub(super) fn refuse_expired(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        for queue in &mut self.queues {
            queue.move_late(now_us);
        }
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
            self.remove_waiting(ticket);
            let refusal = self.refusal(ticket, reason, now_us);
            decisions.push(Decision::Refuse(ticket, refusal));
        }
        self.browse_delay.record(oldest_browse_us, now_us);
    }

    pub(super) fn is_newest_first(&self, class: Class) -> bool {
        class == Class::Browse && self.browse_delay.is_sustained()
    }

    pub(super) fn waiting_requests(&self) -> Vec<(TicketKey, Ticket)> {
        self.tickets
            .iter()
            .filter(|(_, request)| request.started_us.is_none())
            .map(|(ticket, request)| (ticket, *request))
            .collect()
    }

    /// Removes a waiting request that was withdrawn or refused.
    pub(super) fn remove_waiting(&mut self, ticket: TicketKey) {
        let Some(Ticket { arrival, terms, .. }) = self.tickets.remove(ticket) else {
            return;
        };
        let Self {
            queues, tickets, ..
        } = self;
        queues[arrival.class.index()].record_removal(arrival.workspace, ticket, terms, |ticket| {
            tickets.get(ticket).is_some()
        });
    }

    /// Terms on which an arriving request waits. An objective that cannot be expected to be met
    /// even by a start at once does not count: such a request keeps its order of arrival.
    pub(super) fn start_terms(&self, arrival: Arrival, now_us: u64) -> StartTerms {
        let remaining_us = arrival.deadline_us.saturating_sub(now_us);
        let may_wait_us = remaining_us.min(MAX_WAIT_US[arrival.class.index()]);
        let service_us = self.expected_us(arrival, now_us);
        let slack_us = objective_us(arrival)
            .and_then(|objective_us| objective_us.checked_sub(now_us + service_us));
        // Service times differ: starts at the last moment by the mean would miss half of the
        // objectives. Half of the slack is left for waiting even if the objective is short.
        let latest_start_us = slack_us.map(|slack_us| {
            let spare_us = (slack_us / 2).min((service_us as f64 * SPARE_SERVICE_RATIO) as u64);
            now_us + slack_us - spare_us
        });
        StartTerms {
            latest_start_us,
            overdue_from_us: now_us + (may_wait_us / 2).min(MAX_OVERTAKEN_US),
        }
    }

    /// Counts a start after which the request is expected to miss its objective.
    fn record_start_by_objective(&mut self, arrival: Arrival, now_us: u64) {
        let end_us = now_us + self.expected_us(arrival, now_us);
        if objective_us(arrival).is_some_and(|objective_us| objective_us < end_us) {
            self.late_start_count += 1;
        }
    }

    fn expected_us(&self, arrival: Arrival, now_us: u64) -> u64 {
        let workspace_index = arrival.workspace.index();
        self.service_time.expected_us(workspace_index, now_us)
    }
}

/// The objective; one beyond the deadline counts as the deadline.
fn objective_us(arrival: Arrival) -> Option<u64> {
    let objective_us = arrival.objective_us?;
    Some(objective_us.min(arrival.deadline_us))
}
