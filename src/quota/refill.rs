//! Token bucket that refills by a part of a rate, which may change.

use super::Rate;

/// Tokens of a workspace, as far as its rate was lent; no I/O, no clock.
#[derive(Debug, Clone)]
pub struct RefillBucket {
    level: f64,
    rate_per_s: f64,
    burst_count: f64,
    updated_us: u64,
}

impl RefillBucket {
    /// An empty bucket. A process that starts cannot know what others have
    /// admitted lately: a full one would grant the burst a second time.
    #[must_use]
    pub const fn new(now_us: u64) -> Self {
        Self {
            level: 0.0,
            rate_per_s: 0.0,
            burst_count: 1.0,
            updated_us: now_us,
        }
    }

    /// Refills by this part of the rate up to now; tokens beyond that part of
    /// the burst are lost.
    pub fn advance(&mut self, rate: Rate, part: f64, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.rate_per_s = f64::from(rate.rate_per_s) * part;
        // A share of less than one request at once still holds one.
        self.burst_count = (f64::from(rate.burst_count) * part).max(1.0);
        self.updated_us = self.updated_us.max(now_us);
        self.add(elapsed_s * self.rate_per_s);
    }

    /// Does not refill for the time before.
    pub const fn skip_to(&mut self, since_us: u64) {
        if self.updated_us < since_us {
            self.updated_us = since_us;
        }
    }

    /// Takes everything out.
    pub const fn clear(&mut self) {
        self.level = 0.0;
    }

    /// Adds tokens, at most up to the burst.
    pub const fn add(&mut self, count: f64) {
        self.level = (self.level + count).min(self.burst_count);
    }

    /// Tokens above what this part of the burst reserves; the last token is
    /// never reserved, so that a small bucket serves all.
    #[must_use]
    pub fn free(&self, reserved_ratio: f64) -> f64 {
        (self.level - reserved_ratio * (self.burst_count - 1.0)).max(0.0)
    }

    /// Takes up to so many whole tokens, leaving the reserve; tells how many.
    pub fn take(&mut self, wanted: u32, reserved_ratio: f64) -> u32 {
        let taken = wanted.min(self.free(reserved_ratio) as u32);
        self.level -= f64::from(taken);
        taken
    }

    /// Milliseconds until there is a token above the reserve.
    #[must_use]
    pub fn empty_for_ms(&self, reserved_ratio: f64) -> u32 {
        let missing = (1.0 - self.free(reserved_ratio)).max(0.0)
            + (reserved_ratio * (self.burst_count - 1.0) - self.level).max(0.0);
        let wait_s = missing / self.rate_per_s.max(f64::MIN_POSITIVE);
        (wait_s * 1000.0).ceil().clamp(1.0, f64::from(u32::MAX)) as u32
    }
}
