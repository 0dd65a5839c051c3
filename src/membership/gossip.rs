//! Owns the gossip socket and drives the protocol.

use {
    super::{
        CodecError, Datagram, LivenessProbe, LivenessProbes, MemberPorts, MemberProbes,
        MemberQuery, OwnState, PacketCodec, PeerStamp, Record, SeedAddresses, Swim, SwimEvent,
        View, codec::MAX_DATAGRAM_BYTES, packet::Liveness, swim::Outgoing,
    },
    crate::{
        documents::Hint, event, events::Event, keys::KeyDigest, settings::Settings, timer::Timer,
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        net::UdpSocket,
        sync::{broadcast, mpsc, watch},
    },
    tokio_util::sync::CancellationToken,
};

/// Period at which the protocol checks its timers and queues.
const GOSSIP_TICK_MS: u64 = 100;

/// Minimum interval between two views, for each member in them. The work that
/// a view causes in other modules grows with its members, and a fleet that
/// starts changes with nearly every datagram: the interval bounds that work as a
/// share of time for any size of the fleet. The next tick publishes what is
/// left.
const VIEW_INTERVAL_PER_MEMBER_US: u64 = 50;

/// Stamps and revocations that a slow subscriber may lag behind.
const CHANNEL_LENGTH: usize = 1024;

/// Why gossip cannot start.
#[derive(Debug, thiserror::Error)]
pub enum GossipError {
    /// The socket cannot be bound.
    #[error("cannot bind the gossip socket to {address}: {source}")]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Inputs of gossip from other modules.
pub struct GossipInputs {
    /// What this node publishes about itself.
    pub own_state: watch::Receiver<OwnState>,
    /// Keys that operators revoked on this node.
    pub revocations: mpsc::Receiver<Vec<KeyDigest>>,
    /// Further seed addresses.
    pub seeds: mpsc::Receiver<SeedAddresses>,
    /// Receives hints that members hold newer documents.
    pub hints: mpsc::Sender<Hint>,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// Traffic of the gossip socket since the start.
#[derive(Debug, Default)]
pub struct GossipTraffic {
    /// Datagrams sent.
    pub sent_count: AtomicU64,
    /// Bytes in them.
    pub sent_bytes: AtomicU64,
    /// Received datagrams that were not valid packets of this fleet.
    pub rejected_count: AtomicU64,
}

/// Handle of the running gossip task.
#[derive(Debug, Clone)]
pub struct Gossip {
    /// All members.
    pub view: watch::Receiver<Arc<View>>,
    /// Stamps from members that acknowledged this node's probes.
    pub stamps: broadcast::Sender<PeerStamp>,
    /// Keys that were revoked on other nodes.
    pub revoked: broadcast::Sender<Vec<KeyDigest>>,
    /// Requests to single members.
    pub probes: MemberProbes,
    /// Traffic counters.
    pub traffic: Arc<GossipTraffic>,
}

impl Gossip {
    /// Binds the socket and starts a task that gossips until `shutdown`.
    pub async fn spawn(
        settings: &Settings,
        timer: Timer,
        inputs: GossipInputs,
        shutdown: CancellationToken,
    ) -> Result<Self, GossipError> {
        let address = SocketAddr::new(settings.ip, settings.gossip_port);
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| GossipError::Bind { address, source })?;
        let mut swim = Swim::new(
            own_record(settings, inputs.started_unix_ms),
            settings.seeds.clone(),
        );
        let view = swim.take_view().expect("a new table gives a view");
        let (view_sender, view) = watch::channel(Arc::new(view));
        let (probes, requests) = MemberProbes::new();
        let gossip = Self {
            view,
            probes,
            stamps: broadcast::channel(CHANNEL_LENGTH).0,
            revoked: broadcast::channel(CHANNEL_LENGTH).0,
            traffic: Arc::default(),
        };
        let task = GossipTask {
            socket,
            codec: PacketCodec::new(&settings.fleet_secret),
            swim,
            timer,
            liveness_probes: LivenessProbes::new(rand::random()),
            rng: StdRng::from_os_rng(),
            view: view_sender,
            gossip: gossip.clone(),
            hints: inputs.hints.clone(),
            next_view_us: 0,
        };
        tokio::spawn(task.run(inputs, requests, shutdown));
        Ok(gossip)
    }
}

fn own_record(settings: &Settings, started_unix_ms: u64) -> Record {
    Record {
        node_id: settings.node_id.clone(),
        ip: settings.reachable_ip(),
        ports: MemberPorts {
            peer: settings.peer_port,
            gossip: settings.gossip_port,
            rpc: settings.rpc_port,
            control: settings.control_port,
        },
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        started_unix_ms,
        incarnation: 0,
        liveness: Liveness::Alive,
        draining: false,
        target: None,
    }
}

struct GossipTask {
    socket: UdpSocket,
    codec: PacketCodec,
    swim: Swim,
    timer: Timer,
    liveness_probes: LivenessProbes,
    rng: StdRng,
    view: watch::Sender<Arc<View>>,
    gossip: Gossip,
    hints: mpsc::Sender<Hint>,
    next_view_us: u64,
}

impl GossipTask {
    async fn run(
        mut self,
        mut inputs: GossipInputs,
        mut requests: mpsc::Receiver<MemberQuery>,
        shutdown: CancellationToken,
    ) {
        let mut ticks = self.timer.subscribe(GOSSIP_TICK_MS);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut out = Vec::new();
        let mut events = Vec::new();
        loop {
            tokio::select! {
                () = shutdown.cancelled() => break,
                Some(tick) = ticks.next() => {
                    self.swim.tick(tick.now_ms(), &mut self.rng, &mut out, &mut events);
                }
                Ok(()) = inputs.own_state.changed() => {
                    let own = inputs.own_state.borrow_and_update().clone();
                    self.swim.set_own_state(own, self.timer.now_ms(), &mut self.rng, &mut out);
                    // Modules of this node must not learn later than others
                    // that it drains.
                    self.next_view_us = 0;
                }
                Some(digests) = inputs.revocations.recv() => {
                    self.swim.revoke(&digests, self.timer.now_ms(), &mut self.rng, &mut out);
                }
                Some(seeds) = inputs.seeds.recv() => self.swim.add_seeds(&seeds),
                Some(request) = requests.recv() => self.send_request(request, &mut out).await,
                received = self.socket.recv_from(&mut buffer) => {
                    // A send to a closed port is reported as an error of a
                    // later receive; it does not mean that this socket failed.
                    if let Ok((byte_count, sender_address)) = received {
                        self.receive(&buffer[..byte_count], sender_address, &mut out, &mut events).await;
                    }
                }
            }
            self.publish_events(&mut events);
            self.send(&mut out).await;
        }
    }

    async fn send_request(&mut self, request: MemberQuery, out: &mut Vec<Outgoing>) {
        let now_ms = self.timer.now_ms();
        match request {
            MemberQuery::Liveness(node_id) => {
                if let Some(to) = self.swim.gossip_address(&node_id) {
                    let probe = self.liveness_probes.request(node_id, now_ms);
                    self.send_liveness_probe(probe, to).await;
                }
            }
            MemberQuery::Reports(node_id, packet) => {
                if let Some(to) = self.swim.gossip_address(&node_id) {
                    let datagram = self.codec.encode_reports(&packet);
                    self.send_datagram(&datagram, to).await;
                }
            }
            MemberQuery::Stamp(node_id) => self.swim.request_stamp(&node_id, now_ms, out),
        }
    }

    async fn receive(
        &mut self,
        datagram: &[u8],
        sender_address: SocketAddr,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        match self.codec.decode(datagram) {
            Ok(Datagram::LivenessProbe(LivenessProbe::Question(number))) => {
                self.send_liveness_probe(LivenessProbe::Answer(number), sender_address)
                    .await;
            }
            Ok(Datagram::LivenessProbe(LivenessProbe::Answer(number))) => {
                if let Some(node_id) = self.liveness_probes.record_response(number) {
                    self.gossip.probes.record_response(node_id);
                }
            }
            Ok(Datagram::Reports(packet)) => self.gossip.probes.record_reports(packet),
            Ok(Datagram::Packet(packet)) => {
                let now_ms = self.timer.now_ms();
                self.swim
                    .receive(&packet, sender_address, now_ms, &mut self.rng, out, events);
            }
            Err(error) => self.reject(sender_address, &error),
        }
    }

    fn reject(&self, sender_address: SocketAddr, error: &CodecError) {
        self.gossip
            .traffic
            .rejected_count
            .fetch_add(1, Ordering::Relaxed);
        event!(
            Event::ContextForged,
            "gossip datagram from {sender_address} rejected: {error}"
        );
    }

    fn publish_events(&mut self, events: &mut Vec<SwimEvent>) {
        for swim_event in events.drain(..) {
            match swim_event {
                SwimEvent::Joined(node_id) => event!(Event::MemberJoined, "node={node_id}"),
                SwimEvent::Suspected(node_id) => event!(Event::MemberSuspected, "node={node_id}"),
                SwimEvent::Dead(node_id) => event!(Event::MemberDead, "node={node_id}"),
                SwimEvent::Left(node_id) => event!(Event::MemberLeft, "node={node_id}"),
                // Sending fails if there are no subscribers.
                SwimEvent::Stamp(stamp) => drop(self.gossip.stamps.send(stamp)),
                SwimEvent::Revoked(digests) => drop(self.gossip.revoked.send(digests)),
                // A hint dropped because the channel is full is repeated with
                // the next packet.
                SwimEvent::NewerVersions { node_id, versions } => {
                    let _ = self.hints.try_send(Hint { node_id, versions });
                }
            }
        }
        self.publish_view();
    }

    fn publish_view(&mut self) {
        let now_us = self.timer.now_us();
        if now_us < self.next_view_us {
            return;
        }
        if let Some(view) = self.swim.take_view() {
            let member_count = u64::try_from(view.members.len()).unwrap_or(u64::MAX);
            self.next_view_us = now_us + member_count.saturating_mul(VIEW_INTERVAL_PER_MEMBER_US);
            self.view.send_replace(Arc::new(view));
        }
    }

    async fn send(&self, out: &mut Vec<Outgoing>) {
        for outgoing in out.drain(..) {
            let datagram = self.codec.encode(&outgoing.packet);
            self.send_datagram(&datagram, outgoing.to).await;
        }
    }

    async fn send_liveness_probe(&self, probe: LivenessProbe, to: SocketAddr) {
        let datagram = self.codec.encode_liveness_probe(probe);
        self.send_datagram(&datagram, to).await;
    }

    async fn send_datagram(&self, datagram: &[u8], to: SocketAddr) {
        let byte_count = u64::try_from(datagram.len()).unwrap_or(u64::MAX);
        self.gossip
            .traffic
            .sent_count
            .fetch_add(1, Ordering::Relaxed);
        self.gossip
            .traffic
            .sent_bytes
            .fetch_add(byte_count, Ordering::Relaxed);
        // The protocol tolerates lost datagrams.
        let _ = self.socket.send_to(datagram, to).await;
    }
}
