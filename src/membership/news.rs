//! How often a piece of news is passed on, and how far.
//!
//! Pattern: many members change at once, as when a fleet starts. If each
//! member passed on all news to any other, most of it would cross between
//! availability zones, and these bytes would grow with the square of the fleet.
//! So the members of a zone share the sends to other zones, and pass on among
//! themselves what came from there.

use {
    super::Record,
    std::hash::{Hash, Hasher},
    xxhash_rust::xxh3::Xxh3,
};

/// Times that a member passes a piece of news on within its availability zone,
/// per decimal digit of the member count.
const NEAR_SENDS_PER_DIGIT: u32 = 4;

/// Times that the members of an availability zone together send a piece of news
/// to each other zone.
const FAR_SENDS_PER_ZONE: u32 = 4;

/// Times that a member which came with a whole table is passed on.
const SYNCED_SENDS: u32 = 1;

/// Whether a packet leaves the availability zone.
#[derives::key]
pub enum Reach {
    /// It stays within the zone.
    Near,
    /// It goes to another zone, or it is not known where it goes.
    Far,
}

/// How often this node passes on a piece of news, by the fleet as it knows it.
#[derives::value]
#[derive(Copy)]
pub struct NewsShare {
    near_count: u32,
    /// On average over pieces of news.
    far_mean: f64,
}

impl NewsShare {
    /// The share in a fleet of so many members and zones, the node itself and its
    /// own zone included.
    #[must_use]
    pub fn new(member_count: usize, own_zone_member_count: usize, zone_count: usize) -> Self {
        let digit_count = member_count.max(1).ilog10() + 1;
        let far_count = FAR_SENDS_PER_ZONE as usize * zone_count.saturating_sub(1);
        Self {
            near_count: NEAR_SENDS_PER_DIGIT * digit_count,
            far_mean: far_count as f64 / own_zone_member_count.max(1) as f64,
        }
    }

    /// Sends from which on news is not fresh any more.
    const fn fresh_limit(&self) -> u32 {
        self.near_count / 2
    }
}

/// How often a record may still be passed on.
#[derives::value]
#[derive(Copy)]
pub struct News {
    near_left: u32,
    far_count: u32,
    /// In 0..1; decides how an average that is no whole number is rounded. `None`
    /// for what is no news in other zones.
    far_draw: Option<f64>,
}

impl News {
    /// A record that was just heard by the node of this id.
    #[must_use]
    pub fn heard(record: &Record, own_id: &str, share: &NewsShare) -> Self {
        Self {
            near_left: share.near_count,
            far_count: 0,
            far_draw: Some(draw(record, own_id)),
        }
    }

    /// A record that came with a whole table.
    #[must_use]
    pub const fn synced() -> Self {
        Self {
            near_left: SYNCED_SENDS,
            far_count: 0,
            far_draw: None,
        }
    }

    /// Sends that are left.
    #[must_use]
    pub fn sends_left(&self, reach: Reach, share: &NewsShare) -> u32 {
        match reach {
            Reach::Near => self.near_left,
            Reach::Far => self.far_draw.map_or(0, |draw| {
                let allowed_count = (share.far_mean + draw).floor() as u32;
                allowed_count.saturating_sub(self.far_count)
            }),
        }
    }

    /// Whether it should be passed on at once and not only with the next packet.
    #[must_use]
    pub fn is_fresh(&self, reach: Reach, share: &NewsShare) -> bool {
        let limit = match reach {
            Reach::Near => share.fresh_limit(),
            Reach::Far => 0,
        };
        self.sends_left(reach, share) > limit
    }

    /// Counts a send.
    pub const fn sent(&mut self, reach: Reach) {
        match reach {
            Reach::Near => self.near_left = self.near_left.saturating_sub(1),
            Reach::Far => self.far_count += 1,
        }
    }
}

/// Differs between members and between records, so that over a zone the sends
/// come near to their average.
fn draw(record: &Record, own_id: &str) -> f64 {
    let mut hasher = Xxh3::new();
    own_id.hash(&mut hasher);
    record.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
