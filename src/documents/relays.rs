//! Which members look at the platform for their availability zone.

use {
    crate::membership::{MemberState, View},
    xxhash_rust::xxh3::xxh3_64,
};

/// Members of a zone that watch the platform at a time.
pub const RELAY_COUNT: usize = 2;

/// The relays of a zone in the order of their rank, by rendezvous hash.
///
/// Members whose views differ for a while name different relays; that costs
/// some calls to the platform and nothing else.
#[must_use]
pub fn relays<'a>(view: &'a View, zone: &str) -> Vec<&'a str> {
    let present = view.members.iter().filter(|member| {
        member.zone == zone && !matches!(member.state, MemberState::Left | MemberState::Dead)
    });
    let mut ranked: Vec<(u64, &str)> = present
        .map(|member| (xxh3_64(member.node_id.as_bytes()), member.node_id.as_str()))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(RELAY_COUNT);
    ranked.into_iter().map(|(_, node_id)| node_id).collect()
}

/// Rank of a member among the relays of its zone, 0 first.
///
/// A node that its own view does not hold (yet) looks by itself.
#[must_use]
pub fn relay_rank(view: &View, zone: &str, node_id: &str) -> Option<usize> {
    if view.member(node_id).is_none() {
        return Some(0);
    }
    relays(view, zone)
        .iter()
        .position(|relay| *relay == node_id)
}
