//! Owners of the slices of quota and idempotency keys.

mod codec;
mod plan;
mod share;
mod steps;
mod table;
mod task;

pub use {
    codec::SlicesError,
    plan::{
        Observed, Planner, SELF_CLAIM_WAIT_MS, SUSPECT_PERIOD_MS, TAKEOVER_WAIT_MS, UNKNOWN_WAIT_MS,
    },
    share::{KEY_OWNERS_PER_ZONE, QUOTA_OWNERS_PER_ZONE},
    steps::{Moved, Step},
    table::{HeldTable, Owner, Section, SliceTable, Slot, SlotKey},
    task::{SliceInputs, spawn},
};

/// Slices of each section; never changes while a fleet lives.
pub const SLICE_COUNT: usize = 4096;

/// Place of a slice in its section.
#[derives::key]
pub struct SliceIndex(u16);

impl SliceIndex {
    /// The slice at this place, below [`SLICE_COUNT`].
    #[must_use]
    pub const fn new(index: u16) -> Self {
        Self(index)
    }

    /// Place in tables with a row per slice.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }

    /// All slices of a section.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..).take(SLICE_COUNT).map(Self)
    }
}
