//! Fair queuing of one class across workspaces.

use {super::TicketKey, crate::model::WorkspaceKey, std::collections::VecDeque};

/// Largest cost charged for a request, in mean requests; bounds the rounds that an expensive
/// workspace waits for its turn.
const MAX_COST_RATIO: f64 = 4.0;
/// Withdrawn tickets that a queue may hold, beyond as many as it has live ones, before it is
/// compacted.
const STALE_SLACK_COUNT: usize = 16;

/// Waiting requests of one workspace.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    tickets: VecDeque<TicketKey>,
    live_count: usize,
    /// Credit left from earlier rounds, in mean requests.
    deficit: f64,
    /// Whether `deficit` already includes the credit of this round.
    has_credit: bool,
    /// Whether the workspace is in `active_workspaces`.
    is_active: bool,
}

/// Deficit round robin over the workspaces of one class.
///
/// Withdrawn tickets stay queued until they are popped or the queue is compacted, so that a
/// withdrawal costs amortized O(1). `is_live` distinguishes them.
#[derive(Debug, Default)]
pub struct ClassQueue {
    queues: Vec<WorkspaceQueue>,
    active_workspaces: VecDeque<usize>,
    live_count: usize,
}

impl ClassQueue {
    /// A queue without entries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.live_count
    }

    /// Whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.live_count == 0
    }

    /// Number of waiting requests of this workspace.
    #[must_use]
    pub fn workspace_len(&self, workspace: WorkspaceKey) -> usize {
        self.queues
            .get(workspace.index())
            .map_or(0, |queue| queue.live_count)
    }

    /// Number of workspaces with waiting requests.
    #[must_use]
    pub fn workspace_count(&self) -> usize {
        self.active_workspaces.len()
    }

    /// Adds a request behind the others of its workspace.
    pub fn push(&mut self, workspace: WorkspaceKey, ticket: TicketKey) {
        let index = workspace.index();
        if index >= self.queues.len() {
            self.queues.resize_with(index + 1, WorkspaceQueue::default);
        }
        let queue = &mut self.queues[index];
        queue.tickets.push_back(ticket);
        queue.live_count += 1;
        self.live_count += 1;
        if !queue.is_active {
            queue.is_active = true;
            self.active_workspaces.push_back(index);
        }
    }

    /// Pops the oldest or newest request of the workspace whose turn it is. `cost_ratio_of` gives
    /// the cost of a request of a workspace, in mean requests.
    pub fn pop(
        &mut self,
        newest_first: bool,
        is_live: impl Fn(TicketKey) -> bool,
        cost_ratio_of: impl Fn(usize) -> f64,
    ) -> Option<TicketKey> {
        while let Some(&index) = self.active_workspaces.front() {
            if self.queues[index].live_count == 0 {
                self.active_workspaces.pop_front();
                self.queues[index].clear();
                continue;
            }
            let cost_ratio = cost_ratio_of(index).clamp(1.0 / MAX_COST_RATIO, MAX_COST_RATIO);
            let queue = &mut self.queues[index];
            if !queue.has_credit {
                queue.has_credit = true;
                queue.deficit += 1.0;
            }
            if queue.deficit < cost_ratio {
                queue.has_credit = false;
                self.active_workspaces.rotate_left(1);
                continue;
            }
            queue.deficit -= cost_ratio;
            self.live_count -= 1;
            return queue.pop_live(newest_first, &is_live);
        }
        None
    }

    /// Pops the request to shed: the newest of the workspace with the most waiting requests, or
    /// its oldest if the newest are served first.
    pub fn pop_to_shed(
        &mut self,
        newest_first: bool,
        is_live: impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        let index = *self
            .active_workspaces
            .iter()
            .max_by_key(|index| self.queues[**index].live_count)?;
        let queue = &mut self.queues[index];
        if queue.live_count == 0 {
            return None;
        }
        self.live_count -= 1;
        queue.pop_live(!newest_first, &is_live)
    }

    /// Records that a waiting request of this workspace was withdrawn or refused; `is_live` must
    /// already be false for it.
    pub fn record_removal(&mut self, workspace: WorkspaceKey, is_live: impl Fn(TicketKey) -> bool) {
        let queue = &mut self.queues[workspace.index()];
        queue.live_count -= 1;
        self.live_count -= 1;
        if queue.tickets.len() > 2 * queue.live_count + STALE_SLACK_COUNT {
            queue.tickets.retain(|ticket| is_live(*ticket));
        }
    }
}

impl WorkspaceQueue {
    fn pop_live(
        &mut self,
        newest: bool,
        is_live: &impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        loop {
            let ticket = if newest {
                self.tickets.pop_back()?
            } else {
                self.tickets.pop_front()?
            };
            if is_live(ticket) {
                self.live_count -= 1;
                return Some(ticket);
            }
        }
    }

    fn clear(&mut self) {
        self.tickets.clear();
        self.deficit = 0.0;
        self.has_credit = false;
        self.is_active = false;
    }
}
