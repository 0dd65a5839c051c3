//! Changes to the slice table.

use {
    super::{
        SliceIndex,
        table::{Owner, Section, SliceTable, Slot, SlotIndex},
    },
    crate::membership::Member,
};

/// One change to the table; a write can contain several.
#[derives::value]
#[derive(Eq)]
pub enum Step {
    /// Clears the suspicion of this node's slot: the node is alive.
    ClearSuspicion,
    /// Marks a slot as suspected because its process seems to be gone.
    Suspect {
        /// Name of the slot.
        node_id: String,
    },
    /// Takes over the slices of a slot that stayed suspected.
    TakeOver {
        /// Name of the slot.
        node_id: String,
        /// Sections whose slices are taken over.
        sections: Vec<Section>,
    },
    /// Takes over this node's own slot from a predecessor at another address.
    Claim,
    /// Transfers slices of this node to another member.
    Transfer(SliceTransfer),
}

/// Slices that this node transfers to another member.
#[derives::value]
#[derive(Eq)]
pub struct SliceTransfer {
    /// Section of the slices.
    pub section: Section,
    /// The slices; this node stops using them before it writes.
    pub slices: Vec<SliceIndex>,
    /// The slot that receives them.
    pub to: Slot,
    /// Start time of the receiving process; only this process may import the
    /// keys.
    pub to_started_unix_ms: u64,
}

impl Slot {
    /// The slot of a member.
    #[must_use]
    pub fn new(member: &Member) -> Self {
        Self {
            node_id: member.node_id.clone(),
            zone: member.zone.clone(),
            ip: member.ip,
            suspected_epoch: None,
        }
    }
}

impl SliceTable {
    /// The table after these steps, written by the node in `own_slot`.
    #[must_use]
    pub fn with_steps(&self, own_slot: &Slot, steps: &[Step]) -> Self {
        let mut next = self.clone();
        next.epoch += 1;
        for step in steps {
            next.apply(own_slot, step);
        }
        next.remove_unused_slots();
        next
    }

    fn apply(&mut self, own_slot: &Slot, step: &Step) {
        let epoch = self.epoch;
        match step {
            Step::ClearSuspicion => {
                let slot_index = self.find_or_add(own_slot);
                self.slots[slot_index.index()].suspected_epoch = None;
            }
            Step::Suspect { node_id } => {
                if let Some(slot_index) = self.find(node_id) {
                    self.slots[slot_index.index()].suspected_epoch = Some(epoch);
                }
            }
            Step::TakeOver { node_id, sections } => {
                let Some(from) = self.find(node_id) else {
                    return;
                };
                let to = self.find_or_add(own_slot);
                for section in sections {
                    self.reassign(*section, from, to);
                }
            }
            Step::Claim => {
                let slot_index = self.find_or_add(own_slot);
                self.slots[slot_index.index()] = own_slot.clone();
                for section in Section::ALL {
                    self.reassign(section, slot_index, slot_index);
                }
            }
            Step::Transfer(transfer) => {
                let slot = self.find_or_add(&transfer.to);
                for slice in &transfer.slices {
                    self.owners_mut(transfer.section)[slice.index()] = Owner {
                        slot,
                        since_epoch: epoch,
                    };
                }
            }
        }
    }

    fn reassign(&mut self, section: Section, from: SlotIndex, slot: SlotIndex) {
        let since_epoch = self.epoch;
        let owners = self.owners_mut(section).iter_mut();
        for owner in owners.filter(|owner| owner.slot == from) {
            *owner = Owner { slot, since_epoch };
        }
    }

    fn find_or_add(&mut self, slot: &Slot) -> SlotIndex {
        if let Some(index) = self.find(&slot.node_id) {
            return index;
        }
        self.slots.push(slot.clone());
        let index = u16::try_from(self.slots.len() - 1).expect("fewer than 65,536 slots");
        SlotIndex(index)
    }

    /// Removes slots that own no slices.
    fn remove_unused_slots(&mut self) {
        let mut new_indices = vec![None; self.slots.len()];
        for owner in self.quota.iter().chain(&self.keys) {
            new_indices[owner.slot.index()] = Some(0);
        }
        let used_slots = new_indices.iter_mut().flatten();
        for (index, new_index) in (0..).zip(used_slots) {
            *new_index = index;
        }
        for owner in self.quota.iter_mut().chain(&mut self.keys) {
            let new_index = new_indices[owner.slot.index()];
            owner.slot = SlotIndex(new_index.expect("the slot owns this slice"));
        }
        let mut is_used = new_indices.iter().map(Option::is_some);
        self.slots.retain(|_| is_used.next().unwrap_or(false));
    }
}
