//! Detection of sustained queuing delay.

/// Wait of the oldest request above which the queue is delayed.
const DELAY_THRESHOLD_US: u64 = 50_000;
/// Time after which the delay counts as sustained.
const SUSTAINED_AFTER_US: u64 = 100_000;

/// Distinguishes a standing queue from a short burst.
///
/// In a standing queue, first-in-first-out order serves only requests that are about to reach
/// their deadlines; the newest requests can still finish in time.
#[derive(Debug, Default)]
pub struct SustainedDelay {
    delayed_since_us: Option<u64>,
    is_sustained: bool,
}

impl SustainedDelay {
    /// A detector that has seen no delay.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the wait of the oldest request, 0 when none waits.
    pub fn record(&mut self, oldest_wait_us: u64, now_us: u64) {
        if oldest_wait_us <= DELAY_THRESHOLD_US {
            self.delayed_since_us = None;
        } else {
            self.delayed_since_us.get_or_insert(now_us);
        }
        self.is_sustained = self
            .delayed_since_us
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= SUSTAINED_AFTER_US);
    }

    /// Whether the delay is sustained.
    #[must_use]
    pub const fn is_sustained(&self) -> bool {
        self.is_sustained
    }
}
