//! Delays between attempts.

use {rand::Rng, std::time::Duration};

/// Exponential delays with jitter.
///
/// Without jitter, all nodes that lost their connection to the platform at the
/// same time would also reconnect at the same time.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl Backoff {
    /// Delays that double from `initial_ms` up to `max_ms`.
    #[must_use]
    pub const fn new(initial_ms: u64, max_ms: u64) -> Self {
        Self {
            initial_ms,
            max_ms,
            next_ms: initial_ms,
        }
    }

    /// Starts again with the initial delay, after a success.
    pub const fn reset(&mut self) {
        self.next_ms = self.initial_ms;
    }

    /// The next delay: random between half and all of the current step.
    pub fn next_delay(&mut self) -> Duration {
        let step_ms = self.next_ms;
        self.next_ms = (step_ms * 2).min(self.max_ms);
        Duration::from_millis(rand::rng().random_range(step_ms / 2..=step_ms))
    }

    /// Waits for the next delay.
    pub async fn wait(&mut self) {
        tokio::time::sleep(self.next_delay()).await;
    }
}
