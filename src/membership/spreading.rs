//! News on packets, synchronisation of whole tables, revocations.

use {
    super::{Liveness, Outgoing, Packet, PacketKind, Record, Swim, news::Reach, swim::ProbeCause},
    crate::keys::KeyDigest,
    rand::{Rng, seq::IndexedRandom},
    std::net::SocketAddr,
};

/// Members that hear at once of a new document version or revocation.
const FAN_OUT: usize = 4;

/// Members of the own zone, and of others, that get fresh news in each tick.
const NEAR_NEWS_COUNT: usize = 2;
const FAR_NEWS_COUNT: usize = 1;

/// Records that ride on one packet.
const NEWS_PER_PACKET: usize = 8;

/// Digests that ride on one packet, and how often each is sent.
const REVOCATIONS_PER_PACKET: usize = 8;
const REVOCATION_SENDS: u32 = 12;

/// Least time between two requests for all records, while tables differ.
const SYNC_PERIOD_MS: u64 = 10_000;

/// How long acks must show other tables before all records are asked for. News
/// of a joiner or a death is under way for a few seconds; without the wait
/// each one would have every node ask for the whole table.
const DIFFERENCE_MS: u64 = 4_000;

/// Members that get all records at a time. Others get a few, by which they
/// find more members to ask: a fleet that starts as a whole would otherwise
/// wait for one seed to send its table to everyone.
const MAX_SYNC_COUNT: usize = 8;

/// Records in one part of a synchronisation.
const RECORDS_PER_PART: usize = 6;

impl Swim {
    pub(super) fn tell_some<R: Rng>(&mut self, now_ms: u64, rng: &mut R, out: &mut Vec<Outgoing>) {
        let zone = self.own.zone.clone();
        let mut keys = self.random_keys(FAN_OUT, rng, |record| record.zone == zone);
        keys.extend(self.random_keys(2, rng, |record| record.zone != zone));
        for key in keys {
            self.ping(key, ProbeCause::Own, now_ms, out);
        }
    }

    /// Passes on what has just been heard, apart from the rounds: until all know
    /// that a target leaves, requests are sent there and refused.
    pub(super) fn spread_fresh_news<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let zone = self.own.zone.clone();
        for (reach, member_count) in [(Reach::Near, NEAR_NEWS_COUNT), (Reach::Far, FAR_NEWS_COUNT)]
        {
            if !self.table.has_fresh_news(reach) {
                continue;
            }
            let is_near = reach == Reach::Near;
            let members =
                self.random_members(member_count, rng, |record| (record.zone == zone) == is_near);
            for to in members {
                let packet = self.packet(PacketKind::News, 0, reach, now_ms);
                out.push(Outgoing { to, packet });
            }
        }
    }

    pub(super) fn packet(
        &mut self,
        kind: PacketKind,
        sequence: u64,
        reach: Reach,
        now_ms: u64,
    ) -> Packet {
        let mut revocations = Vec::new();
        let fresh = self
            .revocations
            .iter_mut()
            .filter(|(_, sends_left)| *sends_left > 0);
        for (digest, sends_left) in fresh.take(REVOCATIONS_PER_PACKET) {
            *sends_left -= 1;
            revocations.push(*digest);
        }
        Packet {
            updates: self.table.take_news(NEWS_PER_PACKET, reach),
            revocations,
            ..self.packet_without_news(kind, sequence, now_ms)
        }
    }

    /// A packet that uses up none of the sends of news.
    fn packet_without_news(&self, kind: PacketKind, sequence: u64, now_ms: u64) -> Packet {
        let seen_ms = self.state.platform_seen_ms;
        Packet {
            sender: self.own.clone(),
            sequence,
            kind,
            versions: self.state.versions,
            platform_age_ms: seen_ms.map(|seen_ms| now_ms.saturating_sub(seen_ms)),
            is_origin_failing: self.state.is_origin_failing,
            table_hash: self.table.hash(&self.own),
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
        if packet.table_hash == self.table.hash(&self.own) {
            self.differs_since_ms = None;
            return;
        }
        let since_ms = *self.differs_since_ms.get_or_insert(now_ms);
        // A joiner has to know the others at once: it would take owners that
        // it has not heard of for gone, and suspect their slots.
        let is_due = self.synced_ms.is_none_or(|synced_ms| {
            now_ms >= synced_ms + SYNC_PERIOD_MS && now_ms >= since_ms + DIFFERENCE_MS
        });
        if is_due {
            self.synced_ms = Some(now_ms);
            let to = packet.sender.gossip_address();
            let reach = self.table.reach(&packet.sender.zone);
            let packet = self.packet(PacketKind::SyncRequest, 0, reach, now_ms);
            out.push(Outgoing { to, packet });
        }
    }

    // A joiner has to learn all keys that were revoked on nodes directly:
    // with the platform down nothing else would tell it, and a revoked key
    // would work again at this node.
    pub(super) fn queue_parts<R: Rng>(&mut self, to: SocketAddr, now_ms: u64, rng: &mut R) {
        // Asked again before the first answer is out: the same parts twice.
        if self.parts.iter().any(|part| part.to == to) {
            return;
        }
        let mut records: Vec<Record> = self
            .table
            .iter()
            .map(|(_, entry)| entry.record.clone())
            .collect();
        if self.sync_count() >= MAX_SYNC_COUNT {
            let some = records.choose_multiple(rng, RECORDS_PER_PART);
            records = some.cloned().collect();
        }
        let digests: Vec<KeyDigest> = self.revocations.iter().map(|(digest, _)| *digest).collect();
        let part_count = records
            .len()
            .div_ceil(RECORDS_PER_PART)
            .max(digests.len().div_ceil(REVOCATIONS_PER_PACKET))
            .max(1);
        for index in 0..part_count {
            let packet = Packet {
                updates: chunk(&records, index, RECORDS_PER_PART),
                revocations: chunk(&digests, index, REVOCATIONS_PER_PACKET),
                ..self.packet_without_news(PacketKind::SyncPart, 0, now_ms)
            };
            self.parts.push(Outgoing { to, packet });
        }
    }

    /// Members that wait for parts.
    fn sync_count(&self) -> usize {
        let mut receivers: Vec<SocketAddr> = self.parts.iter().map(|part| part.to).collect();
        receivers.dedup();
        receivers.len()
    }

    // A member that is suspected or dead here must hear of it to refute.
    pub(super) fn remind(&self, packet: &mut Packet, node_id: &str) {
        let Some(entry) = self.table.key(node_id).and_then(|key| self.table.get(key)) else {
            return;
        };
        let is_doubted = entry.record.liveness != Liveness::Alive;
        if is_doubted && !packet.updates.contains(&entry.record) {
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
