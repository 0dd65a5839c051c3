//! Selects the nodes that hold the token pool of a workspace.

use {
    crate::membership::{Member, View},
    xxhash_rust::xxh3::xxh3_64,
};

/// Nodes to borrow from, in order: the pool node among all usable members, then
/// the one in this node's zone if it is another. Nodes with the same view make
/// the same choice.
#[must_use]
pub fn pool_nodes<'a>(view: &'a View, workspace: &str, own_zone: &str) -> Vec<&'a Member> {
    let weight = |member: &&Member| {
        let hashed_text = format!("{workspace} {}", member.node_id);
        xxh3_64(hashed_text.as_bytes())
    };
    let usable = view.iter().filter(|member| member.is_usable());
    let first = usable.clone().max_by_key(weight);
    let zone_members = usable.filter(|member| member.zone == own_zone);
    let second = zone_members.max_by_key(weight);
    let second = second.filter(|second| first.is_none_or(|first| first.node_id != second.node_id));
    first.into_iter().chain(second).collect()
}
