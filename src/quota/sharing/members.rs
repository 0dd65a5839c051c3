//! Members that divide rates, and the number of those that share them.

use {
    crate::{
        membership::{Member, MemberState, View, ViewChanges},
        quota::DIVIDER_COUNT,
    },
    std::{collections::HashMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// How long a member declared dead still owns its share. It may be alive behind
/// a partition and admit by its share; operators notice partitions that last
/// longer.
const DEAD_SHARE_US: u64 = 30_000_000;

/// Members that may divide, the preferred one first.
pub(super) fn divider_candidates(view: &View) -> Vec<Arc<Member>> {
    let usable = view.members.iter().filter(|member| member.is_usable());
    let mut preferred: Vec<(u64, &Arc<Member>)> = Vec::with_capacity(DIVIDER_COUNT + 1);
    for member in usable {
        let weight = xxh3_64(member.node_id.as_bytes());
        let index = preferred.partition_point(|(other, _)| *other < weight);
        preferred.insert(index, (weight, member));
        preferred.truncate(DIVIDER_COUNT);
    }
    let members = preferred.into_iter().map(|(_, member)| Arc::clone(member));
    members.collect()
}

/// Whether a change of the view may change the candidates: one of them changed
/// or is gone, or another member would precede the last of them.
pub(super) fn affects_candidates(changes: &ViewChanges<'_>, candidates: &[Arc<Member>]) -> bool {
    let Some(last) = candidates.get(DIVIDER_COUNT - 1) else {
        return true;
    };
    let last_weight = xxh3_64(last.node_id.as_bytes());
    let mut members = changes.changed.iter().chain(&changes.removed);
    members.any(|member| xxh3_64(member.node_id.as_bytes()) <= last_weight)
}

/// Counts the nodes that share each rate: all that may be admitting, whether
/// reachable or not.
#[derive(Debug, Default)]
pub(super) struct MemberCount {
    /// When each dead member was first seen dead.
    dead_since_us: HashMap<String, u64>,
}

impl MemberCount {
    /// `None` while no other node is known.
    pub(super) fn count(
        &mut self,
        view: &View,
        expected_count: Option<usize>,
        now_us: u64,
    ) -> Option<usize> {
        let is_dead = |member: &&Member| member.state == MemberState::Dead;
        let present_count = view
            .iter()
            .filter(|member| !matches!(member.state, MemberState::Left | MemberState::Dead))
            .count();
        self.dead_since_us
            .retain(|node_id, _| view.member(node_id).as_ref().is_some_and(is_dead));
        for member in view.iter().filter(is_dead) {
            let node_id = member.node_id.clone();
            self.dead_since_us.entry(node_id).or_insert(now_us);
        }
        let recently_dead = self.dead_since_us.values();
        let recently_dead = recently_dead.filter(|since_us| now_us < **since_us + DEAD_SHARE_US);
        let seen_count = present_count + recently_dead.count();
        // `expected_count` applies only until gossip has met the fleet: a node
        // that starts alone would otherwise use the whole rate.
        match expected_count {
            Some(expected_count) if now_us < DEAD_SHARE_US => Some(seen_count.max(expected_count)),
            None if seen_count < 2 => None,
            Some(_) | None => Some(seen_count),
        }
    }
}
