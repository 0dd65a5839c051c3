//! The slice table.

use {
    super::{SLICE_COUNT, SliceIndex},
    std::net::IpAddr,
};

/// What a slice is a part of.
#[derives::key]
pub enum Section {
    /// Every workspace's rate and burst.
    Quota,
    /// The homes of idempotency keys.
    Keys,
}

impl Section {
    /// Both sections.
    pub const ALL: [Self; 2] = [Self::Quota, Self::Keys];
}

/// Place of a slot in one table; another version may place it elsewhere.
#[derives::key]
pub struct SlotKey(pub(super) u16);

impl SlotKey {
    /// Place in the table's slots.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A slot that owns slices.
#[derives::value]
#[derive(Eq)]
pub struct Slot {
    /// Its name.
    pub node_id: String,
    /// Its availability zone.
    pub zone: String,
    /// Address of the instance that holds it. A replacement at another
    /// address may not use the slices at once: its predecessor may be paused
    /// and not dead, and would use them too.
    pub ip: IpAddr,
    /// Epoch of the write that suspected it.
    pub mark_epoch: Option<u64>,
}

/// Owner of a slice.
#[derives::key]
pub struct Owner {
    /// The slot.
    pub slot: SlotKey,
    /// Epoch of the write that gave it the slice.
    pub since_epoch: u64,
}

/// Owners of all slices; one version of the document `slices`.
#[derives::value]
#[derive(Eq)]
pub struct SliceTable {
    /// Counts writes. Unlike the document's version it is known before the
    /// write, so that handed-over keys can name the move that they belong to.
    pub epoch: u64,
    pub(super) slots: Vec<Slot>,
    pub(super) quota: Vec<Owner>,
    pub(super) keys: Vec<Owner>,
}

/// A table that guard and quota follow, with the version of its document.
#[derives::value]
#[derive(Eq)]
pub struct HeldTable {
    /// Version of the document.
    pub version: u64,
    /// The table.
    pub table: SliceTable,
}

impl SliceTable {
    /// The first table of a fleet: one slot owns everything.
    #[must_use]
    pub fn new(creator: Slot) -> Self {
        let owner = Owner {
            slot: SlotKey(0),
            since_epoch: 1,
        };
        Self {
            epoch: 1,
            slots: vec![creator],
            quota: vec![owner; SLICE_COUNT],
            keys: vec![owner; SLICE_COUNT],
        }
    }

    /// Owners of a section's slices, in the order of the slices.
    #[must_use]
    pub fn owners(&self, section: Section) -> &[Owner] {
        match section {
            Section::Quota => &self.quota,
            Section::Keys => &self.keys,
        }
    }

    pub(super) const fn owners_mut(&mut self, section: Section) -> &mut Vec<Owner> {
        match section {
            Section::Quota => &mut self.quota,
            Section::Keys => &mut self.keys,
        }
    }

    /// All slots that own slices.
    #[must_use]
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// The slot at this place.
    #[must_use]
    pub fn slot(&self, key: SlotKey) -> &Slot {
        &self.slots[key.index()]
    }

    /// Place of the slot of this name.
    #[must_use]
    pub fn find(&self, node_id: &str) -> Option<SlotKey> {
        let index = self.slots.iter().position(|slot| slot.node_id == node_id)?;
        u16::try_from(index).ok().map(SlotKey)
    }

    /// The slot that owns a slice.
    #[must_use]
    pub fn owner(&self, section: Section, slice: SliceIndex) -> &Slot {
        self.slot(self.owners(section)[slice.index()].slot)
    }

    /// Slices that a slot owns, with the epochs that gave them.
    pub fn owned(
        &self,
        section: Section,
        slot: SlotKey,
    ) -> impl Iterator<Item = (SliceIndex, u64)> {
        let owners = self.owners(section).iter();
        let owned = SliceIndex::all()
            .zip(owners)
            .filter(move |(_, o)| o.slot == slot);
        owned.map(|(slice, owner)| (slice, owner.since_epoch))
    }

    /// Number of a section's slices that each slot owns.
    #[must_use]
    pub fn counts(&self, section: Section) -> Vec<usize> {
        let mut counts = vec![0; self.slots.len()];
        for owner in self.owners(section) {
            counts[owner.slot.index()] += 1;
        }
        counts
    }

    /// The slot as which this process may use slices at present.
    ///
    /// Not while it is suspected: whoever marked it counts its silence, and
    /// this process must have cleared the mark before it goes on.
    #[must_use]
    pub fn usable_slot(&self, node_id: &str, ip: IpAddr) -> Option<SlotKey> {
        let key = self.find(node_id)?;
        let slot = self.slot(key);
        (slot.ip == ip && slot.mark_epoch.is_none()).then_some(key)
    }
}
