//! Delays between repeated attempts.

use {rand::Rng, std::time::Duration};

/// Exponential delays with jitter.
///
/// Without jitter all nodes that lost the platform at the same time would come
/// back to it at the same time.
#[derive(Debug, Clone)]
pub struct Backoff {
    first_ms: u64,
    longest_ms: u64,
    next_ms: u64,
}

impl Backoff {
    /// Delays that double from the first to the longest one.
    #[must_use]
    pub const fn new(first_ms: u64, longest_ms: u64) -> Self {
        Self {
            first_ms,
            longest_ms,
            next_ms: first_ms,
        }
    }

    /// Starts over after a success.
    pub const fn reset(&mut self) {
        self.next_ms = self.first_ms;
    }

    /// The next delay: between half and all of the present step.
    pub fn next_delay(&mut self) -> Duration {
        let step_ms = self.next_ms;
        self.next_ms = (step_ms * 2).min(self.longest_ms);
        Duration::from_millis(rand::rng().random_range(step_ms / 2..=step_ms))
    }

    /// Waits for the next delay.
    pub async fn wait(&mut self) {
        tokio::time::sleep(self.next_delay()).await;
    }
}
