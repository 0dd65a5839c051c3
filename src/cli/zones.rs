//! Reports availability zone by availability zone.

use {
    serde::Serialize,
    std::{collections::BTreeMap, fmt},
};

/// In how much of an availability zone something is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneReport {
    /// The zone.
    pub zone: String,
    /// Nodes that have it in force.
    pub in_force_count: usize,
    /// Nodes that answered and do not.
    pub behind_count: usize,
    /// Nodes that did not answer.
    pub unreachable_count: usize,
}

impl ZoneReport {
    /// Whether every node of the zone that answered has it, and one did.
    #[must_use]
    pub const fn is_in_force(&self) -> bool {
        self.in_force_count > 0 && self.behind_count == 0
    }
}

impl fmt::Display for ZoneReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let node_count = self.in_force_count + self.behind_count + self.unreachable_count;
        let word = if self.is_in_force() {
            "in force"
        } else {
            "NOT in force everywhere"
        };
        write!(
            formatter,
            "zone {}: {word} ({} of {node_count} nodes",
            self.zone, self.in_force_count
        )?;
        if self.unreachable_count > 0 {
            write!(formatter, ", {} did not answer", self.unreachable_count)?;
        }
        formatter.write_str(")")
    }
}

/// Counts nodes by zone; an answer is absent when the node gave none.
pub fn zone_reports<'a>(
    answers: impl IntoIterator<Item = (&'a str, Option<bool>)>,
) -> Vec<ZoneReport> {
    let mut zones: BTreeMap<&str, ZoneReport> = BTreeMap::new();
    for (zone, in_force) in answers {
        let report = zones.entry(zone).or_insert_with(|| ZoneReport {
            zone: zone.to_owned(),
            in_force_count: 0,
            behind_count: 0,
            unreachable_count: 0,
        });
        match in_force {
            Some(true) => report.in_force_count += 1,
            Some(false) => report.behind_count += 1,
            None => report.unreachable_count += 1,
        }
    }
    zones.into_values().collect()
}
