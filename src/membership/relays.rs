//! Which members look at the platform for their availability zone.

use {
    super::{Member, MemberState, View},
    xxhash_rust::xxh3::xxh3_64,
};

/// Relays of each availability zone; two, so that one may fail.
pub const RELAY_COUNT: usize = 2;

/// Relays of this availability zone, by rendezvous hashing of the node ids.
///
/// All nodes with the same view choose the same ones. With different views
/// there may be more at a time, which costs some calls and harms nothing.
#[must_use]
pub fn relays<'a>(view: &'a View, zone: &str) -> Vec<&'a Member> {
    let mut candidates: Vec<&Member> = view
        .members
        .iter()
        .filter(|member| member.zone == zone && can_relay(member))
        .collect();
    candidates.sort_by_cached_key(|member| std::cmp::Reverse(xxh3_64(member.node_id.as_bytes())));
    candidates.truncate(RELAY_COUNT);
    candidates
}

/// Rank of a member among the relays of its availability zone, 0 first.
///
/// A node that its own view does not hold (yet) looks by itself.
#[must_use]
pub fn relay_rank(view: &View, zone: &str, node_id: &str) -> Option<usize> {
    if view.member(node_id).is_none() {
        return Some(0);
    }
    relays(view, zone)
        .iter()
        .position(|relay| relay.node_id == node_id)
}

const fn can_relay(member: &Member) -> bool {
    matches!(
        member.state,
        MemberState::Alive | MemberState::Suspect | MemberState::Draining
    )
}
