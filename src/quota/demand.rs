//! Demand for a workspace as one node sees it.

/// Weight of the last period in the mean.
const WEIGHT: f64 = 0.3;

/// Requests a second that callers ask for, smoothed over a few periods.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    count: u32,
    mean_per_s: f64,
}

impl Demand {
    /// Counts a request, admitted or not.
    pub const fn count(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Ends a period of this length; the mean now.
    pub fn end_period(&mut self, period_ms: u64) -> f64 {
        let last_per_s = f64::from(self.count) * 1000.0 / period_ms.max(1) as f64;
        self.count = 0;
        self.mean_per_s += (last_per_s - self.mean_per_s) * WEIGHT;
        self.mean_per_s
    }
}
