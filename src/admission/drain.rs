//! Time limits of a drain: when arriving and queued requests are refused.

use crate::target::LeaveStart;

/// Time from the start of a drain in which arriving requests are still admitted,
/// while the drain propagates to other nodes.
///
/// Refusing at once would use up retries of every request that other nodes have
/// already sent, and callers would see refusals during a planned shutdown.
pub const DRAIN_ANNOUNCE_US: u64 = 1_000_000;
/// Time from the start of a drain in which queued requests may still start. A
/// departing target must not receive new work after 2 s; requests that still wait
/// are refused as not run and sent to other targets.
const DRAIN_QUEUE_US: u64 = 1_500_000;

/// Time limits of a drain. Pure state: performs no I/O and reads no clock.
#[derives::value]
#[derive(Copy, Eq)]
pub struct Drain {
    started_us: u64,
    accepts_until_us: u64,
    starts_until_us: u64,
}

impl Drain {
    /// A drain that started at this time.
    #[must_use]
    pub const fn new(started_us: u64) -> Self {
        Self {
            started_us,
            accepts_until_us: started_us + DRAIN_ANNOUNCE_US,
            starts_until_us: started_us + DRAIN_QUEUE_US,
        }
    }

    /// A drain that may have started long ago: nothing more is accepted or started.
    #[must_use]
    pub const fn overdue(now_us: u64) -> Self {
        Self {
            started_us: now_us,
            accepts_until_us: now_us,
            starts_until_us: now_us,
        }
    }

    /// The drain of a target that leaves.
    #[must_use]
    pub const fn of_leave(start: LeaveStart, now_us: u64) -> Self {
        match start {
            LeaveStart::NoticedUs(started_us) => Self::new(started_us),
            LeaveStart::BeforeNode => Self::overdue(now_us),
        }
    }

    /// The drain with the earlier limits of both.
    #[must_use]
    pub fn earliest(self, other: Self) -> Self {
        Self {
            started_us: self.started_us.min(other.started_us),
            accepts_until_us: self.accepts_until_us.min(other.accepts_until_us),
            starts_until_us: self.starts_until_us.min(other.starts_until_us),
        }
    }

    /// Whether arriving requests are still admitted.
    #[must_use]
    pub const fn accepts_arrivals(&self, now_us: u64) -> bool {
        now_us < self.accepts_until_us
    }

    /// Whether admitted requests may still be sent to the target.
    #[must_use]
    pub const fn allows_starts(&self, now_us: u64) -> bool {
        now_us < self.starts_until_us
    }

    /// Time since its start, in microseconds.
    #[must_use]
    pub const fn age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.started_us)
    }
}
