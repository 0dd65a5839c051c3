//! Attempt ids seen recently, so that a replayed attempt is refused.

use {
    super::MAX_CONTEXT_AGE_MS,
    std::{collections::HashSet, mem, sync::Mutex},
};

/// Minimum time for which an attempt id is remembered, in milliseconds. A
/// context is accepted from [`MAX_CONTEXT_AGE_MS`] before its timestamp to as
/// long after it.
const RETENTION_MS: u64 = 2 * MAX_CONTEXT_AGE_MS;

/// Attempt ids of the recent past.
///
/// A request recorded on the network between two nodes carries a valid proof.
/// If it were accepted again, the target would execute it twice, for example
/// create two orders where the caller sent one. A second request with the same
/// attempt id is therefore refused.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    generations: Mutex<Generations>,
}

#[derive(Debug, Default)]
struct Generations {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    rotated_ms: u64,
}

impl SeenAttempts {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an attempt id; returns whether it was new.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    #[must_use]
    pub fn record(&self, attempt_id: u64, now_ms: u64) -> bool {
        let mut generations = self.generations.lock().expect("lock is not poisoned");
        generations.rotate_if_due(now_ms);
        !generations.previous.contains(&attempt_id) && generations.current.insert(attempt_id)
    }
}

impl Generations {
    fn rotate_if_due(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.rotated_ms) < RETENTION_MS {
            return;
        }
        self.rotated_ms = now_ms;
        self.previous = mem::take(&mut self.current);
    }
}
