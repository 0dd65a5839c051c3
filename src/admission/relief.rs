//! Whether holding back new requests relieves the services below.
//!
//! Pattern: a few downloads share a target with many reads that chains further up
//! make, and the service that these reads call is full. A call does not tell which
//! request it belongs to; held back along with the chains, downloads would be
//! refused though nothing below gets emptier by it. So new requests of a class are
//! held back only where they are a fair part of the work at the target.

use crate::model::{CLASS_COUNT, Class};

/// Kinds of requests: new ones by class, and calls of other targets.
const KIND_COUNT: usize = CLASS_COUNT + 1;
const CALLED: usize = CLASS_COUNT;
/// Time in which arrivals count for 1/e.
const ARRIVAL_LIFE_US: f64 = 2_000_000.0;
/// Weight of a request in the mean time that its kind runs.
const TIME_WEIGHT: f64 = 0.1;
/// Part of the work at a target from which a class is held back.
const FAIR_PART: f64 = 0.15;

#[derive(Debug, Clone, Copy, Default)]
struct Kind {
    arrivals: f64,
    arrived_us: u64,
    run_us: Option<f64>,
}

impl Kind {
    fn arrivals_at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.arrived_us) as f64;
        self.arrivals * (-age_us / ARRIVAL_LIFE_US).exp()
    }

    fn work(&self, now_us: u64) -> f64 {
        self.arrivals_at(now_us) * self.run_us.unwrap_or(0.0)
    }
}

/// Work that each kind of request asks for at a target; no I/O, no clock.
#[derive(Debug, Clone, Default)]
pub struct Relief {
    kinds: [Kind; KIND_COUNT],
}

impl Relief {
    /// No work is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A request arrived, whether or not it begins: a new one of this class, or
    /// a call.
    pub fn arrive(&mut self, new_class: Option<Class>, now_us: u64) {
        let kind = &mut self.kinds[place(new_class)];
        kind.arrivals = kind.arrivals_at(now_us) + 1.0;
        kind.arrived_us = now_us;
    }

    /// A request ended after this time.
    pub fn end(&mut self, new_class: Option<Class>, run_us: u64) {
        let mean_us = &mut self.kinds[place(new_class)].run_us;
        let run_us = run_us as f64;
        *mean_us =
            Some(mean_us.map_or(run_us, |mean_us| mean_us + (run_us - mean_us) * TIME_WEIGHT));
    }

    /// Whether the services below get emptier when this class is held back.
    #[must_use]
    pub fn would_reduce_downstream_load(&self, class: Class, now_us: u64) -> bool {
        let whole: f64 = self.kinds.iter().map(|kind| kind.work(now_us)).sum();
        let part = self.kinds[class.index()].work(now_us);
        // Of a kind that has not run yet nothing is known.
        self.kinds[class.index()].run_us.is_none() || part >= whole * FAIR_PART
    }
}

const fn place(new_class: Option<Class>) -> usize {
    match new_class {
        Some(class) => class.index(),
        None => CALLED,
    }
}
