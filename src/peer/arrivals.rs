//! Attempts that have arrived, so that none is taken twice.

use {
    super::MAX_CONTEXT_AGE_MS,
    std::{collections::HashSet, mem, sync::Mutex},
};

/// How long an attempt is remembered at least, in milliseconds: a context is
/// believed from [`MAX_CONTEXT_AGE_MS`] before to as long after its stamp.
const MEMORY_MS: u64 = 2 * MAX_CONTEXT_AGE_MS;

/// Attempt ids of the recent past.
///
/// A request that was recorded on its way between two nodes carries a valid
/// proof. Sent again it would be executed twice, and the target's journal
/// would show two orders where the caller sent one; the second arrival of an
/// attempt id is therefore refused.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    generations: Mutex<Generations>,
}

#[derive(Debug, Default)]
struct Generations {
    recent: HashSet<u64>,
    earlier: HashSet<u64>,
    turned_ms: u64,
}

impl SeenAttempts {
    /// Nothing has arrived.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes an attempt; returns whether it is the first of its id.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    #[must_use]
    pub fn note(&self, attempt_id: u64, now_ms: u64) -> bool {
        let mut generations = self.generations.lock().expect("lock is not poisoned");
        generations.turn(now_ms);
        !generations.earlier.contains(&attempt_id) && generations.recent.insert(attempt_id)
    }
}

impl Generations {
    fn turn(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.turned_ms) < MEMORY_MS {
            return;
        }
        self.turned_ms = now_ms;
        self.earlier = mem::take(&mut self.recent);
    }
}
