//! How late the node's own thread gets to its work; no I/O, no clock.

use crate::timer::TICK_MS;

/// Lag that is always there: timers fire late by this much on an idle machine,
/// in microseconds.
const USUAL_LAG_US: u64 = 5_000;
/// Weight of a tick in the mean: the last fifth of a second counts most.
const WEIGHT: f64 = 0.1;
/// Load in percent that a millisecond of lag stands for. Each request of a chain
/// of four calls waits for the thread some ten times; at 10 ms of mean lag it
/// loses a tenth of a second, as it would at a target half over its slots.
const PERCENT_PER_MS: f64 = 5.0;
/// Load at which lag begins to count.
const BASE_PERCENT: f64 = 100.0;

/// Mean lag of ticks while requests are in flight.
///
/// A node has a part of one core. Beside the last target of a service it may
/// be used up before the target's slots are: requests then wait in sockets,
/// where no queue counts them, and run out of time. The targets look idle.
#[derive(Debug, Default)]
pub struct LoopLag {
    last_us: Option<u64>,
    mean_us: f64,
}

impl LoopLag {
    /// A thread that was never late.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A tick came while requests were in flight.
    pub fn note(&mut self, now_us: u64) {
        let expected_us = TICK_MS * 1000 + USUAL_LAG_US;
        if let Some(last_us) = self.last_us.replace(now_us) {
            let lag_us = now_us.saturating_sub(last_us + expected_us) as f64;
            self.mean_us += (lag_us - self.mean_us) * WEIGHT;
        }
    }

    /// Nothing is in flight: the next tick comes when it comes.
    pub const fn pause(&mut self) {
        self.last_us = None;
        self.mean_us = 0.0;
    }

    /// The lag as a load, in percent; 0 while there is none.
    #[must_use]
    pub fn load_percent(&self) -> u16 {
        let lag_ms = self.mean_us / 1000.0;
        if lag_ms < 1.0 {
            return 0;
        }
        (BASE_PERCENT + lag_ms * PERCENT_PER_MS) as u16
    }
}
