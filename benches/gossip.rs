//! Cost and speed of gossip at several fleet sizes: a fleet that starts as a
//! whole, the same fleet at rest, and news about one member. Run with
//! `cargo bench --bench gossip -- [NODES...]`.
//!
//! Runs the protocol and the codec of every node in memory, without sockets,
//! whose cost a real fleet adds. Datagrams arrive in the step in which they are
//! sent, or are lost.

use {
    dogwoodbridge::{
        documents::Versions,
        membership::{
            Announcement, Datagram, Liveness, MemberPorts, MemberState, Outgoing, OwnState,
            PacketCodec, PacketKind, Record, SeedAddresses, Swim, View,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::HashMap,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

const STEP_MS: u64 = 100;
const ZONE_COUNT: usize = 6;
/// Gossip addresses that each zone publishes for nodes that start.
const SEEDS_PER_ZONE: usize = 4;
const LOSS_RATIO: f64 = 0.005;
/// When the target of a node sends its first heartbeat.
const TARGET_SEEN_MS: u64 = 3000;
const START_MS: u64 = 24_000;
const REST_MS: u64 = 20_000;
const NEWS_LIMIT_MS: u64 = 30_000;
/// Fleets that are measured unless the command names others.
const NODE_COUNTS: [usize; 4] = [30, 100, 300, 1000];

/// Traffic and processor time of all nodes.
#[derive(Default)]
struct Cost {
    datagram_count: u64,
    byte_count: u64,
    cross_zone_byte_count: u64,
    sync_byte_count: u64,
    busy: Duration,
}

struct Node {
    swim: Swim,
    zone: usize,
    view: View,
}

struct Fleet {
    nodes: Vec<Node>,
    indices: HashMap<SocketAddr, usize>,
    addresses_by_index: Vec<SocketAddr>,
    codec: PacketCodec,
    rng: StdRng,
    now_ms: u64,
    cost: Cost,
}

/// Milliseconds until the first, the middle and the last node met a condition;
/// `None` if it did not within the limit.
struct Spread {
    first_ms: Option<u64>,
    middle_ms: Option<u64>,
    last_ms: Option<u64>,
}

impl Fleet {
    fn new(node_count: usize) -> Self {
        let records: Vec<Record> = (0..node_count).map(record).collect();
        let addresses_by_index: Vec<_> = records.iter().map(Record::gossip_address).collect();
        let indices = addresses_by_index.iter().copied().zip(0..).collect();
        let nodes = records.into_iter().enumerate().map(|(index, record)| {
            let mut swim = Swim::new(record, Vec::new());
            swim.add_seeds(&seeds(index % ZONE_COUNT, &addresses_by_index));
            Node {
                swim,
                zone: index % ZONE_COUNT,
                view: View::default(),
            }
        });
        Self {
            nodes: nodes.collect(),
            indices,
            addresses_by_index,
            codec: PacketCodec::new("a fleet secret for measuring"),
            rng: StdRng::seed_from_u64(1),
            now_ms: 0,
            cost: Cost::default(),
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for index in 0..self.nodes.len() {
            if self.now_ms == TARGET_SEEN_MS {
                self.set_state(index, own_state(false));
            }
            let started = Instant::now();
            let mut out = Vec::new();
            let node = &mut self.nodes[index];
            node.swim
                .tick(self.now_ms, &mut self.rng, &mut out, &mut Vec::new());
            self.cost.busy += started.elapsed();
            self.deliver(index, out);
        }
        for node in &mut self.nodes {
            let started = Instant::now();
            let view = node.swim.take_view();
            self.cost.busy += started.elapsed();
            node.view = view.unwrap_or_else(|| std::mem::take(&mut node.view));
        }
    }

    fn run(&mut self, duration_ms: u64) -> Cost {
        self.cost = Cost::default();
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
        std::mem::take(&mut self.cost)
    }

    /// Steps for at most `limit_ms` until the condition holds at all nodes.
    fn spread(&mut self, limit_ms: u64, is_met: impl Fn(&View) -> bool) -> Spread {
        let start_ms = self.now_ms;
        let mut met_ms: Vec<Option<u64>> = vec![None; self.nodes.len()];
        while self.now_ms < start_ms + limit_ms && met_ms.contains(&None) {
            self.step();
            for (node, met_ms) in self.nodes.iter().zip(&mut met_ms) {
                if met_ms.is_none() && is_met(&node.view) {
                    *met_ms = Some(self.now_ms - start_ms);
                }
            }
        }
        met_ms.sort_unstable_by_key(|met_ms| met_ms.unwrap_or(u64::MAX));
        Spread {
            first_ms: met_ms[0],
            middle_ms: met_ms[met_ms.len() / 2],
            last_ms: met_ms[met_ms.len() - 1],
        }
    }

    fn set_state(&mut self, index: usize, state: OwnState) {
        let mut out = Vec::new();
        let (now_ms, rng) = (self.now_ms, &mut self.rng);
        self.nodes[index]
            .swim
            .set_own_state(state, now_ms, rng, &mut out);
        self.deliver(index, out);
    }

    fn deliver(&mut self, sender: usize, out: Vec<Outgoing>) {
        let mut queue: Vec<_> = out.into_iter().map(|outgoing| (sender, outgoing)).collect();
        while let Some((from, outgoing)) = queue.pop() {
            let started = Instant::now();
            let datagram = self.codec.encode(&outgoing.packet);
            let to = self.indices[&outgoing.to];
            self.count(&outgoing, datagram.len() as u64, from, to);
            if self.rng.random_bool(LOSS_RATIO) {
                continue;
            }
            let Ok(Datagram::Packet(packet)) = self.codec.decode(&datagram) else {
                panic!("own packets are valid");
            };
            let from = self.addresses_by_index[from];
            let mut replies = Vec::new();
            let (rng, events) = (&mut self.rng, &mut Vec::new());
            self.nodes[to]
                .swim
                .receive(&packet, from, self.now_ms, rng, &mut replies, events);
            self.cost.busy += started.elapsed();
            queue.extend(replies.into_iter().map(|outgoing| (to, outgoing)));
        }
    }

    fn count(&mut self, outgoing: &Outgoing, byte_count: u64, from: usize, to: usize) {
        self.cost.datagram_count += 1;
        self.cost.byte_count += byte_count;
        if self.nodes[from].zone != self.nodes[to].zone {
            self.cost.cross_zone_byte_count += byte_count;
        }
        if outgoing.packet.kind == PacketKind::SyncPart {
            self.cost.sync_byte_count += byte_count;
        }
    }
}

fn seeds(own_zone: usize, addresses: &[SocketAddr]) -> SeedAddresses {
    let published = addresses.iter().take(ZONE_COUNT * SEEDS_PER_ZONE);
    let (same_zone, other_zones): (Vec<_>, Vec<_>) = published
        .copied()
        .enumerate()
        .partition(|(index, _)| index % ZONE_COUNT == own_zone);
    let addresses = |seeds: Vec<(usize, SocketAddr)>| seeds.into_iter().map(|(_, seed)| seed);
    SeedAddresses {
        same_zone: addresses(same_zone).collect(),
        other_zones: addresses(other_zones).collect(),
    }
}

fn own_state(draining: bool) -> OwnState {
    let target = Announcement {
        service: "catalog".to_owned(),
        slot_count: 150,
        connection_count: 1000,
        draining: false,
        process_id: 3,
    };
    OwnState {
        target: Some(target),
        draining,
        versions: Versions([1; 4]),
        platform_seen_ms: Some(0),
        ..OwnState::default()
    }
}

fn record(index: usize) -> Record {
    let zone = u8::try_from(index % ZONE_COUNT).expect("few zones");
    let [high, low] = u16::try_from(index / ZONE_COUNT + 1)
        .expect("few nodes")
        .to_be_bytes();
    Record {
        node_id: format!("cascade-catalog-{index}"),
        ip: IpAddr::V4(Ipv4Addr::new(127, zone + 1, high, low)),
        ports: MemberPorts {
            peer: 7001,
            gossip: 7003,
            rpc: 7004,
            control: 7005,
        },
        region: format!("region-{}", zone / 3),
        zone: format!("zone-{zone}"),
        started_unix_ms: 1_700_000_000_000,
        incarnation: 0,
        liveness: Liveness::Alive,
        draining: false,
        target: None,
    }
}

fn print_cost(phase: &str, node_count: usize, duration_ms: u64, cost: &Cost) {
    let per_node_s = node_count as f64 * duration_ms as f64 / 1000.0;
    println!(
        "{node_count:5}  {phase:5}  {:8.1}  {:7.0}  {:7.0}  {:7.0}  {:8.1}",
        cost.datagram_count as f64 / per_node_s,
        cost.byte_count as f64 / per_node_s,
        cost.cross_zone_byte_count as f64 / per_node_s,
        cost.sync_byte_count as f64 / per_node_s,
        cost.busy.as_secs_f64() * 1e6 / per_node_s,
    );
}

fn print_spread(node_count: usize, what: &str, spread: &Spread) {
    let time = |ms: Option<u64>| ms.map_or("-".to_owned(), |ms| format!("{ms}"));
    println!(
        "{node_count:5}  {what}: first {} ms, middle {} ms, last {} ms",
        time(spread.first_ms),
        time(spread.middle_ms),
        time(spread.last_ms)
    );
}

fn measure(node_count: usize) {
    let mut fleet = Fleet::new(node_count);
    let present = |view: &View| view.iter().filter(|member| member.is_usable()).count();
    let is_mostly_known = |view: &View| present(view) * 100 >= node_count * 99;
    let mostly = fleet.spread(START_MS, is_mostly_known);
    print_spread(node_count, "99 of 100 members known after a start", &mostly);
    let rest = fleet.spread(START_MS.saturating_sub(fleet.now_ms), |view| {
        present(view) == node_count
    });
    let offset_ms = mostly.last_ms.unwrap_or(0);
    let all_ms = rest.last_ms.map(|ms| ms + offset_ms);
    println!("{node_count:5}  all known to all after {all_ms:?} ms");
    let rest_of_start_ms = START_MS.saturating_sub(fleet.now_ms);
    let cost_so_far = std::mem::take(&mut fleet.cost);
    let mut cost = fleet.run(rest_of_start_ms);
    cost.datagram_count += cost_so_far.datagram_count;
    cost.byte_count += cost_so_far.byte_count;
    cost.cross_zone_byte_count += cost_so_far.cross_zone_byte_count;
    cost.sync_byte_count += cost_so_far.sync_byte_count;
    cost.busy += cost_so_far.busy;
    print_cost("start", node_count, START_MS, &cost);
    let subject = node_count / 2;
    let subject_id = record(subject).node_id;
    let has_state = |view: &View, state: MemberState| {
        view.member(&subject_id)
            .is_some_and(|member| member.state == state)
    };
    fleet.set_state(subject, own_state(true));
    let drained = fleet.spread(NEWS_LIMIT_MS, |view| has_state(view, MemberState::Draining));
    print_spread(node_count, "drain known", &drained);
    fleet.run(REST_MS);
    let cost = fleet.run(REST_MS);
    print_cost("rest", node_count, REST_MS, &cost);
}

fn main() {
    let named: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let node_counts = match named.is_empty() {
        true => NODE_COUNTS.to_vec(),
        false => named,
    };
    println!("nodes  phase  datagr/s  bytes/s  cross/s   sync/s  busy_us/s   (per node)");
    for node_count in node_counts {
        measure(node_count);
    }
}
