//! Translates what membership reports about targets for the routing policy.

use crate::{
    conf::Evacuations,
    membership::Announcement,
    model::Names,
    routing::{Distance, TargetInfo},
    settings::Settings,
};

/// What rows are built from, besides the member.
#[derive(Clone, Copy)]
pub struct RowBuilder<'a> {
    /// Settings of this node.
    pub settings: &'a Settings,
    /// Names of services, zones and regions.
    pub names: &'a Names,
    /// Availability zones that get no work.
    pub evacuations: &'a Evacuations,
    /// Whether new targets get a share of requests that grows from a small start.
    pub starts_slowly: bool,
    /// Time of the update.
    pub now_us: u64,
}

impl RowBuilder<'_> {
    /// The target as routing sees it, in this availability zone and region.
    #[must_use]
    pub fn info(&self, target: &Announcement, (zone, region): (&str, &str)) -> TargetInfo {
        TargetInfo {
            service: self.names.service(&target.service),
            zone: self.names.zone(zone),
            region: self.names.region(region),
            distance: self.distance(zone, region),
            slot_count: target.slot_count,
            draining: target.draining,
            starts_slowly: self.starts_slowly,
        }
    }

    fn distance(&self, zone: &str, region: &str) -> Distance {
        if region != self.settings.region {
            Distance::OtherRegion
        } else if zone != self.settings.zone {
            Distance::SameRegion
        } else {
            Distance::SameZone
        }
    }
}
