//! Adaptive concurrency limit of one target.
//!
//! Latency rises either because the service became slower, where a lower limit would only waste
//! slots, or because the limit is above the number of slots, where the excess is queued inside the
//! target, beyond the reach of priorities. A trial distinguishes them: the limit is lowered for one
//! window. If latency falls with it, requests were queued; otherwise latency is the service time.

use super::{LoadReport, TargetSize, trial::target_queue_shrank, window::Window};

/// Smallest limit, unless the target announces fewer slots.
pub const MIN_LIMIT: f64 = 4.0;
/// Age above which a load report is ignored.
pub const REPORT_AGE_LIMIT_US: u64 = 1_000_000;
/// Initial limit in slow start, as a share of the announced slots.
const SLOW_START_SHARE: f64 = 0.125;
/// Latency over the floor up to which the limit grows.
const MAX_GROWTH_LATENCY_RATIO: f64 = 1.25;
/// Latency over the floor above which a trial starts at once.
const TRIAL_LATENCY_RATIO: f64 = 1.5;
/// Limit in a trial, as a share of the slots in use before it.
const TRIAL_SHARE: f64 = 0.7;
/// Windows without growth after which a trial starts.
const MAX_HELD_WINDOW_COUNT: u32 = 8;
/// Time between periodic trials, which correct a floor that was measured too high.
const TRIAL_PERIOD_US: u64 = 10_000_000;
/// Time to the next trial after one that raised the floor by a large factor.
const REPEAT_TRIAL_DELAY_US: u64 = 1_000_000;
/// Growth per window, as a share of the limit.
const GROWTH_SHARE: f64 = 0.125;
/// Share of the limit kept after a window in which the target itself shed requests.
const KEPT_SHARE_AFTER_SHED: f64 = 0.8;
/// Share of the limit that must be in use for it to grow.
const MIN_IN_USE_SHARE: f64 = 0.8;
/// Standard errors by which latency must exceed a bound to be significant. Service times vary:
/// means over a few dozen requests differ by a quarter between windows with nothing changed.
const MIN_STANDARD_ERROR_COUNT: f64 = 2.0;
/// Weight of a lower latency in the floor.
const FLOOR_FALL_WEIGHT: f64 = 0.25;
/// Lower bound of the samples required to close a window.
const MIN_SAMPLE_COUNT: u32 = 32;
/// Upper bound of the samples required to close a window.
const MAX_SAMPLE_COUNT: u32 = 128;
/// Samples required to close a window, per request of the limit.
const SAMPLES_PER_SLOT: f64 = 2.0;
/// Age above which a window is closed with [`MIN_AGED_SAMPLE_COUNT`] samples.
const WINDOW_TIMEOUT_US: u64 = 1_000_000;
/// Fewest samples required to close a window after its timeout.
const MIN_AGED_SAMPLE_COUNT: u32 = 12;
/// Age above which a window with fewer samples is discarded.
const DISCARD_AGE_US: u64 = 10_000_000;
/// Timeout of a window, in multiples of the latency; a trial with too few samples then ends.
const TIMEOUT_LATENCY_COUNT: f64 = 6.0;
/// Busy ratio in a load report of the target from which the limit grows half as fast.
const REPORTED_BUSY_RATIO: f64 = 0.95;

/// Phase of the control loop.
#[derives::value]
#[derive(Copy)]
enum Phase {
    /// The limit doubles each window until latency rises or the slots are reached.
    SlowStart,
    /// The limit grows in small steps while latency stays near the floor.
    Steady,
    /// The limit is kept for one window, as the reference of a trial. Latency from a window in
    /// which the limit grew is too low and would hide that it falls in the trial.
    Baseline,
    /// The limit is lowered for one window to test whether latency falls with it.
    Trial {
        /// Limit before the trial.
        previous_limit: f64,
        /// Latency before the trial.
        previous: Window,
    },
}

/// Concurrency limit that follows the number of requests the target can process at a time.
///
/// If the announced slots are exact, they are the limit. Latency includes the downstream calls of
/// the target: a limit that followed it would refuse requests at an idle service because a
/// downstream one is slow, and would take seconds to recover.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slot_count: u32,
    is_exact: bool,
    limit: f64,
    /// Latency floor: estimated mean latency without queuing inside the target.
    floor_us: Option<f64>,
    phase: Phase,
    window: Window,
    held_window_count: u32,
    next_trial_us: u64,
    report: Option<LoadReport>,
}

impl ConcurrencyLimit {
    /// A limit for a target of this size, in slow start.
    #[must_use]
    pub fn new(size: TargetSize) -> Self {
        let slot_count = size.slot_count.max(1);
        let limit = match size.is_exact {
            true => f64::from(slot_count),
            false => slow_start_limit(slot_count),
        };
        Self {
            slot_count,
            is_exact: size.is_exact,
            limit,
            floor_us: None,
            phase: Phase::SlowStart,
            window: Window::default(),
            held_window_count: 0,
            next_trial_us: TRIAL_PERIOD_US,
            report: None,
        }
    }

    /// Sets the size that the target announced; a restart resets all estimates.
    pub fn set_size(&mut self, size: TargetSize, restarted: bool, now_us: u64) {
        if restarted {
            *self = Self::new(size);
            self.window = Window::new(now_us);
            self.next_trial_us = now_us + TRIAL_PERIOD_US;
        } else {
            self.slot_count = size.slot_count.max(1);
            if self.is_exact {
                self.limit = f64::from(self.slot_count);
            }
            self.set_limit(self.limit);
        }
    }

    /// Whether the limit is the number of slots that the target announced.
    #[must_use]
    pub const fn is_exact(&self) -> bool {
        self.is_exact
    }

    /// Requests that may run at the same time; at least 1.
    #[must_use]
    pub fn count(&self) -> u32 {
        // Within range: the limit is between 1 and the number of slots.
        self.limit as u32
    }

    /// Records a start; `in_use_count` includes this request and unused reserved slots.
    pub fn record_start(&mut self, in_use_count: u32) {
        self.window.peak_in_use_count = self.window.peak_in_use_count.max(in_use_count);
    }

    /// Records the end of a request; `was_cancelled` if it was cancelled while running.
    pub fn record_end(&mut self, started_us: u64, was_cancelled: bool, now_us: u64) {
        // Requests started before the window ran under another limit; in a trial they would hide
        // that latency falls.
        if self.is_exact || started_us < self.window.opened_us {
            return;
        }
        self.window
            .record(now_us.saturating_sub(started_us), was_cancelled);
        if self.window.sample_count >= self.required_sample_count() {
            self.close_window(now_us);
        }
    }

    /// Records that the target itself shed a request.
    pub fn record_shed(&mut self) {
        self.window.shed_count += 1;
    }

    /// Closes or discards a window whose timeout has passed. Called on every tick.
    pub fn tick(&mut self, now_us: u64) {
        if self.is_exact {
            return;
        }
        let age_us = now_us.saturating_sub(self.window.opened_us);
        if age_us <= WINDOW_TIMEOUT_US.max(self.latency_timeout_us()) {
            return;
        }
        // A slow target yields few samples. If its windows were discarded, the limit would not
        // change while the target is slow.
        if self.window.sample_count >= MIN_AGED_SAMPLE_COUNT {
            self.close_window(now_us);
        } else if self.is_trial() || self.window.is_shedding() || age_us > DISCARD_AGE_US {
            self.discard_window(now_us);
        }
    }

    /// Records a load report of the target, used as a hint.
    pub const fn record_load_report(&mut self, report: LoadReport) {
        self.report = Some(report);
    }

    /// Time that work takes on the target's machine by its last report, in percent of the usual
    /// time; 0 if unknown.
    #[must_use]
    pub fn work_time_percent(&self, now_us: u64) -> u16 {
        self.report
            .filter(|report| now_us.saturating_sub(report.received_us) <= REPORT_AGE_LIMIT_US)
            .and_then(|report| report.work_time_percent)
            .unwrap_or(0)
    }

    fn required_sample_count(&self) -> u32 {
        ((self.limit * SAMPLES_PER_SLOT) as u32).clamp(MIN_SAMPLE_COUNT, MAX_SAMPLE_COUNT)
    }

    const fn is_trial(&self) -> bool {
        matches!(self.phase, Phase::Trial { .. })
    }

    fn latency_timeout_us(&self) -> u64 {
        let latency_us = match self.phase {
            Phase::Trial { previous, .. } => previous.mean_us(),
            Phase::SlowStart | Phase::Steady | Phase::Baseline => self.floor_us.unwrap_or(0.0),
        };
        (latency_us * TIMEOUT_LATENCY_COUNT) as u64
    }

    fn discard_window(&mut self, now_us: u64) {
        if let Phase::Trial { previous_limit, .. } = self.phase {
            self.phase = Phase::Steady;
            self.set_limit(previous_limit);
            self.next_trial_us = now_us + TRIAL_PERIOD_US;
        }
        if self.window.is_shedding() {
            self.set_limit(self.limit * KEPT_SHARE_AFTER_SHED);
        }
        self.window = Window::new(now_us);
    }

    fn close_window(&mut self, now_us: u64) {
        let window = std::mem::replace(&mut self.window, Window::new(now_us));
        if let Phase::Trial {
            previous_limit,
            previous,
        } = self.phase
        {
            self.end_trial(previous_limit, &previous, &window, now_us);
        } else if window.is_shedding() {
            self.phase = Phase::Steady;
            self.set_limit(self.limit * KEPT_SHARE_AFTER_SHED);
        } else if self.phase == Phase::Baseline {
            self.start_trial(&window, now_us);
        } else {
            self.evaluate_window(&window, now_us);
        }
    }

    fn evaluate_window(&mut self, window: &Window, now_us: u64) {
        let mean_us = window.mean_us();
        let floor_us = self.lower_floor(mean_us);
        let mean_lower_bound_us = mean_us - window.standard_error_us() * MIN_STANDARD_ERROR_COUNT;
        let in_use = f64::from(window.peak_in_use_count) >= self.limit * MIN_IN_USE_SHARE;
        if mean_lower_bound_us > floor_us * TRIAL_LATENCY_RATIO {
            self.plan_trial();
        } else if mean_lower_bound_us > floor_us * MAX_GROWTH_LATENCY_RATIO {
            self.count_held_window();
        } else if in_use && now_us >= self.next_trial_us {
            self.plan_trial();
        } else {
            self.held_window_count = 0;
            if in_use {
                self.grow(now_us);
            }
        }
    }

    fn count_held_window(&mut self) {
        self.held_window_count += 1;
        if self.held_window_count >= MAX_HELD_WINDOW_COUNT {
            self.plan_trial();
        }
    }

    /// Lowers the floor towards a lower latency and returns it. Only trials raise it: if it
    /// followed latency upwards, a limit just above the slots would raise the floor, which would
    /// let the limit grow, and so on up to the announced slots.
    fn lower_floor(&mut self, mean_us: f64) -> f64 {
        let floor_us = match self.floor_us {
            Some(floor_us) if mean_us < floor_us => {
                floor_us + (mean_us - floor_us) * FLOOR_FALL_WEIGHT
            }
            Some(floor_us) => floor_us,
            None => mean_us,
        };
        self.floor_us = Some(floor_us);
        floor_us
    }

    const fn plan_trial(&mut self) {
        self.held_window_count = 0;
        self.phase = Phase::Baseline;
    }

    fn start_trial(&mut self, window: &Window, now_us: u64) {
        let in_use = f64::from(window.peak_in_use_count).min(self.limit);
        if in_use <= MIN_LIMIT {
            self.floor_us = Some(window.mean_us());
            self.next_trial_us = now_us + TRIAL_PERIOD_US;
            self.phase = Phase::Steady;
            return;
        }
        self.phase = Phase::Trial {
            previous_limit: self.limit,
            previous: *window,
        };
        self.set_limit(in_use * TRIAL_SHARE);
    }

    fn end_trial(&mut self, previous_limit: f64, previous: &Window, window: &Window, now_us: u64) {
        if target_queue_shrank(previous, window) {
            // Probably more requests are queued there: run another trial before growing.
            self.lower_floor(window.mean_us());
            self.phase = Phase::Baseline;
        } else {
            self.phase = Phase::Steady;
            self.set_limit(previous_limit);
            self.next_trial_us = now_us + self.raise_floor(window.mean_us());
        }
    }

    /// Sets the floor to the latency of a trial; returns the microseconds until the next trial.
    ///
    /// Requests that accumulate during a trial hide the effect of the lower limit. The floor, and
    /// with it the queue inside the target, would then be far too high, so a large rise is soon
    /// tested again.
    fn raise_floor(&mut self, mean_us: f64) -> u64 {
        let previous_us = self.floor_us.replace(mean_us);
        let is_large_rise =
            previous_us.is_some_and(|floor_us| mean_us > floor_us * TRIAL_LATENCY_RATIO);
        if is_large_rise {
            REPEAT_TRIAL_DELAY_US
        } else {
            TRIAL_PERIOD_US
        }
    }

    fn grow(&mut self, now_us: u64) {
        if self.phase == Phase::SlowStart {
            self.set_limit(self.limit * 2.0);
            if self.limit >= f64::from(self.slot_count) {
                self.phase = Phase::Steady;
            }
            return;
        }
        let step = (self.limit * GROWTH_SHARE).max(1.0);
        // A busy report slows growth but never stops it: a wrong report must not starve the
        // target.
        let step = if self.is_reported_busy(now_us) {
            step / 2.0
        } else {
            step
        };
        self.set_limit(self.limit + step);
    }

    fn is_reported_busy(&self, now_us: u64) -> bool {
        self.report.is_some_and(|report| {
            now_us.saturating_sub(report.received_us) <= REPORT_AGE_LIMIT_US
                && report.busy_ratio >= REPORTED_BUSY_RATIO
        })
    }

    fn set_limit(&mut self, limit: f64) {
        let slot_count = f64::from(self.slot_count);
        self.limit = limit.clamp(MIN_LIMIT.min(slot_count), slot_count);
    }
}

fn slow_start_limit(slot_count: u32) -> f64 {
    let slot_count = f64::from(slot_count);
    (slot_count * SLOW_START_SHARE).max(MIN_LIMIT.min(slot_count))
}
