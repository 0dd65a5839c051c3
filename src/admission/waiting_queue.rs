//! Queue of one class in the order that the settings name.

use {
    super::{
        TicketKey,
        objective_queue::{ObjectiveQueue, StartTerms},
        queue::ClassQueue,
        service_time::ServiceTime,
    },
    crate::{model::WorkspaceKey, settings::QueueOrder},
};

/// Waiting requests of one class.
#[derive(Debug)]
pub enum WaitingQueue {
    /// In order of arrival.
    Arrival(ClassQueue),
    /// By slack to the latency objective.
    Objective(ObjectiveQueue),
}

impl WaitingQueue {
    /// A queue without entries.
    #[must_use]
    pub fn new(order: QueueOrder) -> Self {
        match order {
            QueueOrder::Arrival => Self::Arrival(ClassQueue::new()),
            QueueOrder::Objective => Self::Objective(ObjectiveQueue::new()),
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        match self {
            Self::Arrival(queue) => queue.len(),
            Self::Objective(queue) => queue.len(),
        }
    }

    /// Whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Most requests of this class that start before one more of this workspace.
    #[must_use]
    pub fn ahead_count(&self, workspace: WorkspaceKey) -> usize {
        match self {
            Self::Arrival(queue) => {
                (queue.workspace_len(workspace) * queue.workspace_count()).min(queue.len())
            }
            Self::Objective(queue) => queue.ahead_count(workspace),
        }
    }

    /// Adds a request.
    pub fn push(&mut self, workspace: WorkspaceKey, ticket: TicketKey, terms: StartTerms) {
        match self {
            Self::Arrival(queue) => queue.push(workspace, ticket),
            Self::Objective(queue) => queue.push(workspace, ticket, terms),
        }
    }

    /// Pops the request to start next.
    pub fn pop(
        &mut self,
        newest_first: bool,
        now_us: u64,
        service_time: &ServiceTime,
        is_live: impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        match self {
            Self::Arrival(queue) => queue.pop(newest_first, is_live, |index| {
                service_time.cost_ratio(index)
            }),
            Self::Objective(queue) => queue.pop(newest_first, now_us, service_time, is_live),
        }
    }

    /// Pops the request to shed.
    pub fn pop_to_shed(
        &mut self,
        newest_first: bool,
        is_live: impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        match self {
            Self::Arrival(queue) => queue.pop_to_shed(newest_first, is_live),
            Self::Objective(queue) => queue.pop_to_shed(newest_first, is_live),
        }
    }

    /// Records that this waiting request was withdrawn or refused; `is_live` must already be
    /// false for it.
    pub fn record_removal(
        &mut self,
        workspace: WorkspaceKey,
        ticket: TicketKey,
        terms: StartTerms,
        is_live: impl Fn(TicketKey) -> bool,
    ) {
        match self {
            Self::Arrival(queue) => queue.record_removal(workspace, is_live),
            Self::Objective(queue) => {
                queue.record_removal(workspace, ticket, terms, is_live);
            }
        }
    }

    /// Moves requests that can no longer meet their objective behind the others.
    pub fn move_late(&mut self, now_us: u64) {
        if let Self::Objective(queue) = self {
            queue.move_all_late(now_us);
        }
    }
}
