//! Waiting requests of one class, shared out fairly over workspaces.

use {super::TicketKey, crate::model::WorkspaceKey, std::collections::VecDeque};

/// Cost of a request over the mean cost above which no more is charged; it
/// bounds the rounds until a costly workspace has its turn.
const MAX_COST_RATIO: f64 = 4.0;
/// Withdrawn entries that a line may hold before it is compacted.
const STALE_SLACK_COUNT: usize = 16;

/// Waiting requests of one workspace.
#[derive(Debug, Default)]
struct Line {
    tickets: VecDeque<TicketKey>,
    live_count: usize,
    /// Turns that the workspace has saved up, in mean requests.
    deficit: f64,
    /// Whether this round's turn was added to `deficit` already.
    visited: bool,
    in_round: bool,
}

/// Deficit round robin over the workspaces of one class.
///
/// Withdrawn tickets stay in their line until they are met or the line is
/// compacted; `is_live` tells them apart, so that a withdrawal costs O(1).
#[derive(Debug, Default)]
pub struct ClassQueue {
    lines: Vec<Line>,
    round: VecDeque<usize>,
    live_count: usize,
}

impl ClassQueue {
    /// A queue without entries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.live_count
    }

    /// Whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.live_count == 0
    }

    /// Requests of this workspace that wait.
    #[must_use]
    pub fn workspace_len(&self, workspace: WorkspaceKey) -> usize {
        self.lines
            .get(workspace.index())
            .map_or(0, |line| line.live_count)
    }

    /// Workspaces that have requests waiting.
    #[must_use]
    pub fn workspace_count(&self) -> usize {
        self.round.len()
    }

    /// Adds a request behind the others of its workspace.
    pub fn push(&mut self, workspace: WorkspaceKey, ticket: TicketKey) {
        let index = workspace.index();
        if index >= self.lines.len() {
            self.lines.resize_with(index + 1, Line::default);
        }
        let line = &mut self.lines[index];
        line.tickets.push_back(ticket);
        line.live_count += 1;
        self.live_count += 1;
        if !line.in_round {
            line.in_round = true;
            self.round.push_back(index);
        }
    }

    /// Takes the next request: of the workspace whose turn it is, the oldest
    /// or the newest. `cost_of` gives a workspace's cost in mean requests.
    pub fn pop(
        &mut self,
        newest_first: bool,
        is_live: impl Fn(TicketKey) -> bool,
        cost_of: impl Fn(usize) -> f64,
    ) -> Option<TicketKey> {
        while let Some(&index) = self.round.front() {
            if self.lines[index].live_count == 0 {
                self.round.pop_front();
                self.lines[index].clear();
                continue;
            }
            let cost = cost_of(index).clamp(1.0 / MAX_COST_RATIO, MAX_COST_RATIO);
            let line = &mut self.lines[index];
            if !line.visited {
                line.visited = true;
                line.deficit += 1.0;
            }
            if line.deficit < cost {
                line.visited = false;
                self.round.rotate_left(1);
                continue;
            }
            line.deficit -= cost;
            self.live_count -= 1;
            return line.take(newest_first, &is_live);
        }
        None
    }

    /// Takes a request out that is to be shed: of the workspace with the most
    /// waiting, its newest, or its oldest where the newest are served first.
    pub fn shed(
        &mut self,
        newest_first: bool,
        is_live: impl Fn(TicketKey) -> bool,
    ) -> Option<TicketKey> {
        let index = *self
            .round
            .iter()
            .max_by_key(|index| self.lines[**index].live_count)?;
        let line = &mut self.lines[index];
        if line.live_count == 0 {
            return None;
        }
        self.live_count -= 1;
        line.take(!newest_first, &is_live)
    }

    /// Notes that a waiting request of this workspace is gone; `is_live` no
    /// longer holds for it.
    pub fn forget(&mut self, workspace: WorkspaceKey, is_live: impl Fn(TicketKey) -> bool) {
        let line = &mut self.lines[workspace.index()];
        line.live_count -= 1;
        self.live_count -= 1;
        if line.tickets.len() > 2 * line.live_count + STALE_SLACK_COUNT {
            line.tickets.retain(|ticket| is_live(*ticket));
        }
    }
}

impl Line {
    fn take(&mut self, newest: bool, is_live: &impl Fn(TicketKey) -> bool) -> Option<TicketKey> {
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
        self.visited = false;
        self.in_round = false;
    }
}
