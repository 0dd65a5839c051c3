//! Sets of regions.

use super::RegionKey;

/// Regions in which a request may run. A set holds the first 64 regions that a
/// process learns of; others are in no restricted set.
#[derives::key]
pub struct RegionSet {
    bits: u64,
    is_restricted: bool,
}

impl RegionSet {
    /// Every region.
    pub const ANY: Self = Self {
        bits: 0,
        is_restricted: false,
    };

    /// Just these regions; every region if there are none.
    #[must_use]
    pub fn only(regions: impl IntoIterator<Item = RegionKey>) -> Self {
        regions.into_iter().fold(Self::ANY, |set, region| Self {
            bits: set.bits | bit(region),
            is_restricted: true,
        })
    }

    /// Regions that are in both sets; may be none.
    #[must_use]
    pub const fn both(self, other: Self) -> Self {
        match (self.is_restricted, other.is_restricted) {
            (false, _) => other,
            (_, false) => self,
            (true, true) => Self {
                bits: self.bits & other.bits,
                is_restricted: true,
            },
        }
    }

    /// Whether requests may run in this region.
    #[must_use]
    pub fn allows(self, region: RegionKey) -> bool {
        !self.is_restricted || self.bits & bit(region) != 0
    }
}

fn bit(region: RegionKey) -> u64 {
    u32::try_from(region.index())
        .ok()
        .and_then(|index| 1u64.checked_shl(index))
        .unwrap_or(0)
}
