//! Numbered log events.
//!
//! docs/EVENTS.md is generated from this table; a test compares the two.

/// Declares the events in one table: number, level and meaning.
macro_rules! events {
    ($($variant:ident = $number:literal, $level:ident, $meaning:literal;)+) => {
        /// A log event. Its number does not change between versions.
        #[derives::key]
        #[repr(u16)]
        pub enum Event {
            $(#[doc = $meaning] $variant = $number,)+
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Number in log lines and in docs/EVENTS.md.
            #[must_use]
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// Level at which the event is logged.
            #[must_use]
            pub const fn level(self) -> log::Level {
                match self { $(Self::$variant => log::Level::$level,)+ }
            }

            /// Description for operators, as in docs/EVENTS.md.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$variant => $meaning,)+ }
            }
        }
    };
}

events! {
    NodeStarted = 100, Info, "The node listens on all its ports.";
    NodeReady = 101, Info, "The node has a configuration and serves requests.";
    NodeNotReady = 102, Warn, "The node has no configuration yet and refuses requests.";
    DrainStarted = 103, Info, "The node takes no new requests; running requests are completed.";
    DrainEnded = 104, Info, "All running requests have ended and the node shuts down.";
    SettingRejected = 105, Error, "A setting is invalid; the node does not start.";
    SettingsReloaded = 106, Info, "The settings file was reloaded.";
    ConfigurationInForce = 200, Info, "A revision of the configuration is in force on this node.";
    ConfigurationRejected = 201, Error, "A configuration is invalid and is ignored.";
    ConfigurationFromNeighbour = 202, Info, "The configuration was received from another node.";
    KeyRevoked = 203, Info, "A key was revoked on this node.";
    RouteKindUnknown = 204, Warn, "A route has an unknown kind; its requests are not retried.";
    EvacuationsInForce = 205, Info, "The set of evacuated availability zones has changed.";
    EvacuationsRejected = 206, Error, "The list of evacuated availability zones is invalid and is ignored.";
    DocumentFetchFailed = 207, Warn, "A document could not be fetched from a node that holds it.";
    RelaysSilent = 208, Warn, "No relay of the zone responds; this node polls the origin itself.";
    PlatformReached = 210, Info, "The platform's object API responds again.";
    PlatformLost = 211, Warn, "The platform's object API does not respond.";
    HistoryLost = 212, Info, "The platform no longer has the history that a watch requested; the object is read again.";
    SeedsWritten = 213, Info, "The addresses of the zone's seed nodes were written to the platform.";
    EntryUnreadable = 214, Warn, "An entry of a list cannot be read and is ignored; the others hold.";
    MemberJoined = 300, Info, "A member was discovered or has returned.";
    MemberSuspected = 301, Warn, "A member does not respond to probes.";
    MemberDead = 302, Warn, "A suspected member did not refute the suspicion and was declared dead.";
    MemberLeft = 303, Info, "A member left after draining.";
    MemberDraining = 304, Info, "A member drains and takes no new requests.";
    TargetAnnounced = 310, Info, "The target registered with its node.";
    TargetLost = 311, Warn, "The target stopped sending heartbeats to its node.";
    TargetLeaving = 312, Info, "The target reported its shutdown and gets no new requests.";
    NoticeOutdated = 313, Info, "A notice of the target is older than the current state and is ignored.";
    NoticeRejected = 314, Warn, "A notice of the target is invalid.";
    TargetCold = 315, Info, "The target is cold; its requests are limited to its sustainable rate.";
    TargetCrashed = 316, Warn, "The target ended without notice; the requests that ran are suspected to be the cause.";
    TargetLimited = 317, Info, "The target named another limit of requests per second, or none any more.";
    LeavingTargetUsed = 318, Info, "A request was sent to a target that leaves, after requests were no longer accepted for it.";
    TargetChecked = 319, Info, "The target's health was checked: it is older than the node, and its first heartbeat may be late.";
    RoutePicked = 400, Info, "A target was picked for a request.";
    RouteRefused = 401, Info, "No target could be picked for a request.";
    TargetEjected = 402, Warn, "A target fails or is slow and is ejected: it gets no new requests for a limited time.";
    TargetRestored = 403, Info, "An ejected target gets requests again.";
    NodeSilent = 404, Warn, "A node with waiting requests does not respond; it gets no new requests.";
    NodeHeard = 405, Info, "A silent node responds again.";
    RequestRefused = 410, Info, "A request was refused or abandoned.";
    RequestRetried = 411, Info, "A request was retried within its retry budget.";
    AttemptRefused = 412, Info, "The target's node ended an attempt without a response of the target.";
    RequestQuarantined = 413, Warn, "A request ran at several crashes of targets and is refused for a limited time.";
    RequestCleared = 414, Info, "A target completed a suspected request; its crashes no longer count.";
    RetryDenied = 415, Info, "A failed or unanswered attempt was not retried; tells what denied it.";
    RejectionUnproven = 416, Info, "A target's response says that a request did not run, and does not prove it.";
    ContextForged = 420, Warn, "A context, handle or internal header was received from a sender that may not set it.";
    ClockDiffers = 421, Warn, "A node's clock differs by more than the maximum age of a context; it is sent this node's time.";
    LoadReportInvalid = 422, Warn, "A target reports a time that work takes which is out of range; the figure is ignored.";
    BankChosen = 500, Debug, "Another node became the pool node of a workspace and keeps its quota tokens.";
    SlicesMoved = 501, Info, "Slices of the slice table changed their owner.";
    SlotSuspected = 502, Warn, "A slot is marked as suspected in the slice table.";
    FreshnessChanged = 503, Warn, "The node's freshness state changed.";
    DividerSilent = 504, Info, "The node that divides the quota does not respond; the next one is queried.";
    DividerChanged = 505, Info, "This node reports its need of quota tokens to another divider.";
    QuotaHandedOver = 506, Info, "This node handed the quota tokens that it divided over to the next divider.";
    QuotaTokens = 507, Info, "Quota tokens of a workspace at this node in the last second, while it is at its rate or its requests do not run.";
    QuotaDivided = 508, Info, "Quota tokens of a workspace that this node divided in the last second, while the workspace is at its rate.";
    GuardUnsure = 510, Warn, "The history of an idempotency key is unknown; the request is not executed.";
    ControlRequest = 600, Info, "An operator's request was executed.";
    ControlRejected = 601, Warn, "An operator's request was rejected.";
}

/// Logs a numbered event: `event!(Event::RoutePicked, "service={} target={}", a, b)`.
#[macro_export]
macro_rules! event {
    ($event:expr, $($argument:tt)+) => {{
        let event: $crate::events::Event = $event;
        log::log!(target: "dogwood", event.level(), "E{} {:?} {}", event.number(), event, format_args!($($argument)+));
    }};
}
