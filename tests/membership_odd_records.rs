//! Records that gossip packets hold and that this version cannot read.

use {
    capnp::serialize_packed,
    dogwoodbridge::{
        membership::{Datagram, PacketCodec},
        schema::gossip_capnp::{packet, record},
    },
};

fn write_record(mut record: record::Builder<'_>, node_id: &str) {
    record.set_node_id(node_id);
    record.set_ip(&[10, 0, 0, 1]);
    record.set_peer_port(7000);
    record.set_gossip_port(7001);
    record.set_region("r");
    record.set_zone("a");
}

/// Guards against one record of another version, or one revoked key, that makes the whole packet
/// unreadable, so that a node does not learn of the other members.
#[test]
fn an_odd_record_spoils_no_other_of_a_packet() {
    struct Case {
        name: &'static str,
        spoil: fn(record::Builder<'_>),
    }
    let cases = [
        Case {
            name: "an unknown liveness",
            spoil: |mut record| record.set_liveness(9),
        },
        Case {
            name: "an address of three bytes",
            spoil: |mut record| record.set_ip(&[10, 0, 0]),
        },
        Case {
            name: "no address",
            spoil: |mut record| record.set_ip(&[]),
        },
    ];
    let codec = PacketCodec::new("the-fleet");
    for case in cases {
        let mut message = capnp::message::Builder::new_default();
        let mut packet = message.init_root::<packet::Builder<'_>>();
        write_record(packet.reborrow().init_sender(), "sender");
        let mut updates = packet.reborrow().init_updates(3);
        for index in 0..3 {
            write_record(updates.reborrow().get(index), &format!("node-{index}"));
        }
        (case.spoil)(updates.get(1));
        let mut revocations = packet.init_revocations(2);
        revocations.set(0, &[7; 5]);
        revocations.set(1, &[8; 32]);
        let mut body = Vec::new();
        serialize_packed::write_message(&mut body, &message).unwrap();
        let Datagram::Packet(packet) = codec.decode(&codec.tagged(&body)).unwrap() else {
            panic!("a packet");
        };
        let ids: Vec<&str> = packet
            .updates
            .iter()
            .map(|update| &*update.node_id)
            .collect();
        assert_eq!(ids, ["node-0", "node-2"], "{}", case.name);
        assert_eq!(packet.revocations.len(), 1, "{}", case.name);
    }
}
