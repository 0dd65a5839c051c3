//! Members of the fleet: nodes and their targets.

use {
    super::relays::ZoneSummaries,
    crate::documents::Versions,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{Arc, OnceLock},
    },
};

/// State of a member in this node's view.
#[derives::key]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Does not respond to probes; may refute with a higher incarnation.
    Suspect,
    /// Accepts no new requests and will leave.
    Draining,
    /// Left after draining.
    Left,
    /// Was suspected and did not refute in time.
    Dead,
}

/// What a target announced to its node about itself.
#[derives::value]
#[derive(Eq, Hash)]
pub struct Announcement {
    /// Name of its service.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slot_count: u32,
    /// Maximum number of connections that it accepts.
    pub connection_count: u32,
    /// It requested to receive no new requests.
    pub draining: bool,
    /// Differs between processes of the target; 0 if unknown.
    pub process_id: u64,
}

/// Ports of a member, all on its reachable address.
#[derives::value]
#[derive(Copy, Eq, Hash)]
pub struct MemberPorts {
    /// HTTP/2 between nodes.
    pub peer: u16,
    /// Gossip, UDP.
    pub gossip: u16,
    /// RPC to token pools and relays.
    pub rpc: u16,
    /// Control requests of operators.
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
    /// Start of the process, in milliseconds since the Unix epoch;
    /// distinguishes a restart in the same slot from a refutation.
    pub started_unix_ms: u64,
    /// Raised by the member itself to refute a suspicion.
    pub incarnation: u32,
    /// State in this node's view.
    pub state: MemberState,
    /// Its target, once the target has announced itself.
    pub target: Option<Announcement>,
}

impl Member {
    /// Whether requests may be sent to it: alive or merely suspected. A
    /// suspicion alone excludes no member, since a single lost datagram can
    /// cause it.
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

    /// Address for RPC to token pools and relays.
    #[must_use]
    pub const fn rpc_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.rpc)
    }
}

/// All members that this node knows, itself included, sorted by `node_id`.
///
/// Consecutive views share the members that have not changed, so that a view
/// costs a pointer for each member and [`View::changes_since`] compares pointers.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Members in every state, except those whose tombstone has expired.
    pub members: Vec<Arc<Member>>,
    /// Derived from the members when it is first needed.
    zones: OnceLock<ZoneSummaries>,
}

impl PartialEq for View {
    fn eq(&self, other: &Self) -> bool {
        self.members == other.members
    }
}

impl Eq for View {}

/// Differences between two views.
#[derive(Debug, Default)]
pub struct ViewChanges<'a> {
    /// Members that are new or have changed.
    pub changed: Vec<&'a Member>,
    /// Members that the later view no longer contains.
    pub removed: Vec<&'a Member>,
}

impl View {
    /// A view of these members.
    #[must_use]
    pub fn new(members: impl IntoIterator<Item: Into<Arc<Member>>>) -> Self {
        let mut members: Vec<Arc<Member>> = members.into_iter().map(Into::into).collect();
        members.sort_by(|left, right| left.node_id.cmp(&right.node_id));
        Self::from_sorted(members)
    }

    /// A view of these members, which are sorted by node id.
    pub(super) const fn from_sorted(members: Vec<Arc<Member>>) -> Self {
        Self {
            members,
            zones: OnceLock::new(),
        }
    }

    /// Relays and sizes of the availability zones.
    pub(super) fn zones(&self) -> &ZoneSummaries {
        self.zones.get_or_init(|| ZoneSummaries::new(&self.members))
    }

    /// All members.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Member> + Clone {
        self.members.iter().map(Arc::as_ref)
    }

    /// The member with this node id.
    #[must_use]
    pub fn member(&self, node_id: &str) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.node_id.as_str().cmp(node_id));
        index.ok().map(|index| self.members[index].as_ref())
    }

    /// Differences between this view and an earlier one.
    #[must_use]
    pub fn changes_since<'a>(&'a self, earlier: &'a Self) -> ViewChanges<'a> {
        let mut changes = ViewChanges::default();
        let mut old_members = earlier.members.iter().peekable();
        for member in &self.members {
            if old_members
                .next_if(|old| Arc::ptr_eq(old, member))
                .is_some()
            {
                continue;
            }
            while let Some(old) = old_members.next_if(|old| old.node_id < member.node_id) {
                changes.removed.push(old);
            }
            let old = old_members.next_if(|old| old.node_id == member.node_id);
            if old != Some(member) {
                changes.changed.push(member);
            }
        }
        changes.removed.extend(old_members.map(Arc::as_ref));
        changes
    }
}

/// What this node publishes about itself through gossip.
#[derives::value]
#[derive(Eq, Default)]
pub struct OwnState {
    /// Its target, once the target has announced itself.
    pub target: Option<Announcement>,
    /// It accepts no new requests.
    pub draining: bool,
    /// It is about to exit; published so that no member has to suspect it.
    pub left: bool,
    /// Versions of the documents that it holds.
    pub versions: Versions,
    /// Time of its last confirmed poll of the platform, if any, in milliseconds
    /// on its own monotonic clock.
    pub platform_seen_ms: Option<u64>,
    /// Its calls to the documents' origin fail.
    pub is_origin_failing: bool,
}

/// Status that a member reported in its ack to a probe of this node.
///
/// Only acks to this node's own probes yield one. A node that receives
/// datagrams but whose own datagrams are lost gets none, and so detects that it
/// is cut off.
#[derives::value]
#[derive(Eq)]
pub struct PeerStamp {
    /// Node id of the member.
    pub node_id: String,
    /// Its availability zone.
    pub zone: String,
    /// Versions of the documents that it holds.
    pub versions: Versions,
    /// Its last confirmed poll of the platform, in milliseconds on this node's
    /// monotonic clock, computed back from when the probe was sent.
    pub platform_seen_ms: Option<u64>,
    /// Its calls to the documents' origin fail.
    pub is_origin_failing: bool,
    /// When this node sent the probe, in milliseconds on its monotonic clock.
    pub probe_sent_ms: u64,
}
