//! Ejection of targets that fail or are far slower than their peers.

use super::target::{Health, TRIAL_US, Target};

/// Consecutive failures after which a target is ejected.
const FAILURE_LIMIT: u32 = 5;
/// Ratio of its latency to the peers' median above which a target is ejected.
const SLOW_LATENCY_RATIO: f64 = 5.0;
/// Minimum latency above the median for an ejection; callers do not notice less.
const SLOW_LATENCY_MARGIN_US: f64 = 20_000.0;
/// Minimum number of samples for an ejection by latency.
const MIN_SAMPLE_COUNT: u32 = 10;
/// Minimum number of targets with samples for a meaningful median.
const MIN_PEER_COUNT: usize = 3;
/// Duration of the first ejection; it doubles with each further one.
const INITIAL_EJECTION_US: u64 = 1_000_000;
/// Maximum duration of an ejection.
const MAX_EJECTION_US: u64 = 30_000_000;

/// Maximum number of a service's targets that may be ejected at a time: half.
/// If more seem to fail, the fault is probably in this node or in a dependency
/// that they share, and the whole load would overload the remaining ones too.
#[must_use]
pub const fn ejection_limit(target_count: usize) -> usize {
    target_count / 2
}

/// Median of the mean latencies of a service's targets; `None` without any.
#[must_use]
pub fn median_us(mut means_us: Vec<f64>) -> Option<f64> {
    if means_us.is_empty() {
        return None;
    }
    means_us.sort_by(f64::total_cmp);
    // Of two middle values the lower one, so that the slower target stands out.
    Some(means_us[(means_us.len() - 1) / 2])
}

impl Target {
    /// Whether the target should be ejected: too many consecutive failures, or
    /// far slower than its peers.
    #[must_use]
    pub fn should_eject(&self, median_us: f64, peer_count: usize) -> bool {
        let is_slow = peer_count >= MIN_PEER_COUNT
            && self.latency.sample_count() >= MIN_SAMPLE_COUNT
            && self.latency.mean_us().is_some_and(|mean_us| {
                mean_us > median_us * SLOW_LATENCY_RATIO
                    && mean_us > median_us + SLOW_LATENCY_MARGIN_US
            });
        // During a trial one failure is enough, since the target was ejected before.
        let failure_limit = match self.health {
            Health::Trial { .. } => 1,
            Health::Healthy | Health::Ejected { .. } => FAILURE_LIMIT,
        };
        !self.is_ejected() && (self.failure_count >= failure_limit || is_slow)
    }

    /// Ejects the target for a time that doubles with each ejection.
    pub fn eject(&mut self, now_us: u64) {
        let duration_us = INITIAL_EJECTION_US
            .saturating_mul(1 << self.ejection_count.min(10))
            .min(MAX_EJECTION_US);
        self.ejection_count = self.ejection_count.saturating_add(1);
        self.health = Health::Ejected {
            until_us: now_us + duration_us,
        };
    }

    /// Moves from ejected to trial and from trial to healthy when the time has
    /// passed; returns whether the ejection ended.
    pub fn advance_recovery(&mut self, now_us: u64) -> bool {
        match self.health {
            Health::Ejected { until_us } if now_us >= until_us => {
                self.health = Health::Trial { since_us: now_us };
                self.failure_count = 0;
                // Samples from before the ejection must not cause another one.
                self.latency = super::latency::Latency::new();
                true
            }
            Health::Trial { since_us } if now_us >= since_us + TRIAL_US => {
                self.health = Health::Healthy;
                self.ejection_count = 0;
                false
            }
            Health::Healthy | Health::Ejected { .. } | Health::Trial { .. } => false,
        }
    }
}
