//! Probing of members: selection, timing, and handling of missing acks.

use {
    super::{
        Liveness, Outgoing, PacketKind, Record, Swim, SwimEvent, View, relays,
        swim::{Probe, ProbeCause},
        table::MemberKey,
        updates::Scope,
    },
    rand::{Rng, seq::IndexedRandom},
    std::net::SocketAddr,
};

/// Period of the probe rounds; each probes one member of the own availability
/// zone.
pub const PROBE_PERIOD_MS: u64 = 1000;

/// Time to wait for a direct ack before indirect probes are requested.
pub const ACK_TIMEOUT_MS: u64 = 300;

/// Time to wait for any ack before a member is suspected.
pub const PROBE_TIMEOUT_MS: u64 = 1000;

/// Number of members that are requested to probe indirectly.
const INDIRECT_PROBE_COUNT: usize = 3;

/// A relay is probed every round in zones of up to this many members, and less
/// often in larger ones, which bounds the traffic of its responses. The stamp
/// of a platform poll then takes one hop instead of several.
const MEMBERS_PER_RELAY_ROUND: usize = 24;

/// Maximum number of rounds between two probes of a relay.
const MAX_RELAY_PROBE_PERIOD_ROUNDS: usize = 4;

/// Each other availability zone is probed about once in this many rounds,
/// regardless of the number of zones, so that one lost probe does not let the
/// zone's last reply exceed the freshness limit.
const ROUNDS_PER_ZONE_CYCLE: usize = 3;

/// Rounds between probes of dead members. After a partition, only such a probe
/// notifies a member that it was declared dead.
const DEAD_PROBE_PERIOD_ROUNDS: u64 = 2;

/// Rounds after the start in which an unknown seed is contacted each time.
const INITIAL_SEED_ROUNDS: u64 = 30;

/// Rounds between contacts of an unknown seed after that. Without them, two
/// halves of a fleet that were partitioned for long would never rejoin.
const SEED_PERIOD_ROUNDS: u64 = 5;

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
            let is_pending = age_ms < PROBE_TIMEOUT_MS;
            if !is_pending || (age_ms >= ACK_TIMEOUT_MS && !probe.indirect_requested) {
                overdue.push((*sequence, probe.clone(), !is_pending));
                probe.indirect_requested = true;
            }
            is_pending
        });
        for (sequence, probe, has_expired) in overdue {
            if probe.cause != ProbeCause::Regular {
                continue;
            }
            if !has_expired {
                self.request_indirect_probes(sequence, probe.subject, now_ms, rng, out);
                self.probe_another_in_zone(probe.subject, now_ms, rng, out);
            } else if self.table.suspect(probe.subject, now_ms)
                && let Some(entry) = self.table.get(probe.subject)
            {
                events.push(SwimEvent::Suspected(entry.record.node_id.clone()));
            }
        }
    }

    // A suspicion and its refutation are sent as updates, and both may be lost:
    // the suspected member never receives the suspicion, or its refutation
    // reaches only some nodes. A node would then declare a member dead that
    // responds to every request. So each node pings the suspected member itself
    // before declaring it dead; the ping contains the suspicion and the ack
    // refutes it.
    pub(super) fn ping_suspects(&mut self, now_ms: u64, out: &mut Vec<Outgoing>) {
        for key in self.table.suspects_to_ping(now_ms) {
            self.ping(key, ProbeCause::SuspicionCheck, now_ms, out);
        }
    }

    /// Requests a stamp from a member, outside the probe rounds.
    pub fn request_stamp(&mut self, node_id: &str, now_ms: u64, out: &mut Vec<Outgoing>) {
        if let Some(key) = self.table.key(node_id) {
            self.ping(key, ProbeCause::StampRequest, now_ms, out);
        }
    }

    // Indirect probes return no stamp. Two lost datagrams in a row would let
    // the zone's last reply exceed the freshness limit, so another member of
    // the zone is probed directly, once.
    fn probe_another_in_zone<R: Rng>(
        &mut self,
        subject: MemberKey,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(entry) = self.table.get(subject) else {
            return;
        };
        let zone = entry.record.zone.clone();
        if let Some(other) = self.random_keys(1, rng, |record| record.zone == zone).pop() {
            self.ping(other, ProbeCause::ZoneRetry, now_ms, out);
        }
    }

    pub(super) fn request_indirect_probes<R: Rng>(
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
        for helper in self.random_addresses(INDIRECT_PROBE_COUNT, rng, |record| {
            record.node_id != subject_id
        }) {
            let kind = PacketKind::PingRequest {
                subject: subject_id.clone(),
            };
            let packet = self.build_packet(kind, sequence, Scope::OtherZone, now_ms);
            out.push(Outgoing { to: helper, packet });
        }
    }

    pub(super) fn start_round<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let zone = self.own_record.zone.clone();
        let probes_relay = self.round.is_multiple_of(self.relay_probe_period_rounds());
        let own_zone = self.pick_matching(rng, |record| record.zone == zone, probes_relay);
        let other_zones = self.pick_other_zones(rng);
        let dead = if self.round.is_multiple_of(DEAD_PROBE_PERIOD_ROUNDS) {
            self.pick_dead(rng)
        } else {
            None
        };
        let subjects = own_zone.into_iter().chain(dead).chain(other_zones);
        for subject in subjects {
            self.ping(subject, ProbeCause::Regular, now_ms, out);
        }
        if self.round <= INITIAL_SEED_ROUNDS || self.round.is_multiple_of(SEED_PERIOD_ROUNDS) {
            self.contact_unknown_seed(now_ms, rng, out);
        }
    }

    pub(super) fn ping(
        &mut self,
        subject: MemberKey,
        cause: ProbeCause,
        now_ms: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(entry) = self.table.get(subject) else {
            return;
        };
        let to = entry.record.gossip_address();
        let node_id = entry.record.node_id.clone();
        let scope = self.table.scope_of(&entry.record.zone);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let probe = Probe {
            sent_ms: now_ms,
            subject,
            indirect_requested: false,
            cause,
        };
        self.probes.insert(sequence, probe);
        let mut packet = self.build_packet(PacketKind::Ping, sequence, scope, now_ms);
        self.attach_suspicion(&mut packet, &node_id);
        out.push(Outgoing { to, packet });
    }

    pub(super) fn pick_matching<R: Rng>(
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

    pub(super) fn relay_probe_period_rounds(&self) -> u64 {
        let zone = self.own_record.zone.as_str();
        let members = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.zone == zone);
        let rounds = members.count().div_ceil(MEMBERS_PER_RELAY_ROUND);
        u64::try_from(rounds.clamp(1, MAX_RELAY_PROBE_PERIOD_ROUNDS)).unwrap_or(1)
    }

    pub(super) fn pick_relay<R: Rng>(&self, rng: &mut R) -> Option<MemberKey> {
        let zone = self.own_record.zone.as_str();
        let members = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.zone == zone)
            .map(|(_, entry)| entry.record.to_member());
        let view = View {
            members: members.collect(),
        };
        let relays = relays(&view, zone);
        self.random_keys(1, rng, |record| {
            relays.iter().any(|relay| relay.node_id == record.node_id)
        })
        .pop()
    }

    /// Picks a member of each other zone whose turn it is in this round.
    // One probe per round would probe each of five other zones every five
    // seconds. A single lost datagram would let the zone's last reply exceed
    // the freshness limit, and a healthy node would regard itself as cut off
    // while the platform is down.
    pub(super) fn pick_other_zones<R: Rng>(&self, rng: &mut R) -> Vec<MemberKey> {
        let mut zones: Vec<&str> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.liveness <= Liveness::Suspect)
            .map(|(_, entry)| entry.record.zone.as_str())
            .filter(|zone| *zone != self.own_record.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        let probe_count = zones.len().div_ceil(ROUNDS_PER_ZONE_CYCLE);
        let zone_cycle = zones.iter().copied().cycle();
        let first = usize::try_from(self.round).unwrap_or(0) * probe_count;
        let first = first.checked_rem(zones.len()).unwrap_or(0);
        let due: Vec<&str> = zone_cycle.skip(first).take(probe_count).collect();
        due.into_iter()
            .filter_map(|zone| self.random_keys(1, rng, |record| record.zone == zone).pop())
            .collect()
    }

    pub(super) fn pick_dead<R: Rng>(&self, rng: &mut R) -> Option<MemberKey> {
        let dead: Vec<MemberKey> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.liveness == Liveness::Dead)
            .map(|(key, _)| key)
            .collect();
        dead.choose(rng).copied()
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

    pub(super) fn random_addresses<R: Rng>(
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
