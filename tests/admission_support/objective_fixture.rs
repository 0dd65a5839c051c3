//! A busy target with one slot, at which requests with given objectives wait.

use {
    crate::objective_model::{SECOND_US, SIZE, policy},
    dogwoodbridge::{
        admission::{
            Adaptive, AdmissionPolicy, Arrival, Decision, TargetResult, TargetSize, TicketKey,
        },
        model::{Class, WorkspaceKey},
        settings::QueueOrder,
    },
};

const SERVICE_US: u64 = 74_000;

/// A target with one slot that is busy, so that all further requests wait.
pub struct Fixture {
    pub policy: Adaptive,
    pub decisions: Vec<Decision>,
    pub now_us: u64,
    pub running: TicketKey,
}

impl Fixture {
    pub fn new(order: QueueOrder) -> Self {
        let size = TargetSize {
            slot_count: 1,
            ..SIZE
        };
        let mut policy = policy(size, order);
        let mut decisions = Vec::new();
        let mut now_us = SECOND_US;
        // The service time becomes known, and the last of these requests occupies the slot.
        let mut running = None;
        for _ in 0..3 {
            if let Some(ticket) = running {
                now_us += SERVICE_US;
                policy.end(ticket, TargetResult::Completed, now_us, &mut decisions);
            }
            let arrival = arrival(now_us, 0, 5_000, None);
            running = Some(policy.arrive(arrival, now_us, &mut decisions));
        }
        decisions.clear();
        Self {
            policy,
            decisions,
            now_us,
            running: running.expect("three requests arrived"),
        }
    }

    pub fn arrive(
        &mut self,
        workspace: u16,
        deadline_ms: u64,
        objective_ms: Option<i64>,
    ) -> TicketKey {
        let arrival = arrival(self.now_us, workspace, deadline_ms, objective_ms);
        self.policy
            .arrive(arrival, self.now_us, &mut self.decisions)
    }

    /// Ends the running request after a service time; returns the one that starts.
    pub fn next(&mut self) -> Option<TicketKey> {
        self.now_us += SERVICE_US;
        let result = TargetResult::Completed;
        self.policy
            .end(self.running, result, self.now_us, &mut self.decisions);
        let started = self
            .decisions
            .drain(..)
            .find_map(|decision| match decision {
                Decision::Start(ticket) => Some(ticket),
                Decision::Refuse(..) => None,
            })?;
        self.running = started;
        Some(started)
    }
}

pub fn arrival(
    now_us: u64,
    workspace: u16,
    deadline_ms: u64,
    objective_ms: Option<i64>,
) -> Arrival {
    Arrival {
        class: Class::Critical,
        workspace: WorkspaceKey::new(workspace),
        deadline_us: now_us + deadline_ms * 1000,
        objective_us: objective_ms
            .map(|objective_ms| now_us.saturating_add_signed(objective_ms * 1000)),
    }
}
