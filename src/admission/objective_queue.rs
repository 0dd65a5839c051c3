//! Queue of one class in order of slack to the latency objective, fair across workspaces.

use {
    super::{TicketKey, queue::ClassQueue, service_time::ServiceTime},
    crate::model::WorkspaceKey,
    std::collections::{BTreeMap, VecDeque},
};

/// Largest cost charged for a request, in mean requests; bounds the rounds that an expensive
/// workspace waits for its turn.
const MAX_COST_RATIO: f64 = 4.0;
/// While other requests wait, one start in this many goes to a request that missed its objective.
const LATE_START_INTERVAL: u32 = 8;
/// Withdrawn tickets that a list may hold, beyond as many as it has live ones, before it is
/// compacted.
const STALE_SLACK_COUNT: usize = 16;
/// Slack time of requests without an objective: behind all others of the round.
const NO_OBJECTIVE_US: u64 = u64::MAX;

/// Objective and position in the order of arrival; unique within a class.
type ObjectiveKey = (u64, u64);

/// A waiting request in order of arrival.
#[derive(Debug, Clone, Copy)]
struct Entry {
    ticket: TicketKey,
    sequence: u64,
    terms: StartTerms,
}

/// Waiting requests of one workspace, without those that missed their objective.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// Requests with an objective, in order of it. Within a workspace the expected service time is
    /// the same, so this is the order of slack.
    by_objective: BTreeMap<ObjectiveKey, TicketKey>,
    /// The same requests in order of arrival; those that started or were late stay until they
    /// reach the front or the list is compacted.
    by_arrival: VecDeque<Entry>,
    /// Requests without an objective in order of arrival.
    without_objective: VecDeque<Entry>,
    live_count: usize,
    /// Latest start that meets the first objective; [`NO_OBJECTIVE_US`] if there is none.
    first_start_us: u64,
    /// Credit of this and earlier rounds, in mean requests; negative after an expensive request.
    deficit: f64,
    /// Latest round whose credit `deficit` includes.
    credit_round: u64,
    was_last_by_slack: bool,
    is_active: bool,
}

/// When a waiting request should start.
#[derive(Debug, Clone, Copy)]
pub struct StartTerms {
    /// Objective that the request could still meet when it arrived.
    pub objective_us: Option<u64>,
    /// Time from which the request may no longer be overtaken by all others.
    pub overdue_from_us: u64,
}

/// Deficit round robin over the workspaces of one class, by slack within a round.
///
/// Each workspace has the same credit in each round, as in [`ClassQueue`]; among those that have
/// credit left, the one whose first request has the least slack starts it. Requests that can no
/// longer meet their objective wait in a queue of their own.
#[derive(Debug)]
pub struct ObjectiveQueue {
    queues: Vec<WorkspaceQueue>,
    active_workspaces: Vec<usize>,
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
            active_workspaces: Vec::new(),
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
        (own_count * self.active_workspaces.len()).min(self.live_count)
    }

    /// Adds a request; `service_us` is its expected service time.
    pub fn push(
        &mut self,
        workspace: WorkspaceKey,
        ticket: TicketKey,
        terms: StartTerms,
        service_us: u64,
    ) {
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
        if let Some(objective_us) = terms.objective_us {
            let key = (objective_us, entry.sequence);
            queue.by_objective.insert(key, ticket);
            queue.by_arrival.push_back(entry);
        } else {
            queue.without_objective.push_back(entry);
        }
        queue.live_count += 1;
        queue.update_first_start(service_us);
        self.live_count += 1;
        if !queue.is_active {
            queue.is_active = true;
            self.active_workspaces.push(index);
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
            let service_us = service_time.expected_us(index, now_us);
            if self.move_late(index, service_us, now_us) {
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
            queue.update_first_start(service_us);
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
        now_us: u64,
        service_time: &ServiceTime,
        is_live: impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        if !self.late.is_empty() {
            return self.late.pop_to_shed(false, is_live);
        }
        let index = *self
            .active_workspaces
            .iter()
            .max_by_key(|index| self.queues[**index].live_count)?;
        let queue = &mut self.queues[index];
        if queue.live_count == 0 {
            return None;
        }
        queue.live_count -= 1;
        self.live_count -= 1;
        let ticket = queue.take_to_shed(newest_first, &is_live);
        queue.update_first_start(service_time.expected_us(index, now_us));
        ticket
    }

    /// Records that this waiting request was withdrawn or refused; `is_live` must already be
    /// false for it.
    pub fn record_removal(
        &mut self,
        workspace: WorkspaceKey,
        ticket: TicketKey,
        terms: StartTerms,
        service_us: u64,
        is_live: impl Fn(TicketKey) -> bool,
    ) {
        let queue = &mut self.queues[workspace.index()];
        if let Some(objective_us) = terms.objective_us {
            let mut same_objective = queue.by_objective.range((objective_us, 0)..);
            let key = same_objective
                .find(|(key, other)| key.0 != objective_us || **other == ticket)
                .map(|(key, _)| *key)
                .filter(|key| key.0 == objective_us);
            let Some(key) = key else {
                self.late.record_removal(workspace, is_live);
                return;
            };
            queue.by_objective.remove(&key);
        }
        queue.live_count -= 1;
        self.live_count -= 1;
        queue.compact(is_live);
        queue.update_first_start(service_us);
    }

    /// Moves all requests that can no longer meet their objective behind the others.
    pub fn move_all_late(&mut self, now_us: u64, service_time: &ServiceTime) {
        for position in 0..self.active_workspaces.len() {
            let index = self.active_workspaces[position];
            self.move_late(index, service_time.expected_us(index, now_us), now_us);
        }
    }

    /// Moves the late requests of a workspace; returns whether there were any.
    fn move_late(&mut self, index: usize, service_us: u64, now_us: u64) -> bool {
        let queue = &mut self.queues[index];
        let mut has_moved = false;
        while let Some(first) = queue.by_objective.first_entry() {
            if first.key().0 >= now_us + service_us {
                break;
            }
            let workspace = u16::try_from(index).expect("index came from a key");
            self.late.push(WorkspaceKey::new(workspace), first.remove());
            queue.live_count -= 1;
            self.live_count -= 1;
            has_moved = true;
        }
        if has_moved {
            queue.update_first_start(service_us);
        }
        has_moved
    }

    /// The workspace with credit whose first request has the least slack. Begins a new round when
    /// no workspace has credit.
    fn next_workspace(&mut self) -> Option<usize> {
        let Self {
            queues,
            active_workspaces,
            round,
            ..
        } = self;
        active_workspaces.retain(|index| queues[*index].remains_active());
        while !active_workspaces.is_empty() {
            let with_credit = active_workspaces
                .iter()
                .filter(|index| queues[**index].credit(*round) > 0.0);
            if let Some(index) = with_credit.min_by_key(|index| queues[**index].first_start_us) {
                return Some(*index);
            }
            for index in active_workspaces.iter() {
                queues[*index].charge(*round, 0.0);
            }
            *round += 1;
        }
        None
    }
}

impl WorkspaceQueue {
    fn credit(&self, round: u64) -> f64 {
        self.deficit + f64::from(self.credit_round < round)
    }

    fn charge(&mut self, round: u64, cost_ratio: f64) {
        self.deficit = self.credit(round) - cost_ratio;
        self.credit_round = round;
    }

    /// Whether requests wait. Without, the workspace keeps no credit.
    fn remains_active(&mut self) -> bool {
        if self.live_count == 0 {
            self.by_arrival.clear();
            self.without_objective.clear();
            self.deficit = self.deficit.min(0.0);
            self.is_active = false;
        }
        self.is_active
    }

    fn update_first_start(&mut self, service_us: u64) {
        let first = self.by_objective.first_key_value();
        self.first_start_us = first.map_or(NO_OBJECTIVE_US, |((objective_us, _), _)| {
            objective_us.saturating_sub(service_us)
        });
    }

    fn take_next(
        &mut self,
        newest_first: bool,
        now_us: u64,
        is_live: &impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        self.drop_stale(is_live);
        let oldest_with = self.by_arrival.front();
        let oldest_without = self.without_objective.front();
        let oldest = oldest_with
            .into_iter()
            .chain(oldest_without)
            .min_by_key(|entry| entry.sequence)
            .copied()?;
        let is_overdue = oldest.terms.overdue_from_us <= now_us;
        let starts_oldest = self.by_objective.is_empty() || (self.was_last_by_slack && is_overdue);
        self.was_last_by_slack = !starts_oldest;
        if !starts_oldest {
            return self.by_objective.pop_first().map(|(_, ticket)| ticket);
        }
        if let Some(key) = oldest.key() {
            self.by_arrival.pop_front();
            return self.by_objective.remove(&key);
        }
        let entry = match newest_first {
            true => self.without_objective.pop_back(),
            false => self.without_objective.pop_front(),
        };
        entry.map(|entry| entry.ticket)
    }

    fn take_to_shed(
        &mut self,
        newest_first: bool,
        is_live: &impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        self.drop_stale(is_live);
        let newest_with = self.by_arrival.back().copied();
        let newest_without = self.without_objective.back().copied();
        if newest_first && newest_without.is_some() {
            return self.without_objective.pop_front().map(|entry| entry.ticket);
        }
        let newest = newest_with
            .into_iter()
            .chain(newest_without)
            .max_by_key(|entry| entry.sequence)?;
        if let Some(key) = newest.key() {
            self.by_arrival.pop_back();
            return self.by_objective.remove(&key);
        }
        self.without_objective.pop_back().map(|entry| entry.ticket)
    }

    /// Drops entries of requests that no longer wait here from both ends of the lists.
    fn drop_stale(&mut self, is_live: &impl Fn(TicketKey) -> bool) {
        let Self {
            by_objective,
            by_arrival,
            without_objective,
            ..
        } = self;
        trim(by_arrival, |entry| entry.is_in(by_objective));
        trim(without_objective, |entry| is_live(entry.ticket));
    }

    fn compact(&mut self, is_live: impl Fn(TicketKey) -> bool) {
        let Self {
            by_objective,
            by_arrival,
            without_objective,
            live_count,
            ..
        } = self;
        let without_count = *live_count - by_objective.len();
        if by_arrival.len() > 2 * by_objective.len() + STALE_SLACK_COUNT {
            by_arrival.retain(|entry| entry.is_in(by_objective));
        }
        if without_objective.len() > 2 * without_count + STALE_SLACK_COUNT {
            without_objective.retain(|entry| is_live(entry.ticket));
        }
    }
}

impl Entry {
    fn key(&self) -> Option<ObjectiveKey> {
        let objective_us = self.terms.objective_us?;
        Some((objective_us, self.sequence))
    }

    fn is_in(&self, by_objective: &BTreeMap<ObjectiveKey, TicketKey>) -> bool {
        self.key()
            .is_some_and(|key| by_objective.contains_key(&key))
    }
}

fn trim(entries: &mut VecDeque<Entry>, is_waiting: impl Fn(&Entry) -> bool) {
    while entries.front().is_some_and(|entry| !is_waiting(entry)) {
        entries.pop_front();
    }
    while entries.back().is_some_and(|entry| !is_waiting(entry)) {
        entries.pop_back();
    }
}
