//! Share of each kind of request in the work of a target.
//!
//! A downstream call does not show which request made it. If a downstream service is full, a few
//! new downloads that share the target with many reads of upstream call chains would be refused
//! with them, without reducing the load downstream. New requests of a class are therefore throttled
//! only if they are a significant share of the work at the target.

use crate::model::{CLASS_COUNT, Class};

/// Kinds of requests: new ones by class, and calls by other targets.
const KIND_COUNT: usize = CLASS_COUNT + 1;
/// Index of calls by other targets.
const CALL_INDEX: usize = CLASS_COUNT;
/// Time in which the arrival count decays to 1/e.
const ARRIVAL_DECAY_US: f64 = 2_000_000.0;
/// Weight of a new request in the mean running time of its kind.
const TIME_WEIGHT: f64 = 0.1;
/// Share of the work at a target from which a class is throttled.
const MIN_WORK_RATIO: f64 = 0.15;

/// Recent arrivals and running time of one kind of request.
#[derive(Debug, Clone, Copy, Default)]
struct RequestKind {
    arrival_count: f64,
    last_arrival_us: u64,
    mean_run_us: Option<f64>,
}

impl RequestKind {
    fn decayed_arrival_count(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.last_arrival_us) as f64;
        self.arrival_count * (-age_us / ARRIVAL_DECAY_US).exp()
    }

    fn work_us(&self, now_us: u64) -> f64 {
        self.decayed_arrival_count(now_us) * self.mean_run_us.unwrap_or(0.0)
    }
}

/// Offered work of each kind of request at a target. Pure state: performs no I/O and reads no
/// clock.
#[derive(Debug, Clone, Default)]
pub struct WorkShares {
    kinds: [RequestKind; KIND_COUNT],
}

impl WorkShares {
    /// A state without recorded requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an arrival, whether or not it is admitted: a new request of this class, or a call
    /// if `None`.
    pub fn arrive(&mut self, new_class: Option<Class>, now_us: u64) {
        let kind = &mut self.kinds[kind_index(new_class)];
        kind.arrival_count = kind.decayed_arrival_count(now_us) + 1.0;
        kind.last_arrival_us = now_us;
    }

    /// Records how long a request ran.
    pub fn end(&mut self, new_class: Option<Class>, run_us: u64) {
        let mean_us = &mut self.kinds[kind_index(new_class)].mean_run_us;
        let run_us = run_us as f64;
        *mean_us =
            Some(mean_us.map_or(run_us, |mean_us| mean_us + (run_us - mean_us) * TIME_WEIGHT));
    }

    /// Whether throttling new requests of this class would reduce the load of downstream services.
    #[must_use]
    pub fn would_reduce_downstream_load(&self, class: Class, now_us: u64) -> bool {
        let total_work_us: f64 = self.kinds.iter().map(|kind| kind.work_us(now_us)).sum();
        let class_work_us = self.kinds[class.index()].work_us(now_us);
        // The work of a class that has not run yet is unknown.
        self.kinds[class.index()].mean_run_us.is_none()
            || class_work_us >= total_work_us * MIN_WORK_RATIO
    }
}

const fn kind_index(new_class: Option<Class>) -> usize {
    match new_class {
        Some(class) => class.index(),
        None => CALL_INDEX,
    }
}
