//! The TOML form of scenarios.

use {
    crate::mesh::ConfFile,
    standins::{faultproxy::Rule, platform, target},
};

/// A scenario file.
#[derives::record]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in the report.
    pub name: String,
    /// What it shows, and how it was scaled to the machine.
    #[serde(default)]
    pub description: String,
    /// Seed of arrival times.
    #[serde(default)]
    pub seed: u64,
    /// Wait between the start of the nodes and the load. A fleet that starts
    /// as a whole has yet to share out its slices; until then it refuses
    /// requests for quota and for want of a home, which would be taken for a
    /// part of normal operation.
    #[serde(default)]
    pub settle_s: u64,
    /// How long load is offered.
    pub duration_s: u64,
    /// Load before this is left out of normal goodput.
    #[serde(default)]
    pub warm_up_s: u64,
    /// Whether nodes reach each other through the fault proxy.
    #[serde(default)]
    pub behind_proxy: bool,
    /// Whether callers call targets directly, to see what the same load does
    /// without nodes. Targets then make no downstream calls.
    #[serde(default)]
    pub without_nodes: bool,
    /// Service whose overload is measured.
    pub overload: Option<OverloadConf>,
    /// Flags of all nodes.
    #[serde(default)]
    pub node_flags: Vec<String>,
    /// Instances.
    #[serde(rename = "group")]
    pub groups: Vec<GroupConf>,
    /// Service files to publish.
    #[serde(rename = "file", default)]
    pub files: Vec<ConfFile>,
    /// Workspaces to publish, each with one key.
    #[serde(rename = "workspace")]
    pub workspaces: Vec<WorkspaceConf>,
    /// Streams of requests.
    #[serde(rename = "load")]
    pub loads: Vec<LoadConf>,
    /// Faults.
    #[serde(rename = "fault", default)]
    pub faults: Vec<FaultConf>,
}

/// What the overload of one service is measured against.
#[derives::record]
#[serde(deny_unknown_fields)]
pub struct OverloadConf {
    /// Service that is overloaded.
    pub service: String,
    /// Requests a second that its targets can do while the cause lasts.
    pub possible_per_s: f64,
    /// Names of the loads that must not be shed.
    pub critical_loads: Vec<String>,
}

/// Equal instances in one availability zone.
#[derives::record]
#[serde(deny_unknown_fields)]
pub struct GroupConf {
    /// Availability zone.
    pub zone: String,
    /// Service of the targets.
    pub service: String,
    /// How many.
    pub count: usize,
    /// Further flags of the targets.
    #[serde(default)]
    pub target_flags: Vec<String>,
}

/// A workspace.
#[derives::record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceConf {
    /// Name.
    pub name: String,
    /// Rate over the whole fleet.
    pub rate_per_s: u32,
    /// Burst over the whole fleet.
    pub burst: u32,
    /// How long keys go on working in a zone that is cut off.
    #[serde(default = "default_key_lease_s")]
    pub key_lease_s: u32,
}

const fn default_key_lease_s() -> u32 {
    60
}

/// Open-loop requests of one kind from one workspace.
#[derives::record]
#[serde(deny_unknown_fields)]
pub struct LoadConf {
    /// Name in the report.
    pub name: String,
    /// Workspace whose key is presented.
    pub workspace: String,
    /// HTTP method.
    pub method: String,
    /// Path, which begins with the service.
    pub path: String,
    /// Requests a second, without retries.
    pub rate_per_s: f64,
    /// Whether each request carries an idempotency key.
    #[serde(default)]
    pub with_idempotency_key: bool,
    /// Deadline; the caller gives up at it.
    pub deadline_ms: u64,
    /// Callers, each with its own connections and its own node.
    #[serde(default = "default_caller_count")]
    pub caller_count: usize,
    /// Zones whose nodes are called; all if empty.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Services whose nodes are called; all if empty.
    #[serde(default)]
    pub at_services: Vec<String>,
    /// Callers move on to the next node after this time; 0: never.
    #[serde(default)]
    pub move_every_s: u64,
    /// How callers repeat what failed.
    #[serde(default)]
    pub retry: ClientRetry,
    /// Changes of the rate.
    #[serde(rename = "step", default)]
    pub steps: Vec<LoadStep>,
}

const fn default_caller_count() -> usize {
    8
}

/// How a caller repeats a request.
///
/// After a whole answer it never does. After an unknown outcome it repeats
/// only reads and requests with an idempotency key.
#[derives::record]
#[derive(Default, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct ClientRetry {
    /// Repeats at most.
    pub limit: u32,
    /// Wait before each.
    pub backoff_ms: u64,
    /// Whether the wait that a refusal asks for is kept.
    pub honours_retry_after: bool,
}

/// From `at_s` on, the rate is `factor` times the load's own.
#[derives::record]
#[serde(deny_unknown_fields)]
pub struct LoadStep {
    /// Since the start of the load.
    pub at_s: f64,
    /// Multiplier.
    pub factor: f64,
}

/// A fault from `at_s` to `until_s`.
#[derives::record]
#[serde(deny_unknown_fields)]
pub struct FaultConf {
    /// Since the start of the load.
    pub at_s: f64,
    /// When it is lifted; at the end if absent.
    pub until_s: Option<f64>,
    /// What happens.
    pub action: FaultAction,
}

/// What a fault does.
#[derives::record]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// Faults of targets; none once lifted.
    Target {
        /// Which.
        #[serde(default)]
        select: Selection,
        /// The faults.
        faults: target::Faults,
    },
    /// Faults of the platform; none once lifted.
    Platform(platform::Faults),
    /// Rules of the fault proxy; none once lifted.
    Rules(Vec<Rule>),
    /// SIGKILL; started anew once lifted.
    Kill {
        /// Which.
        #[serde(default)]
        select: Selection,
        /// Node or target.
        process: ProcessKind,
    },
    /// SIGSTOP; SIGCONT once lifted.
    Pause {
        /// Which.
        #[serde(default)]
        select: Selection,
        /// Node or target.
        process: ProcessKind,
    },
    /// SIGTERM; started anew once lifted.
    Terminate {
        /// Which.
        #[serde(default)]
        select: Selection,
        /// Node or target.
        process: ProcessKind,
    },
}

/// One of the two processes of an instance.
#[derives::key]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessKind {
    /// `dogwoodd`.
    Node,
    /// The target.
    Target,
}

/// Instances that a fault hits; what is left out matches all.
#[derives::record]
#[derive(Default, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Selection {
    /// Availability zone.
    pub zone: Option<String>,
    /// Service.
    pub service: Option<String>,
    /// At most so many of those that match.
    pub count: Option<usize>,
}
