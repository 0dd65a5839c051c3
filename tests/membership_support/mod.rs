//! A fleet of gossiping nodes over an in-memory network with losses, cuts and
//! pauses.

#![allow(dead_code)]

use {
    dogwoodbridge::{
        documents::Versions,
        keys::KeyDigest,
        membership::{
            Liveness, MemberPorts, MemberState, Outgoing, OwnState, PacketKind, PeerStamp, Record,
            SeedAddresses, Swim, SwimEvent, View, relay_rank,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::HashSet,
        net::{IpAddr, Ipv4Addr, SocketAddr},
    },
};

pub const STEP_MS: u64 = 100;
/// Seeds that a zone leaves for nodes that start.
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

pub struct Host {
    pub swim: Swim,
    pub address: SocketAddr,
    pub zone: u8,
    pub view: View,
    pub stamps: Vec<PeerStamp>,
    pub revoked: Vec<KeyDigest>,
    /// What it tells about itself.
    pub state: OwnState,
    /// Highest versions that it was told of.
    pub told: Versions,
    pub is_up: bool,
}

impl Host {
    pub fn zone_name(&self) -> String {
        format!("z{}", self.zone)
    }

    pub fn ip_end(&self) -> u8 {
        match self.address.ip() {
            IpAddr::V4(ip) => ip.octets()[3],
            IpAddr::V6(_) => unreachable!("all hosts have IPv4 addresses"),
        }
    }

    /// When the last probe was sent that a member of the zone answered.
    pub fn last_reply_ms(&self, zone: &str) -> Option<u64> {
        let stamps = self.stamps.iter().filter(|stamp| stamp.zone == zone);
        stamps.map(|stamp| stamp.probe_sent_ms).max()
    }
}

/// The seeds as a node of this zone reads them.
pub fn seeds_of_zone(seeds: &[(u8, SocketAddr)], zone: u8) -> SeedAddresses {
    let (near, far): (Vec<_>, Vec<_>) = seeds.iter().partition(|(other, _)| *other == zone);
    let addresses = |seeds: Vec<(u8, SocketAddr)>| seeds.into_iter().map(|(_, seed)| seed);
    SeedAddresses {
        near: addresses(near).collect(),
        far: addresses(far).collect(),
    }
}

/// A fleet whose datagrams arrive at the next step or never.
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub rng: StdRng,
    pub now_ms: u64,
    pub loss_ratio: f64,
    /// Pairs of zones of which the first is not heard by the second.
    pub cuts: HashSet<(u8, u8)>,
    pub sent_count: u64,
    /// Records in the packets that were sent.
    pub record_count: usize,
    /// Records of news in packets that left their zone.
    pub far_news_count: usize,
    pub sent: Vec<(u8, u8, Outgoing)>,
}

impl Fleet {
    pub fn new(zone_count: u8, per_zone: u8, seed: u64) -> Self {
        let first = record("n1-1", 1, 1).gossip_address();
        let mut hosts = Vec::new();
        for zone in 1..=zone_count {
            for index in 1..=per_zone {
                let own = record(&format!("n{zone}-{index}"), zone, index);
                let address = own.gossip_address();
                let seeds = if address == first {
                    Vec::new()
                } else {
                    vec![first]
                };
                hosts.push(Host {
                    swim: Swim::new(own, seeds),
                    address,
                    zone,
                    view: View::default(),
                    stamps: Vec::new(),
                    revoked: Vec::new(),
                    state: OwnState::default(),
                    told: Versions::default(),
                    is_up: true,
                });
            }
        }
        Self {
            hosts,
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            loss_ratio: 0.0,
            cuts: HashSet::new(),
            sent_count: 0,
            record_count: 0,
            far_news_count: 0,
            sent: Vec::new(),
        }
    }

    /// Nodes that start as a whole with the seeds that their zones left.
    pub fn started(zone_count: u8, per_zone: u8, seed: u64) -> Self {
        let mut fleet = Self::new(zone_count, per_zone, seed);
        let seeds = fleet.zone_seeds();
        for host in &mut fleet.hosts {
            host.swim.add_seeds(&seeds_of_zone(&seeds, host.zone));
        }
        fleet
    }

    /// What each zone leaves for nodes that start.
    pub fn zone_seeds(&self) -> Vec<(u8, SocketAddr)> {
        let mut seeds = Vec::new();
        for host in &self.hosts {
            let zone = host.zone;
            if seeds.iter().filter(|(other, _)| *other == zone).count() < SEEDS_PER_ZONE {
                seeds.push((zone, host.address));
            }
        }
        seeds
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_up {
                let mut out = Vec::new();
                let mut events = Vec::new();
                let host = &mut self.hosts[index];
                host.swim
                    .tick(self.now_ms, &mut self.rng, &mut out, &mut events);
                self.take_events(index, events);
                self.deliver(index, out);
            }
        }
    }

    pub fn deliver(&mut self, sender: usize, out: Vec<Outgoing>) {
        let mut queue: Vec<(usize, Outgoing)> = out.into_iter().map(|o| (sender, o)).collect();
        while let Some((from, outgoing)) = queue.pop() {
            self.sent_count += 1;
            self.record_count += outgoing.packet.updates.len();
            let Some(to) = self.hosts.iter().position(|h| h.address == outgoing.to) else {
                continue;
            };
            self.sent
                .push((self.hosts[from].zone, self.hosts[to].zone, outgoing.clone()));
            let is_far = self.hosts[from].zone != self.hosts[to].zone;
            if is_far && outgoing.packet.kind != PacketKind::SyncPart {
                self.far_news_count += outgoing.packet.updates.len();
            }
            let is_cut = self
                .cuts
                .contains(&(self.hosts[from].zone, self.hosts[to].zone));
            if is_cut || !self.hosts[to].is_up || self.rng.random_bool(self.loss_ratio) {
                continue;
            }
            let from_address = self.hosts[from].address;
            let mut replies = Vec::new();
            let mut events = Vec::new();
            let host = &mut self.hosts[to];
            host.swim.receive(
                &outgoing.packet,
                from_address,
                self.now_ms,
                &mut self.rng,
                &mut replies,
                &mut events,
            );
            self.take_events(to, events);
            queue.extend(replies.into_iter().map(|o| (to, o)));
        }
    }

    pub fn take_events(&mut self, index: usize, events: Vec<SwimEvent>) {
        let host = &mut self.hosts[index];
        for event in events {
            match event {
                SwimEvent::Stamp(stamp) => host.stamps.push(stamp),
                SwimEvent::Revoked(digests) => host.revoked.extend(digests),
                SwimEvent::Newer { versions, .. } if versions.exceed(&host.told) => {
                    host.told = versions;
                }
                _ => {}
            }
        }
        if let Some(view) = host.swim.take_view() {
            host.view = view;
        }
    }

    /// Each host fetches the versions that it was told of in the last step.
    pub fn fetch_versions(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.told.exceed(&host.state.versions) {
                let versions = host.told;
                let state = OwnState {
                    versions,
                    ..host.state.clone()
                };
                self.set_state(index, state);
            }
        }
    }

    /// First relays look at the platform; the others take over what replies
    /// to their own probes say.
    pub fn look_and_learn(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            let (node_id, zone) = (
                format!("n{}-{}", host.zone, host.ip_end()),
                host.zone_name(),
            );
            let told_ms = host
                .stamps
                .iter()
                .filter_map(|stamp| stamp.platform_seen_ms);
            let mut seen_ms = told_ms.max().max(host.state.platform_seen_ms);
            let is_look_due = self.now_ms.is_multiple_of(1_000);
            if is_look_due && relay_rank(&host.view, &zone, &node_id) == Some(0) {
                seen_ms = Some(self.now_ms);
            }
            if seen_ms != host.state.platform_seen_ms {
                let state = OwnState {
                    platform_seen_ms: seen_ms,
                    ..host.state.clone()
                };
                self.set_state(index, state);
            }
        }
    }

    pub fn set_state(&mut self, index: usize, state: OwnState) {
        self.hosts[index].state = state.clone();
        let mut out = Vec::new();
        self.hosts[index]
            .swim
            .set_own_state(state, self.now_ms, &mut self.rng, &mut out);
        self.take_events(index, Vec::new());
        self.deliver(index, out);
    }

    /// Steps until the condition holds; the steps taken, or a panic.
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

    /// Name of a host.
    pub fn name(&self, host: usize) -> String {
        let host = &self.hosts[host];
        format!("n{}-{}", host.zone, host.ip_end())
    }

    pub fn all_see_each_other(&self) -> bool {
        let count = self.hosts.iter().filter(|host| host.is_up).count();
        self.hosts.iter().filter(|host| host.is_up).all(|host| {
            host.view
                .members
                .iter()
                .filter(|m| m.state == MemberState::Alive)
                .count()
                == count
        })
    }

    pub fn state_at(&self, observer: usize, node_id: &str) -> Option<MemberState> {
        self.hosts[observer]
            .view
            .member(node_id)
            .map(|member| member.state)
    }
}
