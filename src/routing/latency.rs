//! Latency of a target, measured on this node's attempts.

/// Time in which the weight of a sample decays to 1/e.
const SAMPLE_DECAY_US: f64 = 1_000_000.0;
/// Time in which the difference between a mean without new samples and the
/// peers' median decays to 1/e. Otherwise the slowest target would never be
/// picked again, and its recovery would go unnoticed.
const IDLE_DECAY_US: f64 = 5_000_000.0;

/// Time-decayed mean latency.
#[derives::value]
#[derive(Copy, Default)]
pub struct Latency {
    mean_us: Option<f64>,
    last_sample_us: u64,
    sample_count: u32,
}

impl Latency {
    /// A mean without samples.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            mean_us: None,
            last_sample_us: 0,
            sample_count: 0,
        }
    }

    /// Adds the latency of an attempt. The weight of a sample grows with the
    /// time since the previous one, so that the means of busy and idle targets
    /// follow a change equally fast.
    pub fn add_sample(&mut self, latency_us: u64, now_us: u64) {
        let latency_us = latency_us as f64;
        let elapsed_us = now_us.saturating_sub(self.last_sample_us) as f64;
        // Samples in the same microsecond get a weight too.
        let weight = (1.0 - (-elapsed_us / SAMPLE_DECAY_US).exp()).max(0.001);
        self.mean_us = Some(match self.mean_us {
            Some(mean_us) => mean_us + (latency_us - mean_us) * weight,
            None => latency_us,
        });
        self.last_sample_us = now_us;
        self.sample_count = self.sample_count.saturating_add(1);
    }

    /// Number of samples.
    #[must_use]
    pub const fn sample_count(&self) -> u32 {
        self.sample_count
    }

    /// The mean; `None` without samples.
    #[must_use]
    pub const fn mean_us(&self) -> Option<f64> {
        self.mean_us
    }

    /// Expected latency: the mean, which decays to the peers' median with the
    /// age of the last sample.
    #[must_use]
    pub fn estimate_us(&self, median_us: f64, now_us: u64) -> f64 {
        let Some(mean_us) = self.mean_us else {
            return median_us;
        };
        let age_us = now_us.saturating_sub(self.last_sample_us) as f64;
        median_us + (mean_us - median_us) * (-age_us / IDLE_DECAY_US).exp()
    }
}
