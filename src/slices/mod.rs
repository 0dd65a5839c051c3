//! Ownership of the slices of quota and idempotency keys.
//!
//! Two nodes that use a slice at the same time could admit its rate twice or
//! execute a key twice. So each slice has one owner, and moves only after that
//! owner released it or must have stopped using it.

mod codec;
mod plan;
mod share;
mod steps;
mod table;
mod task;

pub use {
    codec::SliceTableError,
    plan::{
        MISSING_WAIT_MS, Planner, PlannerInput, SELF_CLAIM_WAIT_MS, SUSPECT_PERIOD_MS,
        TAKEOVER_WAIT_MS,
    },
    share::{KEY_OWNERS_PER_ZONE, QUOTA_OWNERS_PER_ZONE},
    steps::{SliceTransfer, Step},
    table::{Owner, Section, SliceTable, Slot, SlotIndex, VersionedSliceTable},
    task::{SliceInputs, spawn},
};

/// Number of slices in each section; fixed for the lifetime of a fleet.
pub const SLICE_COUNT: usize = 4096;

/// Index of a slice in its section.
#[derives::key]
pub struct SliceIndex(u16);

impl SliceIndex {
    /// The slice with this index, which is below [`SLICE_COUNT`].
    #[must_use]
    pub const fn new(index: u16) -> Self {
        Self(index)
    }

    /// Index into tables with one row per slice.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }

    /// All slices of a section.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..).take(SLICE_COUNT).map(Self)
    }
}
