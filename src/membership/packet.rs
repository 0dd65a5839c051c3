//! Typed gossip messages.

use {
    super::{Announcement, Member, MemberPorts, MemberState},
    crate::{documents::Versions, keys::KeyDigest},
    std::net::{IpAddr, SocketAddr},
};

/// Whether a member answers, apart from whether it drains.
#[derives::key]
pub enum Liveness {
    /// Answers probes.
    Alive = 0,
    /// Did not answer and has not refuted yet.
    Suspect = 1,
    /// Was suspected and did not refute in time.
    Dead = 2,
    /// Said itself that it leaves.
    Left = 3,
}

impl Liveness {
    /// The liveness with this code on the wire.
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

/// What gossip carries about a member.
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
    /// Whether it answers.
    pub liveness: Liveness,
    /// It takes no new work.
    pub draining: bool,
    /// Its target, once it announced itself.
    pub target: Option<Announcement>,
}

impl Record {
    /// Address of its gossip socket.
    #[must_use]
    pub const fn gossip_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.gossip)
    }

    /// Whether this record is news compared to `other`, of the same member.
    ///
    /// A later process beats an earlier one, then the higher incarnation,
    /// then the worse liveness: a suspicion beats the life that it doubts,
    /// and only the member itself can refute it, by a higher incarnation.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let rank = |record: &Self| (record.started_unix_ms, record.incarnation, record.liveness);
        rank(self) > rank(other)
    }

    /// The member as other parts see it.
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

/// What a packet asks for or answers.
#[derives::value]
#[derive(Eq)]
pub enum PacketKind {
    /// Asks for an ack.
    Ping,
    /// Answers a ping with the same sequence.
    Ack,
    /// Asks the receiver to probe another member on the sender's behalf.
    PingRequest {
        /// Node id of the member to probe.
        subject: String,
    },
    /// Tells that the probed member answered; the sequence of the request.
    IndirectAck,
    /// Asks for all records.
    SyncRequest,
    /// Some of all records.
    SyncPart,
    /// Carries news; nothing is answered.
    News,
}

/// One datagram.
#[derives::value]
#[derive(Eq)]
pub struct Packet {
    /// The sender's own record.
    pub sender: Record,
    /// Pairs probes with replies.
    pub sequence: u64,
    /// What it asks for or answers.
    pub kind: PacketKind,
    /// Documents that the sender holds.
    pub versions: Versions,
    /// Age of the sender's last confirmed look at the platform.
    pub platform_age_ms: Option<u64>,
    /// Calls of the sender to the documents' origin fail.
    pub is_origin_failing: bool,
    /// Sum of the hashes of the sender's records.
    pub table_hash: u64,
    /// News about other members.
    pub updates: Vec<Record>,
    /// News about revoked keys.
    pub revocations: Vec<KeyDigest>,
}
