//! Splits the tokens of a divider into parts and collects them at the next one.

use {
    super::datagrams::{HandoverPart, NamedTokens},
    std::collections::{HashMap, HashSet},
};

/// Workspaces in one datagram.
const WORKSPACES_PER_PART: usize = 128;
/// Handovers whose parts are remembered.
const REMEMBERED_COUNT: usize = 8;

/// Splits the tokens of ended divisions into parts.
pub(super) fn split(
    node_id: &str,
    division_ids: &[u64],
    tokens: &[NamedTokens],
) -> Vec<HandoverPart> {
    let part_count = tokens.len().div_ceil(WORKSPACES_PER_PART).max(1);
    (0..part_count)
        .map(|index| HandoverPart {
            node_id: node_id.to_owned(),
            division_ids: division_ids.to_vec(),
            index: index as u32,
            part_count: part_count as u32,
            tokens: tokens
                .iter()
                .skip(index * WORKSPACES_PER_PART)
                .take(WORKSPACES_PER_PART)
                .cloned()
                .collect(),
        })
        .collect()
}

/// Received parts by handover. Datagrams may arrive twice; tokens count once.
#[derive(Debug, Default)]
pub(super) struct ReceivedHandovers {
    indexes: HashMap<u64, HashSet<u32>>,
    ids: Vec<u64>,
}

impl ReceivedHandovers {
    /// Records a part. Returns whether it is new.
    pub(super) fn record(&mut self, part: &HandoverPart) -> bool {
        let handover_id = part.handover_id();
        if !self.indexes.contains_key(&handover_id) {
            self.ids.push(handover_id);
            if self.ids.len() > REMEMBERED_COUNT {
                self.indexes.remove(&self.ids.remove(0));
            }
        }
        let indexes = self.indexes.entry(handover_id).or_default();
        indexes.insert(part.index)
    }

    /// Whether all parts of the handover have arrived.
    pub(super) fn is_complete(&self, part: &HandoverPart) -> bool {
        let indexes = self.indexes.get(&part.handover_id());
        indexes.is_some_and(|indexes| indexes.len() as u32 >= part.part_count)
    }
}
