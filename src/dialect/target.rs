//! Messages between a node and its local target, decoded.

use {
    super::TargetLoad,
    crate::model::{Outcome, Reason, Refusal},
    hyper::{HeaderMap, header::HeaderValue},
    std::time::Duration,
};

/// A request that is sent to the local target.
#[derive(Debug, Clone, Copy)]
pub struct TargetCall<'a> {
    /// Id of the call in the table of calls in flight.
    pub handle: u128,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Id of the target process that must run the request; empty if targets have
    /// no ids.
    pub instance_id: &'a str,
    /// Host that the caller addressed.
    pub host: Option<&'a str>,
    /// The other headers of the request.
    pub sent_headers: &'a HeaderMap,
    /// Whether the request may be executed again.
    pub repeatable: bool,
}

/// Meaning of the head of a target's response.
#[derives::value]
pub struct TargetSignal {
    /// Set if the target reports that it did not run the request, if the response may belong to
    /// another request, or if its status must not be passed on.
    pub refusal: Option<Refusal>,
    /// Set if the response says that the target did not run the request, without proof.
    pub claim_doubt: Option<ClaimDoubt>,
    /// Whether the target reports that it sheds load.
    pub is_shed: bool,
    /// Time for which the target keeps an idle connection open.
    pub idle_limit: Option<Duration>,
    /// Load that the response reports.
    pub load: Option<TargetLoad>,
    /// Limit that the target names.
    pub limit: LimitSignal,
    /// Whether the target reports that it will exit.
    pub is_leaving: bool,
}

impl TargetSignal {
    /// Whether the response may belong to another request.
    #[must_use]
    pub fn is_foreign(&self) -> bool {
        self.refusal
            .is_some_and(|refusal| refusal.reason == Reason::BadAnswer)
    }

    /// Whether the target did not run the request.
    #[must_use]
    pub fn is_rejection(&self) -> bool {
        self.refusal
            .is_some_and(|refusal| refusal.outcome == Outcome::NotRun)
    }
}

/// Why a response that says that a request did not run does not prove it.
#[derives::key]
pub enum ClaimDoubt {
    /// It does not name the request and may belong to another one.
    Unnamed,
    /// Only its status says so.
    StatusOnly,
}

impl ClaimDoubt {
    /// Value in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unnamed => "unnamed",
            Self::StatusOnly => "status-only",
        }
    }
}

/// What a response says about the requests that the target takes from all nodes together.
#[derives::value]
#[derive(Copy)]
pub enum LimitSignal {
    /// It names no limit.
    NotNamed,
    /// Requests per second, finite and not negative.
    PerS(f64),
    /// It names a limit that cannot be read; what it named before stays.
    Unreadable,
}

impl LimitSignal {
    /// Decodes the value of a header, if the response has it.
    #[must_use]
    pub fn from_header(value: Option<&HeaderValue>) -> Self {
        let Some(value) = value else {
            return Self::NotNamed;
        };
        let limit_per_s = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse::<f64>().ok());
        limit_per_s
            .filter(|limit_per_s| limit_per_s.is_finite() && *limit_per_s >= 0.0)
            .map_or(Self::Unreadable, Self::PerS)
    }
}

/// Whether a target accepts requests.
#[derives::key]
pub enum TargetState {
    /// It accepts requests.
    Ready,
    /// It finishes the requests in progress and then exits.
    Draining,
}

/// A target's heartbeat, repeated every few seconds.
#[derives::value]
pub struct Heartbeat {
    /// Id of the target process; empty if targets have no ids.
    pub instance_id: String,
    /// Service of the target.
    pub service: String,
    /// Port of the target on the node's address.
    pub port: u16,
    /// Maximum number of requests that the target processes at a time.
    pub slot_count: u32,
    /// Maximum number of connections that the target accepts.
    pub connection_count: u32,
    /// Whether the target accepts requests.
    pub state: TargetState,
    /// Start time of the process in milliseconds since the Unix epoch; 0 if not
    /// reported.
    pub started_unix_ms: u64,
    /// Increases with each heartbeat of a process, so that a delayed one is
    /// detected; `None` if heartbeats arrive in order.
    pub sequence: Option<u64>,
    /// Remaining time for which the target is cold, in milliseconds.
    pub cold_left_ms: u64,
}

/// A notice that a target sends to its node.
#[derives::value]
pub enum TargetNotice {
    /// The target is alive.
    Alive(Heartbeat),
    /// The target exits.
    Leaving {
        /// Id of the target process.
        instance_id: String,
        /// Start time of the process, if reported.
        started_unix_ms: Option<u64>,
    },
    /// The target's load.
    Load(TargetLoad),
}

/// Why a notice is rejected.
#[derive(Debug, thiserror::Error)]
pub enum NoticeError {
    /// The body is incomplete.
    #[error("the body could not be read: {0}")]
    Body(#[from] hyper::Error),
    /// The body is too large.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Maximum size.
        limit_bytes: usize,
    },
    /// The body is not JSON of the expected form.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing or out of range.
    #[error("{field} {expected}")]
    Field {
        /// The field.
        field: String,
        /// What is valid for the field.
        expected: String,
    },
    /// The method and path are not those of a notice.
    #[error("unknown notice: expected one of {known}")]
    Path {
        /// Methods and paths of the supported notices.
        known: String,
    },
}
