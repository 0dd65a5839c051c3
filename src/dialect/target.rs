//! What passes between a node and its own target, in the node's own terms.

use {crate::model::Refusal, hyper::HeaderMap, std::time::Duration};

/// A request on its way to the own target.
#[derive(Debug, Clone, Copy)]
pub struct TargetCall<'a> {
    /// Names the call in the table of calls.
    pub handle: u128,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Process of the target that is meant; empty where targets have no
    /// identity.
    pub instance_id: &'a str,
    /// Host that the caller addressed.
    pub host: Option<&'a str>,
    /// Headers that the request carries besides.
    pub sent: &'a HeaderMap,
}

/// What the head of a target's answer means.
#[derives::value]
pub struct TargetSignal {
    /// Set when the answer tells that the target did not run the request, or
    /// cannot be believed to belong to it.
    pub refusal: Option<Refusal>,
    /// The target sheds load by its own account.
    pub is_shed: bool,
    /// How long the target keeps the connection open while it is idle.
    pub idle_limit: Option<Duration>,
    /// Load that came with the answer, as a share of slots in use.
    pub busy_ratio: Option<f64>,
}

/// Whether a target takes work.
#[derives::key]
pub enum TargetState {
    /// It does.
    Ready,
    /// It works on what it has and leaves.
    Draining,
}

/// A target's word that it lives; repeated every few seconds.
#[derives::value]
pub struct Heartbeat {
    /// Names the process; empty where targets have no identity.
    pub instance_id: String,
    /// Service that it serves.
    pub service: String,
    /// Port on the node's own address.
    pub port: u16,
    /// Requests that it can work on at a time.
    pub slot_count: u32,
    /// Connections that it accepts.
    pub connection_count: u32,
    /// Whether it takes work.
    pub state: TargetState,
    /// Start of its process, in milliseconds since the Unix epoch; 0 where it
    /// does not tell.
    pub started_unix_ms: u64,
    /// Rises with each heartbeat of a process, so that a late one is noticed;
    /// `None` where they come in order.
    pub sequence: Option<u64>,
    /// How much longer it stays slow after its start.
    pub cold_left_ms: u64,
}

/// What a target tells about itself.
#[derives::value]
pub enum TargetNotice {
    /// It lives.
    Alive(Heartbeat),
    /// It leaves for good.
    Leaving {
        /// Names the process.
        instance_id: String,
        /// Start of its process, where it tells.
        started_unix_ms: Option<u64>,
    },
    /// Its load.
    Load {
        /// Share of slots in use, 0.0 to 1.0.
        busy_ratio: f64,
    },
}

/// Why a notice is rejected.
#[derive(Debug, thiserror::Error)]
pub enum NoticeError {
    /// It did not arrive whole.
    #[error("the body could not be read: {0}")]
    Body(#[from] hyper::Error),
    /// It is too large.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// It is not JSON of the expected form.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing or out of its range.
    #[error("{field} {expected}")]
    Field {
        /// The field.
        field: String,
        /// What would be right.
        expected: String,
    },
    /// No such notice is known.
    #[error("only {known} are known")]
    Path {
        /// The known ones.
        known: String,
    },
}
