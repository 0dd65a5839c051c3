//! Gossip over an in-memory network with losses, cuts and pauses.

#[path = "admission_support/generated.rs"]
mod generated;

use {
    dogwoodbridge::{
        documents::Versions,
        keys::KeyDigest,
        membership::{
            Announcement, CodecError, Liveness, MemberPorts, MemberState, Outgoing, OwnState,
            Packet, PacketCodec, PacketKind, PeerStamp, Record, Swim, SwimEvent, View, relays,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::HashSet,
        net::{IpAddr, Ipv4Addr, SocketAddr},
    },
};

const STEP_MS: u64 = 100;
const SECRET: &str = "a fleet secret for tests";

fn record(node_id: &str, zone: u8, index: u8) -> Record {
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

struct Host {
    swim: Swim,
    address: SocketAddr,
    zone: u8,
    view: View,
    stamps: Vec<PeerStamp>,
    revoked: Vec<KeyDigest>,
    is_up: bool,
}

/// A fleet whose datagrams arrive at the next step or never.
struct Fleet {
    hosts: Vec<Host>,
    rng: StdRng,
    now_ms: u64,
    loss_ratio: f64,
    /// Pairs of zones of which the first is not heard by the second.
    cuts: HashSet<(u8, u8)>,
    sent_count: u64,
}

impl Fleet {
    fn new(zone_count: u8, per_zone: u8, seed: u64) -> Self {
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
        }
    }

    fn step(&mut self) {
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

    fn deliver(&mut self, sender: usize, out: Vec<Outgoing>) {
        let mut queue: Vec<(usize, Outgoing)> = out.into_iter().map(|o| (sender, o)).collect();
        while let Some((from, outgoing)) = queue.pop() {
            self.sent_count += 1;
            let Some(to) = self.hosts.iter().position(|h| h.address == outgoing.to) else {
                continue;
            };
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

    fn take_events(&mut self, index: usize, events: Vec<SwimEvent>) {
        let host = &mut self.hosts[index];
        for event in events {
            match event {
                SwimEvent::Stamp(stamp) => host.stamps.push(stamp),
                SwimEvent::Revoked(digests) => host.revoked.extend(digests),
                _ => {}
            }
        }
        if let Some(view) = host.swim.take_view() {
            host.view = view;
        }
    }

    fn set_state(&mut self, index: usize, state: OwnState) {
        let mut out = Vec::new();
        self.hosts[index]
            .swim
            .set_own_state(state, self.now_ms, &mut self.rng, &mut out);
        self.take_events(index, Vec::new());
        self.deliver(index, out);
    }

    /// Steps until the condition holds; the steps taken, or a panic.
    fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> u64 {
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

    fn all_see_each_other(&self) -> bool {
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

    fn state_at(&self, observer: usize, node_id: &str) -> Option<MemberState> {
        self.hosts[observer]
            .view
            .member(node_id)
            .map(|member| member.state)
    }
}

#[test]
fn all_nodes_find_each_other_from_one_seed() {
    struct Case {
        zone_count: u8,
        per_zone: u8,
        loss_ratio: f64,
        limit_ms: u64,
    }
    let cases = [
        Case {
            zone_count: 1,
            per_zone: 2,
            loss_ratio: 0.0,
            limit_ms: 10_000,
        },
        Case {
            zone_count: 3,
            per_zone: 4,
            loss_ratio: 0.0,
            limit_ms: 20_000,
        },
        Case {
            zone_count: 3,
            per_zone: 4,
            loss_ratio: 0.2,
            limit_ms: 60_000,
        },
        Case {
            zone_count: 6,
            per_zone: 10,
            loss_ratio: 0.05,
            limit_ms: 60_000,
        },
    ];
    for (seed, case) in (0..).zip(cases) {
        let mut fleet = Fleet::new(case.zone_count, case.per_zone, seed);
        fleet.loss_ratio = case.loss_ratio;
        fleet.run_until(case.limit_ms, Fleet::all_see_each_other);
    }
}

// A fleet starts all at once and its nodes ask different seeds first. Two groups
// that each know only themselves would route to half of the targets and take
// the other half's slots for gone.
#[test]
fn groups_that_asked_different_seeds_meet() {
    for seed in 100..140 {
        let mut fleet = Fleet::new(2, 4, seed);
        let seeds: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.address).collect();
        for host in &mut fleet.hosts {
            host.swim.add_seeds(&seeds);
        }
        fleet.run_until(10_000, Fleet::all_see_each_other);
    }
}

// An instance fails without a word. Until the others know, they send requests
// into nothing and callers wait for time outs.
#[test]
fn a_killed_node_is_taken_for_dead_everywhere() {
    let mut fleet = Fleet::new(3, 4, 7);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    fleet.hosts[5].is_up = false;
    fleet.run_until(20_000, |fleet| {
        (0..12)
            .filter(|i| *i != 5)
            .all(|i| fleet.state_at(i, "n2-2") == Some(MemberState::Dead))
    });
}

// Datagrams get lost now and then. If one lost probe were enough to remove a
// member, a healthy target would get no work and its callers be refused.
#[test]
fn losses_alone_remove_nobody() {
    let mut fleet = Fleet::new(3, 4, 11);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    fleet.loss_ratio = 0.1;
    for _ in 0..3000 {
        fleet.step();
        for host in &fleet.hosts {
            let dead = host
                .view
                .members
                .iter()
                .find(|m| m.state == MemberState::Dead);
            assert_eq!(dead, None, "at {} ms", fleet.now_ms);
        }
    }
}

// A zone is cut off, both sides take each other for dead, then the link is
// mended. Nobody restarts the nodes; were the dead never asked again, each
// side would go on without the other and callers lose half of the capacity.
#[test]
fn zones_that_were_cut_off_come_back_by_themselves() {
    struct Case {
        cuts: Vec<(u8, u8)>,
    }
    let cases = [
        Case {
            cuts: vec![(1, 2), (2, 1), (3, 1), (1, 3)],
        },
        Case {
            cuts: vec![(1, 2), (1, 3)],
        },
        Case {
            cuts: vec![(2, 1), (3, 1)],
        },
    ];
    for (seed, case) in (20..).zip(cases) {
        let mut fleet = Fleet::new(3, 3, seed);
        fleet.run_until(20_000, Fleet::all_see_each_other);
        fleet.cuts.extend(case.cuts);
        for _ in 0..400 {
            fleet.step();
        }
        assert!(!fleet.all_see_each_other());
        fleet.cuts.clear();
        fleet.run_until(60_000, Fleet::all_see_each_other);
    }
}

// Two zones lose their link but both still reach the third. Members ask others
// to probe for them, so nobody who is alive for someone is taken for dead.
#[test]
fn a_cut_between_two_zones_kills_nobody_whom_a_third_reaches() {
    let mut fleet = Fleet::new(3, 4, 31);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    fleet.cuts.extend([(1, 2), (2, 1)]);
    for _ in 0..600 {
        fleet.step();
    }
    let dead_count: usize = fleet
        .hosts
        .iter()
        .map(|h| {
            h.view
                .members
                .iter()
                .filter(|m| m.state == MemberState::Dead)
                .count()
        })
        .sum();
    assert_eq!(dead_count, 0);
}

// A node that hears datagrams but is not heard looks healthy to itself. Stamps
// come only with replies to own probes, so it gets none and can tell.
#[test]
fn a_node_that_is_not_heard_gets_no_stamps() {
    let mut fleet = Fleet::new(2, 3, 41);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    fleet.cuts.insert((1, 2));
    for host in &mut fleet.hosts {
        host.stamps.clear();
    }
    let start_ms = fleet.now_ms;
    for _ in 0..100 {
        fleet.step();
    }
    let from_other_zone =
        |host: &Host, zone: &str| host.stamps.iter().filter(|s| s.zone == zone).count();
    assert_eq!(from_other_zone(&fleet.hosts[0], "z2"), 0);
    assert!(from_other_zone(&fleet.hosts[0], "z1") > 0);
    assert!(
        fleet.hosts[0]
            .stamps
            .iter()
            .all(|stamp| stamp.probe_sent_ms >= start_ms)
    );
}

#[test]
fn stamps_carry_versions_and_the_age_of_the_look_at_the_platform() {
    let mut fleet = Fleet::new(1, 2, 51);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    let seen_ms = fleet.now_ms;
    let state = OwnState {
        versions: Versions([5, 6, 7]),
        platform_seen_ms: Some(seen_ms),
        ..OwnState::default()
    };
    fleet.set_state(0, state);
    fleet.hosts[1].stamps.clear();
    fleet.run_until(5_000, |fleet| !fleet.hosts[1].stamps.is_empty());
    let stamp = &fleet.hosts[1].stamps[0];
    assert_eq!(stamp.versions, Versions([5, 6, 7]));
    assert_eq!(stamp.platform_seen_ms, Some(seen_ms));
}

#[test]
fn targets_drains_and_departures_are_told() {
    let mut fleet = Fleet::new(2, 3, 61);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    let target = Announcement {
        service: "pricing".to_owned(),
        slot_count: 150,
        connection_count: 1000,
        draining: false,
    };
    let running = OwnState {
        target: Some(target.clone()),
        ..OwnState::default()
    };
    fleet.set_state(0, running.clone());
    fleet.run_until(5_000, |fleet| {
        fleet
            .hosts
            .iter()
            .all(|h| h.view.member("n1-1").and_then(|m| m.target.as_ref()) == Some(&target))
    });
    let draining = OwnState {
        draining: true,
        ..running
    };
    fleet.set_state(0, draining.clone());
    let drained_ms = fleet.run_until(5_000, |fleet| {
        (0..6).all(|i| fleet.state_at(i, "n1-1") == Some(MemberState::Draining))
    });
    assert!(
        drained_ms <= 3_000,
        "{drained_ms} ms until all knew of the drain"
    );
    fleet.set_state(
        0,
        OwnState {
            left: true,
            ..draining
        },
    );
    fleet.run_until(5_000, |fleet| {
        (1..6).all(|i| fleet.state_at(i, "n1-1") == Some(MemberState::Left))
    });
}

// An operator revokes a key at one node while the platform is down. Nodes that
// do not hear of it, also those that join later, would go on serving the key.
#[test]
fn a_revocation_reaches_all_nodes_and_later_joiners() {
    let mut fleet = Fleet::new(3, 4, 71);
    fleet.hosts[11].is_up = false;
    fleet.run_until(20_000, Fleet::all_see_each_other);
    let digest = KeyDigest([9; 32]);
    let mut out = Vec::new();
    fleet.hosts[0]
        .swim
        .revoke(&[digest], fleet.now_ms, &mut fleet.rng, &mut out);
    fleet.deliver(0, out);
    let spread_ms = fleet.run_until(10_000, |fleet| {
        (1..11).all(|i| fleet.hosts[i].revoked == vec![digest])
    });
    assert!(spread_ms <= 5_000, "{spread_ms} ms until all nodes knew");
    for _ in 0..600 {
        fleet.step();
    }
    fleet.hosts[11].is_up = true;
    fleet.run_until(20_000, |fleet| fleet.hosts[11].revoked == vec![digest]);
}

// A process is killed and started again in its slot within a second. Others
// must take the new process for itself and not hold the old one's record, with
// its target, against it.
#[test]
fn a_restart_in_place_replaces_the_old_record() {
    let mut fleet = Fleet::new(1, 3, 81);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    for _ in 0..5 {
        fleet.set_state(
            1,
            OwnState {
                draining: true,
                ..OwnState::default()
            },
        );
        fleet.set_state(1, OwnState::default());
    }
    let seed = fleet.hosts[0].address;
    let own = Record {
        started_unix_ms: 2,
        ..record("n1-2", 1, 2)
    };
    fleet.hosts[1].swim = Swim::new(own, vec![seed]);
    fleet.run_until(10_000, |fleet| {
        [0, 2].iter().all(|i| {
            let member = fleet.hosts[*i].view.member("n1-2");
            member.is_some_and(|m| m.started_unix_ms == 2 && m.state == MemberState::Alive)
        })
    });
}

#[test]
fn members_with_the_same_view_choose_the_same_relays() {
    let mut fleet = Fleet::new(2, 5, 91);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    let names = |view: &View, zone: &str| -> Vec<String> {
        relays(view, zone)
            .into_iter()
            .map(|member| member.node_id.clone())
            .collect()
    };
    for zone in ["z1", "z2"] {
        let expected = names(&fleet.hosts[0].view, zone);
        assert_eq!(expected.len(), 2);
        assert!(
            fleet
                .hosts
                .iter()
                .all(|host| names(&host.view, zone) == expected)
        );
    }
}

fn sample_packet() -> Packet {
    let target = Announcement {
        service: "orders".to_owned(),
        slot_count: 4,
        connection_count: 9,
        draining: true,
    };
    Packet {
        sender: Record {
            target: Some(target),
            ..record("n1-1", 1, 1)
        },
        sequence: 77,
        kind: PacketKind::PingRequest {
            subject: "n2-1".to_owned(),
        },
        versions: Versions([1, 2, 3]),
        platform_age_ms: Some(4),
        table_hash: 5,
        updates: vec![Record {
            liveness: Liveness::Suspect,
            ..record("n2-1", 2, 1)
        }],
        revocations: vec![KeyDigest([7; 32])],
    }
}

#[test]
fn packets_survive_the_wire() {
    let codec = PacketCodec::new(SECRET);
    let packet = sample_packet();
    assert_eq!(codec.decode(&codec.encode(&packet)).unwrap(), packet);
    let bare = Packet {
        kind: PacketKind::Ack,
        platform_age_ms: None,
        updates: Vec::new(),
        revocations: Vec::new(),
        ..packet
    };
    assert_eq!(codec.decode(&codec.encode(&bare)).unwrap(), bare);
}

// Anyone who reaches the port can send datagrams. Without a check a stranger
// could add members and have requests with their contexts sent to itself.
#[test]
fn datagrams_without_the_fleet_secret_are_rejected() {
    let datagram = PacketCodec::new("some other secret").encode(&sample_packet());
    let codec = PacketCodec::new(SECRET);
    assert!(matches!(
        codec.decode(&datagram),
        Err(CodecError::NotAuthentic)
    ));
    let mut flipped = codec.encode(&sample_packet());
    for index in 0..flipped.len() {
        flipped[index] ^= 1;
        assert!(
            matches!(codec.decode(&flipped), Err(CodecError::NotAuthentic)),
            "byte {index}"
        );
        flipped[index] ^= 1;
    }
}

#[test]
fn no_bytes_make_the_decoder_panic() {
    generated::for_each_case(2000, |bytes: Vec<u8>| {
        // Tagged with the right secret, so that the parser itself is reached.
        let codec = PacketCodec::new(SECRET);
        let _ = codec.decode(&bytes);
        let _ = codec.decode(&codec.tagged(&bytes));
    });
}
