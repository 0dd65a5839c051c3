//! Freshness: how far a node may rely on the platform documents it holds.
//!
//! A node that is cut off could use slices that a newer table assigns to another
//! node. It uses them only while a recent poll, its own or another node's,
//! confirms its documents, or while no zone reaches the platform.

mod task;
mod tracker;

pub use {
    task::{FreshnessInputs, FreshnessObservation, spawn},
    tracker::{FreshnessTracker, Snapshot},
};

/// Maximum age of a confirmed poll of the platform.
pub const FRESH_LIMIT_MS: u64 = 5000;

/// Maximum age of a probe whose reply still counts for its zone.
pub const REPLY_LIMIT_MS: u64 = 6000;

/// Margin for monotonic clocks that run at different speeds and for the time
/// that a stamp takes to spread inside a zone.
pub const DRIFT_MARGIN_MS: u64 = 1000;

/// How current a node's knowledge of the platform is.
#[derives::key]
pub enum Freshness {
    /// A poll within [`FRESH_LIMIT_MS`] confirmed the documents held.
    Fresh,
    /// Every other availability zone responds and none reaches the platform, so
    /// its content cannot have changed.
    StoreDown,
    /// Other nodes may have changed the platform's content without this node's
    /// knowledge.
    CutOff,
}
