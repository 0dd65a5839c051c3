//! How many slices each member should own.

use {
    super::{
        SLICE_COUNT,
        table::{Section, SliceTable},
    },
    crate::membership::{Member, View},
    std::collections::{BTreeMap, HashSet},
    xxhash_rust::xxh3::xxh3_64,
};

/// Members of a zone that own quota slices. Banks ask each owner about twice
/// a second, so owners are few; a lost one idles its share until the takeover.
pub const QUOTA_OWNERS_PER_ZONE: usize = 4;

/// Members of a zone that are homes of idempotency keys.
pub const KEY_OWNERS_PER_ZONE: usize = 24;

/// A member and the slices that it should own.
pub struct Share<'a> {
    pub member: &'a Member,
    pub slice_count: usize,
}

/// Members that may get slices.
pub fn eligible(view: &View) -> impl Iterator<Item = &Member> {
    view.members.iter().filter(|member| member.is_usable())
}

/// Shares of the members that should own slices of a section: zones in
/// proportion to their members, within a zone evenly over a few members.
pub fn shares<'a>(table: &SliceTable, view: &'a View, section: Section) -> Vec<Share<'a>> {
    let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in eligible(view) {
        zones.entry(&member.zone).or_default().push(member);
    }
    let member_count: usize = zones.values().map(Vec::len).sum();
    let mut shares = Vec::new();
    let (mut seen_count, mut given_count) = (0, 0);
    for mut members in zones.into_values() {
        seen_count += members.len();
        let zone_end = SLICE_COUNT * seen_count / member_count;
        choose(table, section, &mut members);
        split(zone_end - given_count, &members, &mut shares);
        given_count = zone_end;
    }
    shares
}

/// Keeps the members that own slices already, then others in an order that
/// all nodes agree on.
fn choose(table: &SliceTable, section: Section, members: &mut Vec<&Member>) {
    let limit = match section {
        Section::Quota => QUOTA_OWNERS_PER_ZONE,
        Section::Keys => KEY_OWNERS_PER_ZONE,
    };
    let counts = table.slots().iter().zip(table.counts(section));
    let owning = counts.filter(|(_, count)| *count > 0);
    let owning: HashSet<&str> = owning.map(|(slot, _)| slot.node_id.as_str()).collect();
    members.sort_by_cached_key(|member| {
        let is_new = !owning.contains(member.node_id.as_str());
        (is_new, xxh3_64(member.node_id.as_bytes()))
    });
    members.truncate(limit);
}

fn split<'a>(slice_count: usize, members: &[&'a Member], shares: &mut Vec<Share<'a>>) {
    let (each, rest) = (slice_count / members.len(), slice_count % members.len());
    for (index, member) in members.iter().enumerate() {
        shares.push(Share {
            member,
            slice_count: each + usize::from(index < rest),
        });
    }
}
