//! Typed gossip messages.

use {
    super::{Announcement, Member, MemberPorts, MemberState},
    crate::{documents::Versions, keys::KeyDigest},
    std::net::{IpAddr, SocketAddr},
};

/// Whether a member responds, independent of whether it drains.
#[derives::key]
pub enum Liveness {
    /// Responds to probes.
    Alive = 0,
    /// Did not respond and has not refuted yet.
    Suspect = 1,
    /// Was suspected and did not refute in time.
    Dead = 2,
    /// Announced its own departure.
    Left = 3,
}

impl Liveness {
    /// The liveness with this code on the wire, if the code is known.
    #[must_use]
    pub const fn from_code(code: u8) -> Option<Self> {
        match code {
            0 => Some(Self::Alive),
            1 => Some(Self::Suspect),
            2 => Some(Self::Dead),
            3 => Some(Self::Left),
            _ => None,
        }
    }
}

/// What gossip propagates about a member.
#[derives::value]
#[derive(Eq, Hash)]
pub struct Record {
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
    /// Start of its process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Raised by the member with every change of its own record.
    pub incarnation: u32,
    /// Whether it responds to probes.
    pub liveness: Liveness,
    /// It accepts no new requests.
    pub draining: bool,
    /// Its target, once the target has announced itself.
    pub target: Option<Announcement>,
}

impl Record {
    /// Address of its gossip socket.
    #[must_use]
    pub const fn gossip_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.gossip)
    }

    /// Whether this record replaces `other`, of the same member.
    ///
    /// A later process start wins, then the higher incarnation, then the worse
    /// liveness: a suspicion replaces the alive record that it concerns, and
    /// only the member itself can refute it, with a higher incarnation.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let rank = |record: &Self| (record.started_unix_ms, record.incarnation, record.liveness);
        rank(self) > rank(other)
    }

    /// The member in the form that other modules use.
    #[must_use]
    pub fn to_member(&self) -> Member {
        let state = match self.liveness {
            Liveness::Left => MemberState::Left,
            Liveness::Dead => MemberState::Dead,
            _ if self.draining => MemberState::Draining,
            Liveness::Suspect => MemberState::Suspect,
            Liveness::Alive => MemberState::Alive,
        };
        Member {
            node_id: self.node_id.clone(),
            ip: self.ip,
            ports: self.ports,
            region: self.region.clone(),
            zone: self.zone.clone(),
            started_unix_ms: self.started_unix_ms,
            incarnation: self.incarnation,
            state,
            target: self.target.clone(),
        }
    }
}

/// What a packet requests or responds to.
#[derives::value]
#[derive(Eq)]
pub enum PacketKind {
    /// Requests an ack.
    Ping,
    /// Responds to the ping with the same sequence.
    Ack,
    /// Requests that the receiver probe another member for the sender.
    PingRequest {
        /// Node id of the member to probe.
        subject: String,
    },
    /// Reports that the probed member responded; has the sequence of the ping
    /// request.
    IndirectAck,
    /// Requests all records.
    SyncRequest,
    /// Some of the records that a sync request returns.
    SyncPart,
    /// Carries updates; needs no response.
    Updates,
}

/// One datagram.
#[derives::value]
#[derive(Eq)]
pub struct Packet {
    /// The sender's own record.
    pub sender: Record,
    /// Matches probes with their responses.
    pub sequence: u64,
    /// What it requests or responds to.
    pub kind: PacketKind,
    /// Versions of the documents that the sender holds.
    pub versions: Versions,
    /// Age of the sender's last confirmed poll of the platform, if any, in
    /// milliseconds.
    pub platform_age_ms: Option<u64>,
    /// The sender's calls to the documents' origin fail.
    pub is_origin_failing: bool,
    /// Sum of the hashes of the sender's records; equal tables have equal sums.
    pub table_hash: u64,
    /// Updates about other members.
    pub updates: Vec<Record>,
    /// Digests of revoked keys.
    pub revocations: Vec<KeyDigest>,
}
