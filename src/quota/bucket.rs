//! Token bucket in whole units.

use super::{Rate, UNITS_PER_TOKEN};

/// A slice of one burst token in units.
const UNITS_PER_SLICE_TOKEN: u64 = 1_000_000;

/// A share's accrued level and when it was last brought up to date.
///
/// A share of `n` slices of rate R accrues `n * R` units in a microsecond and
/// holds at most `n * B` slice tokens; nothing is ever rounded.
#[derives::key]
pub struct Bucket {
    /// In units of [`UNITS_PER_TOKEN`].
    pub level: u64,
    /// Accrual is counted from here.
    pub updated_us: u64,
}

impl Bucket {
    /// An empty bucket that accrues from `now_us` on.
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

    /// Takes everything out.
    pub const fn drain(&mut self) -> u64 {
        let level = self.level;
        self.level = 0;
        level
    }

    /// Takes up to `token_count` whole tokens out; returns how many.
    pub fn take(&mut self, token_count: u32) -> u32 {
        let whole_count = self.level / UNITS_PER_TOKEN;
        let taken = u32::try_from(whole_count)
            .unwrap_or(u32::MAX)
            .min(token_count);
        self.level -= u64::from(taken) * UNITS_PER_TOKEN;
        taken
    }
}

/// Most that the share of so many slices may hold.
#[must_use]
pub fn capacity(rate: Rate, slice_count: u64) -> u64 {
    u64::from(rate.burst_count) * slice_count * UNITS_PER_SLICE_TOKEN
}
