//! Sets of regions.

use super::RegionKey;

/// Regions in which a request may run. A restricted set can contain only the first 64 regions that
/// the process has interned.
#[derives::key]
pub struct RegionSet {
    bits: u64,
    is_restricted: bool,
}

impl RegionSet {
    /// All regions.
    pub const ANY: Self = Self {
        bits: 0,
        is_restricted: false,
    };

    /// Only these regions; all regions if `regions` is empty.
    #[must_use]
    pub fn only(regions: impl IntoIterator<Item = RegionKey>) -> Self {
        regions.into_iter().fold(Self::ANY, |set, region| Self {
            bits: set.bits | region_bit(region),
            is_restricted: true,
        })
    }

    /// Regions in both sets; may be empty.
    #[must_use]
    pub const fn intersection(self, other: Self) -> Self {
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
        !self.is_restricted || self.bits & region_bit(region) != 0
    }
}

fn region_bit(region: RegionKey) -> u64 {
    u32::try_from(region.index())
        .ok()
        .and_then(|index| 1u64.checked_shl(index))
        .unwrap_or(0)
}
