//! Throttling of new requests by the load and failures of downstream services.
//!
//! If the deepest service of a call chain is full, most requests lose one of their sequential calls
//! there and fail after using slots of the whole chain: with one call in twenty lost, a request
//! with eight calls fails one time in three. Admitting fewer requests completes more.
//!
//! Responses between nodes carry the load of the target and of the services it calls, so that a
//! node sees the fullest downstream service before calls fail there. While that load is high or
//! calls fail, the admitted share falls in steps, larger at a higher load, lowest class first; no
//! class falls below a quarter of the most admitted one, so that none is starved.

use {
    super::WorkShares,
    crate::model::{AdmissionLevel, CLASS_COUNT, Class},
};

/// Length of a window over which reported loads are averaged.
const LOAD_WINDOW_US: u64 = 100_000;
/// Time between two steps. Requests admitted before a step show in the load for about as long;
/// faster steps would overshoot and make the load oscillate.
const STEP_INTERVAL_US: u64 = 200_000;
/// Length of a window in which failed calls are counted.
const FAILURE_WINDOW_US: u64 = 200_000;
/// Fewest calls in a window from which a failure ratio is computed.
const MIN_CALL_COUNT: u32 = 8;
/// Failure ratio above which shares fall. If each call makes four calls downstream, one call in
/// twenty lost at the deepest service causes about this ratio.
const HIGH_FAILURE_RATIO: f64 = 0.2;
/// Failure ratio below which shares rise.
const LOW_FAILURE_RATIO: f64 = 0.1;
/// Factor of a step down because of failed calls.
const FAILURE_DECREASE_FACTOR: f64 = 0.9;
/// Downstream load, in percent of slots, above which shares fall: calls are queued.
const HIGH_LOAD_PERCENT: f64 = 140.0;
/// Load that steps down aim for: all slots are in use and few calls are queued.
const DESIRED_LOAD_PERCENT: f64 = 115.0;
/// Load below which shares rise.
const LOW_LOAD_PERCENT: f64 = 110.0;
/// Factor of the largest step down.
const MIN_DECREASE_FACTOR: f64 = 0.75;
/// Increase of a share in a step up.
const SHARE_INCREASE: f64 = 0.1;
/// Increase of the shares of the classes below that one at low load.
const LOWER_CLASS_INCREASE: f64 = 0.05;
/// Load below which a step up raises the shares of several classes.
const IDLE_LOAD_PERCENT: f64 = 60.0;
/// Smallest shares of browse and standard over the largest share of the classes above: no class
/// may be served less than a quarter as often as others.
const MIN_SHARE_RATIOS: [f64; CLASS_COUNT - 1] = [0.25, 0.5];
/// Smallest admitted share of critical requests.
const MIN_CRITICAL_SHARE: f64 = 0.1;
/// Weight of a new window in the average load, which is also propagated upstream.
const LOAD_WEIGHT: f64 = 0.6;
/// Fewest failed calls, and failures expected among the requests of a class, to decide whether
/// its requests depend on these calls.
const MIN_FAILURE_COUNT: u32 = 8;
/// Failure ratio of requests over that of calls above which the requests depend on the calls.
const MIN_DEPENDENT_RATIO: f64 = 0.3;

/// Ended new requests of one class.
#[derive(Debug, Clone, Copy, Default)]
struct EndedRequests {
    count: u32,
    failed_count: u32,
}

/// Loads reported since the window opened.
#[derive(Debug, Clone, Copy, Default)]
struct LoadWindow {
    opened_us: u64,
    count: u32,
    sum_percent: u64,
}

/// Calls that ended since the window opened.
#[derive(Debug, Clone, Copy, Default)]
struct CallWindow {
    opened_us: u64,
    call_count: u32,
    failed_count: u32,
}

/// Failures of calls and of requests, accumulated until there are enough to decide.
#[derive(Debug, Clone, Copy, Default)]
struct FailureTotals {
    call_count: u32,
    failed_count: u32,
    ended_requests: [EndedRequests; CLASS_COUNT],
}

/// Failures of recent downstream calls.
#[derives::key]
pub enum CallFailures {
    /// Too few to throttle new requests.
    Few,
    /// Enough not to admit more new requests.
    Some,
    /// So many that fewer new requests should be admitted.
    Many,
}

/// Admitted share of new requests by class. Pure state: performs no I/O and reads no clock.
#[derive(Debug, Clone)]
pub struct DownstreamAdmission {
    load_window: LoadWindow,
    last_step_us: u64,
    call_window: CallWindow,
    failure_ratio: f64,
    failure_totals: FailureTotals,
    load_percent: f64,
    shares: [f64; CLASS_COUNT],
    /// Decides whether throttling a class would reduce the load downstream.
    pub work_shares: WorkShares,
    /// Whether the requests of each class depend on calls; assumed until shown otherwise.
    depends_on_calls: [bool; CLASS_COUNT],
}

impl Default for DownstreamAdmission {
    fn default() -> Self {
        Self::new()
    }
}

impl DownstreamAdmission {
    /// A state that admits every request.
    #[must_use]
    pub fn new() -> Self {
        Self {
            load_window: LoadWindow::default(),
            last_step_us: 0,
            call_window: CallWindow::default(),
            failure_ratio: 0.0,
            failure_totals: FailureTotals::default(),
            load_percent: 0.0,
            shares: [1.0; CLASS_COUNT],
            work_shares: WorkShares::new(),
            depends_on_calls: [true; CLASS_COUNT],
        }
    }

    /// Records the end of a downstream call of the local target.
    pub fn record_call(&mut self, has_failed: bool, now_us: u64) {
        let failed_count = u32::from(has_failed);
        self.call_window.call_count += 1;
        self.call_window.failed_count += failed_count;
        self.failure_totals.call_count += 1;
        self.failure_totals.failed_count += failed_count;
        self.update(now_us);
    }

    /// Records the load that a response to such a call reported.
    pub fn record_level(&mut self, level: AdmissionLevel, now_us: u64) {
        self.load_window.count += 1;
        self.load_window.sum_percent += u64::from(level.load_percent.max(level.below_percent));
        self.update(now_us);
    }

    /// Records that the local target responded to a new request of this class.
    pub fn record_request_end(&mut self, class: Class, has_failed: bool) {
        let ended_requests = &mut self.failure_totals.ended_requests[class.index()];
        ended_requests.count += 1;
        ended_requests.failed_count += u32::from(has_failed);
    }

    /// Whether a new request of this class is admitted. `ranked_class` takes the class of
    /// its workspace into account; `draw` is uniform between 0 and 1.
    pub fn admits(&mut self, class: Class, ranked_class: Class, draw: f64, now_us: u64) -> bool {
        self.update(now_us);
        let share = match self.depends_on_calls[class.index()] {
            true => self.shares[ranked_class.index()],
            false => 1.0,
        };
        draw < share || !self.work_shares.would_reduce_downstream_load(class, now_us)
    }

    /// Admitted share of this class, 0 to 1.
    #[must_use]
    pub const fn share(&self, class: Class) -> f64 {
        match self.depends_on_calls[class.index()] {
            true => self.shares[class.index()],
            false => 1.0,
        }
    }

    /// Whether requests of this class depend on downstream calls.
    #[must_use]
    pub const fn depends_on_calls(&self, class: Class) -> bool {
        self.depends_on_calls[class.index()]
    }

    /// What the failures of recent downstream calls say about new requests.
    #[must_use]
    pub fn call_failures(&self) -> CallFailures {
        if self.failure_ratio > HIGH_FAILURE_RATIO {
            CallFailures::Many
        } else if self.failure_ratio >= LOW_FAILURE_RATIO {
            CallFailures::Some
        } else {
            CallFailures::Few
        }
    }

    /// Load of the services that the local target calls, in percent of slots.
    #[must_use]
    pub const fn load_percent(&self) -> u16 {
        self.load_percent as u16
    }

    fn update(&mut self, now_us: u64) {
        if now_us < self.load_window.opened_us + LOAD_WINDOW_US {
            return;
        }
        self.close_load_window(now_us);
        if now_us >= self.call_window.opened_us + FAILURE_WINDOW_US {
            self.close_call_window(now_us);
        }
        if now_us < self.last_step_us + STEP_INTERVAL_US {
            return;
        }
        self.last_step_us = now_us;
        if self.load_percent > HIGH_LOAD_PERCENT {
            let factor = (DESIRED_LOAD_PERCENT / self.load_percent).sqrt();
            self.step_down(factor.max(MIN_DECREASE_FACTOR));
        } else if self.failure_ratio > HIGH_FAILURE_RATIO {
            self.step_down(FAILURE_DECREASE_FACTOR);
        } else if self.failure_ratio < LOW_FAILURE_RATIO && self.load_percent < LOW_LOAD_PERCENT {
            self.step_up();
        }
    }

    fn close_load_window(&mut self, now_us: u64) {
        let window = std::mem::take(&mut self.load_window);
        self.load_window.opened_us = now_us;
        let window_load_percent = match window.count {
            0 => 0.0,
            count => window.sum_percent as f64 / f64::from(count),
        };
        self.load_percent += (window_load_percent - self.load_percent) * LOAD_WEIGHT;
    }

    fn close_call_window(&mut self, now_us: u64) {
        let window = std::mem::take(&mut self.call_window);
        self.call_window.opened_us = now_us;
        self.failure_ratio = match window.call_count >= MIN_CALL_COUNT {
            true => f64::from(window.failed_count) / f64::from(window.call_count),
            false => 0.0,
        };
        self.classify_dependence();
    }

    /// Decides which classes depend on downstream calls.
    ///
    /// A call does not show which request made it. If one class makes calls and another does not,
    /// both would be throttled: price changes would be refused because a read made for an order is
    /// slow. Requests that make calls fail along with them.
    fn classify_dependence(&mut self) {
        let totals = self.failure_totals;
        if totals.failed_count < MIN_FAILURE_COUNT {
            return;
        }
        let call_failure_ratio = f64::from(totals.failed_count) / f64::from(totals.call_count);
        let mut is_decided = true;
        for (class_index, ended_requests) in totals.ended_requests.into_iter().enumerate() {
            // Fewer requests might show no failure by chance.
            let min_request_count = f64::from(MIN_FAILURE_COUNT) / call_failure_ratio;
            if f64::from(ended_requests.count) < min_request_count {
                is_decided &= ended_requests.count == 0;
                continue;
            }
            let request_failure_ratio =
                f64::from(ended_requests.failed_count) / f64::from(ended_requests.count);
            self.depends_on_calls[class_index] =
                request_failure_ratio > call_failure_ratio * MIN_DEPENDENT_RATIO;
        }
        if is_decided {
            self.failure_totals = FailureTotals::default();
        }
    }

    /// Lowers the share of the lowest class that is above its minimum.
    fn step_down(&mut self, factor: f64) {
        for class_index in 0..CLASS_COUNT {
            let min_share = self.min_share(class_index);
            if self.shares[class_index] > min_share {
                self.shares[class_index] = (self.shares[class_index] * factor).max(min_share);
                return;
            }
        }
    }

    fn min_share(&self, class_index: usize) -> f64 {
        let higher_shares = self.shares[class_index + 1..].iter().copied();
        match MIN_SHARE_RATIOS.get(class_index) {
            Some(ratio) => higher_shares.fold(0.0, f64::max) * ratio,
            None => MIN_CRITICAL_SHARE,
        }
    }

    /// Raises the share of the highest throttled class and, at low load, those of the classes below
    /// it by less.
    fn step_up(&mut self) {
        let is_idle = self.load_percent < IDLE_LOAD_PERCENT;
        let throttled_shares = self.shares.iter_mut().rev().filter(|share| **share < 1.0);
        for (rank, share) in throttled_shares.enumerate() {
            let increase = match rank {
                0 => SHARE_INCREASE,
                _ if is_idle => LOWER_CLASS_INCREASE,
                _ => return,
            };
            *share = (*share + increase).min(1.0);
        }
    }
}
