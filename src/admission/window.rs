//! Latency statistics of the requests that started and ended within one measuring window.

/// Statistics of the requests that started and ended since the window was opened.
#[derives::value]
#[derive(Copy, Default)]
pub struct Window {
    /// When it was opened.
    pub opened_us: u64,
    /// Requests whose latency was recorded.
    pub sample_count: u32,
    /// Requests that the target shed itself.
    pub shed_count: u32,
    /// Most slots in use at a time, including reserved ones.
    pub peak_in_use_count: u32,
    cancelled_count: u32,
    sum_us: f64,
    square_sum_us2: f64,
}

impl Window {
    /// An empty window.
    #[must_use]
    pub fn new(opened_us: u64) -> Self {
        Self {
            opened_us,
            ..Self::default()
        }
    }

    /// Records a latency; that of a cancelled request is only a lower bound.
    pub fn record(&mut self, latency_us: u64, was_cancelled: bool) {
        self.cancelled_count += u32::from(was_cancelled);
        let latency_us = latency_us as f64;
        self.sample_count += 1;
        self.sum_us += latency_us;
        self.square_sum_us2 += latency_us * latency_us;
    }

    /// Mean latency in microseconds.
    #[must_use]
    pub fn mean_us(&self) -> f64 {
        self.sum_us / f64::from(self.sample_count.max(1))
    }

    /// Variance of the mean, in square microseconds.
    #[must_use]
    pub fn mean_variance(&self) -> f64 {
        let count = f64::from(self.sample_count.max(1));
        let variance = (self.square_sum_us2 / count - self.mean_us().powi(2)).max(0.0);
        variance / count
    }

    /// Standard error of the mean, in microseconds.
    #[must_use]
    pub fn standard_error_us(&self) -> f64 {
        self.mean_variance().sqrt()
    }

    /// Share of the requests that were cancelled while running.
    #[must_use]
    pub fn cancelled_ratio(&self) -> f64 {
        f64::from(self.cancelled_count) / f64::from(self.sample_count.max(1))
    }

    /// Variance of [`Self::cancelled_ratio`].
    #[must_use]
    pub fn cancelled_ratio_variance(&self) -> f64 {
        let ratio = self.cancelled_ratio();
        ratio * (1.0 - ratio) / f64::from(self.sample_count.max(1))
    }

    /// Whether the target shed more than one request, and more than a tenth of those measured.
    #[must_use]
    pub const fn is_shedding(&self) -> bool {
        self.shed_count > 1 && self.shed_count * 10 > self.sample_count
    }
}
