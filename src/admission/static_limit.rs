//! Baseline policy with a fixed limit and one first-in-first-out queue.

use {
    super::{AdmissionPolicy, Arrival, Decision, LoadReport, TargetResult, TargetSize, TicketKey},
    crate::{
        arena::Arena,
        model::{AdmissionLevel, Class, Reason, Refusal},
    },
    std::collections::VecDeque,
};

/// Requests that may wait per slot.
const MAX_WAITING_PER_SLOT: u32 = 4;
/// Retry time sent to refused callers.
const RETRY_AFTER_MS: u32 = 1000;

#[derive(Debug, Clone, Copy)]
struct Ticket {
    deadline_us: u64,
    is_running: bool,
}

/// Runs as many requests as the target has slots; the others wait in order of arrival. Baseline
/// to compare other policies with.
#[derive(Debug)]
pub struct StaticLimit {
    tickets: Arena<TicketKey, Ticket>,
    queue: VecDeque<TicketKey>,
    limit: u32,
    running_count: usize,
    draining: bool,
}

impl AdmissionPolicy for StaticLimit {
    fn new(size: TargetSize) -> Self {
        Self {
            tickets: Arena::new(),
            queue: VecDeque::new(),
            limit: size.slot_count.max(1),
            running_count: 0,
            draining: false,
        }
    }

    fn set_size(&mut self, size: TargetSize, _restarted: bool, _now_us: u64) {
        self.limit = size.slot_count.max(1);
    }

    fn arrive(
        &mut self,
        arrival: Arrival,
        now_us: u64,
        decisions: &mut Vec<Decision>,
    ) -> TicketKey {
        let ticket = self.tickets.insert(Ticket {
            deadline_us: arrival.deadline_us,
            is_running: false,
        });
        if self.draining {
            self.refuse(ticket, Reason::Draining, decisions);
        } else if self.queue.len() >= (self.limit * MAX_WAITING_PER_SLOT) as usize {
            self.refuse(ticket, Reason::Overloaded, decisions);
        } else {
            self.queue.push_back(ticket);
            self.start_waiting(now_us, decisions);
        }
        ticket
    }

    fn withdraw(&mut self, ticket: TicketKey, now_us: u64, decisions: &mut Vec<Decision>) {
        match self.tickets.get(ticket) {
            Some(request) if request.is_running => {
                self.end(ticket, TargetResult::Cancelled, now_us, decisions);
            }
            Some(_) => {
                self.tickets.remove(ticket);
                self.queue.retain(|waiting| *waiting != ticket);
            }
            None => {}
        }
    }

    fn end(
        &mut self,
        ticket: TicketKey,
        _result: TargetResult,
        now_us: u64,
        decisions: &mut Vec<Decision>,
    ) {
        if self
            .tickets
            .get(ticket)
            .is_some_and(|request| request.is_running)
        {
            self.tickets.remove(ticket);
            self.running_count -= 1;
            self.start_waiting(now_us, decisions);
        }
    }

    fn tick(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        self.start_waiting(now_us, decisions);
    }

    fn record_load_report(&mut self, _report: LoadReport) {}

    fn drain(&mut self) {
        self.draining = true;
    }

    fn refuse_waiting(&mut self, _now_us: u64, decisions: &mut Vec<Decision>) {
        while let Some(ticket) = self.queue.pop_front() {
            self.refuse(ticket, Reason::Draining, decisions);
        }
    }

    fn level(&self, _class: Class, _now_us: u64) -> AdmissionLevel {
        let load_percent = (self.running_count + self.queue.len()) * 100 / self.limit as usize;
        AdmissionLevel {
            lowest_class: Class::Browse,
            load_percent: u16::try_from(load_percent).unwrap_or(u16::MAX),
            draining: self.draining,
            ..AdmissionLevel::idle()
        }
    }

    fn running_count(&self) -> usize {
        self.running_count
    }

    fn waiting_count(&self) -> usize {
        self.queue.len()
    }
}

impl StaticLimit {
    fn start_waiting(&mut self, now_us: u64, decisions: &mut Vec<Decision>) {
        while self.running_count < self.limit as usize {
            let Some(ticket) = self.queue.pop_front() else {
                return;
            };
            let Some(request) = self.tickets.get_mut(ticket) else {
                continue;
            };
            if request.deadline_us <= now_us {
                self.refuse(ticket, Reason::TooLate, decisions);
                continue;
            }
            request.is_running = true;
            self.running_count += 1;
            decisions.push(Decision::Start(ticket));
        }
    }

    fn refuse(&mut self, ticket: TicketKey, reason: Reason, decisions: &mut Vec<Decision>) {
        self.tickets.remove(ticket);
        let refusal = Refusal::not_run(reason).with_retry_after_ms(RETRY_AFTER_MS);
        decisions.push(Decision::Refuse(ticket, refusal));
    }
}
