//! Views of the members, and what follows a change of them.

#[path = "membership_support/mod.rs"]
mod membership_support;

use {
    dogwoodbridge::membership::{Liveness, Member, MemberState, PacketKind, Record, Swim, View},
    membership_support::record,
    rand::{SeedableRng, rngs::StdRng},
    std::sync::Arc,
};

const OWN_ID: &str = "n1-1";

fn members(node_ids: &[&str]) -> Vec<Member> {
    let records = node_ids.iter().map(|node_id| record(node_id, 1, 1));
    records.map(|record| record.to_member()).collect()
}

/// A node that knows this many others, with updates about all of them pending.
struct Fixture {
    swim: Swim,
    rng: StdRng,
    now_ms: u64,
}

impl Fixture {
    fn new(member_count: usize) -> Self {
        let mut fixture = Self {
            swim: Swim::new(record(OWN_ID, 1, 1), Vec::new()),
            rng: StdRng::seed_from_u64(7),
            now_ms: 0,
        };
        for index in 0..member_count {
            fixture.receive(other(index));
        }
        fixture
    }

    fn receive(&mut self, record: Record) {
        let sender = other(0);
        let mut packet = membership_support::empty_packet(&sender);
        packet.updates.push(record);
        self.swim.receive(
            &packet,
            sender.gossip_address(),
            self.now_ms,
            &mut self.rng,
            &mut Vec::new(),
            &mut Vec::new(),
        );
    }

    /// Records of the first packet with updates that the next tick sends.
    fn next_updates(&mut self) -> Vec<Record> {
        self.now_ms += 100;
        let mut out = Vec::new();
        self.swim
            .tick(self.now_ms, &mut self.rng, &mut out, &mut Vec::new());
        let packets = out.into_iter().map(|outgoing| outgoing.packet);
        let mut updates = packets.filter(|packet| packet.kind == PacketKind::Updates);
        updates.next().expect("updates are pending").updates
    }
}

fn other(index: usize) -> Record {
    let byte = |n: usize| u8::try_from(n).expect("small");
    record(
        &format!("m{index:04}"),
        1 + byte(index / 200),
        byte(index % 200 + 2),
    )
}

/// A view is compared with the previous one to update targets and links. If one
/// change were taken for several, each datagram of a fleet that starts would
/// cause work for all members.
#[test]
fn changes_between_views_are_those_of_their_members() {
    struct Case {
        name: &'static str,
        before: &'static [&'static str],
        after: &'static [&'static str],
        changed: &'static [&'static str],
        removed: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "first view",
            before: &[],
            after: &["b", "a"],
            changed: &["a", "b"],
            removed: &[],
        },
        Case {
            name: "equal members in other allocations",
            before: &["a", "b"],
            after: &["a", "b"],
            changed: &[],
            removed: &[],
        },
        Case {
            name: "one joins between others",
            before: &["a", "c"],
            after: &["a", "b", "c"],
            changed: &["b"],
            removed: &[],
        },
        Case {
            name: "first and last leave",
            before: &["a", "b", "c"],
            after: &["b"],
            changed: &[],
            removed: &["a", "c"],
        },
        Case {
            name: "one is replaced by another",
            before: &["a", "b"],
            after: &["a", "c"],
            changed: &["c"],
            removed: &["b"],
        },
    ];
    for case in cases {
        let before = View::new(members(case.before));
        let after = View::new(members(case.after));
        let changes = after.changes_since(&before);
        let ids = |members: Vec<&Member>| -> Vec<String> {
            members
                .iter()
                .map(|member| member.node_id.clone())
                .collect()
        };
        assert_eq!(ids(changes.changed), case.changed, "{}", case.name);
        assert_eq!(ids(changes.removed), case.removed, "{}", case.name);
    }
}

/// Each member of a large fleet was copied for each view, so that a start cost
/// every node the square of the fleet.
#[test]
fn a_view_shares_the_members_that_did_not_change() {
    for member_count in [100, 200, 400] {
        let mut fixture = Fixture::new(member_count);
        let before = fixture.swim.take_view().expect("members joined");
        let leaving = Record {
            liveness: Liveness::Left,
            ..other(1)
        };
        fixture.receive(leaving);
        let after = fixture.swim.take_view().expect("a member left");
        let shared_count = after
            .members
            .iter()
            .filter(|member| before.members.iter().any(|old| Arc::ptr_eq(old, member)))
            .count();
        // The node itself is not in the table.
        assert_eq!(shared_count, member_count - 1, "of {member_count}");
        let changes = after.changes_since(&before);
        assert_eq!(changes.changed.len(), 1);
        assert_eq!(changes.changed[0].state, MemberState::Left);
    }
}

/// A target drains, dies or returns while the updates of a fleet's start are
/// still pending. Behind them, other nodes learned of it after tens of seconds.
#[test]
fn changes_of_availability_are_sent_before_the_joins_of_a_start() {
    struct Case {
        name: &'static str,
        change: fn(&mut Record),
    }
    let cases = [
        Case {
            name: "drains",
            change: |record| record.draining = true,
        },
        Case {
            name: "died",
            change: |record| record.liveness = Liveness::Dead,
        },
        Case {
            name: "left",
            change: |record| record.liveness = Liveness::Left,
        },
    ];
    for case in cases {
        for member_count in [100, 200, 400, 800] {
            let mut fixture = Fixture::new(member_count);
            let mut changed = other(member_count / 2);
            changed.incarnation += 1;
            (case.change)(&mut changed);
            fixture.receive(changed.clone());
            let updates = fixture.next_updates();
            assert_eq!(
                updates.first(),
                Some(&changed),
                "{} among {member_count}",
                case.name
            );
        }
    }
}
