//! State of one target as this node sees it, and its cost for the next attempt.

use {
    super::{
        AttemptResult, TargetInfo,
        completion::{Expectation, Figures, OwnRequests, ServiceMean, round_trip_us},
        latency::Latency,
        silence::Silence,
    },
    crate::model::{AdmissionLevel, Class},
};

/// Age above which an admission level received in a response is ignored.
pub const LEVEL_AGE_LIMIT_US: u64 = 1_000_000;
/// Time for which a target gets no requests after it reported in a response
/// that it drains; by then membership reports it too.
pub const DRAIN_AGE_LIMIT_US: u64 = 10_000_000;
/// Load from which a target is busy: its queue is filled to a fifth of its limit.
const BUSY_LOAD_PERCENT: u16 = 120;
/// Time in which a new target reaches its full share of requests.
const SLOW_START_US: u64 = 10_000_000;
/// Share of requests with which a new target starts.
const SLOW_START_INITIAL_SHARE: f64 = 0.1;
/// Duration of the trial after an ejection, with growing traffic.
pub const TRIAL_US: u64 = 5_000_000;
/// Share of picks for which a target is considered when its trial starts.
const TRIAL_INITIAL_SHARE: f64 = 0.05;

/// Time in which the cost added by failures decays to 1/e.
const FAILURE_DECAY_US: f64 = 1_000_000.0;

/// Whether a target may get requests.
#[derives::value]
#[derive(Copy, Eq)]
pub enum Health {
    /// It gets its full share.
    Healthy,
    /// It gets no requests.
    Ejected {
        /// Time at which its trial starts.
        until_us: u64,
    },
    /// It gets a share that grows with time.
    Trial {
        /// Time at which the trial started.
        since_us: u64,
    },
}

/// A target with the results of this node's attempts.
#[derive(Debug, Clone)]
pub struct Target {
    /// What membership reports.
    pub info: TargetInfo,
    /// Attempts of this node that have not ended.
    pub outstanding_count: u32,
    /// Latency of this node's attempts.
    pub latency: Latency,
    /// Whether it may get requests.
    pub health: Health,
    /// Consecutive failed attempts.
    pub failure_count: u32,
    /// Ejections since the last trial that it passed.
    pub ejection_count: u32,
    /// Whether its node responds.
    pub silence: Silence,
    /// Whether its availability zone does not respond.
    pub is_zone_silent: bool,
    /// Its queue and speed, for the choice by expected completion.
    pub figures: Figures,
    /// Admission level in the latest response, with the time of its receipt.
    level: Option<(AdmissionLevel, u64)>,
    last_failure_us: u64,
    added_us: u64,
}

impl Target {
    /// A target that membership has just reported.
    #[must_use]
    pub const fn new(info: TargetInfo, now_us: u64) -> Self {
        Self {
            info,
            silence: Silence::new(now_us),
            is_zone_silent: false,
            outstanding_count: 0,
            figures: Figures::new(),
            latency: Latency::new(),
            health: Health::Healthy,
            failure_count: 0,
            ejection_count: 0,
            level: None,
            last_failure_us: 0,
            added_us: now_us,
        }
    }

    /// Records the end of an attempt.
    pub fn record_result(
        &mut self,
        result: AttemptResult,
        latency_us: u64,
        level: Option<AdmissionLevel>,
        now_us: u64,
    ) {
        if let Some(level) = level {
            self.level = Some((level, now_us));
            self.silence.record_response(now_us);
        }
        match result {
            AttemptResult::Completed => {
                self.failure_count = 0;
                self.latency.add_sample(latency_us, now_us);
                let distance = self.info.distance;
                self.figures
                    .record_latency(latency_us, level, distance, now_us);
            }
            AttemptResult::Refused => self.failure_count = 0,
            // Its node is unreachable, which says nothing about the target.
            AttemptResult::Failed if self.silence.is_silent() => {}
            AttemptResult::Failed => {
                self.failure_count = self.failure_count.saturating_add(1);
                self.last_failure_us = now_us;
                // A timeout shows that responses take at least that long; a
                // connection that is refused at once shows nothing about it.
                if self
                    .latency
                    .mean_us()
                    .is_some_and(|mean_us| latency_us as f64 > mean_us)
                {
                    self.latency.add_sample(latency_us, now_us);
                }
            }
            AttemptResult::Cancelled => {}
        }
    }

    /// Whether it drains, as reported by membership or in a recent response.
    #[must_use]
    pub fn is_draining(&self, now_us: u64) -> bool {
        let is_reported = self.level.is_some_and(|(level, received_us)| {
            level.draining && now_us.saturating_sub(received_us) <= DRAIN_AGE_LIMIT_US
        });
        self.info.draining || is_reported
    }

    /// Whether it may get no new requests, regardless of its load.
    #[must_use]
    pub fn is_unavailable(&self, now_us: u64) -> bool {
        self.is_draining(now_us) || self.is_zone_silent || self.silence.is_silent()
    }

    /// Whether it is ejected.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        matches!(self.health, Health::Ejected { .. })
    }

    /// Whether a recent response reported that it sheds this class.
    #[must_use]
    pub fn is_shedding(&self, class: Class, now_us: u64) -> bool {
        self.fresh_level(now_us)
            .is_some_and(|level| class < level.lowest_class)
    }

    /// Whether targets with room should be preferred to it.
    #[must_use]
    pub fn is_busy(&self, now_us: u64) -> bool {
        self.outstanding_count >= self.info.slot_count
            || self
                .fresh_level(now_us)
                .is_some_and(|level| level.load_percent >= BUSY_LOAD_PERCENT)
    }

    /// Share of picks for which it is considered.
    #[must_use]
    pub fn considered_share(&self, now_us: u64) -> f64 {
        match self.health {
            Health::Healthy => 1.0,
            Health::Ejected { .. } => 0.0,
            Health::Trial { since_us } => ramp(TRIAL_INITIAL_SHARE, since_us, TRIAL_US, now_us),
        }
    }

    /// Share of its full number of requests in slow start; 1 otherwise.
    #[must_use]
    pub fn slow_start_share(&self, now_us: u64) -> f64 {
        match self.info.starts_slowly {
            true => ramp(
                SLOW_START_INITIAL_SHARE,
                self.added_us,
                SLOW_START_US,
                now_us,
            ),
            false => 1.0,
        }
    }

    /// Expected state for one more request of this class.
    #[must_use]
    pub fn expectation(&self, class: Class, mean: ServiceMean, now_us: u64) -> Expectation {
        let own = OwnRequests {
            outstanding_count: self.outstanding_count,
            latency_us: self.latency.estimate_us(mean.service_us, now_us),
        };
        self.figures
            .expectation(class, self.info.slot_count, own, mean, now_us)
            .with_round_trip_us(round_trip_us(self.info.distance))
            .with_failure_factor(self.failure_factor(now_us))
    }

    /// Cost of one more attempt, in arbitrary units; the cheaper of two targets
    /// is picked.
    #[must_use]
    pub fn cost(&self, median_us: f64, now_us: u64) -> f64 {
        let slot_count = f64::from(self.info.slot_count.max(1)) * self.slow_start_share(now_us);
        let attempts_per_slot = f64::from(self.outstanding_count + 1) / slot_count;
        let load = self
            .fresh_level(now_us)
            .map_or(0.0, |level| f64::from(level.load_percent) / 100.0);
        let latency_us = self.latency.estimate_us(median_us, now_us).max(1.0);
        attempts_per_slot * (1.0 + load) * latency_us * self.failure_factor(now_us)
    }

    /// Expected duration of one more attempt, including queueing.
    #[must_use]
    pub fn expected_us(&self, median_us: f64, now_us: u64) -> f64 {
        let latency_us = self.latency.estimate_us(median_us, now_us);
        let load = self
            .fresh_level(now_us)
            .map_or(0.0, |level| f64::from(level.load_percent) / 100.0);
        // A load above 100 % adds queueing that past latencies do not show yet.
        latency_us * (1.0 + (load - 1.0).max(0.0) / 2.0)
    }

    /// Factor by which failures raise the cost. It decays: an avoided target
    /// would never get the response that resets its failure count.
    fn failure_factor(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.last_failure_us) as f64;
        1.0 + f64::from(self.failure_count) * (-age_us / FAILURE_DECAY_US).exp()
    }

    fn fresh_level(&self, now_us: u64) -> Option<AdmissionLevel> {
        self.level
            .filter(|(_, received_us)| now_us.saturating_sub(*received_us) <= LEVEL_AGE_LIMIT_US)
            .map(|(level, _)| level)
    }
}

/// Share that grows linearly from `initial_share` to 1 within `duration_us`.
fn ramp(initial_share: f64, since_us: u64, duration_us: u64, now_us: u64) -> f64 {
    let elapsed_ratio = now_us.saturating_sub(since_us) as f64 / duration_us as f64;
    (initial_share + (1.0 - initial_share) * elapsed_ratio).min(1.0)
}
