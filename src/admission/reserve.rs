//! Slots reserved for critical requests.

/// Largest reserve, in percent of the limit.
const MAX_RESERVE_PERCENT: u32 = 20;
/// Smallest reserve, in percent of the limit, kept without critical requests too: some targets
/// become slower when their last slots are taken.
const MIN_RESERVE_PERCENT: u32 = 5;
/// Time in which the recorded demand halves.
const HALF_LIFE_US: f64 = 10_000_000.0;

/// Reserve that follows the recent peak of critical requests.
///
/// Lower classes may use the part of the largest reserve that critical requests have not needed
/// recently. The smallest reserve always stays free, so that the first critical request of a
/// burst starts at once.
#[derive(Debug, Default)]
pub struct Reserve {
    demand_count: f64,
    recorded_us: u64,
}

impl Reserve {
    /// A reserve without recent demand.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how many critical requests run and wait.
    pub fn record_demand(&mut self, critical_count: usize, now_us: u64) {
        self.demand_count = self.demand_at(now_us).max(critical_count as f64);
        self.recorded_us = now_us;
    }

    /// Slots of this limit reserved for critical requests, including those they are using.
    #[must_use]
    pub fn slot_count(&self, limit: u32, now_us: u64) -> u32 {
        if limit <= 1 {
            return 0;
        }
        let min_count = (limit * MIN_RESERVE_PERCENT).div_ceil(100);
        let max_count = (limit * MAX_RESERVE_PERCENT).div_ceil(100);
        // One more than the peak, so that growing demand finds a free slot.
        let demand_slot_count = if self.demand_count > 0.0 {
            self.demand_at(now_us).ceil() as u32 + 1
        } else {
            0
        };
        demand_slot_count.clamp(min_count, max_count)
    }

    fn demand_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.recorded_us) as f64;
        self.demand_count * (-age_us / HALF_LIFE_US).exp2()
    }
}
