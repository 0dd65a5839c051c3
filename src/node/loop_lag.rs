//! Measures how late the node's thread runs its ticks and reports it as load. Pure
//! state: performs no I/O and reads no clock.

use crate::timer::TICK_MS;

/// Lateness of timers on an idle machine, in microseconds; not counted as lag.
const TIMER_LATENESS_US: u64 = 5_000;
/// Weight of a tick in the mean; the last 200 ms dominate.
const TICK_WEIGHT: f64 = 0.1;
/// Load in percent per millisecond of lag. A request with a chain of four calls
/// waits for the thread about ten times: a mean lag of 10 ms costs it 100 ms, as
/// much as a target at 150 % of its slots.
const LOAD_PERCENT_PER_MS: f64 = 5.0;
/// Load in percent reported for any measurable lag; the lag itself adds to it.
const BASE_LOAD_PERCENT: f64 = 100.0;

/// Mean lag of ticks while requests are in flight.
///
/// A node has a share of one core. At the last target of a service this share may
/// be used up before the target's slots are: requests then wait in sockets, where no
/// queue counts them, and time out while the target appears idle.
#[derive(Debug, Default)]
pub struct LoopLag {
    last_tick_us: Option<u64>,
    mean_lag_us: f64,
}

impl LoopLag {
    /// Starts without lag.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a tick while requests are in flight.
    pub fn record_tick(&mut self, now_us: u64) {
        let expected_period_us = TICK_MS * 1000 + TIMER_LATENESS_US;
        if let Some(last_tick_us) = self.last_tick_us.replace(now_us) {
            let lag_us = now_us.saturating_sub(last_tick_us + expected_period_us) as f64;
            self.mean_lag_us += (lag_us - self.mean_lag_us) * TICK_WEIGHT;
        }
    }

    /// Resets the lag while no request is in flight; ticks are rarer then.
    pub const fn pause(&mut self) {
        self.last_tick_us = None;
        self.mean_lag_us = 0.0;
    }

    /// Load that the lag amounts to, in percent; 0 if the mean is below 1 ms.
    #[must_use]
    pub fn load_percent(&self) -> u16 {
        let lag_ms = self.mean_lag_us / 1000.0;
        if lag_ms < 1.0 {
            return 0;
        }
        (BASE_LOAD_PERCENT + lag_ms * LOAD_PERCENT_PER_MS) as u16
    }
}
