//! Nodes and their targets as gossip knows them.

use {
    crate::documents::Versions,
    std::net::{IpAddr, SocketAddr},
};

/// State of a member as this node knows it.
#[derives::key]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Does not answer; may refute with a higher incarnation.
    Suspect,
    /// Takes no new work and will leave.
    Draining,
    /// Left after draining.
    Left,
    /// Was suspected and did not refute.
    Dead,
}

/// What a target told its node about itself.
#[derives::value]
#[derive(Eq, Hash)]
pub struct Announcement {
    /// Service that it serves.
    pub service: String,
    /// Requests that it can work on at a time.
    pub slot_count: u32,
    /// Connections that it accepts.
    pub connection_count: u32,
    /// It asked for no new work.
    pub draining: bool,
}

/// Ports of a member, all on its reachable address.
#[derives::value]
#[derive(Copy, Eq, Hash)]
pub struct MemberPorts {
    /// HTTP/2 between nodes.
    pub peer: u16,
    /// Gossip, UDP.
    pub gossip: u16,
    /// Bank and relay calls.
    pub rpc: u16,
    /// Operators.
    pub control: u16,
}

/// A node of the fleet.
#[derives::value]
#[derive(Eq)]
pub struct Member {
    /// Name of its slot.
    pub node_id: String,
    /// Address under which other nodes reach it.
    pub ip: IpAddr,
    /// Ports on this address.
    pub ports: MemberPorts,
    /// Region of its instance.
    pub region: String,
    /// Availability zone of its instance.
    pub zone: String,
    /// Start of the process, in milliseconds since the Unix epoch; tells a
    /// restart in place from a refutation.
    pub started_unix_ms: u64,
    /// Raised by the member itself to refute a suspicion.
    pub incarnation: u32,
    /// State as this node knows it.
    pub state: MemberState,
    /// Its target, once it announced itself.
    pub target: Option<Announcement>,
}

impl Member {
    /// Whether work may be sent to it: alive or merely suspected. A suspicion
    /// alone ejects nobody, since one lost datagram can raise it.
    #[must_use]
    pub const fn is_usable(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Address for HTTP/2 between nodes.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.peer)
    }

    /// Address of the gossip socket.
    #[must_use]
    pub const fn gossip_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.gossip)
    }

    /// Address for bank and relay calls.
    #[must_use]
    pub const fn rpc_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.rpc)
    }
}

/// All members that this node knows, itself included, sorted by `node_id`.
#[derives::value]
#[derive(Eq, Default)]
pub struct View {
    /// Members in every state except those long gone.
    pub members: Vec<Member>,
}

impl View {
    /// The member of this name.
    #[must_use]
    pub fn member(&self, node_id: &str) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.node_id.as_str().cmp(node_id));
        index.ok().map(|index| &self.members[index])
    }
}

/// What this node tells others about itself through gossip.
#[derives::value]
#[derive(Eq, Default)]
pub struct OwnState {
    /// Its target, once it announced itself.
    pub target: Option<Announcement>,
    /// It takes no new work.
    pub draining: bool,
    /// It is about to exit; told so that nobody has to suspect it.
    pub left: bool,
    /// Versions of the documents that it holds.
    pub versions: Versions,
    /// Age of its last confirmed look at the platform, if it had one, as a
    /// point on its own monotonic clock in milliseconds.
    pub platform_seen_ms: Option<u64>,
    /// Its calls to the documents' origin fail.
    pub is_origin_failing: bool,
}

/// What a member told in reply to a probe of this node.
///
/// Replies to own probes only: a node that can hear others but is not heard
/// by them gets none, and so notices that it is cut off.
#[derives::value]
#[derive(Eq)]
pub struct PeerStamp {
    /// The member that replied.
    pub node_id: String,
    /// Its availability zone.
    pub zone: String,
    /// Versions of the documents that it holds.
    pub versions: Versions,
    /// Its last confirmed look at the platform, on this node's monotonic
    /// clock, counted back from when the probe was sent.
    pub platform_seen_ms: Option<u64>,
    /// Its calls to the documents' origin fail.
    pub is_origin_failing: bool,
    /// When this node sent the probe.
    pub probe_sent_ms: u64,
}
