//! Which node divides the rates for this one; no I/O, no clock.

/// Dividers that may be asked, by rank.
const DIVIDER_COUNT: usize = 3;
/// Reports without a reply after which a divider counts as silent.
const UNANSWERED_LIMIT: u32 = 3;
/// Time without a reply after which it does, in microseconds: with requests
/// waiting, reports follow each other so closely that a short stop of its
/// thread would otherwise look like silence.
const SILENCE_US: u64 = 150_000;
/// Time after which the first divider is tried again, in microseconds. Nodes
/// that stayed at different ones would divide the rate in parts, and each part
/// would serve its own demand alone.
const RANK_LIFE_US: u64 = 3_000_000;

/// Rank of the divider that is asked, and its silence.
#[derive(Debug, Default)]
pub struct DividerChoice {
    rank: usize,
    ranked_us: u64,
    unanswered_count: u32,
    heard_us: u64,
}

impl DividerChoice {
    /// The first divider is asked.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Place of the divider to ask among this many candidates.
    pub fn place(&mut self, candidate_count: usize, now_us: u64) -> usize {
        if self.rank > 0 && now_us >= self.ranked_us + RANK_LIFE_US {
            self.turn_to(0, now_us);
        }
        self.rank % candidate_count.max(1)
    }

    /// A report is sent; whether the divider is passed over from now on.
    pub const fn asked(&mut self, now_us: u64) -> bool {
        self.unanswered_count += 1;
        let is_silent =
            self.unanswered_count > UNANSWERED_LIMIT && now_us > self.heard_us + SILENCE_US;
        if is_silent {
            let next = (self.rank + 1) % DIVIDER_COUNT;
            self.turn_to(next, now_us);
        }
        is_silent
    }

    /// The divider replied.
    pub const fn answered(&mut self, now_us: u64) {
        self.unanswered_count = 0;
        self.heard_us = now_us;
    }

    const fn turn_to(&mut self, rank: usize, now_us: u64) {
        self.rank = rank;
        self.ranked_us = now_us;
        self.unanswered_count = 0;
        self.heard_us = now_us;
    }
}
