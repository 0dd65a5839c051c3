//! Detection of sustained queue delay.

/// Wait of the oldest request that counts as delay.
const TARGET_US: u64 = 50_000;
/// Time for which delay must last to count as sustained.
const INTERVAL_US: u64 = 100_000;

/// Tells a standing queue from a burst that is worked off by itself.
///
/// Behind a standing queue, first in, first out answers only requests whose
/// callers are about to give up; the newest have a chance.
#[derive(Debug, Default)]
pub struct SustainedDelay {
    since_us: Option<u64>,
    is_sustained: bool,
}

impl SustainedDelay {
    /// No delay so far.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the wait of the oldest request, 0 when none waits.
    pub fn note(&mut self, oldest_wait_us: u64, now_us: u64) {
        if oldest_wait_us <= TARGET_US {
            self.since_us = None;
        } else {
            self.since_us.get_or_insert(now_us);
        }
        self.is_sustained = self
            .since_us
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= INTERVAL_US);
    }

    /// Whether delay has lasted.
    #[must_use]
    pub const fn is_sustained(&self) -> bool {
        self.is_sustained
    }
}
