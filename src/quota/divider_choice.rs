//! Selects the node that divides the rates for this node. Pure state: performs
//! no I/O and reads no clock.

/// Number of divider candidates, by rank.
pub const DIVIDER_COUNT: usize = 3;
/// Number of reports without a reply that a divider may miss before it can
/// count as silent.
const MAX_UNANSWERED_COUNT: u32 = 3;
/// Time without a reply that is required in addition: while requests wait,
/// reports follow each other so closely that a short pause of the divider's
/// thread would look like silence.
const MIN_SILENCE_US: u64 = 150_000;
/// Time after which the first divider is tried again. If nodes stayed with
/// different dividers, each divider would serve the demand of its own reporters
/// from a part of the rate.
const FIRST_RANK_RETRY_US: u64 = 3_000_000;

/// Rank of the current divider and its missing replies.
#[derive(Debug, Default)]
pub struct DividerChoice {
    rank: usize,
    rank_since_us: u64,
    unanswered_count: u32,
    last_reply_us: u64,
}

impl DividerChoice {
    /// Starts with the first divider.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Index of the divider to report to among `candidate_count` candidates.
    pub fn select_index(&mut self, candidate_count: usize, now_us: u64) -> usize {
        if self.rank > 0 && now_us >= self.rank_since_us + FIRST_RANK_RETRY_US {
            self.switch_to(0, now_us);
        }
        self.rank % candidate_count.max(1)
    }

    /// Records a sent report. Returns whether the divider is now considered
    /// silent and the next one is used.
    pub const fn record_report(&mut self, now_us: u64) -> bool {
        self.unanswered_count += 1;
        let is_silent = self.unanswered_count > MAX_UNANSWERED_COUNT
            && now_us > self.last_reply_us + MIN_SILENCE_US;
        if is_silent {
            let next_rank = (self.rank + 1) % DIVIDER_COUNT;
            self.switch_to(next_rank, now_us);
        }
        is_silent
    }

    /// Records a reply of the divider.
    pub const fn record_reply(&mut self, now_us: u64) {
        self.unanswered_count = 0;
        self.last_reply_us = now_us;
    }

    const fn switch_to(&mut self, rank: usize, now_us: u64) {
        self.rank = rank;
        self.rank_since_us = now_us;
        self.unanswered_count = 0;
        self.last_reply_us = now_us;
    }
}
