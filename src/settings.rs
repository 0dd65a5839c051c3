//! Settings of `dogwoodd`, from flags and environment variables.

use {
    crate::{
        exchange::MemoryBudget,
        retry::{RETRY_FLOOR_COUNT, RETRY_SHARE_PERCENT},
    },
    clap::{Parser, ValueEnum},
    std::net::{IpAddr, SocketAddr},
};

/// Minimum length of the fleet and operator secrets.
pub const MIN_SECRET_BYTES: usize = 16;

/// How late a heartbeat may arrive without being taken for lost.
const MAX_HEARTBEAT_DELAY_MS: u64 = 2000;

/// Default ports of a node.
pub mod ports {
    /// Callers: HTTP/1.1 and HTTP/2.
    pub const CALLER: u16 = 7000;
    /// Other nodes: HTTP/2 with prior knowledge.
    pub const PEER: u16 = 7001;
    /// The local target: announcements and downstream calls.
    pub const EGRESS: u16 = 7002;
    /// Gossip between nodes: UDP.
    pub const GOSSIP: u16 = 7003;
    /// Token pool and relay calls between nodes: capnp-rpc.
    pub const RPC: u16 = 7004;
    /// Operators: tarpc.
    pub const CONTROL: u16 = 7005;
    /// Metrics, `/healthz` and `/readyz`: HTTP.
    pub const ADMIN: u16 = 7006;
}

/// Admission policy at the target's node.
#[derives::key]
#[derive(ValueEnum)]
pub enum AdmissionChoice {
    /// Adaptive limit, class queues, reserved slots, workspace fairness.
    Adaptive,
    /// Baseline: a fixed limit and one FIFO queue.
    Static,
    /// Baseline: admits every request immediately.
    AdmitAll,
}

/// Rule by which new requests are throttled for downstream services.
#[derives::key]
#[derive(ValueEnum, Default)]
pub enum DownstreamChoice {
    /// Admitted shares change in steps by the load of downstream services.
    #[default]
    Steps,
    /// Admitted shares follow the work that downstream services can complete, as a ratio of the
    /// work offered to them.
    Supply,
    /// `supply` beside a target that reports how long its work takes, otherwise `steps`. The steps
    /// aim at a share of the announced slots, which is no measure of capacity where speeds change.
    Auto,
}

/// Cost by which a target is chosen.
#[derives::key]
#[derive(ValueEnum, Default)]
pub enum TargetChoice {
    /// Own attempts and latency, and the reported load.
    #[default]
    Latency,
    /// Expected completion time, from the reported queueing delay and service time.
    Completion,
}

/// Order in which the waiting requests of a class start.
#[derives::key]
#[derive(ValueEnum, Default)]
pub enum QueueOrder {
    /// Order of arrival.
    #[default]
    Arrival,
    /// Least slack to the latency objective first.
    Objective,
}

/// Retry policy for failed attempts.
#[derives::key]
#[derive(ValueEnum)]
pub enum RetryChoice {
    /// One retry allotment for the whole call chain, passed from hop to hop.
    Budget,
    /// Baseline: three retries at every hop.
    Naive,
}

/// Overload control process that runs next to one target instance.
#[derive(Debug, Clone, Parser)]
#[command(name = "dogwoodd", version)]
pub struct Settings {
    /// Name of this node's slot, unique in the fleet; a replacement node keeps it
    #[arg(long, env = "DOGWOOD_NODE_ID")]
    pub node_id: String,
    /// Address that this node listens on
    #[arg(long, env = "DOGWOOD_IP")]
    pub ip: IpAddr,
    /// Address at which other nodes reach this node, if it differs from --ip
    #[arg(long, env = "DOGWOOD_ADVERTISE_IP")]
    pub advertise_ip: Option<IpAddr>,
    /// Region of this instance
    #[arg(long, env = "DOGWOOD_REGION")]
    pub region: String,
    /// Availability zone of this instance
    #[arg(long, env = "DOGWOOD_ZONE")]
    pub zone: String,
    /// Address of the platform's object API
    #[arg(long, env = "DOGWOOD_PLATFORM")]
    pub platform: SocketAddr,
    /// Gossip addresses of seed nodes to join through, separated by commas
    #[arg(long, env = "DOGWOOD_SEEDS", value_delimiter = ',')]
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all nodes of the fleet
    #[arg(long, env = "DOGWOOD_FLEET_SECRET", hide_env_values = true)]
    pub fleet_secret: String,
    /// Secret that operators authenticate with
    #[arg(long, env = "DOGWOOD_OPERATOR_SECRET", hide_env_values = true)]
    pub operator_secret: String,
    /// Port for callers
    #[arg(long, env = "DOGWOOD_CALLER_PORT", default_value_t = ports::CALLER)]
    pub caller_port: u16,
    /// Port for HTTP/2 requests from other nodes
    #[arg(long, env = "DOGWOOD_PEER_PORT", default_value_t = ports::PEER)]
    pub peer_port: u16,
    /// Port for the local target
    #[arg(long, env = "DOGWOOD_EGRESS_PORT", default_value_t = ports::EGRESS)]
    pub egress_port: u16,
    /// UDP port for gossip
    #[arg(long, env = "DOGWOOD_GOSSIP_PORT", default_value_t = ports::GOSSIP)]
    pub gossip_port: u16,
    /// Port for token pool and relay calls between nodes
    #[arg(long, env = "DOGWOOD_RPC_PORT", default_value_t = ports::RPC)]
    pub rpc_port: u16,
    /// Port for operators
    #[arg(long, env = "DOGWOOD_CONTROL_PORT", default_value_t = ports::CONTROL)]
    pub control_port: u16,
    /// Port for metrics and health
    #[arg(long, env = "DOGWOOD_ADMIN_PORT", default_value_t = ports::ADMIN)]
    pub admin_port: u16,
    /// Worker threads of the process
    #[arg(long, env = "DOGWOOD_WORKER_THREADS", default_value_t = 2)]
    pub worker_threads: usize,
    /// Memory of the machine that the process may use, in MB; bounds connections, requests and responses
    #[arg(long, env = "DOGWOOD_MEMORY_LIMIT_MB", default_value_t = 260)]
    pub memory_limit_mb: usize,
    /// Maximum size of a request body, in bytes
    #[arg(long, env = "DOGWOOD_MAX_BODY_BYTES", default_value_t = 1 << 20)]
    pub max_body_bytes: usize,
    /// Maximum total size of the request bodies that the node holds at a time, in bytes; less if the memory limit is low
    #[arg(long, env = "DOGWOOD_MAX_HELD_BODY_BYTES", default_value_t = 64 << 20)]
    pub max_held_body_bytes: usize,
    /// Maximum total size of request headers, in bytes
    #[arg(long, env = "DOGWOOD_MAX_HEADER_BYTES", default_value_t = 16 << 10)]
    pub max_header_bytes: usize,
    /// Responses up to this size, in bytes, are forwarded only when complete; larger ones are streamed
    #[arg(long, env = "DOGWOOD_BUFFERED_ANSWER_BYTES", default_value_t = 256 << 10)]
    pub buffered_answer_bytes: usize,
    /// Maximum number of concurrent connections from callers; less if the memory limit is low
    #[arg(long, env = "DOGWOOD_MAX_CONNECTIONS", default_value_t = 2000)]
    pub max_connections: usize,
    /// Maximum time for a caller to send the headers, or the body, in milliseconds
    #[arg(long, env = "DOGWOOD_CALLER_READ_TIMEOUT_MS", default_value_t = 5000)]
    pub caller_read_timeout_ms: u64,
    /// Maximum time for requests in flight to finish at shutdown, in milliseconds
    #[arg(long, env = "DOGWOOD_DRAIN_LIMIT_MS", default_value_t = 30_000)]
    pub drain_limit_ms: u64,
    /// Admission policy for the local target
    #[arg(
        long,
        env = "DOGWOOD_ADMISSION",
        value_enum,
        default_value = "adaptive"
    )]
    pub admission: AdmissionChoice,
    /// Rule by which new requests are throttled for downstream services
    #[arg(
        long,
        env = "DOGWOOD_DOWNSTREAM_ADMISSION",
        value_enum,
        default_value = "steps"
    )]
    pub downstream_admission: DownstreamChoice,
    /// Cost by which a target is chosen
    #[arg(
        long,
        env = "DOGWOOD_TARGET_CHOICE",
        value_enum,
        default_value = "latency"
    )]
    pub target_choice: TargetChoice,
    /// Order in which the waiting requests of a class start
    #[arg(
        long,
        env = "DOGWOOD_QUEUE_ORDER",
        value_enum,
        default_value = "arrival"
    )]
    pub queue_order: QueueOrder,
    /// Retry policy for failed attempts
    #[arg(long, env = "DOGWOOD_RETRY", value_enum, default_value = "budget")]
    pub retry: RetryChoice,
    /// Retries per service by this node, in percent of its first attempts at that service
    #[arg(long, env = "DOGWOOD_RETRY_PERCENT", default_value_t = RETRY_SHARE_PERCENT)]
    pub retry_percent: u32,
    /// Additional retries per service by this node in ten seconds, independent of first attempts
    #[arg(long, env = "DOGWOOD_RETRY_FLOOR", default_value_t = RETRY_FLOOR_COUNT)]
    pub retry_floor: u32,
    /// Maximum requests to a cold target in any second, in percent of its service's cold rate
    #[arg(long, env = "DOGWOOD_COLD_PERCENT", default_value_t = 100)]
    pub cold_percent: u32,
    /// Time within which a change of the configuration has to be in force, in milliseconds
    #[arg(long, env = "DOGWOOD_CONFIGURATION_APPLY_MS", default_value_t = 2000)]
    pub configuration_apply_ms: u64,
    /// Time within which an evacuation of a zone has to be in force, in milliseconds
    #[arg(long, env = "DOGWOOD_EVACUATION_APPLY_MS", default_value_t = 5000)]
    pub evacuation_apply_ms: u64,
    /// Interval between two heartbeats of the local target, in milliseconds
    #[arg(long, env = "DOGWOOD_TARGET_HEARTBEAT_MS", default_value_t = 1500)]
    pub target_heartbeat_ms: u64,
    /// Time for which callers are still accepted after a drain starts, in milliseconds
    #[arg(long, env = "DOGWOOD_DRAIN_ACCEPT_MS", default_value_t = 1000)]
    pub drain_accept_ms: u64,
    /// Minimum level of log lines: error, warn, info, debug or trace
    #[arg(long, env = "DOGWOOD_LOG_LEVEL", default_value = "info")]
    pub log_level: log::LevelFilter,
}

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required value is empty.
    #[error("--{flag} is empty: give a name of letters, digits, '-' or '.'")]
    Empty {
        /// The flag without dashes.
        flag: String,
    },
    /// A name contains characters that are not allowed in headers and metrics.
    #[error("--{flag} {value:?}: only letters, digits, '-', '_' and '.' are allowed")]
    BadName {
        /// The flag without dashes.
        flag: String,
        /// The given value.
        value: String,
    },
    /// A secret is too short to be safe.
    #[error("--{flag} has {byte_count} bytes: at least {MIN_SECRET_BYTES} are required")]
    ShortSecret {
        /// The flag without dashes.
        flag: String,
        /// Length of the secret, in bytes.
        byte_count: usize,
    },
    /// A value that must be positive is 0.
    #[error("--{flag} is 0: at least 1 is required")]
    Zero {
        /// The flag without dashes.
        flag: String,
    },
    /// Two listeners are set to the same port.
    #[error("--{first} and --{second} are both {port}: give each a different port")]
    SamePort {
        /// One flag without dashes.
        first: String,
        /// The other flag without dashes.
        second: String,
        /// The port of both.
        port: u16,
    },
}

impl Settings {
    /// Checks names, secrets, positive numbers and ports, which clap does not check.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_name("node-id", &self.node_id)?;
        check_name("region", &self.region)?;
        check_name("zone", &self.zone)?;
        check_secret("fleet-secret", &self.fleet_secret)?;
        check_secret("operator-secret", &self.operator_secret)?;
        check_positive("worker-threads", self.worker_threads)?;
        check_positive("memory-limit-mb", self.memory_limit_mb)?;
        check_positive("max-body-bytes", self.max_body_bytes)?;
        check_positive("max-held-body-bytes", self.max_held_body_bytes)?;
        check_positive("max-header-bytes", self.max_header_bytes)?;
        check_positive("max-connections", self.max_connections)?;
        check_positive("configuration-apply-ms", self.configuration_apply_ms)?;
        check_positive("evacuation-apply-ms", self.evacuation_apply_ms)?;
        check_positive("target-heartbeat-ms", self.target_heartbeat_ms)?;
        self.check_ports()
    }

    /// Time without a heartbeat after which the target is removed, in milliseconds.
    ///
    /// One heartbeat may be lost and the next one late without an effect.
    #[must_use]
    pub const fn target_silence_ms(&self) -> u64 {
        self.target_heartbeat_ms
            .saturating_mul(2)
            .saturating_add(MAX_HEARTBEAT_DELAY_MS)
    }

    /// What clients can make the process hold.
    #[must_use]
    pub fn memory_budget(&self) -> MemoryBudget {
        MemoryBudget::new(self.memory_limit_mb << 20, self.max_held_body_bytes)
            .with_max_connections(self.max_connections)
    }

    /// Returns the address at which other nodes reach this node.
    #[must_use]
    pub fn reachable_ip(&self) -> IpAddr {
        self.advertise_ip.unwrap_or(self.ip)
    }

    fn check_ports(&self) -> Result<(), SettingsError> {
        let tcp_ports = [
            ("caller-port", self.caller_port),
            ("peer-port", self.peer_port),
            ("egress-port", self.egress_port),
            ("rpc-port", self.rpc_port),
            ("control-port", self.control_port),
            ("admin-port", self.admin_port),
        ];
        for (index, (first_flag, port)) in tcp_ports.iter().enumerate() {
            for (second_flag, other_port) in &tcp_ports[index + 1..] {
                if port == other_port {
                    return Err(SettingsError::SamePort {
                        first: (*first_flag).to_owned(),
                        second: (*second_flag).to_owned(),
                        port: *port,
                    });
                }
            }
        }
        Ok(())
    }
}

fn check_name(flag: &str, value: &str) -> Result<(), SettingsError> {
    if value.is_empty() {
        return Err(SettingsError::Empty {
            flag: flag.to_owned(),
        });
    }
    let is_allowed_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !value.chars().all(is_allowed_char) {
        return Err(SettingsError::BadName {
            flag: flag.to_owned(),
            value: value.to_owned(),
        });
    }
    Ok(())
}

fn check_secret(flag: &str, value: &str) -> Result<(), SettingsError> {
    if value.len() < MIN_SECRET_BYTES {
        let byte_count = value.len();
        return Err(SettingsError::ShortSecret {
            flag: flag.to_owned(),
            byte_count,
        });
    }
    Ok(())
}

fn check_positive<T: Copy + Default + PartialEq>(
    flag: &str,
    value: T,
) -> Result<(), SettingsError> {
    if value == T::default() {
        Err(SettingsError::Zero {
            flag: flag.to_owned(),
        })
    } else {
        Ok(())
    }
}
