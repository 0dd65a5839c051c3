//! Probes: whom, when, and what follows when no ack comes.

use {
    super::{
        Liveness, Outgoing, PacketKind, Record, Swim, SwimEvent, View,
        news::Reach,
        relays,
        swim::{Probe, ProbeCause},
        table::MemberKey,
    },
    rand::{Rng, seq::IndexedRandom},
    std::net::SocketAddr,
};

/// Time between probes of a member in the own availability zone.
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

/// Every other availability zone is probed about once in so many rounds,
/// however many there are, so that a probe may be lost before its last reply
/// is too old for freshness.
const ROUNDS_PER_ZONE_CYCLE: usize = 3;

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
                overdue.push((*sequence, probe.clone(), !keeps));
                probe.asked_others = true;
            }
            keeps
        });
        for (sequence, probe, is_over) in overdue {
            if probe.cause != ProbeCause::Own {
                continue;
            }
            if !is_over {
                self.ask_others(sequence, probe.subject, now_ms, rng, out);
                self.repeat_in_zone(probe.subject, now_ms, rng, out);
            } else if self.table.suspect(probe.subject, now_ms)
                && let Some(entry) = self.table.get(probe.subject)
            {
                events.push(SwimEvent::Suspected(entry.record.node_id.clone()));
            }
        }
    }

    // A suspicion and the word that refutes it travel as news, and both may be
    // lost: the suspected member never hears that it is doubted, or its answer
    // reaches only some. One would see a member that answers every request
    // taken for dead. So each node asks the member itself before it believes it
    // dead; the question names the suspicion and the ack refutes it.
    pub(super) fn ask_suspects(&mut self, now_ms: u64, out: &mut Vec<Outgoing>) {
        for key in self.table.due_suspects(now_ms) {
            self.ping(key, ProbeCause::Doubt, now_ms, out);
        }
    }

    /// Asks a member for a stamp, apart from the rounds.
    pub fn ask_stamp(&mut self, node_id: &str, now_ms: u64, out: &mut Vec<Outgoing>) {
        if let Some(key) = self.table.key(node_id) {
            self.ping(key, ProbeCause::Question, now_ms, out);
        }
    }

    // What others probe on this node's behalf brings no stamp. Two lost
    // datagrams in a row would let a zone's last reply grow too old, so
    // another member of the zone is asked directly, once.
    fn repeat_in_zone<R: Rng>(
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
            self.ping(other, ProbeCause::Repeat, now_ms, out);
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
            let packet = self.packet(kind, sequence, Reach::Far, now_ms);
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
        let other_zones = self.pick_other_zones(rng);
        let gone = if self.round.is_multiple_of(GONE_PROBE_PERIOD) {
            self.pick_gone(rng)
        } else {
            None
        };
        let subjects = own_zone.into_iter().chain(gone).chain(other_zones);
        for subject in subjects {
            self.ping(subject, ProbeCause::Own, now_ms, out);
        }
        if self.round <= EAGER_ROUNDS || self.round.is_multiple_of(SEED_PERIOD) {
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
        let reach = self.table.reach(&entry.record.zone);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let probe = Probe {
            sent_ms: now_ms,
            subject,
            asked_others: false,
            cause,
        };
        self.probes.insert(sequence, probe);
        let mut packet = self.packet(PacketKind::Ping, sequence, reach, now_ms);
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

    /// A member of each zone whose turn it is in this round.
    // One probe a round would ask each of five other zones every five seconds.
    // A single lost datagram would then let a zone's last reply grow older
    // than what freshness accepts, and a node that nothing is wrong with would
    // call itself cut off while the platform is down.
    pub(super) fn pick_other_zones<R: Rng>(&self, rng: &mut R) -> Vec<MemberKey> {
        let mut zones: Vec<&str> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.record.liveness <= Liveness::Suspect)
            .map(|(_, entry)| entry.record.zone.as_str())
            .filter(|zone| *zone != self.own.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        let probe_count = zones.len().div_ceil(ROUNDS_PER_ZONE_CYCLE);
        let turns = zones.iter().copied().cycle();
        let first = usize::try_from(self.round).unwrap_or(0) * probe_count;
        let first = first.checked_rem(zones.len()).unwrap_or(0);
        let due: Vec<&str> = turns.skip(first).take(probe_count).collect();
        due.into_iter()
            .filter_map(|zone| self.random_keys(1, rng, |record| record.zone == zone).pop())
            .collect()
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
