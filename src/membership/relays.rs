//! Which members of an availability zone speak with the platform.

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
    candidates.sort_by_key(|member| std::cmp::Reverse(xxh3_64(member.node_id.as_bytes())));
    candidates.truncate(RELAY_COUNT);
    candidates
}

/// Whether the member of this name is a relay of this availability zone.
#[must_use]
pub fn is_relay(view: &View, zone: &str, node_id: &str) -> bool {
    relays(view, zone)
        .iter()
        .any(|member| member.node_id == node_id)
}

const fn can_relay(member: &Member) -> bool {
    matches!(
        member.state,
        MemberState::Alive | MemberState::Suspect | MemberState::Draining
    )
}
