//! Probing of members: selection, timing, and handling of missing acks.

use {
    super::{
        Liveness, Outgoing, PacketKind, RELAY_COUNT, Swim, SwimEvent,
        relays::relay_weight,
        swim::{Probe, ProbeCause},
        table::MemberKey,
        updates::Scope,
        zone_index::Among,
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

/// Mean number of members that ping a suspected one at each of a few ages of the
/// suspicion; all of them in smaller fleets. A refutation reaches the others by
/// updates.
const MEAN_SUSPECT_PING_COUNT: f64 = 32.0;

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
    // responds to every request. So some nodes ping the suspected member
    // themselves before declaring it dead; the ping contains the suspicion and
    // the ack refutes it.
    pub(super) fn ping_suspects<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let member_count = self.table.zones().member_count().max(1);
        let share = MEAN_SUSPECT_PING_COUNT / member_count as f64;
        for key in self.table.suspects_to_ping(now_ms) {
            if rng.random_bool(share.min(1.0)) {
                self.ping(key, ProbeCause::SuspicionCheck, now_ms, out);
            }
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
        let zone = Among::Zone(&entry.record.zone);
        if let Some(other) = self.table.zones().draw(zone, 1, rng).pop() {
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
        let mut helpers = self
            .table
            .zones()
            .draw(Among::All, INDIRECT_PROBE_COUNT + 1, rng);
        helpers.retain(|helper| *helper != subject);
        helpers.truncate(INDIRECT_PROBE_COUNT);
        for helper in self.addresses(&helpers) {
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
        let probes_relay = self.round.is_multiple_of(self.relay_probe_period_rounds());
        let own_zone = self.pick_in_own_zone(rng, probes_relay);
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

    fn pick_in_own_zone<R: Rng>(&self, rng: &mut R, prefers_relay: bool) -> Option<MemberKey> {
        if prefers_relay && let Some(relay) = self.pick_relay(rng) {
            return Some(relay);
        }
        let own_zone = Among::Zone(&self.own_record.zone);
        self.table.zones().draw(own_zone, 1, rng).pop()
    }

    fn relay_probe_period_rounds(&self) -> u64 {
        let member_count = self.table.zones().members(&self.own_record.zone).len();
        let round_count = member_count.div_ceil(MEMBERS_PER_RELAY_ROUND);
        u64::try_from(round_count.clamp(1, MAX_RELAY_PROBE_PERIOD_ROUNDS)).unwrap_or(1)
    }

    fn pick_relay<R: Rng>(&self, rng: &mut R) -> Option<MemberKey> {
        let members = self.table.zones().members(&self.own_record.zone);
        let records = members
            .iter()
            .filter_map(|key| Some((*key, &self.table.get(*key)?.record)));
        let mut candidates: Vec<(u64, MemberKey)> = records
            .map(|(key, record)| (relay_weight(&record.node_id), key))
            .collect();
        candidates.sort_unstable_by(|left, right| right.cmp(left));
        candidates.truncate(RELAY_COUNT);
        candidates.choose(rng).map(|(_, key)| *key)
    }

    /// Picks a member of each other zone whose turn it is in this round.
    // One probe per round would probe each of five other zones every five
    // seconds. A single lost datagram would let the zone's last reply exceed
    // the freshness limit, and a healthy node would regard itself as cut off
    // while the platform is down.
    pub(super) fn pick_other_zones<R: Rng>(&self, rng: &mut R) -> Vec<MemberKey> {
        let own_zone = self.own_record.zone.as_str();
        let zones = self.table.zones().zones();
        let zones: Vec<&str> = zones.filter(|zone| *zone != own_zone).collect();
        let probe_count = zones.len().div_ceil(ROUNDS_PER_ZONE_CYCLE);
        let zone_cycle = zones.iter().copied().cycle();
        let first = usize::try_from(self.round).unwrap_or(0) * probe_count;
        let first = first.checked_rem(zones.len()).unwrap_or(0);
        let due: Vec<&str> = zone_cycle.skip(first).take(probe_count).collect();
        due.into_iter()
            .filter_map(|zone| self.table.zones().draw(Among::Zone(zone), 1, rng).pop())
            .collect()
    }

    fn pick_dead<R: Rng>(&self, rng: &mut R) -> Option<MemberKey> {
        let gone = self.table.gone();
        let dead: Vec<MemberKey> = gone
            .filter(|(_, entry)| entry.record.liveness == Liveness::Dead)
            .map(|(key, _)| key)
            .collect();
        dead.choose(rng).copied()
    }

    /// Gossip addresses of some random members.
    pub(super) fn random_addresses<R: Rng>(
        &self,
        among: Among<'_>,
        count: usize,
        rng: &mut R,
    ) -> Vec<SocketAddr> {
        self.addresses(&self.table.zones().draw(among, count, rng))
    }

    fn addresses(&self, keys: &[MemberKey]) -> Vec<SocketAddr> {
        keys.iter()
            .filter_map(|key| self.table.get(*key))
            .map(|entry| entry.record.gossip_address())
            .collect()
    }
}
