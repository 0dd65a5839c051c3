//! Supply of the services that the local target calls, from the levels in their responses.

use crate::model::{AdmissionLevel, ServiceKey};

/// Time in which the weight of a response decays to 1/e.
const DECAY_US: f64 = 75_000.0;
/// Age from which the figures of a service no longer count.
const STALE_US: u64 = 1_000_000;
/// Smallest figure that counts in the mean, in percent. Without a bound, a single wrong figure of
/// 1 would outweigh dozens of others.
const MIN_PERCENT: u16 = 10;

/// Time in which the counts of calls and runs decay to 1/e.
const COUNT_DECAY_US: f64 = 2_000_000.0;
/// Fewest calls of a service for each run of the local target from which it counts as called by
/// that target. Callers may send requests without a key through any node; they look like calls of
/// its target. Counted as such, they would close a cycle of services in which a low supply keeps
/// itself up.
const MIN_CALLS_PER_RUN: f64 = 0.1;

/// A count that decays with time.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCount {
    count: f64,
    updated_us: u64,
}

impl DecayingCount {
    fn add(&mut self, now_us: u64) {
        self.count = self.at(now_us) + 1.0;
        self.updated_us = self.updated_us.max(now_us);
    }

    fn at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        self.count * (-age_us / COUNT_DECAY_US).exp()
    }
}

/// Recent responses of one service.
#[derive(Debug, Clone, Copy)]
struct CalledService {
    service: ServiceKey,
    calls: DecayingCount,
    weight: f64,
    /// Weighted sum of the work offered per unit of supply.
    offered_sum: f64,
    received_us: u64,
}

impl CalledService {
    fn record(&mut self, percent: u16, now_us: u64) {
        let age_us = now_us.saturating_sub(self.received_us) as f64;
        let kept_ratio = (-age_us / DECAY_US).exp();
        self.weight = self.weight * kept_ratio + 1.0;
        let offered_ratio = 100.0 / f64::from(percent.max(MIN_PERCENT));
        self.offered_sum = self.offered_sum * kept_ratio + offered_ratio;
        self.received_us = self.received_us.max(now_us);
        self.calls.add(now_us);
    }

    const fn is_stale(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.received_us) > STALE_US
    }

    /// Work offered per unit of supply.
    fn offered_ratio(&self) -> f64 {
        self.offered_sum / self.weight
    }
}

/// Mean supply of each called service over its recent responses.
///
/// Each response has the same weight, so that each target counts by the calls that it gets. The
/// mean is taken over the offered work per supply: a target completes calls in proportion to its
/// supply, so that this mean is the offered work of all targets over their supply. Pure state:
/// performs no I/O and reads no clock.
#[derive(Debug, Clone, Default)]
pub struct BelowSupply {
    services: Vec<CalledService>,
    runs: DecayingCount,
}

impl BelowSupply {
    /// A state without responses.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the level in a response of a target of this service.
    pub fn record_level(&mut self, service: ServiceKey, level: AdmissionLevel, now_us: u64) {
        let figures = [level.supply_percent, level.below_supply_percent];
        let Some(percent) = figures.into_iter().filter(|percent| *percent > 0).min() else {
            return;
        };
        self.services.retain(|called| !called.is_stale(now_us));
        match self.find(service) {
            Some(called) => called.record(percent, now_us),
            None => {
                let mut called = CalledService {
                    service,
                    calls: DecayingCount::default(),
                    weight: 0.0,
                    offered_sum: 0.0,
                    received_us: now_us,
                };
                called.record(percent, now_us);
                self.services.push(called);
            }
        }
    }

    /// Records that a request at the local target ended.
    pub fn record_run(&mut self, now_us: u64) {
        self.runs.add(now_us);
    }

    /// Supply of the scarcest called service over the work offered to it; `None` if unknown.
    #[must_use]
    pub fn ratio(&self, now_us: u64) -> Option<f64> {
        let offered_ratios = self
            .services
            .iter()
            .filter(|called| !called.is_stale(now_us) && self.is_called(called, now_us))
            .map(CalledService::offered_ratio);
        let highest_ratio = offered_ratios.reduce(f64::max)?;
        Some(1.0 / highest_ratio)
    }

    /// The same in percent, as propagated upstream; 0 if unknown.
    #[must_use]
    pub fn percent(&self, now_us: u64) -> u16 {
        let ratio = self.ratio(now_us);
        ratio.map_or(0, |ratio| (ratio * 100.0).round().max(1.0) as u16)
    }

    /// Whether the local target makes a significant number of its calls to this service.
    fn is_called(&self, called: &CalledService, now_us: u64) -> bool {
        let run_count = self.runs.at(now_us).max(1.0);
        called.calls.at(now_us) >= run_count * MIN_CALLS_PER_RUN
    }

    fn find(&mut self, service: ServiceKey) -> Option<&mut CalledService> {
        self.services
            .iter_mut()
            .find(|called| called.service == service)
    }
}
