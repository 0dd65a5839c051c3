//! Cost of gossip per node at several fleet sizes: bytes and datagrams sent,
//! processor time, visible members. Run with `cargo bench --bench gossip`.
//!
//! Runs the protocol and the codec of every node in memory, without sockets,
//! whose cost a real fleet adds.

use {
    dogwoodbridge::{
        documents::Versions,
        membership::{
            Announcement, Datagram, Liveness, MemberPorts, Outgoing, OwnState, PacketCodec, Record,
            Swim,
        },
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::HashMap,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

const STEP_MS: u64 = 100;
const SETTLE_MS: u64 = 60_000;
const MEASURE_MS: u64 = 20_000;
const ZONE_COUNT: usize = 6;

#[derive(Default)]
struct Cost {
    datagram_count: u64,
    byte_count: u64,
    busy: Duration,
}

struct Fleet {
    nodes: Vec<Swim>,
    indices: HashMap<SocketAddr, usize>,
    addresses_by_index: Vec<SocketAddr>,
    codec: PacketCodec,
    rng: StdRng,
    now_ms: u64,
    cost: Cost,
}

impl Fleet {
    fn new(node_count: usize) -> Self {
        let records: Vec<Record> = (0..node_count).map(record).collect();
        let seed = records[0].gossip_address();
        let addresses_by_index = records.iter().map(Record::gossip_address).collect();
        let indices = records
            .iter()
            .enumerate()
            .map(|(i, r)| (r.gossip_address(), i))
            .collect();
        let nodes = records
            .into_iter()
            .map(|record| Swim::new(record, vec![seed]))
            .collect();
        let codec = PacketCodec::new("a fleet secret for measuring");
        let rng = StdRng::seed_from_u64(1);
        Self {
            nodes,
            indices,
            addresses_by_index,
            codec,
            rng,
            now_ms: 0,
            cost: Cost::default(),
        }
    }

    fn run(&mut self, duration_ms: u64, churn: bool) -> Cost {
        self.cost = Cost::default();
        let end_ms = self.now_ms + duration_ms;
        let mut version = 0;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let change_due = churn && self.now_ms.is_multiple_of(10_000);
            version += u64::from(change_due);
            for index in 0..self.nodes.len() {
                let started = Instant::now();
                let mut out = Vec::new();
                if change_due && index == 0 {
                    let state = own_state(version);
                    self.nodes[0].set_own_state(state, self.now_ms, &mut self.rng, &mut out);
                }
                self.nodes[index].tick(self.now_ms, &mut self.rng, &mut out, &mut Vec::new());
                self.cost.busy += started.elapsed();
                self.deliver(index, out);
            }
        }
        std::mem::take(&mut self.cost)
    }

    fn deliver(&mut self, sender: usize, out: Vec<Outgoing>) {
        let mut queue: Vec<_> = out.into_iter().map(|outgoing| (sender, outgoing)).collect();
        while let Some((from, outgoing)) = queue.pop() {
            let started = Instant::now();
            let datagram = self.codec.encode(&outgoing.packet);
            self.cost.datagram_count += 1;
            self.cost.byte_count += datagram.len() as u64;
            let from = self.addresses_by_index[from];
            let to = self.indices[&outgoing.to];
            let decoded = self.codec.decode(&datagram);
            let Ok(Datagram::Packet(packet)) = decoded else {
                panic!("own packets are valid");
            };
            let mut replies = Vec::new();
            let (rng, events) = (&mut self.rng, &mut Vec::new());
            self.nodes[to].receive(&packet, from, self.now_ms, rng, &mut replies, events);
            self.cost.busy += started.elapsed();
            queue.extend(replies.into_iter().map(|outgoing| (to, outgoing)));
        }
    }

    fn visible_member_count(&mut self) -> usize {
        let node = self.nodes.last_mut().expect("fleets have nodes");
        let mut out = Vec::new();
        node.set_own_state(own_state(0), self.now_ms, &mut self.rng, &mut out);
        node.take_view().map_or(0, |view| view.members.len())
    }
}

fn own_state(version: u64) -> OwnState {
    let target = Announcement {
        service: "catalog".to_owned(),
        slot_count: 150,
        connection_count: 1000,
        draining: false,
        process_id: 3,
    };
    OwnState {
        target: Some(target),
        versions: Versions([version; 4]),
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
        target: own_state(0).target,
    }
}

fn main() {
    println!("nodes  churn  members  datagrams/s  bytes/s  busy_us/s   (per node)");
    for node_count in [12, 48, 96, 192, 580] {
        let mut fleet = Fleet::new(node_count);
        fleet.run(SETTLE_MS, false);
        for churn in [false, true] {
            let cost = fleet.run(MEASURE_MS, churn);
            let members = fleet.visible_member_count();
            let per_node_s = (node_count as f64) * (MEASURE_MS as f64) / 1000.0;
            println!(
                "{node_count:5}  {churn:5}  {members:7}  {:11.2}  {:7.0}  {:9.1}",
                cost.datagram_count as f64 / per_node_s,
                cost.byte_count as f64 / per_node_s,
                cost.busy.as_secs_f64() * 1e6 / per_node_s,
            );
        }
    }
}
