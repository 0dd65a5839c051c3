//! Discovery of the other members when a node starts.

use {
    super::{Liveness, Outgoing, PacketKind, Swim, updates::Scope, zone_index::Among},
    rand::{
        Rng,
        seq::{IndexedRandom, SliceRandom},
    },
    std::{collections::HashSet, net::SocketAddr},
};

/// Ticks for which a node that received new seeds requests members.
pub const JOIN_TICK_COUNT: u32 = 12;

/// Number of unknown seeds of the own zone, and of other zones, contacted per
/// tick.
const SAME_ZONE_SEEDS_PER_TICK: usize = 4;
const OTHER_ZONE_SEEDS_PER_TICK: usize = 1;

/// Seed addresses for the first contact.
#[derives::value]
#[derive(Eq, Default)]
pub struct SeedAddresses {
    /// Members of the own availability zone.
    pub same_zone: Vec<SocketAddr>,
    /// Members of other zones and members whose zone is unknown.
    pub other_zones: Vec<SocketAddr>,
}

impl Swim {
    // After all processes of a fleet were lost, every node starts with an empty
    // table. Contacting one seed per round would leave nodes without known
    // targets for seconds, so that callers are refused while all targets are
    // idle. Each tick therefore contacts several seeds and one known member,
    // which by then knows more than the seeds did at first.
    pub(super) fn join<R: Rng>(&mut self, now_ms: u64, rng: &mut R, out: &mut Vec<Outgoing>) {
        let mut unknown = self.unknown_seeds();
        unknown.shuffle(rng);
        let (mut receivers, mut other_zone_seeds): (Vec<_>, Vec<_>) = unknown
            .into_iter()
            .partition(|seed| self.same_zone_seeds.contains(seed));
        // Each response is a whole table, and traffic between zones is charged.
        // Members of the own zone know the others too unless all start
        // together.
        let has_same_zone_seeds = !self.same_zone_seeds.is_empty();
        receivers.truncate(SAME_ZONE_SEEDS_PER_TICK);
        other_zone_seeds.truncate(match has_same_zone_seeds {
            true => OTHER_ZONE_SEEDS_PER_TICK,
            false => SAME_ZONE_SEEDS_PER_TICK,
        });
        receivers.append(&mut other_zone_seeds);
        let own_zone = Among::Zone(&self.own_record.zone);
        let same_zone_member = self.random_addresses(own_zone, 1, rng);
        receivers.extend(match same_zone_member.is_empty() {
            true => self.random_addresses(Among::All, 1, rng),
            false => same_zone_member,
        });
        for to in receivers {
            let packet = self.build_packet(PacketKind::SyncRequest, 0, Scope::OtherZone, now_ms);
            out.push(Outgoing { to, packet });
        }
    }

    // Nodes that start together contact different seeds first. Each group would
    // know only its own members and regard the others' slots as gone, so that
    // requests reach only half of the targets. Every seed that is not yet a
    // member is therefore contacted in turn.
    pub(super) fn contact_unknown_seed<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        if let Some(seed) = self.unknown_seeds().choose(rng) {
            let packet = self.build_packet(PacketKind::SyncRequest, 0, Scope::OtherZone, now_ms);
            out.push(Outgoing { to: *seed, packet });
        }
    }

    /// Seeds that this node does not know as members.
    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let known: HashSet<SocketAddr> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.liveness <= Liveness::Suspect)
            .map(|(_, entry)| entry.record.gossip_address())
            .collect();
        let own_address = self.own_record.gossip_address();
        let is_unknown = |seed: &&SocketAddr| **seed != own_address && !known.contains(*seed);
        self.seeds.iter().filter(is_unknown).copied().collect()
    }
}
