//! Fleet membership: which nodes and targets exist, by SWIM-like gossip over
//! UDP.
//!
//! `Swim` is the protocol as pure state: it performs no I/O and reads no clock.
//! `Gossip` owns the socket and drives it.

mod codec;
mod dissemination;
mod gossip;
mod joining;
mod liveness_probe;
mod member;
mod packet;
mod pending_updates;
mod probes;
mod probing;
mod relays;
mod seeds;
mod swim;
mod table;
mod table_sync;
mod update_queue;
mod updates;
mod zone_index;

pub use {
    codec::{CodecError, Datagram, PacketCodec},
    gossip::{Gossip, GossipError, GossipInputs, GossipTraffic},
    joining::SeedAddresses,
    liveness_probe::{LivenessProbe, LivenessProbes},
    member::{
        Announcement, Member, MemberPorts, MemberState, OwnState, PeerStamp, View, ViewChanges,
    },
    packet::{Liveness, Packet, PacketKind, Record},
    probes::{MemberProbes, MemberQuery},
    relays::{RELAY_COUNT, relay_rank, relays, responsive_member_count},
    seeds::SeedsRecord,
    swim::{Outgoing, Swim, SwimEvent},
};
