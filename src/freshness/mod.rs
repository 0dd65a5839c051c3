//! How much a node may rely on what it knows of the platform.

mod task;
mod tracker;

pub use {
    task::{FreshnessInputs, Heard, spawn},
    tracker::{FreshnessTracker, Snapshot},
};

/// Greatest age of a confirmed look at the platform that still counts.
pub const FRESH_LIMIT_MS: u64 = 5000;

/// Greatest age of a probe whose reply still speaks for a zone.
pub const REPLY_LIMIT_MS: u64 = 6000;

/// Allowance for monotonic clocks that run at different speeds, and for the
/// time that a stamp needs to spread inside a zone.
pub const DRIFT_MARGIN_MS: u64 = 1000;

/// State of a node's knowledge of the platform.
#[derives::key]
pub enum Freshness {
    /// The platform was confirmed to be as known within the limit.
    Fresh,
    /// Every other availability zone answers and none reaches the platform:
    /// nothing can have changed there.
    StoreDown,
    /// Others may have changed the platform's content unseen.
    CutOff,
}
