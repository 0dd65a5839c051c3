//! Gossip over an in-memory network with packet loss, partitions and pauses.

#[path = "admission_support/generated.rs"]
mod generated;
#[path = "membership_support/mod.rs"]
mod membership_support;

use {
    dogwoodbridge::{
        documents::Versions,
        freshness::{FRESH_LIMIT_MS, REPLY_LIMIT_MS},
        keys::KeyDigest,
        membership::{
            Announcement, CodecError, Datagram, Liveness, MemberState, OwnState, Packet,
            PacketCodec, PacketKind, Record, SeedAddresses, Swim, View, relays,
        },
    },
    membership_support::{Fleet, SimulatedNode, record},
    std::net::SocketAddr,
};

const SECRET: &str = "a fleet secret for tests";

#[test]
fn all_nodes_discover_each_other_from_one_seed() {
    struct Case {
        zone_count: u8,
        nodes_per_zone: u8,
        loss_ratio: f64,
        limit_ms: u64,
    }
    let cases = [
        Case {
            zone_count: 1,
            nodes_per_zone: 2,
            loss_ratio: 0.0,
            limit_ms: 10_000,
        },
        Case {
            zone_count: 3,
            nodes_per_zone: 4,
            loss_ratio: 0.0,
            limit_ms: 20_000,
        },
        Case {
            zone_count: 3,
            nodes_per_zone: 4,
            loss_ratio: 0.2,
            limit_ms: 60_000,
        },
        Case {
            zone_count: 6,
            nodes_per_zone: 10,
            loss_ratio: 0.05,
            limit_ms: 60_000,
        },
    ];
    for (seed, case) in (0..).zip(cases) {
        let mut fleet = Fleet::new(case.zone_count, case.nodes_per_zone, seed);
        fleet.loss_ratio = case.loss_ratio;
        fleet.run_until(case.limit_ms, Fleet::all_see_each_other);
    }
}

// A whole fleet starts and its nodes contact different seeds first. Two groups
// that each know only their own members would route to half of the targets and
// regard the other half's slots as gone.
#[test]
fn groups_with_different_seeds_discover_each_other() {
    for seed in 100..140 {
        let mut fleet = Fleet::new(2, 4, seed);
        let addresses: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.address).collect();
        let seeds = SeedAddresses {
            same_zone: Vec::new(),
            other_zones: addresses,
        };
        for node in &mut fleet.nodes {
            node.swim.add_seeds(&seeds);
        }
        fleet.run_until(10_000, Fleet::all_see_each_other);
    }
}

// An instance fails without notice. Until the other nodes declare it dead, they
// send requests to it and callers wait for timeouts.
#[test]
fn a_killed_node_is_declared_dead_by_all_members() {
    let mut fleet = Fleet::new(3, 4, 7);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    fleet.nodes[5].is_up = false;
    fleet.run_until(20_000, |fleet| {
        (0..12)
            .filter(|index| *index != 5)
            .all(|index| fleet.member_state(index, "n2-2") == Some(MemberState::Dead))
    });
}

// Datagrams are occasionally lost. If one lost probe removed a member, a
// healthy target would receive no requests and its callers would be refused.
#[test]
fn packet_loss_alone_removes_no_member() {
    for seed in [6, 11, 17, 25, 36, 49] {
        let mut fleet = Fleet::new(3, 4, seed);
        fleet.run_until(20_000, Fleet::all_see_each_other);
        fleet.loss_ratio = 0.1;
        for _ in 0..3000 {
            fleet.step();
            for node in &fleet.nodes {
                let dead = node
                    .view
                    .members
                    .iter()
                    .find(|member| member.state == MemberState::Dead);
                assert_eq!(dead, None, "seed {seed} at {} ms", fleet.now_ms);
            }
        }
    }
}

// A zone is partitioned, both sides declare each other dead, then the link is
// restored. Nobody restarts the nodes. If dead members were never probed again,
// each side would go on without the other and callers would lose half of the
// capacity.
#[test]
fn partitioned_zones_rejoin_without_a_restart() {
    struct Case {
        blocked_links: Vec<(u8, u8)>,
    }
    let cases = [
        Case {
            blocked_links: vec![(1, 2), (2, 1), (3, 1), (1, 3)],
        },
        Case {
            blocked_links: vec![(1, 2), (1, 3)],
        },
        Case {
            blocked_links: vec![(2, 1), (3, 1)],
        },
    ];
    for (seed, case) in (20..).zip(cases) {
        let mut fleet = Fleet::new(3, 3, seed);
        fleet.run_until(20_000, Fleet::all_see_each_other);
        fleet.blocked_links.extend(case.blocked_links);
        for _ in 0..400 {
            fleet.step();
        }
        assert!(!fleet.all_see_each_other());
        fleet.blocked_links.clear();
        fleet.run_until(60_000, Fleet::all_see_each_other);
    }
}

// Two zones lose their link, but both still reach the third. Members request
// indirect probes, so a member that any zone reaches is not declared dead.
#[test]
fn a_member_reachable_through_a_third_zone_is_not_declared_dead() {
    let mut fleet = Fleet::new(3, 4, 31);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    fleet.blocked_links.extend([(1, 2), (2, 1)]);
    for _ in 0..600 {
        fleet.step();
    }
    let dead_count: usize = fleet
        .nodes
        .iter()
        .map(|node| {
            node.view
                .members
                .iter()
                .filter(|member| member.state == MemberState::Dead)
                .count()
        })
        .sum();
    assert_eq!(dead_count, 0);
}

// A node that receives datagrams but whose own are lost looks healthy to
// itself. Stamps come only with acks to its own probes, so it gets none and can
// detect the fault.
#[test]
fn a_node_whose_datagrams_are_lost_gets_no_stamps() {
    let mut fleet = Fleet::new(2, 3, 41);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    fleet.blocked_links.insert((1, 2));
    for node in &mut fleet.nodes {
        node.stamps.clear();
    }
    let start_ms = fleet.now_ms;
    for _ in 0..100 {
        fleet.step();
    }
    let stamp_count =
        |node: &SimulatedNode, zone: &str| node.stamps.iter().filter(|s| s.zone == zone).count();
    assert_eq!(stamp_count(&fleet.nodes[0], "z2"), 0);
    assert!(stamp_count(&fleet.nodes[0], "z1") > 0);
    assert!(
        fleet.nodes[0]
            .stamps
            .iter()
            .all(|stamp| stamp.probe_sent_ms >= start_ms)
    );
}

#[test]
fn stamps_contain_versions_and_the_time_of_the_platform_poll() {
    let mut fleet = Fleet::new(1, 2, 51);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    let polled_ms = fleet.now_ms;
    let state = OwnState {
        versions: Versions([5, 6, 7, 8]),
        platform_seen_ms: Some(polled_ms),
        ..OwnState::default()
    };
    fleet.set_state(0, state);
    fleet.nodes[1].stamps.clear();
    fleet.run_until(5_000, |fleet| !fleet.nodes[1].stamps.is_empty());
    let stamp = &fleet.nodes[1].stamps[0];
    assert_eq!(stamp.versions, Versions([5, 6, 7, 8]));
    assert_eq!(stamp.platform_seen_ms, Some(polled_ms));
}

#[test]
fn targets_drains_and_departures_are_propagated() {
    let mut fleet = Fleet::new(2, 3, 61);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    let target = Announcement {
        service: "pricing".to_owned(),
        slot_count: 150,
        connection_count: 1000,
        draining: false,
        process_id: 3,
    };
    let running = OwnState {
        target: Some(target.clone()),
        ..OwnState::default()
    };
    fleet.set_state(0, running.clone());
    fleet.run_until(5_000, |fleet| {
        fleet.nodes.iter().all(|node| {
            node.view
                .member("n1-1")
                .and_then(|member| member.target.as_ref())
                == Some(&target)
        })
    });
    let draining = OwnState {
        draining: true,
        ..running
    };
    fleet.set_state(0, draining.clone());
    let drained_ms = fleet.run_until(5_000, |fleet| {
        (0..6).all(|index| fleet.member_state(index, "n1-1") == Some(MemberState::Draining))
    });
    assert!(
        drained_ms <= 3_000,
        "{drained_ms} ms until all members knew of the drain"
    );
    fleet.set_state(
        0,
        OwnState {
            left: true,
            ..draining
        },
    );
    fleet.run_until(5_000, |fleet| {
        (1..6).all(|index| fleet.member_state(index, "n1-1") == Some(MemberState::Left))
    });
}

// An operator revokes a key on one node while the platform is down. Nodes that
// do not receive the revocation, including those that join later, would
// continue to accept the key.
#[test]
fn a_revocation_reaches_all_nodes_and_later_joiners() {
    let mut fleet = Fleet::new(3, 4, 71);
    fleet.nodes[11].is_up = false;
    fleet.run_until(20_000, Fleet::all_see_each_other);
    let digest = KeyDigest([9; 32]);
    let mut out = Vec::new();
    fleet.nodes[0]
        .swim
        .revoke(&[digest], fleet.now_ms, &mut fleet.rng, &mut out);
    fleet.deliver(0, out);
    let spread_ms = fleet.run_until(10_000, |fleet| {
        (1..11).all(|index| fleet.nodes[index].revoked == vec![digest])
    });
    assert!(spread_ms <= 5_000, "{spread_ms} ms until all nodes knew");
    for _ in 0..600 {
        fleet.step();
    }
    fleet.nodes[11].is_up = true;
    fleet.run_until(20_000, |fleet| fleet.nodes[11].revoked == vec![digest]);
}

// A process is killed and restarted in its slot within a second. Other members
// must accept the new process's record and discard the old one with its target.
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
    let seed = fleet.nodes[0].address;
    let own_record = Record {
        started_unix_ms: 2,
        ..record("n1-2", 1, 2)
    };
    fleet.nodes[1].swim = Swim::new(own_record, vec![seed]);
    fleet.run_until(10_000, |fleet| {
        [0, 2].iter().all(|index| {
            let member = fleet.nodes[*index].view.member("n1-2");
            member.is_some_and(|member| {
                member.started_unix_ms == 2 && member.state == MemberState::Alive
            })
        })
    });
}

// A process is killed and restarted after its instance's clock was set back, so
// its start time is before that of the record that others hold. If the others
// kept the old record, the new process's target would receive no requests until
// the clock has caught up.
#[test]
fn a_restart_under_a_clock_set_back_replaces_the_old_record() {
    let mut fleet = Fleet::new(1, 3, 82);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    let seed = fleet.nodes[0].address;
    let departed = OwnState {
        left: true,
        ..OwnState::default()
    };
    fleet.set_state(1, departed);
    fleet.run_until(10_000, |fleet| {
        [0, 2]
            .iter()
            .all(|index| fleet.member_state(*index, "n1-2") == Some(MemberState::Left))
    });
    let own_record = Record {
        started_unix_ms: 0,
        ..record("n1-2", 1, 2)
    };
    fleet.nodes[1].swim = Swim::new(own_record, vec![seed]);
    fleet.nodes[1].swim.add_seeds(&SeedAddresses {
        same_zone: vec![seed],
        other_zones: Vec::new(),
    });
    fleet.run_until(2_000, Fleet::all_see_each_other);
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
        let expected = names(&fleet.nodes[0].view, zone);
        assert_eq!(expected.len(), 2);
        assert!(
            fleet
                .nodes
                .iter()
                .all(|node| names(&node.view, zone) == expected)
        );
    }
}

// An operator publishes a change. If members received versions only in replies
// to their own probes, a large zone would apply the old rules, and accept
// revoked keys, for more than ten seconds.
#[test]
fn a_new_version_reaches_all_members_within_five_seconds() {
    struct Case {
        zone_count: u8,
        nodes_per_zone: u8,
        loss_ratio: f64,
    }
    let cases = [
        Case {
            zone_count: 1,
            nodes_per_zone: 97,
            loss_ratio: 0.0,
        },
        Case {
            zone_count: 1,
            nodes_per_zone: 97,
            loss_ratio: 0.05,
        },
        Case {
            zone_count: 6,
            nodes_per_zone: 16,
            loss_ratio: 0.05,
        },
    ];
    for (seed, case) in (100..).zip(cases) {
        let mut fleet = Fleet::new(case.zone_count, case.nodes_per_zone, seed);
        fleet.run_until(120_000, Fleet::all_see_each_other);
        fleet.loss_ratio = case.loss_ratio;
        for version in 1..=5 {
            let published = Versions([version, 0, 0, 0]);
            fleet.nodes[0].announced_versions = published;
            let start_ms = fleet.now_ms;
            while fleet
                .nodes
                .iter()
                .any(|node| node.state.versions != published)
            {
                fleet.fetch_versions();
                fleet.step();
                let spread_ms = fleet.now_ms - start_ms;
                assert!(spread_ms <= 5_000, "seed {seed}, version {version}");
            }
        }
    }
}

// The platform is down and some datagrams are lost. A node is fully in service
// only while every zone replies to its probes: if a zone were probed too
// rarely, two losses would make a healthy node refuse orders as cut off. While
// the platform is up, polls that are propagated too late would do the same.
#[test]
fn packet_loss_alone_keeps_replies_and_polls_fresh() {
    let mut fleet = Fleet::new(6, 10, 111);
    fleet.run_until(60_000, Fleet::all_see_each_other);
    fleet.loss_ratio = 0.05;
    let mut reply_count = 0_u32;
    let mut old_reply_count = 0_u32;
    let mut poll_count = 0_u32;
    let mut old_poll_count = 0_u32;
    let measure_from_ms = fleet.now_ms + 20_000;
    while fleet.now_ms < measure_from_ms + 60_000 {
        fleet.step();
        fleet.poll_and_propagate();
        let now_ms = fleet.now_ms;
        for node in &mut fleet.nodes {
            node.stamps
                .retain(|stamp| stamp.probe_sent_ms + 2 * REPLY_LIMIT_MS > now_ms);
        }
        if now_ms < measure_from_ms {
            continue;
        }
        for node in &fleet.nodes {
            for zone in (1..=6).map(|zone| format!("z{zone}")) {
                let replied_ms = node.last_replied_probe_ms(&zone).unwrap_or(0);
                reply_count += 1;
                old_reply_count += u32::from(now_ms >= replied_ms + REPLY_LIMIT_MS);
            }
            let polled_ms = node.state.platform_seen_ms.unwrap_or(0);
            poll_count += 1;
            old_poll_count += u32::from(now_ms >= polled_ms + FRESH_LIMIT_MS);
        }
    }
    println!("old replies: {old_reply_count} of {reply_count}");
    println!("old polls: {old_poll_count} of {poll_count}");
    assert!(old_reply_count * 1000 <= reply_count);
    assert!(old_poll_count * 1000 <= poll_count);
}

fn sample_packet() -> Packet {
    let target = Announcement {
        service: "orders".to_owned(),
        slot_count: 4,
        connection_count: 9,
        draining: true,
        process_id: 3,
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
        versions: Versions([1, 2, 3, 4]),
        platform_age_ms: Some(4),
        is_origin_failing: true,
        table_hash: 5,
        updates: vec![Record {
            liveness: Liveness::Suspect,
            ..record("n2-1", 2, 1)
        }],
        revocations: vec![KeyDigest([7; 32])],
    }
}

#[test]
fn packets_are_decoded_as_encoded() {
    let codec = PacketCodec::new(SECRET);
    let packet = sample_packet();
    let decoded = codec.decode(&codec.encode(&packet)).unwrap();
    assert_eq!(decoded, Datagram::Packet(Box::new(packet.clone())));
    let minimal = Packet {
        kind: PacketKind::Ack,
        platform_age_ms: None,
        is_origin_failing: false,
        updates: Vec::new(),
        revocations: Vec::new(),
        ..packet
    };
    let decoded = codec.decode(&codec.encode(&minimal)).unwrap();
    assert_eq!(decoded, Datagram::Packet(Box::new(minimal.clone())));
}

// Anyone who reaches the port can send datagrams. Without authentication a
// stranger could add members and receive requests with their contexts.
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
        // Tagged with the correct secret, so that the parser is reached.
        let codec = PacketCodec::new(SECRET);
        let _ = codec.decode(&bytes);
        let _ = codec.decode(&codec.tagged(&bytes));
    });
}
