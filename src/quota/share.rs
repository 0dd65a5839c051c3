//! A node's share of a workspace's rate, as a token bucket.

use super::Rate;

/// Part of its burst that a new bucket holds. A fleet that was killed as a
/// whole would otherwise grant every workspace its burst a second time.
const FIRST_LEVEL_RATIO: f64 = 0.2;

/// Rate and burst that one node may admit by itself.
#[derives::value]
#[derive(Copy)]
pub struct Share {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once after a pause.
    pub burst_count: f64,
}

impl Share {
    /// This part of a rate and its burst.
    #[must_use]
    pub fn of(rate: Rate, part: f64) -> Self {
        Self {
            rate_per_s: f64::from(rate.rate_per_s) * part,
            burst_count: f64::from(rate.burst_count) * part,
        }
    }
}

/// Tokens of a share; no I/O, no clock.
#[derive(Debug, Clone)]
pub struct ShareBucket {
    share: Share,
    level: f64,
    updated_us: u64,
}

impl ShareBucket {
    /// A bucket of this share.
    #[must_use]
    pub fn new(share: Share, now_us: u64) -> Self {
        Self {
            share,
            level: (share.burst_count * FIRST_LEVEL_RATIO).max(1.0),
            updated_us: now_us,
        }
    }

    /// Goes on with another share; tokens beyond its burst are lost.
    pub fn set_share(&mut self, share: Share, now_us: u64) {
        if share == self.share {
            return;
        }
        self.advance(now_us);
        self.share = share;
        self.level = self.level.min(self.full());
    }

    /// Takes a token unless this part of the burst would be touched, or tells
    /// in how many milliseconds there is one.
    pub fn take(&mut self, reserved_ratio: f64, now_us: u64) -> Result<(), u32> {
        self.advance(now_us);
        let needed = 1.0 + reserved_ratio * (self.full() - 1.0);
        if self.level >= needed {
            self.level -= 1.0;
            return Ok(());
        }
        let wait_s = (needed - self.level) / self.share.rate_per_s.max(f64::MIN_POSITIVE);
        Err((wait_s * 1000.0).ceil().clamp(1.0, f64::from(u32::MAX)) as u32)
    }

    /// A share of less than one request at once still holds one.
    const fn full(&self) -> f64 {
        self.share.burst_count.max(1.0)
    }

    fn advance(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.level = (self.level + elapsed_s * self.share.rate_per_s).min(self.full());
        self.updated_us = self.updated_us.max(now_us);
    }
}
