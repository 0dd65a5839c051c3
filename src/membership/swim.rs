//! Failure detection and dissemination of membership updates. Pure state:
//! performs no I/O and reads no clock.

use {
    super::{
        Liveness, OwnState, Packet, PacketKind, PeerStamp, Record, View,
        joining::{JOIN_TICK_COUNT, SeedAddresses},
        probing::PROBE_PERIOD_MS,
        table::{MemberKey, MemberTable, Merge},
        table_sync::{SYNC_PARTS_PER_TICK, SyncTransfer},
        updates::Scope,
    },
    crate::{documents::Versions, keys::KeyDigest},
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
    },
};

/// A packet to send.
#[derives::value]
pub struct Outgoing {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The packet.
    pub packet: Packet,
}

/// What the protocol reports to other modules.
#[derives::value]
#[derive(Eq)]
pub enum SwimEvent {
    /// A member appeared or returned.
    Joined(String),
    /// A member is suspected: it does not respond.
    Suspected(String),
    /// A member was declared dead.
    Dead(String),
    /// A member left.
    Left(String),
    /// A member acknowledged a probe of this node.
    Stamp(PeerStamp),
    /// Keys that were revoked on another node.
    Revoked(Vec<KeyDigest>),
    /// A member holds documents with higher versions than this node.
    NewerVersions {
        /// Node id of the member.
        node_id: String,
        /// Versions that it holds.
        versions: Versions,
    },
}

/// Why a probe was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeCause {
    /// A probe round or notification of this node; without an ack the member is
    /// suspected.
    Regular,
    /// Another probe of the same availability zone was not acknowledged in
    /// time.
    ZoneRetry,
    /// The member is suspected; its ack refutes the suspicion.
    SuspicionCheck,
    /// Another module requested a stamp.
    StampRequest,
    /// Another member requested it with a ping request of this sequence.
    Indirect {
        requester: SocketAddr,
        sequence: u64,
    },
}

#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) sent_ms: u64,
    pub(super) subject: MemberKey,
    pub(super) indirect_requested: bool,
    pub(super) cause: ProbeCause,
}

/// Protocol state of one node.
#[derive(Debug)]
pub struct Swim {
    pub(super) own_record: Record,
    pub(super) own_state: OwnState,
    pub(super) table: MemberTable,
    pub(super) seeds: Vec<SocketAddr>,
    /// Seeds in the own availability zone.
    pub(super) same_zone_seeds: BTreeSet<SocketAddr>,
    pub(super) probes: BTreeMap<u64, Probe>,
    pub(super) next_sequence: u64,
    pub(super) round: u64,
    pub(super) next_round_ms: u64,
    /// When the first ack with a different table arrived.
    pub(super) started_ms: Option<u64>,
    pub(super) last_sync_request_ms: Option<u64>,
    /// When acks began to show a table hash other than this node's; `None`
    /// while the hashes are equal.
    pub(super) tables_differ_since_ms: Option<u64>,
    /// Keys revoked so far, in order of arrival, with the remaining sends.
    pub(super) revocations: Vec<(KeyDigest, u32)>,
    /// Tables that are being sent, one after the other.
    pub(super) sync_transfers: VecDeque<SyncTransfer>,
    /// Sync parts that may still be sent before the next tick.
    pub(super) sync_parts_left: usize,
    /// Remaining ticks in which this node requests members from seeds.
    pub(super) join_ticks_left: u32,
}

impl Swim {
    /// Creates the protocol state of the node with this record.
    #[must_use]
    pub fn new(own_record: Record, seeds: Vec<SocketAddr>) -> Self {
        let table = MemberTable::new(&own_record);
        Self {
            own_record,
            own_state: OwnState::default(),
            table,
            seeds,
            same_zone_seeds: BTreeSet::new(),
            probes: BTreeMap::new(),
            next_sequence: 1,
            round: 0,
            next_round_ms: 0,
            started_ms: None,
            last_sync_request_ms: None,
            tables_differ_since_ms: None,
            revocations: Vec::new(),
            sync_transfers: VecDeque::new(),
            sync_parts_left: SYNC_PARTS_PER_TICK,
            join_ticks_left: 0,
        }
    }

    /// Adds seed addresses; new ones are contacted from the next tick on.
    pub fn add_seeds(&mut self, seeds: &SeedAddresses) {
        self.same_zone_seeds.extend(&seeds.same_zone);
        for seed in seeds.same_zone.iter().chain(&seeds.other_zones) {
            if !self.seeds.contains(seed) && *seed != self.own_record.gossip_address() {
                self.seeds.push(*seed);
                self.join_ticks_left = JOIN_TICK_COUNT;
            }
        }
    }

    /// Sets what this node publishes about itself. A changed record or version
    /// is sent to a few members at once.
    pub fn set_own_state<R: Rng>(
        &mut self,
        own_state: OwnState,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let versions_changed = own_state.versions != self.own_state.versions;
        let liveness = if own_state.left {
            Liveness::Left
        } else {
            Liveness::Alive
        };
        let draining = own_state.draining || own_state.target.as_ref().is_some_and(|t| t.draining);
        let record_changed = self.own_record.target != own_state.target
            || self.own_record.draining != draining
            || self.own_record.liveness != liveness;
        self.own_state = own_state;
        if record_changed {
            self.own_record.target.clone_from(&self.own_state.target);
            self.own_record.draining = draining;
            self.own_record.liveness = liveness;
            self.own_record.incarnation += 1;
            self.table.mark_view_outdated();
        }
        if record_changed || versions_changed {
            self.notify_random_members(now_ms, rng, out);
        }
    }

    /// Disseminates revocations that an operator requested on this node.
    pub fn revoke<R: Rng>(
        &mut self,
        digests: &[KeyDigest],
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        if !self.add_revocations(digests).is_empty() {
            self.notify_random_members(now_ms, rng, out);
        }
    }

    /// Gossip address of a member, if it is known.
    #[must_use]
    pub fn gossip_address(&self, node_id: &str) -> Option<SocketAddr> {
        let entry = self.table.get(self.table.key(node_id)?)?;
        Some(entry.record.gossip_address())
    }

    /// The view of all members if anything changed since the last call.
    pub fn take_view(&mut self) -> Option<View> {
        self.table.take_view(&self.own_record)
    }

    /// Periodic work: sends probes, expires them, and sends queued updates and
    /// sync parts.
    pub fn tick<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        self.expire_probes(now_ms, rng, out, events);
        events.extend(self.table.tick(now_ms).into_iter().map(SwimEvent::Dead));
        self.ping_suspects(now_ms, rng, out);
        self.continue_sync_transfers(now_ms, out);
        self.send_urgent_updates(now_ms, rng, out);
        if self.join_ticks_left > 0 {
            self.join_ticks_left -= 1;
            self.join(now_ms, rng, out);
        }
        if now_ms >= self.next_round_ms {
            self.next_round_ms = now_ms + PROBE_PERIOD_MS;
            self.round += 1;
            self.start_round(now_ms, rng, out);
        }
    }

    /// Processes a packet received from this address.
    pub fn receive<R: Rng>(
        &mut self,
        packet: &Packet,
        sender_address: SocketAddr,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        if packet.sender.node_id == self.own_record.node_id {
            return;
        }
        let is_sync = packet.kind == PacketKind::SyncPart;
        self.merge_record(&packet.sender, false, now_ms, events);
        for update in &packet.updates {
            self.merge_record(update, is_sync, now_ms, events);
        }
        let new_revocations = self.add_revocations(&packet.revocations);
        if !new_revocations.is_empty() {
            events.push(SwimEvent::Revoked(new_revocations));
            self.notify_random_members(now_ms, rng, out);
        }
        if packet.versions.exceed(&self.own_state.versions) {
            let node_id = packet.sender.node_id.clone();
            events.push(SwimEvent::NewerVersions {
                node_id,
                versions: packet.versions,
            });
        }
        self.respond(packet, sender_address, now_ms, rng, out, events);
    }

    fn respond<R: Rng>(
        &mut self,
        packet: &Packet,
        sender_address: SocketAddr,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        match &packet.kind {
            PacketKind::Ping => {
                let scope = self.table.scope_of(&packet.sender.zone);
                let mut ack = self.build_packet(PacketKind::Ack, packet.sequence, scope, now_ms);
                self.attach_suspicion(&mut ack, &packet.sender.node_id);
                out.push(Outgoing {
                    to: sender_address,
                    packet: ack,
                });
            }
            PacketKind::Ack => self.process_ack(packet, now_ms, out, events),
            PacketKind::IndirectAck => {
                self.probes.remove(&packet.sequence);
            }
            PacketKind::PingRequest { subject } => {
                if let Some(key) = self.table.key(subject) {
                    let cause = ProbeCause::Indirect {
                        requester: sender_address,
                        sequence: packet.sequence,
                    };
                    self.ping(key, cause, now_ms, out);
                }
            }
            PacketKind::SyncRequest => {
                self.queue_sync_transfer(sender_address, &packet.sender, rng);
                self.send_sync_parts(now_ms, out);
            }
            PacketKind::SyncPart | PacketKind::Updates => {}
        }
    }

    fn process_ack(
        &mut self,
        packet: &Packet,
        now_ms: u64,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        let Some(probe) = self.probes.remove(&packet.sequence) else {
            return;
        };
        if let ProbeCause::Indirect {
            requester,
            sequence,
        } = probe.cause
        {
            let ack =
                self.build_packet(PacketKind::IndirectAck, sequence, Scope::OtherZone, now_ms);
            out.push(Outgoing {
                to: requester,
                packet: ack,
            });
        }
        // The age was correct when the member replied, which was after the
        // probe was sent. Computing it back from the send time makes the poll
        // look older than it is, never younger, however long the reply took.
        let platform_seen_ms = packet
            .platform_age_ms
            .and_then(|age_ms| probe.sent_ms.checked_sub(age_ms));
        events.push(SwimEvent::Stamp(PeerStamp {
            node_id: packet.sender.node_id.clone(),
            zone: packet.sender.zone.clone(),
            versions: packet.versions,
            platform_seen_ms,
            is_origin_failing: packet.is_origin_failing,
            probe_sent_ms: probe.sent_ms,
        }));
        self.sync_if_different(packet, now_ms, out);
        let is_same_zone = self.table.scope_of(&packet.sender.zone) == Scope::SameZone;
        if is_same_zone && self.tables_differ_since_ms.is_none() {
            self.table.drop_relaxed_updates();
        }
    }

    fn merge_record(
        &mut self,
        record: &Record,
        is_synced: bool,
        now_ms: u64,
        events: &mut Vec<SwimEvent>,
    ) {
        if record.node_id == self.own_record.node_id {
            self.refute(record);
            return;
        }
        let node_id = record.node_id.clone();
        let result = match is_synced {
            true => self.table.merge_synced(record, now_ms),
            false => self.table.merge(record, now_ms),
        };
        match result {
            Merge::Joined => events.push(SwimEvent::Joined(node_id)),
            Merge::LivenessChanged(Liveness::Suspect) => events.push(SwimEvent::Suspected(node_id)),
            Merge::LivenessChanged(Liveness::Dead) => events.push(SwimEvent::Dead(node_id)),
            Merge::LivenessChanged(Liveness::Left) => events.push(SwimEvent::Left(node_id)),
            Merge::Unchanged | Merge::Updated | Merge::LivenessChanged(Liveness::Alive) => {}
        }
    }

    // A node that was cut off or paused is suspected while it is alive. Without
    // a refutation it would receive no requests until it is restarted. Its
    // record with a higher incarnation replaces the suspicion on all nodes.
    fn refute(&mut self, record: &Record) {
        // The clock was set back since the previous process started. The
        // previous process's record would replace every record of this one
        // until the clock has caught up, and the target would receive no
        // requests.
        if record.started_unix_ms > self.own_record.started_unix_ms {
            self.own_record.started_unix_ms = record.started_unix_ms + 1;
            self.table.mark_view_outdated();
            return;
        }
        let is_about_this_process = record.started_unix_ms == self.own_record.started_unix_ms;
        if is_about_this_process && record.supersedes(&self.own_record) {
            self.own_record.incarnation = record.incarnation + 1;
            self.table.mark_view_outdated();
        }
    }
}
