//! Intended send times.

use {
    crate::scenario::LoadConf,
    rand::{Rng, SeedableRng, rngs::StdRng},
};

/// Poisson arrivals of one load in microseconds since its start; the same for
/// the same seed.
#[derive(Debug)]
pub struct Arrivals {
    load: LoadConf,
    rng: StdRng,
    next_s: f64,
    end_s: f64,
}

impl Arrivals {
    /// Arrivals until `duration_s`.
    #[must_use]
    pub fn new(load: &LoadConf, seed: u64, duration_s: u64) -> Self {
        Self {
            load: load.clone(),
            rng: StdRng::seed_from_u64(seed),
            next_s: 0.0,
            end_s: duration_s as f64,
        }
    }

    fn rate_per_s(&self, at_s: f64) -> f64 {
        let past = self.load.steps.iter().filter(|step| step.at_s <= at_s);
        let latest = past.max_by(|a, b| a.at_s.total_cmp(&b.at_s));
        self.load.rate_per_s * latest.map_or(1.0, |step| step.factor)
    }

    fn next_step_s(&self) -> Option<f64> {
        let steps = self.load.steps.iter().map(|step| step.at_s);
        steps.filter(|at_s| *at_s > self.next_s).reduce(f64::min)
    }
}

impl Iterator for Arrivals {
    type Item = u64;

    fn next(&mut self) -> Option<u64> {
        while self.next_s < self.end_s {
            let rate_per_s = self.rate_per_s(self.next_s);
            let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / rate_per_s;
            let arrival_s = self.next_s + gap_s;
            // The rate changes first: draw again from there, which for a
            // process without memory is exact. Without it a rate of 0 would
            // never end.
            match self.next_step_s() {
                Some(step_s) if step_s < arrival_s => self.next_s = step_s,
                _ => {
                    self.next_s = arrival_s;
                    return (arrival_s < self.end_s).then_some((arrival_s * 1e6) as u64);
                }
            }
        }
        None
    }
}
