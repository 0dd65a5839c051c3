//! How often a membership update is sent, and to which zones.
//!
//! Many members change at once, for example when a fleet starts. If each member
//! sent every update to every other member, most of this traffic would cross
//! zones and grow with the square of the fleet. Instead, the members of a zone
//! share the sends to other zones, and propagate among themselves what arrives
//! from there.

use {
    super::Record,
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

    /// Remaining sends at or below which an update is no longer urgent.
    const fn urgent_limit(&self) -> u32 {
        self.same_zone_send_count / 2
    }
}

/// An update: how often a changed record may still be sent.
#[derives::value]
#[derive(Copy)]
pub struct Update {
    same_zone_left: u32,
    other_zone_send_count: u32,
    /// In 0..1; decides how a fractional average is rounded. `None` if the
    /// record is not sent to other zones.
    other_zone_rounding: Option<f64>,
}

impl Update {
    /// Update for a record that just changed at the node with this id.
    #[must_use]
    pub fn new(record: &Record, own_id: &str, share: &UpdateShare) -> Self {
        Self {
            same_zone_left: share.same_zone_send_count,
            other_zone_send_count: 0,
            other_zone_rounding: Some(rounding(record, own_id)),
        }
    }

    /// Update for a record received in a table sync.
    #[must_use]
    pub const fn from_sync() -> Self {
        Self {
            same_zone_left: SYNC_SENDS,
            other_zone_send_count: 0,
            other_zone_rounding: None,
        }
    }

    /// Remaining sends.
    #[must_use]
    pub fn sends_left(&self, scope: Scope, share: &UpdateShare) -> u32 {
        match scope {
            Scope::SameZone => self.same_zone_left,
            Scope::OtherZone => self.other_zone_rounding.map_or(0, |rounding| {
                let allowed_count = (share.other_zone_send_mean + rounding).floor() as u32;
                allowed_count.saturating_sub(self.other_zone_send_count)
            }),
        }
    }

    /// Whether it should be sent at once instead of with the next packet.
    #[must_use]
    pub fn is_urgent(&self, scope: Scope, share: &UpdateShare) -> bool {
        let limit = match scope {
            Scope::SameZone => share.urgent_limit(),
            Scope::OtherZone => 0,
        };
        self.sends_left(scope, share) > limit
    }

    /// Records a send.
    pub const fn record_send(&mut self, scope: Scope) {
        match scope {
            Scope::SameZone => self.same_zone_left = self.same_zone_left.saturating_sub(1),
            Scope::OtherZone => self.other_zone_send_count += 1,
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
