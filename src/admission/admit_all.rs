//! Baseline policy without a limit.

use {
    super::{AdmissionPolicy, Arrival, Decision, LoadReport, TargetResult, TargetSize, TicketKey},
    crate::{
        arena::Arena,
        model::{AdmissionLevel, Class, Reason, Refusal},
    },
};

/// Starts every request at once. Baseline to compare other policies with.
#[derive(Debug)]
pub struct AdmitAll {
    running: Arena<TicketKey, Arrival>,
    draining: bool,
}

impl AdmissionPolicy for AdmitAll {
    fn new(_size: TargetSize) -> Self {
        Self {
            running: Arena::new(),
            draining: false,
        }
    }

    fn set_size(&mut self, _size: TargetSize, _restarted: bool, _now_us: u64) {}

    fn arrive(
        &mut self,
        arrival: Arrival,
        _now_us: u64,
        decisions: &mut Vec<Decision>,
    ) -> TicketKey {
        let ticket = self.running.insert(arrival);
        if self.draining {
            self.running.remove(ticket);
            decisions.push(Decision::Refuse(ticket, Refusal::not_run(Reason::Draining)));
        } else {
            decisions.push(Decision::Start(ticket));
        }
        ticket
    }

    fn withdraw(&mut self, ticket: TicketKey, _now_us: u64, _decisions: &mut Vec<Decision>) {
        self.running.remove(ticket);
    }

    fn end(
        &mut self,
        ticket: TicketKey,
        _result: TargetResult,
        _now_us: u64,
        _decisions: &mut Vec<Decision>,
    ) {
        self.running.remove(ticket);
    }

    fn tick(&mut self, _now_us: u64, _decisions: &mut Vec<Decision>) {}

    fn record_load_report(&mut self, _report: LoadReport) {}

    fn drain(&mut self) {
        self.draining = true;
    }

    fn refuse_waiting(&mut self, _now_us: u64, _decisions: &mut Vec<Decision>) {}

    fn level(&self, _class: Class, _now_us: u64) -> AdmissionLevel {
        AdmissionLevel {
            draining: self.draining,
            ..AdmissionLevel::idle()
        }
    }

    fn running_count(&self) -> usize {
        self.running.len()
    }

    fn waiting_count(&self) -> usize {
        0
    }
}
