//! How often a membership update is sent, and to which zones.
//!
//! Many members change at once, for example when a fleet starts. If each member
//! sent every update to every other member, most of this traffic would cross
//! zones and grow with the square of the fleet. Instead, the members of a zone
//! share the sends to other zones, and propagate among themselves what arrives
//! from there.

use {
    super::{
        Record,
        table::MemberKey,
        update_queue::{Position, Rank},
    },
    std::hash::{Hash, Hasher},
    xxhash_rust::xxh3::Xxh3,
};

/// Times that a member sends an update within its availability zone, per
/// decimal digit of the member count.
const SAME_ZONE_SENDS_PER_DIGIT: u32 = 4;

/// Times that the members of an availability zone together send an update to
/// each other zone.
const SENDS_PER_OTHER_ZONE: u32 = 4;

/// Times that a record received in a table sync is sent.
const SYNC_SENDS: u32 = 1;

/// Whether a packet leaves the availability zone.
#[derives::key]
pub enum Scope {
    /// It stays within the zone.
    SameZone,
    /// It goes to another zone, or to an unknown destination.
    OtherZone,
}

impl Scope {
    /// All scopes.
    pub const ALL: [Self; 2] = [Self::SameZone, Self::OtherZone];
}

/// How often this node sends an update, given the size of the fleet.
#[derives::value]
#[derive(Copy)]
pub struct UpdateShare {
    same_zone_send_count: u32,
    /// Average over updates.
    other_zone_send_mean: f64,
}

impl UpdateShare {
    /// Share for the given numbers of members and zones, which include the node
    /// itself and its own zone.
    #[must_use]
    pub fn new(member_count: usize, own_zone_member_count: usize, zone_count: usize) -> Self {
        let digit_count = member_count.max(1).ilog10() + 1;
        let other_zone_send_count = SENDS_PER_OTHER_ZONE as usize * zone_count.saturating_sub(1);
        Self {
            same_zone_send_count: SAME_ZONE_SENDS_PER_DIGIT * digit_count,
            other_zone_send_mean: other_zone_send_count as f64
                / own_zone_member_count.max(1) as f64,
        }
    }
}

/// An update: how often a changed record may still be sent.
#[derives::value]
#[derive(Copy)]
pub struct Update {
    rank: Rank,
    same_zone_total_count: u32,
    same_zone_sent_count: u32,
    other_zone_sent_count: u32,
    /// In 0..1; decides how a fractional average is rounded. `None` if the
    /// record is not sent to other zones.
    other_zone_rounding: Option<f64>,
}

impl Update {
    /// Update for a record that just changed at the node with this id.
    #[must_use]
    pub fn new(record: &Record, rank: Rank, own_id: &str, share: &UpdateShare) -> Self {
        Self {
            rank,
            same_zone_total_count: share.same_zone_send_count,
            same_zone_sent_count: 0,
            other_zone_sent_count: 0,
            other_zone_rounding: Some(rounding(record, own_id)),
        }
    }

    /// Update for a record received in a table sync.
    #[must_use]
    pub const fn from_sync() -> Self {
        Self {
            rank: Rank::Synced,
            same_zone_total_count: SYNC_SENDS,
            same_zone_sent_count: 0,
            other_zone_sent_count: 0,
            other_zone_rounding: None,
        }
    }

    /// Position in the queue of this scope.
    #[must_use]
    pub const fn position(&self, key: MemberKey, scope: Scope) -> Position {
        Position {
            rank: self.rank,
            sent_count: match scope {
                Scope::SameZone => self.same_zone_sent_count,
                Scope::OtherZone => self.other_zone_sent_count,
            },
            key,
        }
    }

    /// Remaining sends.
    #[must_use]
    pub fn sends_left(&self, scope: Scope, share: &UpdateShare) -> u32 {
        match scope {
            Scope::SameZone => self
                .same_zone_total_count
                .saturating_sub(self.same_zone_sent_count),
            Scope::OtherZone => self.other_zone_rounding.map_or(0, |rounding| {
                let allowed_count = (share.other_zone_send_mean + rounding).floor() as u32;
                allowed_count.saturating_sub(self.other_zone_sent_count)
            }),
        }
    }

    /// Whether it should be sent at once instead of with the next packet: to other
    /// zones always, within the zone until half of its sends or, if it concerns
    /// availability, until few are left. After half of them, the one member in
    /// hundreds that missed it would send requests to the target for seconds.
    #[must_use]
    pub fn is_urgent(&self, scope: Scope, share: &UpdateShare) -> bool {
        match scope {
            Scope::SameZone => {
                let relaxed_count = match self.rank {
                    Rank::Availability => self.same_zone_total_count / 6,
                    Rank::Change | Rank::Join => self.same_zone_total_count / 2,
                    Rank::Synced => SYNC_SENDS,
                };
                self.sends_left(scope, share) > relaxed_count
            }
            Scope::OtherZone => self.sends_left(scope, share) > 0,
        }
    }

    /// Records a send.
    pub const fn record_send(&mut self, scope: Scope) {
        match scope {
            Scope::SameZone => self.same_zone_sent_count += 1,
            Scope::OtherZone => self.other_zone_sent_count += 1,
        }
    }
}

/// Differs between members and between records, so that the sends of a zone
/// approach their average.
fn rounding(record: &Record, own_id: &str) -> f64 {
    let mut hasher = Xxh3::new();
    own_id.hash(&mut hasher);
    record.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
