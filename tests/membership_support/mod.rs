//! A fleet of gossiping nodes over an in-memory network with packet loss,
//! partitions and pauses.

#![allow(dead_code)]

use {
    dogwoodbridge::{
        documents::Versions,
        keys::KeyDigest,
        membership::{
            Liveness, MemberPorts, MemberState, Outgoing, OwnState, Packet, PacketKind, PeerStamp,
            Record, SeedAddresses, Swim, SwimEvent, View, relay_rank,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::HashSet,
        net::{IpAddr, Ipv4Addr, SocketAddr},
    },
};

pub const STEP_MS: u64 = 100;
/// Maximum number of seeds that a zone publishes.
const SEEDS_PER_ZONE: usize = 4;

pub fn record(node_id: &str, zone: u8, index: u8) -> Record {
    Record {
        node_id: node_id.to_owned(),
        ip: IpAddr::V4(Ipv4Addr::new(127, 1, zone, index)),
        ports: MemberPorts {
            peer: 7001,
            gossip: 7003,
            rpc: 7004,
            control: 7005,
        },
        region: "r1".to_owned(),
        zone: format!("z{zone}"),
        started_unix_ms: 1,
        incarnation: 0,
        liveness: Liveness::Alive,
        draining: false,
        target: None,
    }
}

/// A packet of this sender without updates.
pub fn empty_packet(sender: &Record) -> Packet {
    Packet {
        sender: sender.clone(),
        sequence: 0,
        kind: PacketKind::Updates,
        versions: Versions::default(),
        platform_age_ms: None,
        is_origin_failing: false,
        table_hash: 0,
        updates: Vec::new(),
        revocations: Vec::new(),
    }
}

pub struct SimulatedNode {
    pub swim: Swim,
    pub address: SocketAddr,
    pub zone: u8,
    pub view: View,
    pub stamps: Vec<PeerStamp>,
    pub revoked: Vec<KeyDigest>,
    /// State that it publishes about itself.
    pub state: OwnState,
    /// Highest versions that other members announced to it.
    pub announced_versions: Versions,
    pub is_up: bool,
}

impl SimulatedNode {
    pub fn zone_name(&self) -> String {
        format!("z{}", self.zone)
    }

    pub fn last_octet(&self) -> u8 {
        match self.address.ip() {
            IpAddr::V4(ip) => ip.octets()[3],
            IpAddr::V6(_) => unreachable!("all nodes have IPv4 addresses"),
        }
    }

    /// When the last probe was sent to which a member of the zone replied.
    pub fn last_replied_probe_ms(&self, zone: &str) -> Option<u64> {
        let stamps = self.stamps.iter().filter(|stamp| stamp.zone == zone);
        stamps.map(|stamp| stamp.probe_sent_ms).max()
    }
}

/// The seeds as a node of this zone reads them.
pub fn seeds_of_zone(seeds: &[(u8, SocketAddr)], zone: u8) -> SeedAddresses {
    let (same_zone, other_zones): (Vec<_>, Vec<_>) =
        seeds.iter().partition(|(other, _)| *other == zone);
    let addresses = |seeds: Vec<(u8, SocketAddr)>| seeds.into_iter().map(|(_, seed)| seed);
    SeedAddresses {
        same_zone: addresses(same_zone).collect(),
        other_zones: addresses(other_zones).collect(),
    }
}

/// A fleet whose datagrams arrive in the same step or never.
pub struct Fleet {
    pub nodes: Vec<SimulatedNode>,
    pub rng: StdRng,
    pub now_ms: u64,
    pub loss_ratio: f64,
    /// Pairs (sender, receiver) of zones between which datagrams are lost.
    pub blocked_links: HashSet<(u8, u8)>,
    pub sent_count: u64,
    /// Records in the packets that were sent.
    pub record_count: usize,
    /// Records in packets, other than sync parts, that left their zone.
    pub cross_zone_record_count: usize,
    pub sent: Vec<(u8, u8, Outgoing)>,
}

impl Fleet {
    pub fn new(zone_count: u8, nodes_per_zone: u8, seed: u64) -> Self {
        let first = record("n1-1", 1, 1).gossip_address();
        let mut nodes = Vec::new();
        for zone in 1..=zone_count {
            for index in 1..=nodes_per_zone {
                let own_record = record(&format!("n{zone}-{index}"), zone, index);
                let address = own_record.gossip_address();
                let seeds = if address == first {
                    Vec::new()
                } else {
                    vec![first]
                };
                nodes.push(SimulatedNode {
                    swim: Swim::new(own_record, seeds),
                    address,
                    zone,
                    view: View::default(),
                    stamps: Vec::new(),
                    revoked: Vec::new(),
                    state: OwnState::default(),
                    announced_versions: Versions::default(),
                    is_up: true,
                });
            }
        }
        Self {
            nodes,
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            loss_ratio: 0.0,
            blocked_links: HashSet::new(),
            sent_count: 0,
            record_count: 0,
            cross_zone_record_count: 0,
            sent: Vec::new(),
        }
    }

    /// A fleet that starts as a whole with the seeds that its zones published.
    pub fn started_with_zone_seeds(zone_count: u8, nodes_per_zone: u8, seed: u64) -> Self {
        let mut fleet = Self::new(zone_count, nodes_per_zone, seed);
        let seeds = fleet.zone_seeds();
        for node in &mut fleet.nodes {
            node.swim.add_seeds(&seeds_of_zone(&seeds, node.zone));
        }
        fleet
    }

    /// Seeds that each zone publishes for nodes that start.
    pub fn zone_seeds(&self) -> Vec<(u8, SocketAddr)> {
        let mut seeds = Vec::new();
        for node in &self.nodes {
            let zone = node.zone;
            if seeds.iter().filter(|(other, _)| *other == zone).count() < SEEDS_PER_ZONE {
                seeds.push((zone, node.address));
            }
        }
        seeds
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_up {
                let mut out = Vec::new();
                let mut events = Vec::new();
                let node = &mut self.nodes[index];
                node.swim
                    .tick(self.now_ms, &mut self.rng, &mut out, &mut events);
                self.take_events(index, events);
                self.deliver(index, out);
            }
        }
    }

    pub fn deliver(&mut self, sender: usize, out: Vec<Outgoing>) {
        let mut queue: Vec<(usize, Outgoing)> =
            out.into_iter().map(|outgoing| (sender, outgoing)).collect();
        while let Some((from, outgoing)) = queue.pop() {
            self.sent_count += 1;
            self.record_count += outgoing.packet.updates.len();
            let Some(to) = self
                .nodes
                .iter()
                .position(|node| node.address == outgoing.to)
            else {
                continue;
            };
            self.sent
                .push((self.nodes[from].zone, self.nodes[to].zone, outgoing.clone()));
            let is_cross_zone = self.nodes[from].zone != self.nodes[to].zone;
            if is_cross_zone && outgoing.packet.kind != PacketKind::SyncPart {
                self.cross_zone_record_count += outgoing.packet.updates.len();
            }
            let is_blocked = self
                .blocked_links
                .contains(&(self.nodes[from].zone, self.nodes[to].zone));
            if is_blocked || !self.nodes[to].is_up || self.rng.random_bool(self.loss_ratio) {
                continue;
            }
            let from_address = self.nodes[from].address;
            let mut replies = Vec::new();
            let mut events = Vec::new();
            let node = &mut self.nodes[to];
            node.swim.receive(
                &outgoing.packet,
                from_address,
                self.now_ms,
                &mut self.rng,
                &mut replies,
                &mut events,
            );
            self.take_events(to, events);
            queue.extend(replies.into_iter().map(|outgoing| (to, outgoing)));
        }
    }

    pub fn take_events(&mut self, index: usize, events: Vec<SwimEvent>) {
        let node = &mut self.nodes[index];
        for event in events {
            match event {
                SwimEvent::Stamp(stamp) => node.stamps.push(stamp),
                SwimEvent::Revoked(digests) => node.revoked.extend(digests),
                SwimEvent::NewerVersions { versions, .. }
                    if versions.exceed(&node.announced_versions) =>
                {
                    node.announced_versions = versions;
                }
                _ => {}
            }
        }
        if let Some(view) = node.swim.take_view() {
            node.view = view;
        }
    }

    /// Each node fetches the versions that were announced to it in the last
    /// step.
    pub fn fetch_versions(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.announced_versions.exceed(&node.state.versions) {
                let versions = node.announced_versions;
                let state = OwnState {
                    versions,
                    ..node.state.clone()
                };
                self.set_state(index, state);
            }
        }
    }

    /// First relays poll the platform; the others adopt the poll times in
    /// replies to their own probes.
    pub fn poll_and_propagate(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let (node_id, zone) = (
                format!("n{}-{}", node.zone, node.last_octet()),
                node.zone_name(),
            );
            let reported_ms = node
                .stamps
                .iter()
                .filter_map(|stamp| stamp.platform_seen_ms);
            let mut polled_ms = reported_ms.max().max(node.state.platform_seen_ms);
            let is_poll_due = self.now_ms.is_multiple_of(1_000);
            if is_poll_due && relay_rank(&node.view, &zone, &node_id) == Some(0) {
                polled_ms = Some(self.now_ms);
            }
            if polled_ms != node.state.platform_seen_ms {
                let state = OwnState {
                    platform_seen_ms: polled_ms,
                    ..node.state.clone()
                };
                self.set_state(index, state);
            }
        }
    }

    pub fn set_state(&mut self, index: usize, state: OwnState) {
        self.nodes[index].state = state.clone();
        let mut out = Vec::new();
        self.nodes[index]
            .swim
            .set_own_state(state, self.now_ms, &mut self.rng, &mut out);
        self.take_events(index, Vec::new());
        self.deliver(index, out);
    }

    /// Steps until the condition holds and returns the elapsed time; panics at
    /// the limit.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !condition(self) {
            assert!(
                self.now_ms - start_ms < limit_ms,
                "not reached within {limit_ms} ms"
            );
            self.step();
        }
        self.now_ms - start_ms
    }

    /// Node id of a node.
    pub fn node_id(&self, node: usize) -> String {
        let node = &self.nodes[node];
        format!("n{}-{}", node.zone, node.last_octet())
    }

    pub fn all_see_each_other(&self) -> bool {
        let count = self.nodes.iter().filter(|node| node.is_up).count();
        self.nodes.iter().filter(|node| node.is_up).all(|node| {
            node.view
                .members
                .iter()
                .filter(|member| member.state == MemberState::Alive)
                .count()
                == count
        })
    }

    pub fn member_state(&self, observer: usize, node_id: &str) -> Option<MemberState> {
        self.nodes[observer]
            .view
            .member(node_id)
            .map(|member| member.state)
    }
}
