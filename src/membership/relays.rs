//! Selects the members that poll the platform for their availability zone.

use {
    super::{Member, MemberState, View},
    std::{collections::BTreeMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Relays per availability zone; two, so that one may fail.
pub const RELAY_COUNT: usize = 2;

/// What a view says about one zone.
#[derive(Debug, Clone, Default)]
struct ZoneSummary {
    /// Relays with their weights, the first one first.
    relays: Vec<(u64, Arc<Member>)>,
    responsive_member_count: usize,
}

/// Summaries of all zones, made in one pass over the members. Several tasks ask
/// for the relays a few times a second.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneSummaries(BTreeMap<String, ZoneSummary>);

impl ZoneSummaries {
    pub(super) fn new(members: &[Arc<Member>]) -> Self {
        let mut zones: BTreeMap<String, ZoneSummary> = BTreeMap::new();
        for member in members {
            if !zones.contains_key(&member.zone) {
                zones.insert(member.zone.clone(), ZoneSummary::default());
            }
            if let Some(zone) = zones.get_mut(&member.zone) {
                zone.add(member);
            }
        }
        Self(zones)
    }
}

impl ZoneSummary {
    fn add(&mut self, member: &Arc<Member>) {
        self.responsive_member_count += usize::from(member.state == MemberState::Alive);
        if !can_relay(member) {
            return;
        }
        let weight = relay_weight(&member.node_id);
        let index = self.relays.partition_point(|(other, _)| *other >= weight);
        if index < RELAY_COUNT {
            self.relays.insert(index, (weight, Arc::clone(member)));
            self.relays.truncate(RELAY_COUNT);
        }
    }
}

/// Relays of an availability zone, by rendezvous hashing of the node ids.
///
/// All nodes with the same view select the same relays. While views differ
/// there may be more, which costs some calls and is harmless.
#[must_use]
pub fn relays<'a>(view: &'a View, zone: &str) -> Vec<&'a Member> {
    let zone = view.zones().0.get(zone);
    let relays = zone.into_iter().flat_map(|zone| &zone.relays);
    relays.map(|(_, member)| member.as_ref()).collect()
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

/// Number of members of an availability zone that respond to probes and do not drain.
#[must_use]
pub fn responsive_member_count(view: &View, zone: &str) -> usize {
    let zone = view.zones().0.get(zone);
    zone.map_or(0, |zone| zone.responsive_member_count)
}

/// Weight of a member among the candidates; those with the greatest are relays.
pub(super) fn relay_weight(node_id: &str) -> u64 {
    xxh3_64(node_id.as_bytes())
}

const fn can_relay(member: &Member) -> bool {
    matches!(
        member.state,
        MemberState::Alive | MemberState::Suspect | MemberState::Draining
    )
}
