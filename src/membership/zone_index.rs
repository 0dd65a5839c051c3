//! Members that are alive or suspected, by availability zone.

use {
    super::table::MemberKey,
    rand::{Rng, seq::index::sample},
    std::collections::BTreeMap,
};

/// The members among which some are drawn.
#[derive(Debug, Clone, Copy)]
pub enum Among<'a> {
    /// All members.
    All,
    /// Members of this availability zone.
    Zone(&'a str),
    /// Members of all zones but this one.
    OtherZones(&'a str),
}

impl Among<'_> {
    fn contains(self, zone: &str) -> bool {
        match self {
            Self::All => true,
            Self::Zone(wanted) => zone == wanted,
            Self::OtherZones(excluded) => zone != excluded,
        }
    }
}

/// Keys of present members by zone. A draw costs as much as there are zones,
/// however many members they have.
#[derive(Debug, Default)]
pub struct ZoneIndex {
    /// Zones with at least one member.
    keys: BTreeMap<String, Vec<MemberKey>>,
}

impl ZoneIndex {
    /// Adds a member; returns whether it is the first one of its zone.
    pub fn insert(&mut self, zone: &str, key: MemberKey) -> bool {
        if let Some(keys) = self.keys.get_mut(zone) {
            keys.push(key);
            return false;
        }
        self.keys.insert(zone.to_owned(), vec![key]);
        true
    }

    /// Removes a member.
    pub fn remove(&mut self, zone: &str, key: MemberKey) {
        let Some(keys) = self.keys.get_mut(zone) else {
            return;
        };
        if let Some(index) = keys.iter().position(|other| *other == key) {
            keys.swap_remove(index);
        }
        if keys.is_empty() {
            self.keys.remove(zone);
        }
    }

    /// Names of the zones that have members, in order.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.keys.keys().map(String::as_str)
    }

    /// Members of a zone.
    #[must_use]
    pub fn members(&self, zone: &str) -> &[MemberKey] {
        self.keys.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Number of members in all zones.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.keys.values().map(Vec::len).sum()
    }

    /// Draws up to `count` different members at random.
    pub fn draw<R: Rng>(&self, among: Among<'_>, count: usize, rng: &mut R) -> Vec<MemberKey> {
        let zones = self.keys.iter().filter(|(zone, _)| among.contains(zone));
        let zones: Vec<&[MemberKey]> = zones.map(|(_, keys)| keys.as_slice()).collect();
        let total_count = zones.iter().map(|keys| keys.len()).sum();
        let drawn = sample(rng, total_count, count.min(total_count));
        drawn.iter().map(|index| nth(&zones, index)).collect()
    }
}

fn nth(zones: &[&[MemberKey]], index: usize) -> MemberKey {
    let mut index = index;
    for keys in zones {
        match keys.get(index) {
            Some(key) => return *key,
            None => index -= keys.len(),
        }
    }
    unreachable!("drawn indexes are below the number of members")
}
