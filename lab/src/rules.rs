//! Common rules of the fault proxy.

use {
    crate::mesh::PLATFORM_ZONE,
    standins::faultproxy::{CutMode, Rule},
};

/// Cuts one way between two zones.
#[must_use]
pub fn cut_one_way(from_zone: &str, to_zone: &str, mode: CutMode) -> Rule {
    Rule {
        from_zone: Some(from_zone.to_owned()),
        to_zone: Some(to_zone.to_owned()),
        cut: Some(mode),
        ..Rule::default()
    }
}

/// Cuts both ways between two zones.
#[must_use]
pub fn cut(zone: &str, other_zone: &str, mode: CutMode) -> Vec<Rule> {
    vec![
        cut_one_way(zone, other_zone, mode),
        cut_one_way(other_zone, zone, mode),
    ]
}

/// Cuts a zone off from the platform, both ways.
#[must_use]
pub fn cut_from_platform(zone: &str, mode: CutMode) -> Vec<Rule> {
    cut(zone, PLATFORM_ZONE, mode)
}

/// Cuts a zone off from the platform and from all other zones, both ways.
#[must_use]
pub fn isolate(zone: &str, other_zones: &[&str], mode: CutMode) -> Vec<Rule> {
    let others = other_zones.iter().filter(|other| **other != zone);
    let cuts = others.flat_map(|other| cut(zone, other, mode));
    cuts.chain(cut_from_platform(zone, mode)).collect()
}
