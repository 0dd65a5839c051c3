//! Queue of one class in order of slack to the latency objective, fair across workspaces.

mod workspace;

pub use workspace::StartTerms;

use {
    super::{TicketKey, queue::ClassQueue, service_time::ServiceTime},
    crate::model::WorkspaceKey,
    std::collections::BTreeSet,
    workspace::{Entry, WorkspaceQueue},
};

/// Largest cost charged for a request, in mean requests; bounds the rounds that an expensive
/// workspace waits for its turn.
const MAX_COST_RATIO: f64 = 4.0;
/// While other requests wait, one start in this many goes to a request that missed its objective.
const LATE_START_INTERVAL: u32 = 8;

/// Deficit round robin over the workspaces of one class, by slack within a round.
///
/// Each workspace has the same credit in each round, as in [`ClassQueue`]; among those that have
/// credit left, the one whose first request has the least slack starts it. Requests that can no
/// longer meet their objective wait in a queue of their own.
#[derive(Debug)]
pub struct ObjectiveQueue {
    queues: Vec<WorkspaceQueue>,
    /// Workspaces with credit in this round, by their first latest start.
    ready: BTreeSet<(u64, usize)>,
    /// Workspaces that wait for the next round.
    spent: Vec<usize>,
    live_count: usize,
    late: ClassQueue,
    starts_since_late: u32,
    round: u64,
    next_sequence: u64,
}

impl ObjectiveQueue {
    /// A queue without entries.
    #[must_use]
    pub fn new() -> Self {
        Self {
            queues: Vec::new(),
            ready: BTreeSet::new(),
            spent: Vec::new(),
            live_count: 0,
            late: ClassQueue::new(),
            starts_since_late: 0,
            round: 1,
            next_sequence: 0,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.live_count + self.late.len()
    }

    /// Most requests of this class that start before one more of this workspace: as many of each
    /// workspace as its own has. Those that missed their objective start behind it.
    #[must_use]
    pub fn ahead_count(&self, workspace: WorkspaceKey) -> usize {
        let queue = self.queues.get(workspace.index());
        let own_count = queue.map_or(0, |queue| queue.live_count);
        let workspace_count = self.ready.len() + self.spent.len();
        (own_count * workspace_count).min(self.live_count)
    }

    /// Adds a request.
    pub fn push(&mut self, workspace: WorkspaceKey, ticket: TicketKey, terms: StartTerms) {
        let index = workspace.index();
        if index >= self.queues.len() {
            self.queues.resize_with(index + 1, WorkspaceQueue::default);
        }
        let queue = &mut self.queues[index];
        let entry = Entry {
            ticket,
            sequence: self.next_sequence,
            terms,
        };
        self.next_sequence += 1;
        if let Some(key) = entry.key() {
            queue.by_slack.insert(key, ticket);
            queue.by_arrival.push_back(entry);
        } else {
            queue.without_latest.push_back(entry);
        }
        queue.live_count += 1;
        self.live_count += 1;
        if std::mem::replace(&mut queue.is_active, true) {
            self.reorder(index);
        } else {
            self.place(index);
        }
    }

    /// Pops the request to start next. `newest_first` is the order among requests without an
    /// objective.
    pub fn pop(
        &mut self,
        newest_first: bool,
        now_us: u64,
        service_time: &ServiceTime,
        is_live: impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        while self.live_count > 0 {
            if !self.late.is_empty() && self.starts_since_late + 1 >= LATE_START_INTERVAL {
                break;
            }
            let index = self.next_workspace()?;
            if self.move_late(index, now_us) {
                continue;
            }
            if !self.late.is_empty() {
                self.starts_since_late += 1;
            }
            let queue = &mut self.queues[index];
            let cost_ratio = service_time.cost_ratio(index);
            queue.charge(
                self.round,
                cost_ratio.clamp(1.0 / MAX_COST_RATIO, MAX_COST_RATIO),
            );
            queue.live_count -= 1;
            self.live_count -= 1;
            let ticket = queue.take_next(newest_first, now_us, &is_live);
            self.reorder(index);
            return ticket;
        }
        self.starts_since_late = 0;
        self.late
            .pop(false, is_live, |index| service_time.cost_ratio(index))
    }

    /// Pops the request to shed: one that missed its objective if there is one, otherwise the
    /// newest of the workspace with the most waiting requests. If the newest are served first,
    /// this is the oldest of those without an objective.
    pub fn pop_to_shed(
        &mut self,
        newest_first: bool,
        is_live: impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        if !self.late.is_empty() {
            return self.late.pop_to_shed(false, is_live);
        }
        let ready = self.ready.iter().map(|(_, index)| *index);
        let index = ready
            .chain(self.spent.iter().copied())
            .max_by_key(|index| self.queues[*index].live_count)?;
        let queue = &mut self.queues[index];
        if queue.live_count == 0 {
            return None;
        }
        queue.live_count -= 1;
        self.live_count -= 1;
        let ticket = queue.take_to_shed(newest_first, &is_live);
        self.reorder(index);
        ticket
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
        let queue = &mut self.queues[workspace.index()];
        if let Some(start_us) = terms.latest_start_us {
            let mut same_start = queue.by_slack.range((start_us, 0)..=(start_us, u64::MAX));
            let key = same_start.find(|(_, other)| **other == ticket);
            let Some(key) = key.map(|(key, _)| *key) else {
                self.late.record_removal(workspace, is_live);
                return;
            };
            queue.by_slack.remove(&key);
        }
        queue.live_count -= 1;
        self.live_count -= 1;
        queue.compact(is_live);
        self.reorder(workspace.index());
    }

    /// Moves all requests that can no longer meet their objective behind the others.
    pub fn move_all_late(&mut self, now_us: u64) {
        // The first of `ready` is the next to be late.
        while let Some((start_us, index)) = self.ready.first().copied()
            && start_us < now_us
        {
            self.move_late(index, now_us);
        }
        for position in 0..self.spent.len() {
            self.move_late(self.spent[position], now_us);
        }
    }

    /// Moves the late requests of a workspace; returns whether there were any.
    fn move_late(&mut self, index: usize, now_us: u64) -> bool {
        let queue = &mut self.queues[index];
        let mut has_moved = false;
        while let Some(first) = queue.by_slack.first_entry() {
            if first.key().0 >= now_us {
                break;
            }
            let workspace = u16::try_from(index).expect("index came from a key");
            self.late.push(WorkspaceKey::new(workspace), first.remove());
            queue.live_count -= 1;
            self.live_count -= 1;
            has_moved = true;
        }
        if has_moved {
            self.reorder(index);
        }
        has_moved
    }

    /// The workspace with credit whose first request has the least slack. Begins a new round when
    /// no workspace has credit.
    fn next_workspace(&mut self) -> Option<usize> {
        loop {
            if let Some((_, index)) = self.ready.first() {
                return Some(*index);
            }
            if self.spent.is_empty() {
                return None;
            }
            let ended_round = self.round;
            self.round += 1;
            for index in std::mem::take(&mut self.spent) {
                self.queues[index].charge(ended_round, 0.0);
                self.place(index);
            }
        }
    }

    /// Updates the position of a workspace after a change of its requests.
    fn reorder(&mut self, index: usize) {
        let queue = &mut self.queues[index];
        if queue.is_ready {
            self.ready.remove(&(queue.first_start_us, index));
            self.place(index);
        } else {
            queue.update_first_start();
        }
    }

    /// Puts a workspace among those with or without credit, or deactivates it.
    fn place(&mut self, index: usize) {
        let queue = &mut self.queues[index];
        queue.update_first_start();
        queue.is_ready = false;
        if queue.live_count == 0 {
            queue.deactivate();
        } else if queue.credit(self.round) > 0.0 {
            queue.is_ready = true;
            self.ready.insert((queue.first_start_us, index));
        } else {
            self.spent.push(index);
        }
    }
}
