//! Which nodes and targets there are: SWIM-like gossip over UDP.
//!
//! `Swim` is the protocol without I/O and clock, `Gossip` the shell that owns
//! the socket.

mod codec;
mod gossip;
mod joining;
mod life_check;
mod member;
mod news;
mod packet;
mod probes;
mod probing;
mod relays;
mod seeds;
mod spreading;
mod swim;
mod table;

pub use {
    codec::{CodecError, Datagram, PacketCodec},
    gossip::{Gossip, GossipError, GossipInputs, GossipTraffic},
    joining::SeedAddresses,
    life_check::{LifeCheck, LifeChecks},
    member::{Announcement, Member, MemberPorts, MemberState, OwnState, PeerStamp, View},
    packet::{Liveness, Packet, PacketKind, Record},
    probes::{MemberProbes, MemberQuestion},
    relays::{RELAY_COUNT, relay_rank, relays},
    seeds::SeedsRecord,
    swim::{Outgoing, Swim, SwimEvent},
};
