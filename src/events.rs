//! Numbered log events.
//!
//! docs/EVENTS.md lists them; a test compares the two.

/// Declares the events with number, level and meaning in one table.
macro_rules! events {
    ($($variant:ident = $number:literal, $level:ident, $meaning:literal;)+) => {
        /// A log event with a number that stays the same across versions.
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

            /// What the event means.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$variant => $meaning,)+ }
            }
        }
    };
}

events! {
    NodeStarted = 100, Info, "The node listens on all its ports.";
    NodeReady = 101, Info, "The node has a configuration and serves.";
    NodeNotReady = 102, Warn, "The node waits for a configuration and refuses requests.";
    DrainStarted = 103, Info, "The node takes no new work; running work ends.";
    DrainEnded = 104, Info, "Running work has ended and the node leaves.";
    SettingRejected = 105, Error, "A setting is not valid; the node does not start.";
    SettingsReloaded = 106, Info, "The settings file was read again.";
    ConfigurationInForce = 200, Info, "A revision of the configuration is in force on this node.";
    ConfigurationRejected = 201, Error, "A configuration could not be read and is ignored.";
    ConfigurationFromNeighbour = 202, Info, "The configuration came from another node.";
    KeyRevoked = 203, Info, "A key was revoked on this node.";
    RouteKindUnknown = 204, Warn, "A route is of a kind that is not known; its requests are not sent again.";
    EvacuationsInForce = 205, Info, "Other availability zones than before are evacuated, or none any more.";
    EvacuationsRejected = 206, Error, "The list of evacuated availability zones could not be read and is ignored.";
    PlatformReached = 210, Info, "The platform's object API answers again.";
    PlatformLost = 211, Warn, "The platform's object API does not answer.";
    HistoryLost = 212, Info, "The platform dropped the history that a watch asked for; the object is read anew.";
    SeedsWritten = 213, Info, "The zone's addresses for the first contact were written to the platform.";
    MemberJoined = 300, Info, "A member was seen for the first time or came back.";
    MemberSuspected = 301, Warn, "A member does not answer probes.";
    MemberDead = 302, Warn, "A suspected member did not refute and is taken for dead.";
    MemberLeft = 303, Info, "A member left after draining.";
    MemberDraining = 304, Info, "A member takes no new work.";
    TargetAnnounced = 310, Info, "The target announced itself to its node.";
    TargetLost = 311, Warn, "The target stopped announcing itself.";
    TargetLeaving = 312, Info, "The target told that it leaves and gets no new work.";
    NoticeOutdated = 313, Info, "A notice of the target is older than what is known, and is ignored.";
    NoticeRejected = 314, Warn, "A notice of the target could not be read.";
    TargetCold = 315, Info, "The target is cold and gets no more than it bears.";
    RoutePicked = 400, Info, "A target was picked for a request.";
    RouteRefused = 401, Info, "No target could be picked for a request.";
    TargetEjected = 402, Warn, "A target fails or is slow and gets no new work for a while.";
    TargetRestored = 403, Info, "An ejected target gets work again.";
    NodeSilent = 404, Warn, "A node does not answer while requests wait there; it gets no new work.";
    NodeHeard = 405, Info, "A node that was silent answers again.";
    RequestRefused = 410, Info, "A request was refused or given up.";
    RequestRetried = 411, Info, "A request was sent again within its retry budget.";
    AttemptRefused = 412, Info, "The target's node ended an attempt without the target's answer.";
    ContextForged = 420, Warn, "A context, handle or internal header came from someone who may not set it.";
    ClockDiffers = 421, Warn, "A node's clock differs by more than contexts may be old; it is told this node's.";
    BankChosen = 500, Debug, "Another node became the bank of a workspace.";
    SlicesMoved = 501, Info, "Slices of the slice table changed their owner.";
    SlotSuspected = 502, Warn, "A slot is marked as suspected in the slice table.";
    FreshnessChanged = 503, Warn, "The node's freshness state changed.";
    DividerSilent = 504, Info, "The node that divides the quota does not answer; the next one is asked.";
    GuardUnsure = 510, Warn, "An idempotency key's history is not known; the request is not executed.";
    ControlRequest = 600, Info, "An operator's request was carried out.";
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
