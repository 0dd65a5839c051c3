//! Probes: whom, when, and what follows when no ack comes.

use {
    super::{
        Liveness, Outgoing, PacketKind, Record, Swim, SwimEvent, View, is_relay, swim::Probe,
        table::MemberKey,
    },
    rand::{Rng, seq::IndexedRandom},
    std::{collections::HashSet, net::SocketAddr},
};

/// Time between probes of a member in the own availability zone; one in
/// another availability zone is probed as often.
pub const PROBE_PERIOD_MS: u64 = 1000;

/// Time for a direct ack before others are asked to probe.
pub const ACK_TIMEOUT_MS: u64 = 300;

/// Time for any ack before a member is suspected.
pub const PROBE_TIMEOUT_MS: u64 = 1000;

/// Members that are asked to probe on this node's behalf.
const INDIRECT_COUNT: usize = 3;

/// A relay is probed every round in zones of up to so many members, in larger
/// ones less often, so that its replies stay within its share of traffic. A
/// stamp of a look at the platform then takes one hop and not several.
const MEMBERS_PER_RELAY_ROUND: usize = 24;

/// Most rounds between two probes of a relay.
const MAX_RELAY_PROBE_PERIOD: usize = 4;

/// Every so many probe periods a gone member is probed: after a partition
/// nobody else would tell it that it was taken for dead.
const GONE_PROBE_PERIOD: u64 = 2;

/// Probe periods after the start in which an unknown seed is asked each time.
const EAGER_ROUNDS: u64 = 30;

/// Later on one is asked every so many probe periods: two halves of a fleet
/// that were apart for long would otherwise never meet.
const SEED_PERIOD: u64 = 5;

impl Swim {
    pub(super) fn expire_probes<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        let mut overdue = Vec::new();
        self.probes.retain(|sequence, probe| {
            let age_ms = now_ms.saturating_sub(probe.sent_ms);
            let keeps = age_ms < PROBE_TIMEOUT_MS;
            if !keeps || (age_ms >= ACK_TIMEOUT_MS && !probe.asked_others) {
                overdue.push((*sequence, probe.subject, !keeps, probe.on_behalf.is_some()));
                probe.asked_others = true;
            }
            keeps
        });
        for (sequence, subject, is_over, is_on_behalf) in overdue {
            if is_on_behalf {
                continue;
            }
            if !is_over {
                self.ask_others(sequence, subject, now_ms, rng, out);
            } else if self.table.suspect(subject, now_ms)
                && let Some(entry) = self.table.get(subject)
            {
                events.push(SwimEvent::Suspected(entry.record.node_id.clone()));
            }
        }
    }

    pub(super) fn ask_others<R: Rng>(
        &mut self,
        sequence: u64,
        subject: MemberKey,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(entry) = self.table.get(subject) else {
            return;
        };
        let subject_id = entry.record.node_id.clone();
        for helper in
            self.random_members(INDIRECT_COUNT, rng, |record| record.node_id != subject_id)
        {
            let kind = PacketKind::PingRequest {
                subject: subject_id.clone(),
            };
            let packet = self.packet(kind, sequence, now_ms);
            out.push(Outgoing { to: helper, packet });
        }
    }

    pub(super) fn start_round<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let zone = self.own.zone.clone();
        let probes_relay = self.round.is_multiple_of(self.relay_probe_period());
        let own_zone = self.pick(rng, |record| record.zone == zone, probes_relay);
        let other_zone = self.pick_other_zone(rng);
        let gone = if self.round.is_multiple_of(GONE_PROBE_PERIOD) {
            self.pick_gone(rng)
        } else {
            None
        };
        for subject in [own_zone, other_zone, gone].into_iter().flatten() {
            self.ping(subject, None, now_ms, out);
        }
        if self.round <= EAGER_ROUNDS || self.round.is_multiple_of(SEED_PERIOD) {
            self.contact_unknown_seed(now_ms, rng, out);
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
        let known: HashSet<SocketAddr> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.liveness <= Liveness::Suspect)
            .map(|(_, entry)| entry.record.gossip_address())
            .collect();
        let own = self.own.gossip_address();
        let is_unknown = |seed: &&SocketAddr| **seed != own && !known.contains(*seed);
        let unknown: Vec<SocketAddr> = self.seeds.iter().filter(is_unknown).copied().collect();
        if let Some(seed) = unknown.choose(rng) {
            let packet = self.packet(PacketKind::SyncRequest, 0, now_ms);
            out.push(Outgoing { to: *seed, packet });
        }
    }

    pub(super) fn ping(
        &mut self,
        subject: MemberKey,
        on_behalf: Option<(SocketAddr, u64)>,
        now_ms: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(entry) = self.table.get(subject) else {
            return;
        };
        let to = entry.record.gossip_address();
        let node_id = entry.record.node_id.clone();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let probe = Probe {
            sent_ms: now_ms,
            subject,
            asked_others: false,
            on_behalf,
        };
        self.probes.insert(sequence, probe);
        let mut packet = self.packet(PacketKind::Ping, sequence, now_ms);
        self.remind(&mut packet, &node_id);
        out.push(Outgoing { to, packet });
    }

    pub(super) fn pick<R: Rng>(
        &self,
        rng: &mut R,
        matches: impl Fn(&Record) -> bool,
        relays_only: bool,
    ) -> Option<MemberKey> {
        if relays_only && let Some(relay) = self.pick_relay(rng) {
            return Some(relay);
        }
        self.random_keys(1, rng, matches).pop()
    }

    pub(super) fn relay_probe_period(&self) -> u64 {
        let zone = self.own.zone.as_str();
        let members = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.zone == zone);
        let rounds = members.count().div_ceil(MEMBERS_PER_RELAY_ROUND);
        u64::try_from(rounds.clamp(1, MAX_RELAY_PROBE_PERIOD)).unwrap_or(1)
    }

    pub(super) fn pick_relay<R: Rng>(&self, rng: &mut R) -> Option<MemberKey> {
        let zone = self.own.zone.as_str();
        let members: Vec<_> = self
            .table
            .iter()
            .map(|(_, e)| e.record.to_member())
            .collect();
        let view = View { members };
        self.random_keys(1, rng, |record| is_relay(&view, zone, &record.node_id))
            .pop()
    }

    pub(super) fn pick_other_zone<R: Rng>(&self, rng: &mut R) -> Option<MemberKey> {
        let mut zones: Vec<&str> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.liveness <= Liveness::Suspect)
            .map(|(_, entry)| entry.record.zone.as_str())
            .filter(|zone| *zone != self.own.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        let index = usize::try_from(self.round).ok()?.checked_rem(zones.len())?;
        let zone = zones[index].to_owned();
        self.random_keys(1, rng, |record| record.zone == zone).pop()
    }

    pub(super) fn pick_gone<R: Rng>(&self, rng: &mut R) -> Option<MemberKey> {
        let gone: Vec<MemberKey> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.liveness == Liveness::Dead)
            .map(|(key, _)| key)
            .collect();
        gone.choose(rng).copied()
    }

    pub(super) fn random_keys<R: Rng>(
        &self,
        count: usize,
        rng: &mut R,
        matches: impl Fn(&Record) -> bool,
    ) -> Vec<MemberKey> {
        let candidates: Vec<MemberKey> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.liveness <= Liveness::Suspect)
            .filter(|(_, entry)| matches(&entry.record))
            .map(|(key, _)| key)
            .collect();
        candidates.choose_multiple(rng, count).copied().collect()
    }

    pub(super) fn random_members<R: Rng>(
        &self,
        count: usize,
        rng: &mut R,
        matches: impl Fn(&Record) -> bool,
    ) -> Vec<SocketAddr> {
        let keys = self.random_keys(count, rng, matches);
        keys.into_iter()
            .filter_map(|key| self.table.get(key))
            .map(|entry| entry.record.gossip_address())
            .collect()
    }
}
