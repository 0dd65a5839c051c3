//! Token bucket with integer units, for shares of slices.

use super::{Rate, UNITS_PER_TOKEN};

/// Units that one slice holds per token of the burst.
const UNITS_PER_SLICE_TOKEN: u64 = 1_000_000;

/// Accrued level of a share and the time of its last update.
///
/// A share of `n` slices accrues `n * rate_per_s` units per microsecond and
/// holds at most `n * burst_count` slice tokens; nothing is rounded.
#[derives::key]
pub struct Bucket {
    /// In units of [`UNITS_PER_TOKEN`].
    pub level: u64,
    /// Time of the last update; accrual counts from here.
    pub updated_us: u64,
}

impl Bucket {
    /// Creates an empty bucket that accrues from `now_us`.
    #[must_use]
    pub const fn new(now_us: u64) -> Self {
        Self {
            level: 0,
            updated_us: now_us,
        }
    }

    /// Accrues the share of `slice_count` slices up to `now_us`.
    pub fn advance(&mut self, rate: Rate, slice_count: u64, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_us);
        let per_us = u64::from(rate.rate_per_s) * slice_count;
        let level = self.level.saturating_add(per_us.saturating_mul(elapsed_us));
        self.level = level.min(capacity(rate, slice_count));
        self.updated_us = self.updated_us.max(now_us);
    }

    /// Empties the bucket and returns its level.
    pub const fn drain(&mut self) -> u64 {
        let level = self.level;
        self.level = 0;
        level
    }

    /// Removes up to `token_count` whole tokens and returns their number.
    pub fn take(&mut self, token_count: u32) -> u32 {
        let whole_count = self.level / UNITS_PER_TOKEN;
        let taken_count = u32::try_from(whole_count)
            .unwrap_or(u32::MAX)
            .min(token_count);
        self.level -= u64::from(taken_count) * UNITS_PER_TOKEN;
        taken_count
    }
}

/// Highest level of a share of `slice_count` slices, in units.
#[must_use]
pub fn capacity(rate: Rate, slice_count: u64) -> u64 {
    u64::from(rate.burst_count) * slice_count * UNITS_PER_SLICE_TOKEN
}
