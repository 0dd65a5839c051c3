//! What a trial of a lower limit showed.

use super::window::Window;

/// Latency in the trial over latency before it, below which requests were
/// waiting inside the target. Nearer to "stayed" than to "fell along", since
/// latency that is cut off at deadlines falls less than the waiting does.
const WAITING_RATIO: f64 = 0.92;
/// Standard errors by which it must have fallen.
const TRIAL_ERROR_COUNT: f64 = 2.5;
/// Share of requests given up while running from which the share is compared.
const CUT_SHORT_RATIO: f64 = 0.2;

/// Whether latency, or the share of requests whose callers gave up, fell along
/// with the limit, beyond what chance does.
///
/// The share matters where requests wait in the target for longer than their
/// callers do: latency is then cut off at the deadline with and without trial.
///
/// In doubt it did not: a wrong "fell" takes capacity from users at once, a
/// wrong "stayed" leaves some waiting in the target until the next trial.
pub fn waiting_fell(before: &Window, after: &Window) -> bool {
    let latency = Fall {
        before: before.mean_us(),
        after: after.mean_us(),
        variance: before.mean_variance() + after.mean_variance(),
    };
    let cut_short = Fall {
        before: before.cut_short_ratio(),
        after: after.cut_short_ratio(),
        variance: before.cut_short_variance() + after.cut_short_variance(),
    };
    latency.is_sure() || (cut_short.before >= CUT_SHORT_RATIO && cut_short.is_sure())
}

/// A figure before and in a trial.
struct Fall {
    before: f64,
    after: f64,
    variance: f64,
}

impl Fall {
    fn is_sure(&self) -> bool {
        let error = self.variance.sqrt();
        self.after < self.before * WAITING_RATIO
            && self.before - self.after > error * TRIAL_ERROR_COUNT
    }
}
