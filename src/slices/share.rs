//! Number of slices that each member should own.

use {
    super::{
        SLICE_COUNT,
        table::{Section, SliceTable},
    },
    crate::membership::{Member, View},
    std::collections::{BTreeMap, HashSet},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of quota slice owners in a zone. Token pools query each owner
/// about twice per second, so there are few; the share of a lost owner is
/// unused until the takeover.
pub const QUOTA_OWNERS_PER_ZONE: usize = 4;

/// Maximum number of homes of idempotency keys in a zone.
pub const KEY_OWNERS_PER_ZONE: usize = 24;

/// Number of slices that a member should own.
pub struct Share<'a> {
    pub member: &'a Member,
    pub slice_count: usize,
}

/// Members that may own slices.
pub fn eligible(view: &View) -> impl Iterator<Item = &Member> {
    view.iter().filter(|member| member.is_usable())
}

/// Shares of the members that should own slices of a section: each zone in
/// proportion to its member count, split evenly over a few of its members.
pub fn shares<'a>(table: &SliceTable, view: &'a View, section: Section) -> Vec<Share<'a>> {
    let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in eligible(view) {
        zones.entry(&member.zone).or_default().push(member);
    }
    let member_count: usize = zones.values().map(Vec::len).sum();
    let mut shares = Vec::new();
    let (mut counted_member_count, mut assigned_count) = (0, 0);
    for mut members in zones.into_values() {
        counted_member_count += members.len();
        let zone_end_index = SLICE_COUNT * counted_member_count / member_count;
        select_owners(table, section, &mut members);
        split_evenly(zone_end_index - assigned_count, &members, &mut shares);
        assigned_count = zone_end_index;
    }
    shares
}

/// Selects the owners in a zone: current owners first, then other members in
/// an order that is the same on all nodes.
fn select_owners(table: &SliceTable, section: Section, members: &mut Vec<&Member>) {
    let max_owner_count = match section {
        Section::Quota => QUOTA_OWNERS_PER_ZONE,
        Section::Keys => KEY_OWNERS_PER_ZONE,
    };
    let counts = table.slots().iter().zip(table.counts(section));
    let owning_slots = counts.filter(|(_, count)| *count > 0);
    let owning_ids: HashSet<&str> = owning_slots
        .map(|(slot, _)| slot.node_id.as_str())
        .collect();
    members.sort_by_cached_key(|member| {
        let owns_nothing = !owning_ids.contains(member.node_id.as_str());
        (owns_nothing, xxh3_64(member.node_id.as_bytes()))
    });
    members.truncate(max_owner_count);
}

fn split_evenly<'a>(slice_count: usize, members: &[&'a Member], shares: &mut Vec<Share<'a>>) {
    let (base_count, remainder) = (slice_count / members.len(), slice_count % members.len());
    for (index, member) in members.iter().enumerate() {
        shares.push(Share {
            member,
            slice_count: base_count + usize::from(index < remainder),
        });
    }
}
