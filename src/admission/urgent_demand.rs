//! Slots that the standard and critical classes recently needed.
//!
//! A slow browse request that takes a slot while no short downstream call waits blocks it for many
//! later calls. Their call chains hold slots of every upstream service and miss their deadlines.
//! Slow browse requests therefore get only the slots that higher classes have not needed recently,
//! but always a minimum share.

/// Time in which the recorded demand halves.
const HALF_LIFE_US: f64 = 500_000.0;
/// Divisor of the limit that gives the minimum of browse slots, so that browse is not starved.
const MIN_BROWSE_DIVISOR: u32 = 8;

/// Recent peak of running and waiting requests of the standard and critical classes.
#[derive(Debug, Default)]
pub struct UrgentDemand {
    peak_count: f64,
    recorded_us: u64,
}

impl UrgentDemand {
    /// No recent demand.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how many standard and critical requests run and wait.
    pub fn record(&mut self, urgent_count: usize, now_us: u64) {
        self.peak_count = self.decayed_count(now_us).max(urgent_count as f64);
        self.recorded_us = now_us;
    }

    /// Slots of this limit that browse requests may use.
    #[must_use]
    pub fn browse_slot_count(&self, limit: u32, now_us: u64) -> u32 {
        let free_count = f64::from(limit) - self.decayed_count(now_us);
        (free_count.max(0.0) as u32).max((limit / MIN_BROWSE_DIVISOR).max(1))
    }

    fn decayed_count(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.recorded_us) as f64;
        self.peak_count * (-age_us / HALF_LIFE_US).exp2()
    }
}
