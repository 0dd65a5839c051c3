//! Outcomes and refusals of requests.

use {super::Class, std::fmt};

/// Outcome of a request, as reported to the caller.
#[derives::key]
pub enum Outcome {
    /// The complete response of the target was delivered.
    Whole,
    /// The request provably never reached a target.
    NotRun,
    /// The request may or may not have been executed.
    Unknown,
}

impl Outcome {
    /// Value of the outcome header.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Declares the reasons with their wire codes, names and HTTP status codes.
macro_rules! reasons {
    ($($(#[$meta:meta])* $variant:ident = $code:literal, $name:literal, $status:literal;)+) => {
        /// Reason why a request was refused or aborted.
        #[derives::key]
        #[repr(u8)]
        pub enum Reason {
            $($(#[$meta])* $variant = $code,)+
        }

        impl Reason {
            /// All reasons in the order of their codes.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Value of the reason header and of metric labels.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)+ }
            }

            /// HTTP status of the response to the caller.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)+ }
            }

            /// The reason with this code on the wire, if there is one.
            #[must_use]
            pub const fn from_code(code: u8) -> Option<Self> {
                match code { $($code => Some(Self::$variant),)+ _ => None }
            }
        }
    };
}

reasons! {
    /// The tenant key is unknown.
    UnknownKey = 1, "unknown-key", 401;
    /// The tenant key was revoked.
    RevokedKey = 2, "revoked-key", 401;
    /// The lease of the tenant key expired while the node was cut off and could not renew it.
    KeyLeaseExpired = 3, "key-lease-expired", 401;
    /// No tenant key was sent.
    MissingKey = 4, "missing-key", 401;
    /// A header, path, method or body is malformed.
    BadRequest = 5, "bad-request", 400;
    /// Headers or body exceed the size limit.
    TooLarge = 6, "too-large", 413;
    /// No route matches.
    NoRoute = 7, "no-route", 404;
    /// The workspace exceeded its rate and burst.
    OverQuota = 8, "over-quota", 429;
    /// The queue or concurrency limit of the target has no room for this class.
    Overloaded = 9, "overloaded", 503;
    /// The request cannot finish by its deadline.
    TooLate = 10, "too-late", 503;
    /// No target of the service is reachable.
    NoTarget = 11, "no-target", 503;
    /// The target is draining.
    Draining = 12, "draining", 503;
    /// The retry allotment of the original request is used up.
    RetriesExhausted = 13, "retries-exhausted", 503;
    /// The call handle is unknown or its call has ended.
    BadHandle = 14, "bad-handle", 409;
    /// The call chain is deeper than [`MAX_DEPTH`](super::MAX_DEPTH).
    TooDeep = 15, "too-deep", 508;
    /// The deadline passed after the request was forwarded.
    DeadlineExceeded = 16, "deadline-exceeded", 504;
    /// The connection to the target or node broke after the request was sent.
    ConnectionLost = 17, "connection-lost", 502;
    /// The response was truncated, malformed or belongs to another request.
    BadAnswer = 18, "bad-answer", 502;
    /// The node has no configuration yet.
    NotReady = 19, "not-ready", 503;
    /// The home of the idempotency key is unreachable or cannot tell whether the request ran.
    NoHome = 20, "no-home", 503;
    /// A request with the same idempotency key is running.
    InProgress = 21, "in-progress", 409;
    /// The idempotency key was used for a different request.
    KeyReused = 22, "key-reused", 422;
    /// An earlier request with this idempotency key has an unknown outcome.
    EarlierUnknown = 23, "earlier-unknown", 409;
    /// The peer does not hold the fleet secret.
    NotAuthentic = 24, "not-authentic", 403;
    /// The parent call ended or the caller disconnected.
    Cancelled = 25, "cancelled", 499;
    /// Too many connections or streams.
    TooManyConnections = 26, "too-many-connections", 503;
    /// The target itself refused the request without executing it.
    TargetShed = 27, "target-shed", 503;
    /// The target is cold and currently receives the most it can handle.
    TargetCold = 28, "target-cold", 503;
    /// The target's availability zone is evacuated.
    ZoneEvacuated = 29, "zone-evacuated", 503;
    /// The request is not allowed to run in the region of the target.
    OutsideRegions = 30, "outside-regions", 503;
    /// No divider granted or denied a token of the workspace's rate in time.
    QuotaUnavailable = 31, "quota-unavailable", 503;
    /// The request crashed targets and is quarantined.
    Quarantined = 32, "quarantined", 503;
    /// The target crashed while the request ran.
    TargetCrashed = 33, "target-crashed", 502;
    /// The limit that the target names is reached.
    TargetLimited = 34, "target-limited", 503;
    /// The target ran the request, or may have, and answered with a status that says otherwise.
    UnprovenRejection = 35, "unproven-rejection", 502;
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// End of a request without the response of the target.
#[derives::key]
pub struct Refusal {
    /// [`Outcome::NotRun`] or [`Outcome::Unknown`], never [`Outcome::Whole`].
    pub outcome: Outcome,
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which the caller should retry; 0 if a retry cannot help.
    pub retry_after_ms: u32,
    /// Whether upstream hops must not retry the request.
    pub exhausted: bool,
}

impl Refusal {
    /// Refusal of a request that provably never reached a target.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after_ms: 0,
            exhausted: false,
        }
    }

    /// End of a request that may have been executed.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after_ms: 0,
            exhausted: false,
        }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub const fn with_retry_after_ms(mut self, retry_after_ms: u32) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Forbids upstream hops to retry the request.
    #[must_use]
    pub const fn with_exhausted(mut self) -> Self {
        self.exhausted = true;
        self
    }
}

/// Load of a target and the lowest class that its node currently admits.
///
/// Sent in each response between nodes.
#[derives::key]
pub struct AdmissionLevel {
    /// Lowest class that is admitted.
    pub lowest_class: Class,
    /// Running and queued requests over the concurrency limit, in percent.
    pub load_percent: u16,
    /// Load of the services that the target calls, in percent.
    pub below_percent: u16,
    /// Whether the node refuses new requests.
    pub draining: bool,
    /// Time that work takes at the target, in percent of its usual time; 0 if unknown.
    pub work_time_percent: u16,
    /// Expected wait of one more request of this class before it starts, in microseconds.
    pub wait_us: u32,
    /// Work that the target can complete, in percent of the work offered to it; 0 if unknown.
    pub supply_percent: u16,
    /// The same of the scarcest of the services that the target calls; 0 if unknown.
    pub below_supply_percent: u16,
}

impl AdmissionLevel {
    /// The level of a target that admits every class and runs nothing.
    #[must_use]
    pub const fn idle() -> Self {
        Self {
            lowest_class: Class::Browse,
            load_percent: 0,
            below_percent: 0,
            draining: false,
            work_time_percent: 0,
            wait_us: 0,
            supply_percent: 0,
            below_supply_percent: 0,
        }
    }
}
