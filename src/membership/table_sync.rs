//! Transfers of the whole table between members whose tables differ.

use {
    super::{
        Outgoing, Packet, PacketKind, Record, Swim, dissemination::REVOCATIONS_PER_PACKET,
        table::MemberKey, updates::Scope,
    },
    rand::{Rng, seq::IndexedRandom},
    std::net::SocketAddr,
};

/// Minimum time between two sync requests while tables differ.
const SYNC_PERIOD_MS: u64 = 10_000;

/// How long acks must show different tables before a sync is requested. The
/// update of a join or a death takes a few seconds to arrive; without the wait
/// every node would request the whole table after each one.
const SYNC_DELAY_MS: u64 = 4_000;

/// Time after the start in which this node asks members of its own zone for the
/// table more often. In a fleet that starts as a whole, a member that has just
/// received the table is the next one to give it.
const JOINING_MS: u64 = 15_000;
/// Minimum time between two sync requests in that time.
const JOINING_SYNC_PERIOD_MS: u64 = 1_000;

/// Maximum number of sync parts sent between two ticks. When a whole fleet
/// starts, many nodes request the tables of a few members.
pub(super) const SYNC_PARTS_PER_TICK: usize = 16;

/// Maximum number of members that are sent the whole table at a time. Others
/// receive a few records, by which they find more members to request from.
/// Otherwise a fleet that starts as a whole would wait for one seed to send its
/// table to every node.
const MAX_SYNC_RECEIVER_COUNT: usize = 8;

/// Records per sync part.
const RECORDS_PER_SYNC_PART: usize = 10;

/// The rest of a table that is being sent to one member. Each part is built
/// when it is sent: it holds the records of that time, and a queued transfer
/// costs a key for each of them.
#[derive(Debug)]
pub struct SyncTransfer {
    to: SocketAddr,
    /// Members whose records are still to be sent, the first one last.
    keys: Vec<MemberKey>,
    /// Number of revoked keys sent so far.
    sent_revocation_count: usize,
}

impl Swim {
    /// Requests the table of the sender of this ack if it differs from the own
    /// one.
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
        let scope = self.table.scope_of(&packet.sender.zone);
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        let is_joining = scope == Scope::SameZone && now_ms < started_ms + JOINING_MS;
        // A joining node must know the others at once: it would regard owners
        // that it does not know as gone and suspect their slots.
        let is_due = self.last_sync_request_ms.is_none_or(|requested_ms| {
            let is_delayed = now_ms >= differ_since_ms + SYNC_DELAY_MS;
            match is_joining {
                true => now_ms >= requested_ms + JOINING_SYNC_PERIOD_MS,
                false => now_ms >= requested_ms + SYNC_PERIOD_MS && is_delayed,
            }
        });
        if is_due {
            self.last_sync_request_ms = Some(now_ms);
            let to = packet.sender.gossip_address();
            let packet = self.build_packet(PacketKind::SyncRequest, 0, scope, now_ms);
            out.push(Outgoing { to, packet });
        }
    }

    // A joining node must receive all keys that were revoked on nodes directly:
    // while the platform is down it has no other source, and would accept a
    // revoked key again.
    pub(super) fn queue_sync_transfer<R: Rng>(
        &mut self,
        to: SocketAddr,
        requester: &Record,
        rng: &mut R,
    ) {
        // Requested again before the first response was sent: it would be the
        // same.
        if self.sync_transfers.iter().any(|transfer| transfer.to == to) {
            return;
        }
        let entries = self.table.iter();
        let (same_zone, mut keys): (Vec<_>, Vec<_>) =
            entries.partition(|(_, entry)| entry.record.zone == requester.zone);
        // Taken from the end: the requester can serve its callers once it knows
        // the targets of its own zone.
        keys.extend(same_zone);
        let mut keys: Vec<MemberKey> = keys.into_iter().map(|(key, _)| key).collect();
        if self.sync_transfers.len() >= MAX_SYNC_RECEIVER_COUNT {
            let sample = keys.choose_multiple(rng, RECORDS_PER_SYNC_PART);
            keys = sample.copied().collect();
        }
        self.sync_transfers.push_back(SyncTransfer {
            to,
            keys,
            sent_revocation_count: 0,
        });
    }

    /// Allows the sync parts of one more tick and sends them.
    pub(super) fn continue_sync_transfers(&mut self, now_ms: u64, out: &mut Vec<Outgoing>) {
        self.sync_parts_left = SYNC_PARTS_PER_TICK;
        self.send_sync_parts(now_ms, out);
    }

    pub(super) fn send_sync_parts(&mut self, now_ms: u64, out: &mut Vec<Outgoing>) {
        while self.sync_parts_left > 0
            && let Some(mut transfer) = self.sync_transfers.pop_front()
        {
            self.sync_parts_left -= 1;
            let packet = self.next_sync_part(&mut transfer, now_ms);
            let to = transfer.to;
            out.push(Outgoing { to, packet });
            let is_finished = transfer.keys.is_empty()
                && transfer.sent_revocation_count >= self.revocations.len();
            if !is_finished {
                self.sync_transfers.push_front(transfer);
            }
        }
    }

    fn next_sync_part(&self, transfer: &mut SyncTransfer, now_ms: u64) -> Packet {
        let rest_count = transfer.keys.len().saturating_sub(RECORDS_PER_SYNC_PART);
        let keys = transfer.keys.drain(rest_count..).rev();
        let records = keys.filter_map(|key| self.table.get(key));
        let updates = records.map(|entry| entry.record.clone()).collect();
        let revocations = self.revocations.iter().skip(transfer.sent_revocation_count);
        let revocations: Vec<_> = revocations
            .take(REVOCATIONS_PER_PACKET)
            .map(|(digest, _)| *digest)
            .collect();
        transfer.sent_revocation_count += revocations.len();
        Packet {
            updates,
            revocations,
            ..self.packet_without_updates(PacketKind::SyncPart, 0, now_ms)
        }
    }
}
