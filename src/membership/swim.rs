//! Failure detection and spreading of news, without I/O and clock.

use {
    super::{
        Liveness, OwnState, Packet, PacketKind, PeerStamp, Record, View,
        joining::{JOIN_STEP_COUNT, SeedAddresses},
        news::Reach,
        probing::PROBE_PERIOD_MS,
        table::{MemberKey, MemberTable, Merge},
    },
    crate::{documents::Versions, keys::KeyDigest},
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Parts of synchronisations that are sent at most between two ticks. A fleet
/// that starts as a whole asks a few members for their tables.
const PARTS_PER_TICK: usize = 16;

/// A packet for the socket.
#[derives::value]
pub struct Outgoing {
    /// Where it goes.
    pub to: SocketAddr,
    /// What it says.
    pub packet: Packet,
}

/// What the shell tells other parts.
#[derives::value]
#[derive(Eq)]
pub enum SwimEvent {
    /// A member appeared or came back.
    Joined(String),
    /// A member does not answer.
    Suspected(String),
    /// A member is taken for dead.
    Dead(String),
    /// A member left.
    Left(String),
    /// A member replied to a probe.
    Stamp(PeerStamp),
    /// Keys that another node revoked.
    Revoked(Vec<KeyDigest>),
    /// A member holds documents of higher versions than this node.
    Newer {
        /// The member.
        node_id: String,
        /// Versions that it holds.
        versions: Versions,
    },
}

/// Why a probe was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeCause {
    /// The node's own rounds and news.
    Own,
    /// A probe of the same availability zone got no ack in time.
    Repeat,
    /// The member is suspected; its ack refutes the suspicion.
    Doubt,
    /// Another part of the node asked for a stamp.
    Question,
    /// Another member asked for it, with this sequence.
    OnBehalf { origin: SocketAddr, sequence: u64 },
}

#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) sent_ms: u64,
    pub(super) subject: MemberKey,
    pub(super) asked_others: bool,
    pub(super) cause: ProbeCause,
}

/// The protocol of one node.
#[derive(Debug)]
pub struct Swim {
    pub(super) own: Record,
    pub(super) state: OwnState,
    pub(super) table: MemberTable,
    pub(super) seeds: Vec<SocketAddr>,
    /// Those of the own zone.
    pub(super) near_seeds: BTreeSet<SocketAddr>,
    pub(super) probes: BTreeMap<u64, Probe>,
    pub(super) next_sequence: u64,
    pub(super) round: u64,
    pub(super) next_round_ms: u64,
    pub(super) synced_ms: Option<u64>,
    /// Since when acks have shown another table than the own one.
    pub(super) differs_since_ms: Option<u64>,
    /// Keys revoked so far, in order of arrival, with the sends left.
    pub(super) revocations: Vec<(KeyDigest, u32)>,
    /// Parts of a synchronisation that wait for their turn.
    pub(super) parts: Vec<Outgoing>,
    /// Parts that may still be sent before the next tick.
    parts_left: usize,
    /// Steps left in which this node joins a fleet.
    pub(super) join_steps_left: u32,
}

impl Swim {
    /// The protocol of the node with this record.
    #[must_use]
    pub fn new(own: Record, seeds: Vec<SocketAddr>) -> Self {
        let table = MemberTable::new(&own);
        Self {
            own,
            state: OwnState::default(),
            table,
            seeds,
            near_seeds: BTreeSet::new(),
            probes: BTreeMap::new(),
            next_sequence: 1,
            round: 0,
            next_round_ms: 0,
            synced_ms: None,
            differs_since_ms: None,
            revocations: Vec::new(),
            parts: Vec::new(),
            parts_left: PARTS_PER_TICK,
            join_steps_left: 0,
        }
    }

    /// Adds addresses for the first contact; those that are new are asked from
    /// the next tick on.
    pub fn add_seeds(&mut self, seeds: &SeedAddresses) {
        self.near_seeds.extend(&seeds.near);
        for seed in seeds.near.iter().chain(&seeds.far) {
            if !self.seeds.contains(seed) && *seed != self.own.gossip_address() {
                self.seeds.push(*seed);
                self.join_steps_left = JOIN_STEP_COUNT;
            }
        }
    }

    /// Takes over what this node says about itself. Higher versions are told
    /// to a few members at once.
    pub fn set_own_state<R: Rng>(
        &mut self,
        state: OwnState,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let has_newer_document = state.versions != self.state.versions;
        let liveness = if state.left {
            Liveness::Left
        } else {
            Liveness::Alive
        };
        let draining = state.draining || state.target.as_ref().is_some_and(|t| t.draining);
        let record_changed = self.own.target != state.target
            || self.own.draining != draining
            || self.own.liveness != liveness;
        self.state = state;
        if record_changed {
            self.own.target.clone_from(&self.state.target);
            self.own.draining = draining;
            self.own.liveness = liveness;
            self.own.incarnation += 1;
            self.table.mark_changed();
        }
        if record_changed || has_newer_document {
            self.tell_some(now_ms, rng, out);
        }
    }

    /// Spreads revocations that this node learnt from an operator.
    pub fn revoke<R: Rng>(
        &mut self,
        digests: &[KeyDigest],
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        if !self.add_revocations(digests).is_empty() {
            self.tell_some(now_ms, rng, out);
        }
    }

    /// Where gossip reaches a member.
    #[must_use]
    pub fn gossip_address(&self, node_id: &str) -> Option<SocketAddr> {
        let entry = self.table.get(self.table.key(node_id)?)?;
        Some(entry.record.gossip_address())
    }

    /// The members if anything changed since the last call.
    pub fn take_view(&mut self) -> Option<View> {
        self.table.take_view(&self.own)
    }

    /// Regular work: probes, time outs, pieces of synchronisations.
    pub fn tick<R: Rng>(
        &mut self,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        self.expire_probes(now_ms, rng, out, events);
        events.extend(self.table.tick(now_ms).into_iter().map(SwimEvent::Dead));
        self.ask_suspects(now_ms, out);
        self.parts_left = PARTS_PER_TICK;
        self.send_parts(out);
        self.spread_fresh_news(now_ms, rng, out);
        if self.join_steps_left > 0 {
            self.join_steps_left -= 1;
            self.join(now_ms, rng, out);
        }
        if now_ms >= self.next_round_ms {
            self.next_round_ms = now_ms + PROBE_PERIOD_MS;
            self.round += 1;
            self.start_round(now_ms, rng, out);
        }
    }

    /// Takes in a packet that came from `from`.
    pub fn receive<R: Rng>(
        &mut self,
        packet: &Packet,
        from: SocketAddr,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        if packet.sender.node_id == self.own.node_id {
            return;
        }
        let is_sync = packet.kind == PacketKind::SyncPart;
        self.merge(&packet.sender, false, now_ms, events);
        for update in &packet.updates {
            self.merge(update, is_sync, now_ms, events);
        }
        let new_revocations = self.add_revocations(&packet.revocations);
        if !new_revocations.is_empty() {
            events.push(SwimEvent::Revoked(new_revocations));
            self.tell_some(now_ms, rng, out);
        }
        if packet.versions.exceed(&self.state.versions) {
            let node_id = packet.sender.node_id.clone();
            events.push(SwimEvent::Newer {
                node_id,
                versions: packet.versions,
            });
        }
        self.answer(packet, from, now_ms, rng, out, events);
    }

    fn answer<R: Rng>(
        &mut self,
        packet: &Packet,
        from: SocketAddr,
        now_ms: u64,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        match &packet.kind {
            PacketKind::Ping => {
                let reach = self.table.reach(&packet.sender.zone);
                let mut ack = self.packet(PacketKind::Ack, packet.sequence, reach, now_ms);
                self.remind(&mut ack, &packet.sender.node_id);
                out.push(Outgoing {
                    to: from,
                    packet: ack,
                });
            }
            PacketKind::Ack => self.acked(packet, now_ms, out, events),
            PacketKind::IndirectAck => {
                self.probes.remove(&packet.sequence);
            }
            PacketKind::PingRequest { subject } => {
                if let Some(key) = self.table.key(subject) {
                    let cause = ProbeCause::OnBehalf {
                        origin: from,
                        sequence: packet.sequence,
                    };
                    self.ping(key, cause, now_ms, out);
                }
            }
            PacketKind::SyncRequest => {
                self.queue_parts(from, now_ms, rng);
                self.send_parts(out);
            }
            PacketKind::SyncPart | PacketKind::News => {}
        }
    }

    fn send_parts(&mut self, out: &mut Vec<Outgoing>) {
        let part_count = self.parts.len().min(self.parts_left);
        self.parts_left -= part_count;
        out.extend(self.parts.drain(..part_count));
    }

    fn acked(
        &mut self,
        packet: &Packet,
        now_ms: u64,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        let Some(probe) = self.probes.remove(&packet.sequence) else {
            return;
        };
        if let ProbeCause::OnBehalf { origin, sequence } = probe.cause {
            let ack = self.packet(PacketKind::IndirectAck, sequence, Reach::Far, now_ms);
            out.push(Outgoing {
                to: origin,
                packet: ack,
            });
        }
        // The age was right when the member replied, at some point after the
        // probe was sent. Counting it from the sending makes the stamp older
        // than it is, never younger, however long the reply was under way.
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
    }

    fn merge(
        &mut self,
        record: &Record,
        is_synced: bool,
        now_ms: u64,
        events: &mut Vec<SwimEvent>,
    ) {
        if record.node_id == self.own.node_id {
            self.refute(record);
            return;
        }
        let node_id = record.node_id.clone();
        let merged = match is_synced {
            true => self.table.merge_synced(record, now_ms),
            false => self.table.merge(record, now_ms),
        };
        match merged {
            Merge::Joined => events.push(SwimEvent::Joined(node_id)),
            Merge::Became(Liveness::Suspect) => events.push(SwimEvent::Suspected(node_id)),
            Merge::Became(Liveness::Dead) => events.push(SwimEvent::Dead(node_id)),
            Merge::Became(Liveness::Left) => events.push(SwimEvent::Left(node_id)),
            Merge::Known | Merge::Updated | Merge::Became(Liveness::Alive) => {}
        }
    }

    // A node that was cut off or paused is suspected while it lives. If it
    // kept silent it would get no work until it is restarted; with a higher
    // incarnation its own word beats the suspicion everywhere.
    fn refute(&mut self, record: &Record) {
        // The clock was set back since the process before this one started. Its
        // record would beat all that this one tells of itself until the clock
        // has caught up, and the target would get no work.
        if record.started_unix_ms > self.own.started_unix_ms {
            self.own.started_unix_ms = record.started_unix_ms + 1;
            self.table.mark_changed();
            return;
        }
        let is_about_this_process = record.started_unix_ms == self.own.started_unix_ms;
        if is_about_this_process && record.supersedes(&self.own) {
            self.own.incarnation = record.incarnation + 1;
            self.table.mark_changed();
        }
    }
}
