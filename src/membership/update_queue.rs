//! Order in which pending updates are sent.

use {
    super::{Record, table::MemberKey},
    std::collections::BTreeSet,
};

/// Importance of an update, the most important first. When a fleet starts, each
/// node queues an update about every other one for seconds.
#[derives::key]
pub enum Rank {
    /// Whether the member responds and its target takes requests: it is
    /// suspected, refuted that, left or died, began to drain or lost its target.
    /// Table hashes do not show a suspicion.
    Availability,
    /// A known member changed otherwise.
    Change,
    /// First record of a member.
    Join,
    /// A record received in a table sync, which most others know.
    Synced,
}

impl Rank {
    /// Rank of the update by which a member's record replaces the previous one.
    #[must_use]
    pub fn of_change(previous: &Record, record: &Record) -> Self {
        let loses_target = match (&previous.target, &record.target) {
            (Some(_), None) => true,
            (Some(previous), Some(target)) => target.draining && !previous.draining,
            (None, _) => false,
        };
        let changes_liveness = record.liveness != previous.liveness;
        let begins_to_drain = record.draining && !previous.draining;
        match changes_liveness || begins_to_drain || loses_target {
            true => Self::Availability,
            false => Self::Change,
        }
    }
}

/// Position of an update. Among those of a rank, the one sent least often goes
/// first.
#[derives::key]
pub struct Position {
    /// Importance.
    pub rank: Rank,
    /// Times that it was sent.
    pub sent_count: u32,
    /// Member that it concerns.
    pub key: MemberKey,
}

/// Pending updates of one scope, in the order in which they are sent.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    urgent: BTreeSet<Position>,
    /// Sent with the next packets.
    relaxed: BTreeSet<Position>,
}

impl UpdateQueue {
    /// Adds an update; an urgent one is sent at once instead of with the next
    /// packet.
    pub fn insert(&mut self, position: Position, is_urgent: bool) {
        match is_urgent {
            true => self.urgent.insert(position),
            false => self.relaxed.insert(position),
        };
    }

    /// Removes an update.
    pub fn remove(&mut self, position: Position) {
        if !self.urgent.remove(&position) {
            self.relaxed.remove(&position);
        }
    }

    /// Drops the updates that are neither urgent nor about availability.
    pub fn drop_relaxed(&mut self) {
        self.relaxed
            .retain(|position| position.rank == Rank::Availability);
    }

    /// Number of urgent updates.
    #[must_use]
    pub fn urgent_count(&self) -> usize {
        self.urgent.len()
    }

    /// The first updates, urgent ones before the others.
    pub fn first(&self, count: usize) -> impl Iterator<Item = Position> {
        self.urgent.iter().chain(&self.relaxed).take(count).copied()
    }
}
