//! Owners of the slices of quota and idempotency keys.

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
}
