//! Gossip over an in-memory network with losses, cuts and pauses.

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
    membership_support::{Fleet, Host, record},
    std::net::SocketAddr,
};

const SECRET: &str = "a fleet secret for tests";

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
        let far: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.address).collect();
        let seeds = SeedAddresses {
            near: Vec::new(),
            far,
        };
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
    for seed in [6, 11, 17, 25, 36, 49] {
        let mut fleet = Fleet::new(3, 4, seed);
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
                assert_eq!(dead, None, "seed {seed} at {} ms", fleet.now_ms);
            }
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
        versions: Versions([5, 6, 7, 8]),
        platform_seen_ms: Some(seen_ms),
        ..OwnState::default()
    };
    fleet.set_state(0, state);
    fleet.hosts[1].stamps.clear();
    fleet.run_until(5_000, |fleet| !fleet.hosts[1].stamps.is_empty());
    let stamp = &fleet.hosts[1].stamps[0];
    assert_eq!(stamp.versions, Versions([5, 6, 7, 8]));
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

// A process is killed and started again while its instance's clock is set back. By
// its start it seems older than the record that others hold; were that believed, the
// target that the new process serves would get no work until the clock has caught up.
#[test]
fn a_restart_under_a_clock_set_back_replaces_the_old_record() {
    let mut fleet = Fleet::new(1, 3, 82);
    fleet.run_until(20_000, Fleet::all_see_each_other);
    let seed = fleet.hosts[0].address;
    let left = OwnState {
        left: true,
        ..OwnState::default()
    };
    fleet.set_state(1, left);
    fleet.run_until(10_000, |fleet| {
        [0, 2]
            .iter()
            .all(|i| fleet.state_at(*i, "n1-2") == Some(MemberState::Left))
    });
    let own = Record {
        started_unix_ms: 0,
        ..record("n1-2", 1, 2)
    };
    fleet.hosts[1].swim = Swim::new(own, vec![seed]);
    fleet.hosts[1].swim.add_seeds(&SeedAddresses {
        near: vec![seed],
        far: Vec::new(),
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

// An operator publishes a change. Were members to learn of it from replies to
// their own probes alone, a large zone would go on for ten seconds and more
// with the old rules, and with keys that were revoked.
#[test]
fn a_new_version_reaches_all_members_within_five_seconds() {
    struct Case {
        zone_count: u8,
        per_zone: u8,
        loss_ratio: f64,
    }
    let cases = [
        Case {
            zone_count: 1,
            per_zone: 97,
            loss_ratio: 0.0,
        },
        Case {
            zone_count: 1,
            per_zone: 97,
            loss_ratio: 0.05,
        },
        Case {
            zone_count: 6,
            per_zone: 16,
            loss_ratio: 0.05,
        },
    ];
    for (seed, case) in (100..).zip(cases) {
        let mut fleet = Fleet::new(case.zone_count, case.per_zone, seed);
        fleet.run_until(120_000, Fleet::all_see_each_other);
        fleet.loss_ratio = case.loss_ratio;
        for version in 1..=5 {
            let published = Versions([version, 0, 0, 0]);
            fleet.hosts[0].told = published;
            let start_ms = fleet.now_ms;
            while fleet
                .hosts
                .iter()
                .any(|host| host.state.versions != published)
            {
                fleet.fetch_versions();
                fleet.step();
                let spread_ms = fleet.now_ms - start_ms;
                assert!(spread_ms <= 5_000, "seed {seed}, version {version}");
            }
        }
    }
}

// The platform is down and some datagrams get lost, as they do. A node goes on
// with everything only while every zone answers it: were a zone asked too
// rarely, two losses would have a healthy node refuse orders as cut off. While
// the platform is up, looks that come too late would do the same.
#[test]
fn losses_alone_leave_replies_and_looks_young_enough() {
    let mut fleet = Fleet::new(6, 10, 111);
    fleet.run_until(60_000, Fleet::all_see_each_other);
    fleet.loss_ratio = 0.05;
    let mut reply_count = 0_u32;
    let mut old_reply_count = 0_u32;
    let mut look_count = 0_u32;
    let mut old_look_count = 0_u32;
    let warm_ms = fleet.now_ms + 20_000;
    while fleet.now_ms < warm_ms + 60_000 {
        fleet.step();
        fleet.look_and_learn();
        let now_ms = fleet.now_ms;
        for host in &mut fleet.hosts {
            host.stamps
                .retain(|stamp| stamp.probe_sent_ms + 2 * REPLY_LIMIT_MS > now_ms);
        }
        if now_ms < warm_ms {
            continue;
        }
        for host in &fleet.hosts {
            for zone in (1..=6).map(|zone| format!("z{zone}")) {
                let replied_ms = host.last_reply_ms(&zone).unwrap_or(0);
                reply_count += 1;
                old_reply_count += u32::from(now_ms >= replied_ms + REPLY_LIMIT_MS);
            }
            let seen_ms = host.state.platform_seen_ms.unwrap_or(0);
            look_count += 1;
            old_look_count += u32::from(now_ms >= seen_ms + FRESH_LIMIT_MS);
        }
    }
    println!("old replies: {old_reply_count} of {reply_count}");
    println!("old looks: {old_look_count} of {look_count}");
    assert!(old_reply_count * 1000 <= reply_count);
    assert!(old_look_count * 1000 <= look_count);
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
fn packets_survive_the_wire() {
    let codec = PacketCodec::new(SECRET);
    let packet = sample_packet();
    let decoded = codec.decode(&codec.encode(&packet)).unwrap();
    assert_eq!(decoded, Datagram::Packet(Box::new(packet.clone())));
    let bare = Packet {
        kind: PacketKind::Ack,
        platform_age_ms: None,
        is_origin_failing: false,
        updates: Vec::new(),
        revocations: Vec::new(),
        ..packet
    };
    let decoded = codec.decode(&codec.encode(&bare)).unwrap();
    assert_eq!(decoded, Datagram::Packet(Box::new(bare.clone())));
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
