//! Dissemination: updates piggybacked on packets, full-table sync and key
//! revocations.

use {
    super::{
        Liveness, Outgoing, Packet, PacketKind, Swim, swim::ProbeCause, updates::Scope,
        zone_index::Among,
    },
    crate::keys::KeyDigest,
    rand::Rng,
};

/// Number of own-zone members that are notified at once of a new document
/// version, a change of the own record or a revocation.
const NOTIFY_FAN_OUT: usize = 4;

/// Number of members of the own zone, and of other zones, that receive urgent
/// updates in each tick, for a short queue and at most.
const SAME_ZONE_URGENT_RECEIVER_COUNTS: (usize, usize) = (2, 12);
const OTHER_ZONE_URGENT_RECEIVER_COUNTS: (usize, usize) = (1, 4);
/// Urgent updates for each of which one more member receives some per tick, so
/// that a queue of many empties in a time that grows slowly with its length.
const UPDATES_PER_URGENT_RECEIVER: usize = 50;

/// Maximum number of updates per packet. A packet of ten records with names of
/// usual length fits into one frame.
const UPDATES_PER_PACKET: usize = 10;

/// Maximum number of digests per packet, and how often each digest is sent.
pub(super) const REVOCATIONS_PER_PACKET: usize = 8;
const REVOCATION_SENDS: u32 = 12;

impl Swim {
    pub(super) fn notify_random_members<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let zone = &self.own_record.zone;
        let zones = self.table.zones();
        let mut keys = zones.draw(Among::Zone(zone), NOTIFY_FAN_OUT, rng);
        keys.extend(zones.draw(Among::OtherZones(zone), 2, rng));
        for key in keys {
            self.ping(key, ProbeCause::Regular, now_ms, out);
        }
    }

    /// Sends urgent updates outside the probe rounds: until all nodes know that
    /// a target is leaving, requests are still sent there and refused.
    pub(super) fn send_urgent_updates<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        for (scope, (min_count, max_count)) in [
            (Scope::SameZone, SAME_ZONE_URGENT_RECEIVER_COUNTS),
            (Scope::OtherZone, OTHER_ZONE_URGENT_RECEIVER_COUNTS),
        ] {
            let update_count = self.table.urgent_update_count(scope);
            if update_count == 0 {
                continue;
            }
            let receiver_count = min_count + update_count / UPDATES_PER_URGENT_RECEIVER;
            let receiver_count = receiver_count.min(max_count);
            let zone = &self.own_record.zone;
            let among = match scope {
                Scope::SameZone => Among::Zone(zone),
                Scope::OtherZone => Among::OtherZones(zone),
            };
            for to in self.random_addresses(among, receiver_count, rng) {
                let packet = self.build_packet(PacketKind::Updates, 0, scope, now_ms);
                if !packet.updates.is_empty() {
                    out.push(Outgoing { to, packet });
                }
            }
        }
    }

    pub(super) fn build_packet(
        &mut self,
        kind: PacketKind,
        sequence: u64,
        scope: Scope,
        now_ms: u64,
    ) -> Packet {
        let mut revocations = Vec::new();
        let pending = self
            .revocations
            .iter_mut()
            .filter(|(_, sends_left)| *sends_left > 0);
        for (digest, sends_left) in pending.take(REVOCATIONS_PER_PACKET) {
            *sends_left -= 1;
            revocations.push(*digest);
        }
        Packet {
            updates: self.table.take_updates(UPDATES_PER_PACKET, scope),
            revocations,
            ..self.packet_without_updates(kind, sequence, now_ms)
        }
    }

    /// Creates a packet without updates, which consumes none of their sends.
    pub(super) fn packet_without_updates(
        &self,
        kind: PacketKind,
        sequence: u64,
        now_ms: u64,
    ) -> Packet {
        let seen_ms = self.own_state.platform_seen_ms;
        Packet {
            sender: self.own_record.clone(),
            sequence,
            kind,
            versions: self.own_state.versions,
            platform_age_ms: seen_ms.map(|seen_ms| now_ms.saturating_sub(seen_ms)),
            is_origin_failing: self.own_state.is_origin_failing,
            table_hash: self.table.hash(&self.own_record),
            updates: Vec::new(),
            revocations: Vec::new(),
        }
    }

    pub(super) fn add_revocations(&mut self, digests: &[KeyDigest]) -> Vec<KeyDigest> {
        let mut added = Vec::new();
        for digest in digests {
            if !self.revocations.iter().any(|(known, _)| known == digest) {
                self.revocations.push((*digest, REVOCATION_SENDS));
                added.push(*digest);
            }
        }
        added
    }

    // A member that this node suspects or regards as dead must receive that
    // record to refute it.
    pub(super) fn attach_suspicion(&self, packet: &mut Packet, node_id: &str) {
        let Some(entry) = self.table.key(node_id).and_then(|key| self.table.get(key)) else {
            return;
        };
        let is_suspected = entry.record.liveness != Liveness::Alive;
        if is_suspected && !packet.updates.contains(&entry.record) {
            packet.updates.push(entry.record.clone());
        }
    }
}
