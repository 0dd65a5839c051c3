//! A node's share of a workspace's rate, as a token bucket.

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
        self.advance(now_us);
        self.share = share;
        self.level = self.level.min(share.burst_count.max(1.0));
    }

    /// Takes a token, or tells in how many milliseconds there is one.
    pub fn take(&mut self, now_us: u64) -> Result<(), u32> {
        self.advance(now_us);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.level) / self.share.rate_per_s.max(f64::MIN_POSITIVE);
        Err((wait_s * 1000.0).ceil().clamp(1.0, f64::from(u32::MAX)) as u32)
    }

    fn advance(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        let full = self.share.burst_count.max(1.0);
        self.level = (self.level + elapsed_s * self.share.rate_per_s).min(full);
        self.updated_us = self.updated_us.max(now_us);
    }
}
