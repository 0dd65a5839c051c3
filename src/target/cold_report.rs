//! What a heartbeat and a health check tell about a target's cold time.

/// Reports of how much longer a target stays cold, when a heartbeat of it is applied.
#[derives::value]
#[derive(Copy, Default)]
pub struct ColdReport {
    /// Remaining cold time by the heartbeat, in milliseconds; 0 for a warm target.
    pub heartbeat_left_ms: u64,
    /// The same by the response to a health check; `None` without one that tells.
    pub checked_left_ms: Option<u64>,
    /// Whether an earlier process of the node may have received newer heartbeats of the process.
    pub may_be_outdated: bool,
}

impl ColdReport {
    /// The report of a heartbeat with nothing newer before it.
    #[must_use]
    pub fn new(heartbeat_left_ms: u64) -> Self {
        Self {
            heartbeat_left_ms,
            ..Self::default()
        }
    }

    /// The report with what a health check told, in milliseconds.
    #[must_use]
    pub const fn with_checked_left_ms(self, checked_left_ms: Option<u64>) -> Self {
        Self {
            checked_left_ms,
            ..self
        }
    }

    /// The longest remaining cold time reported, in milliseconds.
    #[must_use]
    pub fn longest_left_ms(&self) -> u64 {
        let checked_left_ms = self.checked_left_ms.unwrap_or(0);
        self.heartbeat_left_ms.max(checked_left_ms)
    }

    /// The report of a heartbeat that may have been overtaken by others.
    #[must_use]
    pub const fn with_may_be_outdated(self, may_be_outdated: bool) -> Self {
        Self {
            may_be_outdated,
            ..self
        }
    }
}
