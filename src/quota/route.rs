//! Which node is the bank of a workspace.

use {
    crate::membership::{Member, View},
    xxhash_rust::xxh3::xxh3_64,
};

/// Banks to ask in turn: the one of all usable members, then the one of the
/// own zone. Nodes that see the same members choose the same.
#[must_use]
pub fn banks<'a>(view: &'a View, workspace: &str, own_zone: &str) -> Vec<&'a Member> {
    let weight = |member: &&Member| {
        let pair = format!("{workspace} {}", member.node_id);
        xxh3_64(pair.as_bytes())
    };
    let usable = view.members.iter().filter(|member| member.is_usable());
    let first = usable.clone().max_by_key(weight);
    let mates = usable.filter(|member| member.zone == own_zone);
    let second = mates.max_by_key(weight);
    let second = second.filter(|second| first.is_none_or(|first| first.node_id != second.node_id));
    first.into_iter().chain(second).collect()
}
