//! Ejection of targets that fail or are far slower than their peers.

use super::target::{Health, TRIAL_US, Target};

/// Failures in a row after which a target is ejected.
const FAILURE_LIMIT: u32 = 5;
/// Latency over the peers' median from which a target is ejected.
const SLOW_RATIO: f64 = 5.0;
/// Least difference to the median that counts; below it nobody notices.
const SLOW_MARGIN_US: f64 = 20_000.0;
/// Fewest samples on which a target is judged as slow.
const SLOW_SAMPLE_COUNT: u32 = 10;
/// Fewest targets with samples for a median to mean anything.
const MEDIAN_TARGET_COUNT: usize = 3;
/// First ejection; each further one lasts twice as long.
const FIRST_EJECTION_US: u64 = 1_000_000;
/// Longest ejection.
const LONGEST_EJECTION_US: u64 = 30_000_000;

/// Most targets of a service that may be ejected at a time: half of them.
/// When more seem to fail, the fault is probably this node's own or lies in
/// their dependency, and sending everything to the rest would end them too.
#[must_use]
pub const fn ejection_limit(target_count: usize) -> usize {
    target_count / 2
}

/// Median latency of the targets of a service, if enough of them have one.
#[must_use]
pub fn median_us(mut means_us: Vec<f64>) -> Option<f64> {
    if means_us.is_empty() {
        return None;
    }
    means_us.sort_by(f64::total_cmp);
    // The lower one of two: it is the slow one that has to stand out.
    Some(means_us[(means_us.len() - 1) / 2])
}

impl Target {
    /// Whether it should be ejected, seen against its peers.
    #[must_use]
    pub fn is_unfit(&self, median_us: f64, peer_count: usize) -> bool {
        let is_slow = peer_count >= MEDIAN_TARGET_COUNT
            && self.latency.sample_count() >= SLOW_SAMPLE_COUNT
            && self.latency.mean_us().is_some_and(|mean_us| {
                mean_us > median_us * SLOW_RATIO && mean_us > median_us + SLOW_MARGIN_US
            });
        // In a trial one failure suffices: it is known to have failed before.
        let failure_limit = match self.health {
            Health::Trial { .. } => 1,
            Health::Healthy | Health::Ejected { .. } => FAILURE_LIMIT,
        };
        !self.is_ejected() && (self.failure_count >= failure_limit || is_slow)
    }

    /// Takes it out of service for a while.
    pub fn eject(&mut self, now_us: u64) {
        let length_us = FIRST_EJECTION_US
            .saturating_mul(1 << self.ejection_count.min(10))
            .min(LONGEST_EJECTION_US);
        self.ejection_count = self.ejection_count.saturating_add(1);
        self.health = Health::Ejected {
            until_us: now_us + length_us,
        };
    }

    /// Moves on from ejection to trial to health; returns whether it left its
    /// ejection.
    pub fn recover(&mut self, now_us: u64) -> bool {
        match self.health {
            Health::Ejected { until_us } if now_us >= until_us => {
                self.health = Health::Trial { since_us: now_us };
                self.failure_count = 0;
                // Judged anew: what made it unfit lies before the ejection.
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
