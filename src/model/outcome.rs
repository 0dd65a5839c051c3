//! How requests end.

use {super::Class, std::fmt};

/// How an exchange ended, as told to the caller.
#[derives::key]
pub enum Outcome {
    /// The target's whole answer was delivered.
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

/// Declares the reasons with their names and HTTP status codes in one table.
macro_rules! reasons {
    ($($(#[$meta:meta])* $variant:ident = $code:literal, $name:literal, $status:literal;)+) => {
        /// Why a request was refused or given up.
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

            /// HTTP status with which callers are answered.
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
    /// The key is unknown.
    UnknownKey = 1, "unknown-key", 401;
    /// The key was revoked.
    RevokedKey = 2, "revoked-key", 401;
    /// The key could not be confirmed within its lease while cut off.
    KeyLeaseExpired = 3, "key-lease-expired", 401;
    /// No key was presented.
    MissingKey = 4, "missing-key", 401;
    /// A header, path, method or body is malformed.
    BadRequest = 5, "bad-request", 400;
    /// Headers or body are larger than the limit.
    TooLarge = 6, "too-large", 413;
    /// No route matches.
    NoRoute = 7, "no-route", 404;
    /// The workspace used up its rate and burst.
    OverQuota = 8, "over-quota", 429;
    /// The target's queue or limit has no room for this class.
    Overloaded = 9, "overloaded", 503;
    /// The remaining time does not suffice to finish.
    TooLate = 10, "too-late", 503;
    /// No target of the service is reachable.
    NoTarget = 11, "no-target", 503;
    /// The target is draining.
    Draining = 12, "draining", 503;
    /// The retry budget of the original request is spent.
    RetriesExhausted = 13, "retries-exhausted", 503;
    /// The call handle is unknown or its call is over.
    BadHandle = 14, "bad-handle", 409;
    /// The chain of calls is deeper than is served.
    TooDeep = 15, "too-deep", 508;
    /// The deadline passed after the request was sent on.
    DeadlineExceeded = 16, "deadline-exceeded", 504;
    /// The connection to the target or node broke after the request was sent.
    ConnectionLost = 17, "connection-lost", 502;
    /// The answer was cut short, crossed or malformed.
    BadAnswer = 18, "bad-answer", 502;
    /// The node has no configuration yet.
    NotReady = 19, "not-ready", 503;
    /// The home of the idempotency key cannot be reached or is not sure.
    NoHome = 20, "no-home", 503;
    /// A request with the same idempotency key is being executed.
    InProgress = 21, "in-progress", 409;
    /// The idempotency key was used for a different request.
    KeyReused = 22, "key-reused", 422;
    /// An earlier send with this idempotency key has an unknown outcome.
    EarlierUnknown = 23, "earlier-unknown", 409;
    /// The peer does not hold the fleet secret.
    NotAuthentic = 24, "not-authentic", 403;
    /// The parent call or the caller went away.
    Cancelled = 25, "cancelled", 499;
    /// Too many connections or streams.
    TooManyConnections = 26, "too-many-connections", 503;
    /// The target itself refused the request untouched.
    TargetShed = 27, "target-shed", 503;
    /// The cold target has got what it bears for now.
    TargetCold = 28, "target-cold", 503;
    /// The target's availability zone is evacuated.
    ZoneEvacuated = 29, "zone-evacuated", 503;
    /// The request may not run in the target's region.
    OutsideRegions = 30, "outside-regions", 503;
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A request that ends without the target's answer.
#[derives::key]
pub struct Refusal {
    /// [`Outcome::NotRun`] or [`Outcome::Unknown`], never whole.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When the caller should come back; 0 when coming back is of no use.
    pub retry_after_ms: u32,
    /// Whether hops above may not repeat it.
    pub exhausted: bool,
}

impl Refusal {
    /// A refusal of a request that provably never reached a target.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after_ms: 0,
            exhausted: false,
        }
    }

    /// The end of a request that may have been executed.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after_ms: 0,
            exhausted: false,
        }
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub const fn with_retry_after_ms(mut self, retry_after_ms: u32) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Marks that no hop above may repeat the request.
    #[must_use]
    pub const fn with_exhausted(mut self) -> Self {
        self.exhausted = true;
        self
    }
}

/// Level down to which a target's node admits work at present.
///
/// Piggybacked on each answer between nodes.
#[derives::key]
pub struct AdmissionLevel {
    /// Lowest class that is admitted.
    pub lowest_class: Class,
    /// Running and queued work over the limit, in percent.
    pub load_percent: u16,
    /// Load that the calls of its target meet, in percent.
    pub below_percent: u16,
    /// The node takes no new work.
    pub draining: bool,
}

impl AdmissionLevel {
    /// Everything is admitted and nothing runs.
    #[must_use]
    pub const fn idle() -> Self {
        Self {
            lowest_class: Class::Browse,
            load_percent: 0,
            below_percent: 0,
            draining: false,
        }
    }
}
