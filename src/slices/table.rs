//! The slice table: the owner of each slice.

use {
    super::{SLICE_COUNT, SliceIndex},
    std::net::IpAddr,
};

/// Resource that is divided into slices.
#[derives::key]
pub enum Section {
    /// Rate and burst of every workspace.
    Quota,
    /// Idempotency keys; the owner of a slice is the home of its keys.
    Keys,
}

impl Section {
    /// Both sections.
    pub const ALL: [Self; 2] = [Self::Quota, Self::Keys];
}

/// Index of a slot in one version of the table; it may differ in others.
#[derives::key]
pub struct SlotIndex(pub(super) u16);

impl SlotIndex {
    /// Index into the table's slots.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A slot that owns slices.
#[derives::value]
#[derive(Eq)]
pub struct Slot {
    /// Name of the slot.
    pub node_id: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the instance that holds the slot. A replacement at another
    /// address must wait before it uses the slices: its predecessor may only
    /// be paused and would use them too.
    pub ip: IpAddr,
    /// Epoch of the write that marked the slot as suspected; `None` if it is
    /// not.
    pub suspected_epoch: Option<u64>,
}

/// Owner of a slice.
#[derives::key]
pub struct Owner {
    /// The owning slot.
    pub slot: SlotIndex,
    /// Epoch of the write that assigned the slice to it.
    pub since_epoch: u64,
}

/// Owners of all slices; one version of the document `slices`.
#[derives::value]
#[derive(Eq)]
pub struct SliceTable {
    /// Number of the write. Unlike the document's version it is known before
    /// the write, so that a handover of keys can name the move it belongs to.
    pub epoch: u64,
    pub(super) slots: Vec<Slot>,
    pub(super) quota: Vec<Owner>,
    pub(super) keys: Vec<Owner>,
}

/// A slice table that guard and quota apply, with its document's version.
#[derives::value]
#[derive(Eq)]
pub struct VersionedSliceTable {
    /// Version of the document `slices`.
    pub version: u64,
    /// The table.
    pub table: SliceTable,
}

impl SliceTable {
    /// The first table of a fleet; the creator's slot owns all slices.
    #[must_use]
    pub fn new(creator: Slot) -> Self {
        let owner = Owner {
            slot: SlotIndex(0),
            since_epoch: 1,
        };
        Self {
            epoch: 1,
            slots: vec![creator],
            quota: vec![owner; SLICE_COUNT],
            keys: vec![owner; SLICE_COUNT],
        }
    }

    /// Owners of a section's slices, by slice index.
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

    /// The slot at this index.
    #[must_use]
    pub fn slot(&self, slot_index: SlotIndex) -> &Slot {
        &self.slots[slot_index.index()]
    }

    /// Index of the slot with this name.
    #[must_use]
    pub fn find(&self, node_id: &str) -> Option<SlotIndex> {
        let index = self.slots.iter().position(|slot| slot.node_id == node_id)?;
        u16::try_from(index).ok().map(SlotIndex)
    }

    /// The slot that owns a slice.
    #[must_use]
    pub fn owner(&self, section: Section, slice: SliceIndex) -> &Slot {
        self.slot(self.owners(section)[slice.index()].slot)
    }

    /// Slices that a slot owns, each with the epoch that assigned it.
    pub fn owned(
        &self,
        section: Section,
        slot: SlotIndex,
    ) -> impl Iterator<Item = (SliceIndex, u64)> {
        let owners = self.owners(section).iter();
        let owned = SliceIndex::all()
            .zip(owners)
            .filter(move |(_, owner)| owner.slot == slot);
        owned.map(|(slice, owner)| (slice, owner.since_epoch))
    }

    /// Number of slices of the section that each slot owns, by slot index.
    #[must_use]
    pub fn counts(&self, section: Section) -> Vec<usize> {
        let mut counts = vec![0; self.slots.len()];
        for owner in self.owners(section) {
            counts[owner.slot.index()] += 1;
        }
        counts
    }

    /// The slot whose slices this process may use now.
    ///
    /// `None` while the slot is suspected: other nodes count the time until
    /// they take it over, so this process must clear the suspicion first.
    #[must_use]
    pub fn usable_slot(&self, node_id: &str, ip: IpAddr) -> Option<SlotIndex> {
        let slot_index = self.find(node_id)?;
        let slot = self.slot(slot_index);
        (slot.ip == ip && slot.suspected_epoch.is_none()).then_some(slot_index)
    }
}
