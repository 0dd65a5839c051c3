//! Owns the gossip socket and drives the protocol.

use {
    super::{
        CodecError, Datagram, LifeCheck, LifeChecks, MemberPorts, MemberProbes, MemberQuestion,
        OwnState, PacketCodec, PeerStamp, Record, SeedAddresses, Swim, SwimEvent, View,
        codec::MAX_DATAGRAM_BYTES, packet::Liveness, swim::Outgoing,
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

/// Time between looks at probes and queues.
const GOSSIP_TICK_MS: u64 = 100;

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
        /// What the system says.
        source: std::io::Error,
    },
}

/// What gossip takes from other parts.
pub struct GossipInputs {
    /// What this node tells about itself.
    pub own: watch::Receiver<OwnState>,
    /// Keys that operators revoked on this node.
    pub revocations: mpsc::Receiver<Vec<KeyDigest>>,
    /// Further addresses for the first contact.
    pub seeds: mpsc::Receiver<SeedAddresses>,
    /// Takes hints that members hold newer documents.
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
    /// Datagrams that were not valid packets of this fleet.
    pub rejected_count: AtomicU64,
}

/// Handle of the running gossip.
#[derive(Debug, Clone)]
pub struct Gossip {
    /// All members.
    pub view: watch::Receiver<Arc<View>>,
    /// Replies to own probes.
    pub stamps: broadcast::Sender<PeerStamp>,
    /// Keys that other nodes revoked.
    pub revoked: broadcast::Sender<Vec<KeyDigest>>,
    /// Questions to single members.
    pub probes: MemberProbes,
    /// Traffic counters.
    pub traffic: Arc<GossipTraffic>,
}

impl Gossip {
    /// Binds the socket and starts gossiping until `shutdown`.
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
        let (probes, questions) = MemberProbes::new();
        let gossip = Self {
            view,
            probes,
            stamps: broadcast::channel(CHANNEL_LENGTH).0,
            revoked: broadcast::channel(CHANNEL_LENGTH).0,
            traffic: Arc::default(),
        };
        let shell = Shell {
            socket,
            codec: PacketCodec::new(&settings.fleet_secret),
            swim,
            timer,
            life_checks: LifeChecks::new(rand::random()),
            rng: StdRng::from_os_rng(),
            view: view_sender,
            gossip: gossip.clone(),
            hints: inputs.hints.clone(),
        };
        tokio::spawn(shell.run(inputs, questions, shutdown));
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

struct Shell {
    socket: UdpSocket,
    codec: PacketCodec,
    swim: Swim,
    timer: Timer,
    life_checks: LifeChecks,
    rng: StdRng,
    view: watch::Sender<Arc<View>>,
    gossip: Gossip,
    hints: mpsc::Sender<Hint>,
}

impl Shell {
    async fn run(
        mut self,
        mut inputs: GossipInputs,
        mut questions: mpsc::Receiver<MemberQuestion>,
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
                Ok(()) = inputs.own.changed() => {
                    let own = inputs.own.borrow_and_update().clone();
                    self.swim.set_own_state(own, self.timer.now_ms(), &mut self.rng, &mut out);
                }
                Some(digests) = inputs.revocations.recv() => {
                    self.swim.revoke(&digests, self.timer.now_ms(), &mut self.rng, &mut out);
                }
                Some(seeds) = inputs.seeds.recv() => self.swim.add_seeds(&seeds),
                Some(question) = questions.recv() => self.ask(question, &mut out).await,
                received = self.socket.recv_from(&mut buffer) => {
                    // A send to a closed port comes back as an error of a
                    // later receive; it says nothing about this socket.
                    if let Ok((length, from)) = received {
                        self.receive(&buffer[..length], from, &mut out, &mut events).await;
                    }
                }
            }
            self.publish(&mut events);
            self.send(&mut out).await;
        }
    }

    async fn ask(&mut self, question: MemberQuestion, out: &mut Vec<Outgoing>) {
        let now_ms = self.timer.now_ms();
        match question {
            MemberQuestion::Lives(node_id) => {
                if let Some(to) = self.swim.gossip_address(&node_id) {
                    let check = self.life_checks.ask(node_id, now_ms);
                    self.send_life_check(check, to).await;
                }
            }
            MemberQuestion::Stamp(node_id) => self.swim.ask_stamp(&node_id, now_ms, out),
        }
    }

    async fn receive(
        &mut self,
        datagram: &[u8],
        from: SocketAddr,
        out: &mut Vec<Outgoing>,
        events: &mut Vec<SwimEvent>,
    ) {
        match self.codec.decode(datagram) {
            Ok(Datagram::LifeCheck(LifeCheck::Question(number))) => {
                self.send_life_check(LifeCheck::Answer(number), from).await;
            }
            Ok(Datagram::LifeCheck(LifeCheck::Answer(number))) => {
                if let Some(node_id) = self.life_checks.answered(number) {
                    self.gossip.probes.answered(node_id);
                }
            }
            Ok(Datagram::Packet(packet)) => {
                let now_ms = self.timer.now_ms();
                self.swim
                    .receive(&packet, from, now_ms, &mut self.rng, out, events);
            }
            Err(error) => self.reject(from, &error),
        }
    }

    fn reject(&self, from: SocketAddr, error: &CodecError) {
        self.gossip
            .traffic
            .rejected_count
            .fetch_add(1, Ordering::Relaxed);
        event!(
            Event::ContextForged,
            "gossip datagram from {from} rejected: {error}"
        );
    }

    fn publish(&mut self, events: &mut Vec<SwimEvent>) {
        for swim_event in events.drain(..) {
            match swim_event {
                SwimEvent::Joined(node_id) => event!(Event::MemberJoined, "node={node_id}"),
                SwimEvent::Suspected(node_id) => event!(Event::MemberSuspected, "node={node_id}"),
                SwimEvent::Dead(node_id) => event!(Event::MemberDead, "node={node_id}"),
                SwimEvent::Left(node_id) => event!(Event::MemberLeft, "node={node_id}"),
                // Without subscribers there is nobody to tell.
                SwimEvent::Stamp(stamp) => drop(self.gossip.stamps.send(stamp)),
                SwimEvent::Revoked(digests) => drop(self.gossip.revoked.send(digests)),
                // A hint that finds no room comes again with the next packet.
                SwimEvent::Newer { node_id, versions } => {
                    let _ = self.hints.try_send(Hint { node_id, versions });
                }
            }
        }
        if let Some(view) = self.swim.take_view() {
            self.view.send_replace(Arc::new(view));
        }
    }

    async fn send(&self, out: &mut Vec<Outgoing>) {
        for outgoing in out.drain(..) {
            let datagram = self.codec.encode(&outgoing.packet);
            self.send_datagram(&datagram, outgoing.to).await;
        }
    }

    async fn send_life_check(&self, check: LifeCheck, to: SocketAddr) {
        let datagram = self.codec.encode_life_check(check);
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
        // A lost datagram is what the protocol is made for.
        let _ = self.socket.send_to(datagram, to).await;
    }
}
