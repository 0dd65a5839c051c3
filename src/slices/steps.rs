//! Changes of the slice table.

use {
    super::{
        SliceIndex,
        table::{Owner, Section, SliceTable, Slot, SlotKey},
    },
    crate::membership::Member,
};

/// One change; several go into one write.
#[derives::value]
#[derive(Eq)]
pub enum Step {
    /// Says that this node is alive although it was suspected.
    ClearMark,
    /// Suspects a slot whose process seems to be gone.
    Suspect {
        /// Name of the slot.
        node_id: String,
    },
    /// Takes the slices of a slot that stayed silent.
    Take {
        /// Name of the slot.
        node_id: String,
        /// Sections that are taken.
        sections: Vec<Section>,
    },
    /// Takes the own slot over from a predecessor at another address.
    Claim,
    /// Gives own slices up in favour of another member.
    Give(Moved),
}

/// Slices that this node gives to a member.
#[derives::value]
#[derive(Eq)]
pub struct Moved {
    /// Section of the slices.
    pub section: Section,
    /// The slices; this node stops using them before it writes.
    pub slices: Vec<SliceIndex>,
    /// The slot that gets them.
    pub to: Slot,
    /// Its process, which alone may take in handed-over keys.
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
            mark_epoch: None,
        }
    }
}

impl SliceTable {
    /// The table after these steps of the node in `own` slot.
    #[must_use]
    pub fn with_steps(&self, own: &Slot, steps: &[Step]) -> Self {
        let mut next = self.clone();
        next.epoch += 1;
        for step in steps {
            next.apply(own, step);
        }
        next.compact();
        next
    }

    fn apply(&mut self, own: &Slot, step: &Step) {
        let epoch = self.epoch;
        match step {
            Step::ClearMark => {
                let key = self.intern(own);
                self.slots[key.index()].mark_epoch = None;
            }
            Step::Suspect { node_id } => {
                if let Some(key) = self.find(node_id) {
                    self.slots[key.index()].mark_epoch = Some(epoch);
                }
            }
            Step::Take { node_id, sections } => {
                let Some(from) = self.find(node_id) else {
                    return;
                };
                let slot = self.intern(own);
                for section in sections {
                    self.replace(*section, from, slot);
                }
            }
            Step::Claim => {
                let slot = self.intern(own);
                self.slots[slot.index()] = own.clone();
                for section in Section::ALL {
                    self.replace(section, slot, slot);
                }
            }
            Step::Give(moved) => {
                let slot = self.intern(&moved.to);
                for slice in &moved.slices {
                    self.owners_mut(moved.section)[slice.index()] = Owner {
                        slot,
                        since_epoch: epoch,
                    };
                }
            }
        }
    }

    fn replace(&mut self, section: Section, from: SlotKey, slot: SlotKey) {
        let since_epoch = self.epoch;
        let owners = self.owners_mut(section).iter_mut();
        for owner in owners.filter(|owner| owner.slot == from) {
            *owner = Owner { slot, since_epoch };
        }
    }

    fn intern(&mut self, slot: &Slot) -> SlotKey {
        if let Some(key) = self.find(&slot.node_id) {
            return key;
        }
        self.slots.push(slot.clone());
        let index = u16::try_from(self.slots.len() - 1).expect("fewer than 65,536 slots");
        SlotKey(index)
    }

    /// Drops slots without slices.
    fn compact(&mut self) {
        let mut places = vec![None; self.slots.len()];
        for owner in self.quota.iter().chain(&self.keys) {
            places[owner.slot.index()] = Some(0);
        }
        let used = places.iter_mut().flatten();
        for (place, used) in (0..).zip(used) {
            *used = place;
        }
        for owner in self.quota.iter_mut().chain(&mut self.keys) {
            let place = places[owner.slot.index()];
            owner.slot = SlotKey(place.expect("the slot owns this slice"));
        }
        let mut is_used = places.iter().map(Option::is_some);
        self.slots.retain(|_| is_used.next().unwrap_or(false));
    }
}
