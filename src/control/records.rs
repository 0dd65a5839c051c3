//! What travels between operators and nodes.

use {
    crate::{
        documents::{DocumentKind, Versions},
        freshness::Freshness,
        keys::{KeyDigest, KeyState},
        membership::{Member, MemberState},
        model::{Class, Names},
    },
    std::net::{IpAddr, SocketAddr},
};

/// Versions of the documents that a node holds; 0 where it holds none.
#[derives::record]
#[derive(Copy, Eq, Default)]
pub struct VersionsRecord {
    /// Configuration.
    pub configuration: u64,
    /// Keys.
    pub keys: u64,
    /// Slice table.
    pub slices: u64,
    /// Evacuated availability zones.
    #[serde(default)]
    pub evacuations: u64,
}

impl From<Versions> for VersionsRecord {
    fn from(versions: Versions) -> Self {
        Self {
            configuration: versions.of(DocumentKind::Configuration),
            keys: versions.of(DocumentKind::Keys),
            slices: versions.of(DocumentKind::Slices),
            evacuations: versions.of(DocumentKind::Evacuations),
        }
    }
}

/// How much a node may rely on what it knows of the platform.
#[derives::record]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FreshnessRecord {
    /// Confirmed lately.
    Fresh,
    /// Nobody reaches the platform.
    StoreDown,
    /// Others may reach the platform.
    CutOff,
}

impl From<Freshness> for FreshnessRecord {
    fn from(freshness: Freshness) -> Self {
        match freshness {
            Freshness::Fresh => Self::Fresh,
            Freshness::StoreDown => Self::StoreDown,
            Freshness::CutOff => Self::CutOff,
        }
    }
}

/// State of a member as the asked node knows it.
#[derives::record]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStateRecord {
    /// Answers probes.
    Alive,
    /// Does not answer.
    Suspect,
    /// Takes no new work.
    Draining,
    /// Left after draining.
    Left,
    /// Taken for dead.
    Dead,
}

impl From<MemberState> for MemberStateRecord {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Draining => Self::Draining,
            MemberState::Left => Self::Left,
            MemberState::Dead => Self::Dead,
        }
    }
}

/// A member as the asked node knows it.
#[derives::record]
#[derive(Eq)]
pub struct MemberStatus {
    /// Name of its slot.
    pub node_id: String,
    /// Availability zone.
    pub zone: String,
    /// Address under which nodes reach it.
    pub ip: IpAddr,
    /// Port for operators.
    pub control_port: u16,
    /// State.
    pub state: MemberStateRecord,
    /// Service of its target, once announced.
    pub service: Option<String>,
}

impl MemberStatus {
    /// Address for operators.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.control_port)
    }

    /// Whether it may answer operators. The asked node may be cut off from one
    /// that it takes for dead, and the operator may not be.
    #[must_use]
    pub const fn may_answer(&self) -> bool {
        !matches!(self.state, MemberStateRecord::Left)
    }
}

impl From<&Member> for MemberStatus {
    fn from(member: &Member) -> Self {
        Self {
            node_id: member.node_id.clone(),
            zone: member.zone.clone(),
            ip: member.ip,
            control_port: member.ports.control,
            state: member.state.into(),
            service: member.target.as_ref().map(|target| target.service.clone()),
        }
    }
}

/// A node's own target.
#[derives::record]
#[derive(Eq)]
pub struct TargetStatus {
    /// Its service.
    pub service: String,
    /// Requests that it can work on at a time.
    pub slot_count: u32,
    /// Requests that it works on.
    pub running_count: u32,
    /// Requests that wait for it.
    pub queued_count: u32,
    /// Lowest class that is admitted.
    pub lowest_class: Class,
    /// Running and queued work over the limit, in percent.
    pub load_percent: u16,
    /// It takes no new work.
    pub draining: bool,
    /// It is cold, or may be, and gets no more than it bears.
    #[serde(default)]
    pub is_cold: bool,
    /// Its availability zone is evacuated.
    #[serde(default)]
    pub is_evacuated: bool,
}

/// What a node tells operators.
#[derives::record]
#[derive(Eq)]
pub struct NodeStatus {
    /// Name of its slot.
    pub node_id: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// It has a configuration and serves.
    pub ready: bool,
    /// It takes no new work.
    pub draining: bool,
    /// Revision of the configuration in force; 0 when none is.
    pub revision: u64,
    /// Versions of the documents that it holds.
    pub versions: VersionsRecord,
    /// Age of its last confirmed look at the platform.
    pub platform_seen_age_ms: Option<u64>,
    /// How much it relies on what it knows of the platform.
    pub freshness: FreshnessRecord,
    /// Slices of the quota that it owns.
    pub owned_slice_count: u32,
    /// Its target, once announced.
    pub target: Option<TargetStatus>,
    /// Members that it knows, itself included.
    pub members: Vec<MemberStatus>,
}

/// What a key is worth on a node.
#[derives::record]
#[derive(Eq)]
#[serde(rename_all = "kebab-case")]
pub enum KeyVerdict {
    /// It stands for this workspace.
    Granted {
        /// The workspace.
        workspace: String,
    },
    /// It was revoked.
    Revoked,
    /// It was never granted.
    Unknown,
}

impl KeyVerdict {
    /// The verdict with the workspace's name.
    #[must_use]
    pub fn new(state: KeyState, names: &Names) -> Self {
        match state {
            KeyState::Granted(workspace) => Self::Granted {
                workspace: names.workspace_name(workspace),
            },
            KeyState::Revoked => Self::Revoked,
            KeyState::Unknown => Self::Unknown,
        }
    }
}

/// Features of a request whose fate is asked for.
#[derives::record]
#[derive(Eq, Default)]
pub struct ExplainRequest {
    /// Service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service.
    pub path: String,
    /// Digest of the key; without one the workspace counts.
    pub digest: Option<KeyDigest>,
    /// Workspace, when no key is given.
    pub workspace: Option<String>,
    /// Class instead of the route's one.
    pub class: Option<Class>,
}

/// One decision on the way of a request.
#[derives::record]
#[derive(Eq)]
pub struct ExplainStep {
    /// What is decided: `node`, `key`, `route`, `quota`, `target`, `admission`.
    pub decision: String,
    /// Whether the request goes on.
    pub passed: bool,
    /// Facts behind the decision.
    pub detail: String,
}

/// Why a request would be admitted or refused.
#[derives::record]
#[derive(Eq)]
pub struct Explanation {
    /// The asked node.
    pub node_id: String,
    /// Whether all decisions let it go on.
    pub admitted: bool,
    /// Reason code of the first refusal, as in the reason header.
    pub reason: Option<String>,
    /// Decisions in their order.
    pub steps: Vec<ExplainStep>,
}
