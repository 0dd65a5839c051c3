//! How a node finds the others when it starts.

use {
    super::{Liveness, Outgoing, PacketKind, Swim, news::Reach},
    rand::{
        Rng,
        seq::{IndexedRandom, SliceRandom},
    },
    std::{collections::HashSet, net::SocketAddr},
};

/// Ticks in which a node that got new seeds asks for members.
pub const JOIN_STEP_COUNT: u32 = 12;

/// Unknown seeds of the own zone, and of others, that are asked in one of them.
const NEAR_SEEDS_PER_STEP: usize = 4;
const FAR_SEEDS_PER_STEP: usize = 1;

/// Addresses for the first contact.
#[derives::value]
#[derive(Eq, Default)]
pub struct SeedAddresses {
    /// Members of the own availability zone.
    pub near: Vec<SocketAddr>,
    /// Members of other zones, and those whose zone is not known.
    pub far: Vec<SocketAddr>,
}

impl Swim {
    // After a loss of all processes everyone starts with an empty table. Were
    // one seed asked a round, callers would be refused for want of targets for
    // seconds while all targets stand idle. So several seeds are asked in each
    // tick, and a member that is known by then, which knows more than the seeds
    // did at first.
    pub(super) fn join<R: Rng>(&mut self, now_ms: u64, rng: &mut R, out: &mut Vec<Outgoing>) {
        let mut unknown = self.unknown_seeds();
        unknown.shuffle(rng);
        let (mut asked, mut far): (Vec<_>, Vec<_>) = unknown
            .into_iter()
            .partition(|seed| self.near_seeds.contains(seed));
        // What they answer is a whole table each, and traffic between zones is
        // paid for; the own zone knows the others too unless all start together.
        let has_near = !self.near_seeds.is_empty();
        asked.truncate(NEAR_SEEDS_PER_STEP);
        far.truncate(match has_near {
            true => FAR_SEEDS_PER_STEP,
            false => NEAR_SEEDS_PER_STEP,
        });
        asked.append(&mut far);
        let zone = self.own.zone.clone();
        let near = self.random_members(1, rng, |record| record.zone == zone);
        asked.extend(match near.is_empty() {
            true => self.random_members(1, rng, |_| true),
            false => near,
        });
        for to in asked {
            let packet = self.packet(PacketKind::SyncRequest, 0, Reach::Far, now_ms);
            out.push(Outgoing { to, packet });
        }
    }

    // Nodes that start together ask different seeds first. Each group would know
    // only its own members and take the others' slots for gone, until somebody
    // noticed that requests find half of the targets. So every seed that is not
    // a member yet is asked in its turn.
    pub(super) fn contact_unknown_seed<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        if let Some(seed) = self.unknown_seeds().choose(rng) {
            let packet = self.packet(PacketKind::SyncRequest, 0, Reach::Far, now_ms);
            out.push(Outgoing { to: *seed, packet });
        }
    }

    /// Seeds that are not members as far as is known.
    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let known: HashSet<SocketAddr> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.liveness <= Liveness::Suspect)
            .map(|(_, entry)| entry.record.gossip_address())
            .collect();
        let own = self.own.gossip_address();
        let is_unknown = |seed: &&SocketAddr| **seed != own && !known.contains(*seed);
        self.seeds.iter().filter(is_unknown).copied().collect()
    }
}
