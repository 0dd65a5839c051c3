//! Dissemination: updates piggybacked on packets, full-table sync and key
//! revocations.

use {
    super::{
        Liveness, Outgoing, Packet, PacketKind, Record, Swim, swim::ProbeCause, updates::Scope,
    },
    crate::keys::KeyDigest,
    rand::{Rng, seq::IndexedRandom},
    std::net::SocketAddr,
};

/// Number of own-zone members that are notified at once of a new document
/// version, a change of the own record or a revocation.
const NOTIFY_FAN_OUT: usize = 4;

/// Number of members of the own zone, and of other zones, that receive urgent
/// updates in each tick.
const SAME_ZONE_URGENT_RECEIVER_COUNT: usize = 2;
const OTHER_ZONE_URGENT_RECEIVER_COUNT: usize = 1;

/// Maximum number of updates per packet.
const UPDATES_PER_PACKET: usize = 8;

/// Maximum number of digests per packet, and how often each digest is sent.
const REVOCATIONS_PER_PACKET: usize = 8;
const REVOCATION_SENDS: u32 = 12;

/// Minimum time between two sync requests while tables differ.
const SYNC_PERIOD_MS: u64 = 10_000;

/// How long acks must show different tables before a sync is requested. The
/// update of a join or a death takes a few seconds to arrive; without the wait
/// every node would request the whole table after each one.
const SYNC_DELAY_MS: u64 = 4_000;

/// Maximum number of members that are sent the whole table at a time. Others
/// receive a few records, by which they find more members to request from.
/// Otherwise a fleet that starts as a whole would wait for one seed to send its
/// table to every node.
const MAX_SYNC_RECEIVER_COUNT: usize = 8;

/// Records per sync part.
const RECORDS_PER_SYNC_PART: usize = 6;

impl Swim {
    pub(super) fn notify_random_members<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let zone = self.own_record.zone.clone();
        let mut keys = self.random_keys(NOTIFY_FAN_OUT, rng, |record| record.zone == zone);
        keys.extend(self.random_keys(2, rng, |record| record.zone != zone));
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
        let zone = self.own_record.zone.clone();
        for (scope, receiver_count) in [
            (Scope::SameZone, SAME_ZONE_URGENT_RECEIVER_COUNT),
            (Scope::OtherZone, OTHER_ZONE_URGENT_RECEIVER_COUNT),
        ] {
            if !self.table.has_urgent_updates(scope) {
                continue;
            }
            let is_same_zone = scope == Scope::SameZone;
            let members = self.random_addresses(receiver_count, rng, |record| {
                (record.zone == zone) == is_same_zone
            });
            for to in members {
                let packet = self.build_packet(PacketKind::Updates, 0, scope, now_ms);
                out.push(Outgoing { to, packet });
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
    fn packet_without_updates(&self, kind: PacketKind, sequence: u64, now_ms: u64) -> Packet {
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

    pub(super) fn sync_if_different(
        &mut self,
        packet: &Packet,
        now_ms: u64,
        out: &mut Vec<Outgoing>,
    ) {
        if packet.table_hash == self.table.hash(&self.own_record) {
            self.tables_differ_since_ms = None;
            return;
        }
        let differ_since_ms = *self.tables_differ_since_ms.get_or_insert(now_ms);
        // A joining node must know the others at once: it would regard owners
        // that it does not know as gone and suspect their slots.
        let is_due = self.last_sync_request_ms.is_none_or(|requested_ms| {
            now_ms >= requested_ms + SYNC_PERIOD_MS && now_ms >= differ_since_ms + SYNC_DELAY_MS
        });
        if is_due {
            self.last_sync_request_ms = Some(now_ms);
            let to = packet.sender.gossip_address();
            let scope = self.table.scope_of(&packet.sender.zone);
            let packet = self.build_packet(PacketKind::SyncRequest, 0, scope, now_ms);
            out.push(Outgoing { to, packet });
        }
    }

    // A joining node must receive all keys that were revoked on nodes directly:
    // while the platform is down it has no other source, and would accept a
    // revoked key again.
    pub(super) fn queue_sync_parts<R: Rng>(&mut self, to: SocketAddr, now_ms: u64, rng: &mut R) {
        // Requested again before the first response was sent: the parts would
        // be the same.
        if self.sync_parts.iter().any(|part| part.to == to) {
            return;
        }
        let mut records: Vec<Record> = self
            .table
            .iter()
            .map(|(_, entry)| entry.record.clone())
            .collect();
        if self.sync_receiver_count() >= MAX_SYNC_RECEIVER_COUNT {
            let sample = records.choose_multiple(rng, RECORDS_PER_SYNC_PART);
            records = sample.cloned().collect();
        }
        let digests: Vec<KeyDigest> = self.revocations.iter().map(|(digest, _)| *digest).collect();
        let part_count = records
            .len()
            .div_ceil(RECORDS_PER_SYNC_PART)
            .max(digests.len().div_ceil(REVOCATIONS_PER_PACKET))
            .max(1);
        for index in 0..part_count {
            let packet = Packet {
                updates: chunk(&records, index, RECORDS_PER_SYNC_PART),
                revocations: chunk(&digests, index, REVOCATIONS_PER_PACKET),
                ..self.packet_without_updates(PacketKind::SyncPart, 0, now_ms)
            };
            self.sync_parts.push(Outgoing { to, packet });
        }
    }

    /// Number of members that wait for sync parts.
    fn sync_receiver_count(&self) -> usize {
        let mut receivers: Vec<SocketAddr> = self.sync_parts.iter().map(|part| part.to).collect();
        receivers.dedup();
        receivers.len()
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

fn chunk<T: Clone>(items: &[T], index: usize, length: usize) -> Vec<T> {
    items
        .chunks(length)
        .nth(index)
        .map(<[T]>::to_vec)
        .unwrap_or_default()
}
