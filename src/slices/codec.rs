//! Encoding of the slice table as a document.
//!
//! Packed Cap'n Proto: runs of slices are small numbers in wide fields, and
//! packing omits their zero bytes.

use {
    super::{
        SLICE_COUNT,
        table::{Owner, SliceTable, Slot, SlotIndex},
    },
    crate::schema::slices_capnp::{run, slice_table, slot},
    capnp::{message, serialize_packed, struct_list},
};

/// Why a document cannot be decoded as a slice table.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SliceTableError {
    /// It is not a valid Cap'n Proto message of the slice table.
    #[error("cannot decode the slice table: {cause}")]
    Malformed {
        /// Error of the decoder.
        cause: String,
    },
    /// A section has too few or too many slices.
    #[error("a section has {slice_count} slices; expected {SLICE_COUNT}")]
    SliceCount {
        /// Number of slices found.
        slice_count: usize,
    },
    /// A run refers to a slot that is not in the table.
    #[error("slot {index} is not in the slice table")]
    UnknownSlot {
        /// Index of the slot.
        index: usize,
    },
    /// The address of a slot is not an IP address.
    #[error("{ip:?} is not an IP address")]
    InvalidAddress {
        /// The text in the document.
        ip: String,
    },
}

impl From<capnp::Error> for SliceTableError {
    fn from(error: capnp::Error) -> Self {
        Self::Malformed {
            cause: error.to_string(),
        }
    }
}

impl From<std::str::Utf8Error> for SliceTableError {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Malformed {
            cause: error.to_string(),
        }
    }
}

impl SliceTable {
    /// Decodes the content of a document.
    pub fn parse(content: &[u8]) -> Result<Self, SliceTableError> {
        let message = serialize_packed::read_message(content, message::ReaderOptions::new())?;
        let reader = message.get_root::<slice_table::Reader<'_>>()?;
        let slot_results = reader.get_slots()?.iter().map(read_slot);
        let slots = slot_results.collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            epoch: reader.get_epoch(),
            quota: read_runs(reader.get_quota()?, slots.len())?,
            keys: read_runs(reader.get_keys()?, slots.len())?,
            slots,
        })
    }

    /// Encodes the table as the content of a document.
    #[must_use]
    pub fn serialise(&self) -> Vec<u8> {
        let mut message = message::Builder::new_default();
        let mut builder = message.init_root::<slice_table::Builder<'_>>();
        builder.set_epoch(self.epoch);
        let mut slots = builder.reborrow().init_slots(list_length(self.slots.len()));
        for (index, slot) in (0..).zip(&self.slots) {
            write_slot(slot, slots.reborrow().get(index));
        }
        let quota = group_runs(&self.quota);
        write_runs(
            &quota,
            builder.reborrow().init_quota(list_length(quota.len())),
        );
        let keys = group_runs(&self.keys);
        write_runs(&keys, builder.init_keys(list_length(keys.len())));
        let mut content = Vec::new();
        serialize_packed::write_message(&mut content, &message)
            .expect("writing to memory does not fail");
        content
    }
}

fn read_slot(reader: slot::Reader<'_>) -> Result<Slot, SliceTableError> {
    let ip = reader.get_ip()?.to_str()?;
    let invalid_address = |_| SliceTableError::InvalidAddress { ip: ip.to_owned() };
    let mark_epoch = reader.get_mark_epoch();
    Ok(Slot {
        node_id: reader.get_node_id()?.to_str()?.to_owned(),
        zone: reader.get_zone()?.to_str()?.to_owned(),
        ip: ip.parse().map_err(invalid_address)?,
        suspected_epoch: (mark_epoch > 0).then_some(mark_epoch),
    })
}

fn write_slot(slot: &Slot, mut builder: slot::Builder<'_>) {
    builder.set_node_id(&slot.node_id);
    builder.set_zone(&slot.zone);
    builder.set_ip(slot.ip.to_string());
    builder.set_mark_epoch(slot.suspected_epoch.unwrap_or(0));
}

fn read_runs(
    runs: struct_list::Reader<'_, run::Owned>,
    slot_count: usize,
) -> Result<Vec<Owner>, SliceTableError> {
    let mut owners = Vec::with_capacity(SLICE_COUNT);
    for run in runs {
        let slot = SlotIndex(run.get_slot());
        let index = slot.index();
        if index >= slot_count {
            return Err(SliceTableError::UnknownSlot { index });
        }
        let slice_count = owners.len() + usize::from(run.get_length());
        if slice_count > SLICE_COUNT {
            return Err(SliceTableError::SliceCount { slice_count });
        }
        let since_epoch = run.get_since_epoch().into();
        owners.resize(slice_count, Owner { slot, since_epoch });
    }
    let slice_count = owners.len();
    if slice_count != SLICE_COUNT {
        return Err(SliceTableError::SliceCount { slice_count });
    }
    Ok(owners)
}

fn group_runs(owners: &[Owner]) -> Vec<&[Owner]> {
    owners
        .chunk_by(|owner, next_owner| owner == next_owner)
        .collect()
}

fn write_runs(runs: &[&[Owner]], mut builder: struct_list::Builder<'_, run::Owned>) {
    for (index, run) in (0..).zip(runs) {
        let mut builder = builder.reborrow().get(index);
        builder.set_slot(run[0].slot.0);
        builder.set_length(u16::try_from(run.len()).expect("a section has fewer than 2^16 slices"));
        let since_epoch = u32::try_from(run[0].since_epoch).expect("fewer than 2^32 writes");
        builder.set_since_epoch(since_epoch);
    }
}

fn list_length(count: usize) -> u32 {
    u32::try_from(count).expect("fewer than 2^32 slots and runs")
}
