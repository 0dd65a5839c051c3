//! Token bucket that refills at a variable ratio of a rate.

use super::Rate;

/// Tokens of a workspace, from a ratio of its rate. Pure state: performs no I/O
/// and reads no clock.
#[derive(Debug, Clone)]
pub struct RefillBucket {
    level: f64,
    rate_per_s: f64,
    burst_count: f64,
    updated_us: u64,
}

impl RefillBucket {
    /// Creates an empty bucket. A starting process cannot know what others have
    /// admitted recently; a full bucket would grant the burst a second time.
    #[must_use]
    pub const fn new(now_us: u64) -> Self {
        Self {
            level: 0.0,
            rate_per_s: 0.0,
            burst_count: 1.0,
            updated_us: now_us,
        }
    }

    /// Refills at `share_ratio` of the rate up to `now_us`. Tokens beyond the
    /// same ratio of the burst are lost.
    pub fn advance(&mut self, rate: Rate, share_ratio: f64, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.rate_per_s = f64::from(rate.rate_per_s) * share_ratio;
        // A share smaller than one request still holds one.
        self.burst_count = (f64::from(rate.burst_count) * share_ratio).max(1.0);
        self.updated_us = self.updated_us.max(now_us);
        self.add(elapsed_s * self.rate_per_s);
    }

    /// Skips refilling for the time before `since_us`.
    pub const fn skip_to(&mut self, since_us: u64) {
        if self.updated_us < since_us {
            self.updated_us = since_us;
        }
    }

    /// Empties the bucket.
    pub const fn clear(&mut self) {
        self.level = 0.0;
    }

    /// Adds tokens, up to the burst.
    pub const fn add(&mut self, token_count: f64) {
        self.level = (self.level + token_count).min(self.burst_count);
    }

    /// Tokens in the bucket.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Tokens above the reserve, which is a ratio of the burst. The last token
    /// is never reserved, so that a small bucket serves all classes.
    #[must_use]
    pub fn free(&self, reserved_ratio: f64) -> f64 {
        (self.level - reserved_ratio * (self.burst_count - 1.0)).max(0.0)
    }

    /// Takes up to `wanted_count` whole tokens above the reserve and returns
    /// their number.
    pub fn take(&mut self, wanted_count: u32, reserved_ratio: f64) -> u32 {
        let taken_count = wanted_count.min(self.free(reserved_ratio) as u32);
        self.level -= f64::from(taken_count);
        taken_count
    }

    /// Milliseconds until a token above the reserve is available.
    #[must_use]
    pub fn empty_for_ms(&self, reserved_ratio: f64) -> u32 {
        let missing_tokens = (1.0 - self.free(reserved_ratio)).max(0.0)
            + (reserved_ratio * (self.burst_count - 1.0) - self.level).max(0.0);
        let wait_s = missing_tokens / self.rate_per_s.max(f64::MIN_POSITIVE);
        (wait_s * 1000.0).ceil().clamp(1.0, f64::from(u32::MAX)) as u32
    }
}
