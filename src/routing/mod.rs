//! Picks a target for each attempt.
//!
//! Prefers near targets with room, ejects failing and slow ones, and avoids
//! targets whose nodes do not respond.

mod completion;
mod completion_choice;
mod ejection;
mod latency;
mod latency_choice;
mod service;
mod silence;
mod target;
mod watched_targets;
mod zone_router;
mod zone_silence;

pub use {
    target::{DRAIN_AGE_LIMIT_US, LEVEL_AGE_LIMIT_US},
    zone_router::{SHED_PROBE_PERIOD_US, ZoneRouter},
};

use crate::{
    arena_key,
    model::{AdmissionLevel, Class, Refusal, RegionKey, RegionSet, ServiceKey, ZoneKey},
    settings::TargetChoice,
};

arena_key! {
    /// Key of a target; attempts go to it through its node.
    TargetKey
}

/// Location of a target relative to this node.
#[derives::key]
pub enum Distance {
    /// Same availability zone.
    SameZone,
    /// Same region, other availability zone.
    SameRegion,
    /// Other region.
    OtherRegion,
}

/// What membership reports about a target.
#[derives::value]
#[derive(Copy, Eq)]
pub struct TargetInfo {
    /// Service that it serves.
    pub service: ServiceKey,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Its region.
    pub region: RegionKey,
    /// Its location relative to this node.
    pub distance: Distance,
    /// Requests that it can execute concurrently.
    pub slot_count: u32,
    /// It takes no new requests.
    pub draining: bool,
    /// Its share of requests grows from a small start (slow start). Not needed
    /// if its node knows the target's sustainable rate: callers would be refused
    /// although a warm target has room, or a busy target would receive the load
    /// of those that return after a network cut.
    pub starts_slowly: bool,
}

/// Request for which a target is picked.
#[derives::value]
#[derive(Copy, Eq)]
pub struct RouteRequest {
    /// Service that is called.
    pub service: ServiceKey,
    /// Class of the request.
    pub class: Class,
    /// Regions in which it may run.
    pub regions: RegionSet,
}

/// How an attempt ended, as seen by this node.
#[derives::key]
pub enum AttemptResult {
    /// A complete response was received.
    Completed,
    /// The target's node refused it.
    Refused,
    /// Connection loss, timeout or invalid response.
    Failed,
    /// Cancelled by this node; says nothing about the target.
    Cancelled,
}

/// Result of a check for targets that do not respond.
#[derives::value]
#[derive(Default, Eq)]
pub struct SilenceCheck {
    /// Targets whose nodes should be probed for liveness now.
    pub to_probe: Vec<TargetKey>,
    /// Targets whose nodes have just become silent.
    pub newly_silent: Vec<TargetKey>,
}

/// Picks targets and records the results of attempts.
///
/// Pure state: performs no I/O and reads no clock.
pub trait RoutePolicy: Send + 'static {
    /// A router without targets.
    fn new() -> Self;

    /// Sets the cost by which targets are chosen.
    #[must_use]
    fn with_target_choice(self, choice: TargetChoice) -> Self;

    /// Location of a target; `None` if it was removed.
    fn distance(&self, target: TargetKey) -> Option<Distance>;

    /// Adds a target and returns its key.
    fn add(&mut self, info: TargetInfo, now_us: u64) -> TargetKey;

    /// Updates what membership reports about a target.
    fn update(&mut self, target: TargetKey, info: TargetInfo);

    /// Sets which target is the local one, which no network failure separates
    /// from this node.
    fn set_local(&mut self, target: TargetKey);

    /// Removes a target.
    fn remove(&mut self, target: TargetKey);

    /// Picks a target of the service, preferably none of `tried`, and counts
    /// the attempt as outstanding. Refuses if no target may take the request.
    fn pick<R: rand::Rng>(
        &mut self,
        request: RouteRequest,
        tried: &[TargetKey],
        now_us: u64,
        rng: &mut R,
    ) -> Result<TargetKey, Refusal>;

    /// Records the end of an attempt; `level` is the admission level in the
    /// response, if there was one.
    fn end_attempt(
        &mut self,
        target: TargetKey,
        result: AttemptResult,
        latency_us: u64,
        level: Option<AdmissionLevel>,
        now_us: u64,
    );

    /// Records the admission level in a response to a request of this class, after the end of
    /// its attempt.
    fn record_level(&mut self, target: TargetKey, class: Class, level: AdmissionLevel, now_us: u64);

    /// Records a response of the target's node outside of an attempt; returns
    /// whether the node was silent before.
    fn record_response(&mut self, target: TargetKey, now_us: u64) -> bool;

    /// Whether the target's node does not respond, or the target was removed.
    fn is_silent(&self, target: TargetKey) -> bool;

    /// Periodic check for targets whose nodes do not respond.
    fn check_silence(&mut self, now_us: u64) -> SilenceCheck;

    /// Periodic update of ejections; returns the targets whose ejection began
    /// or ended, with whether they are ejected now.
    fn tick(&mut self, now_us: u64) -> Vec<(TargetKey, bool)>;
}
