//! Selects the members that poll the platform for their availability zone.

use {
    super::{Member, MemberState, View},
    xxhash_rust::xxh3::xxh3_64,
};

/// Relays per availability zone; two, so that one may fail.
pub const RELAY_COUNT: usize = 2;

/// Relays of an availability zone, by rendezvous hashing of the node ids.
///
/// All nodes with the same view select the same relays. While views differ
/// there may be more, which costs some calls and is harmless.
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

/// Rank of a member among the relays of its availability zone, starting at 0;
/// `None` if it is not a relay.
///
/// A node that is not in its own view yet has rank 0 and polls by itself.
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
