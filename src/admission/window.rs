//! Latency of the requests that started and ended within a span of time.

/// Requests that started and ended since the window was opened.
#[derives::value]
#[derive(Copy, Default)]
pub struct Window {
    /// When it was opened.
    pub opened_us: u64,
    /// Requests whose latency was taken.
    pub sample_count: u32,
    /// Requests that the target shed itself.
    pub shed_count: u32,
    /// Most requests that ran at a time, with what was kept free.
    pub peak_in_use_count: u32,
    cut_short_count: u32,
    sum_us: f64,
    square_sum: f64,
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

    /// Takes a latency; one that was cut short is a lower bound only.
    pub fn sample(&mut self, latency_us: u64, cut_short: bool) {
        self.cut_short_count += u32::from(cut_short);
        let latency_us = latency_us as f64;
        self.sample_count += 1;
        self.sum_us += latency_us;
        self.square_sum += latency_us * latency_us;
    }

    /// Mean latency.
    #[must_use]
    pub fn mean_us(&self) -> f64 {
        self.sum_us / f64::from(self.sample_count.max(1))
    }

    /// Variance of the mean: how far chance alone may have moved it, squared.
    #[must_use]
    pub fn mean_variance(&self) -> f64 {
        let count = f64::from(self.sample_count.max(1));
        let variance = (self.square_sum / count - self.mean_us().powi(2)).max(0.0);
        variance / count
    }

    /// Standard error of the mean.
    #[must_use]
    pub fn standard_error_us(&self) -> f64 {
        self.mean_variance().sqrt()
    }

    /// Share of the requests that were given up while running.
    #[must_use]
    pub fn cut_short_ratio(&self) -> f64 {
        f64::from(self.cut_short_count) / f64::from(self.sample_count.max(1))
    }

    /// Variance of that share.
    #[must_use]
    pub fn cut_short_variance(&self) -> f64 {
        let ratio = self.cut_short_ratio();
        ratio * (1.0 - ratio) / f64::from(self.sample_count.max(1))
    }

    /// Whether the target shed more than a tenth of the requests.
    #[must_use]
    pub const fn is_shedding(&self) -> bool {
        self.shed_count > 1 && self.shed_count * 10 > self.sample_count
    }
}
