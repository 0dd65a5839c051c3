//! Token bucket that refills at a variable ratio of a rate.

use super::{Rate, headroom::Headroom};

/// Time after which a bucket without shares may have some: about a report
/// interval.
const NO_REFILL_MS: u32 = 200;

/// Tokens of a workspace, from a ratio of its rate. Tokens that were granted and
/// may still be spent count against the size of the bucket. Pure state: performs
/// no I/O and reads no clock.
#[derive(Debug, Clone)]
pub struct RefillBucket {
    level: f64,
    rate_per_s: f64,
    burst_count: f64,
    /// What the bucket can have got since its start, up to the burst.
    filled_count: f64,
    granted_count: u32,
    headroom: Headroom,
    updated_us: u64,
}

impl RefillBucket {
    /// Creates an empty bucket. A starting process cannot know what others have
    /// admitted recently; a full bucket would grant the burst a second time.
    #[must_use]
    pub fn new(rate: Rate, share_ratio: f64, now_us: u64) -> Self {
        Self {
            level: 0.0,
            rate_per_s: f64::from(rate.rate_per_s) * share_ratio,
            burst_count: burst_of(rate, share_ratio),
            filled_count: 0.0,
            granted_count: 0,
            headroom: Headroom::new(now_us),
            updated_us: now_us,
        }
    }

    /// Refills up to `now_us`. Tokens beyond the size of the bucket are lost.
    pub fn advance(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.updated_us = self.updated_us.max(now_us);
        self.add(elapsed_s * self.rate_per_s);
        self.headroom.record(self.room(), now_us);
    }

    /// Refills with another ratio or rate from `now_us` on.
    pub fn set_rate(&mut self, rate: Rate, share_ratio: f64, now_us: u64) {
        self.advance(now_us);
        self.rate_per_s = f64::from(rate.rate_per_s) * share_ratio;
        self.burst_count = burst_of(rate, share_ratio);
        self.add(0.0);
        self.headroom.record(self.room(), now_us);
    }

    /// Adds tokens as far as there is room; returns how many.
    pub const fn add(&mut self, token_count: f64) -> f64 {
        self.filled_count = (self.filled_count + token_count).min(self.burst_count);
        let before = self.level;
        let size = (self.burst_count - self.granted_count as f64).max(0.0);
        self.level = (before + token_count).min(size);
        self.level - before
    }

    /// Adds tokens that were taken at `since_us` and not spent, as far as the
    /// bucket had room for them all the time since.
    pub fn give_back(&mut self, token_count: u32, since_us: u64) {
        let token_count = self.headroom.take(token_count, since_us);
        self.add(token_count);
    }

    /// Counts tokens that were taken as granted: they may still be spent.
    pub const fn record_granted(&mut self, token_count: u32) {
        self.granted_count += token_count;
    }

    /// Counts granted tokens that were spent, or can no longer be.
    pub const fn record_settled(&mut self, token_count: u32) {
        self.granted_count = self.granted_count.saturating_sub(token_count);
    }

    /// Tokens granted that may still be spent.
    #[must_use]
    pub const fn granted_count(&self) -> u32 {
        self.granted_count
    }

    /// Tokens in the bucket.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }

    const fn room(&self) -> f64 {
        self.burst_count - self.granted_count as f64 - self.level
    }

    /// Tokens above the reserve, which is a ratio of the burst. The last token
    /// is never reserved, so that a small bucket serves all classes.
    #[must_use]
    pub const fn free(&self, reserved_ratio: f64) -> f64 {
        (self.level - self.reserve(reserved_ratio)).max(0.0)
    }

    /// Tokens that are reserved at a ratio of the burst. A bucket that has just
    /// started empty is not low for want of restraint, so that the reserve grows
    /// with what it has got.
    const fn reserve(&self, reserved_ratio: f64) -> f64 {
        reserved_ratio * (self.filled_count - 1.0).max(0.0)
    }

    /// Takes up to `wanted_count` whole tokens above the reserve and returns
    /// their number.
    pub fn take(&mut self, wanted_count: u32, reserved_ratio: f64) -> u32 {
        let taken_count = wanted_count.min(self.free(reserved_ratio) as u32);
        self.level -= f64::from(taken_count);
        taken_count
    }

    /// Milliseconds until a token above the reserve is available, as far as is
    /// known.
    #[must_use]
    pub fn empty_for_ms(&self, reserved_ratio: f64) -> u32 {
        if self.rate_per_s <= 0.0 {
            return NO_REFILL_MS;
        }
        let missing_tokens = (1.0 - self.free(reserved_ratio)).max(0.0)
            + (self.reserve(reserved_ratio) - self.level).max(0.0);
        let wait_s = missing_tokens / self.rate_per_s;
        (wait_s * 1000.0).ceil().clamp(1.0, f64::from(u32::MAX)) as u32
    }
}

/// Size of a bucket. A majority of the shares holds one token at least; only one
/// divider can have a majority.
fn burst_of(rate: Rate, share_ratio: f64) -> f64 {
    let burst_count = f64::from(rate.burst_count) * share_ratio;
    match share_ratio > 0.5 {
        true => burst_count.max(1.0),
        false => burst_count,
    }
}
