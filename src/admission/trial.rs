//! Evaluation of a trial with a lower limit.

use super::window::Window;

/// Latency in the trial over latency before it below which requests were queued inside the
/// target. Close to 1, since latency that is cut off at deadlines falls less than the time
/// spent in the queue.
const MAX_TRIAL_RATIO: f64 = 0.92;
/// Standard errors by which a value must have fallen.
const MIN_STANDARD_ERROR_COUNT: f64 = 2.5;
/// Share of requests cancelled while running from which this share is compared too.
const MIN_CANCELLED_RATIO: f64 = 0.2;

/// Whether latency or the share of cancelled requests fell significantly with the limit, so that
/// requests were queued inside the target.
///
/// The share matters where the queue in the target outlasts the deadlines: latency is then cut
/// off at the deadline with and without a trial.
///
/// `false` when in doubt: a wrong `true` removes capacity at once, a wrong `false` leaves some
/// requests queued in the target until the next trial.
pub fn target_queue_shrank(before: &Window, during: &Window) -> bool {
    let latency = TrialChange {
        before: before.mean_us(),
        during: during.mean_us(),
        variance: before.mean_variance() + during.mean_variance(),
    };
    let cancelled = TrialChange {
        before: before.cancelled_ratio(),
        during: during.cancelled_ratio(),
        variance: before.cancelled_ratio_variance() + during.cancelled_ratio_variance(),
    };
    latency.is_significant_drop()
        || (cancelled.before >= MIN_CANCELLED_RATIO && cancelled.is_significant_drop())
}

/// A value before and during a trial.
struct TrialChange {
    before: f64,
    during: f64,
    variance: f64,
}

impl TrialChange {
    fn is_significant_drop(&self) -> bool {
        let standard_error = self.variance.sqrt();
        self.during < self.before * MAX_TRIAL_RATIO
            && self.before - self.during > standard_error * MIN_STANDARD_ERROR_COUNT
    }
}
