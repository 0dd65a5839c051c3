//! Choice of the target's node for each attempt.

mod ejection;
mod latency;
mod silence;
mod target;
mod zone_router;

pub use {
    target::{DRAIN_AGE_LIMIT_US, LEVEL_AGE_LIMIT_US},
    zone_router::{PROBE_PERIOD_US, ZoneRouter},
};

use crate::{
    arena_key,
    model::{AdmissionLevel, Class, Refusal, RegionKey, RegionSet, ServiceKey, ZoneKey},
};

arena_key! {
    /// A target that this node knows, through the node beside it.
    TargetKey
}

/// Where a target is, as seen from this node.
#[derives::key]
pub enum Distance {
    /// Same availability zone.
    SameZone,
    /// Same region, other availability zone.
    SameRegion,
    /// Other region.
    OtherRegion,
}

/// What membership tells of a target.
#[derives::value]
#[derive(Copy, Eq)]
pub struct TargetInfo {
    /// Service that it serves.
    pub service: ServiceKey,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Its region.
    pub region: RegionKey,
    /// Where it is.
    pub distance: Distance,
    /// Requests that it can work on at a time.
    pub slot_count: u32,
    /// It takes no new work.
    pub draining: bool,
    /// It gets a growing share of work at first. Needless where its node knows
    /// how much it can work on: callers would be refused beside a warm target,
    /// or a busy one get the work of those that came back after a cut.
    pub starts_slowly: bool,
}

/// What a target is picked for.
#[derives::value]
#[derive(Copy, Eq)]
pub struct RouteRequest {
    /// Service that is called.
    pub service: ServiceKey,
    /// Importance of the request.
    pub class: Class,
    /// Regions in which it may run.
    pub regions: RegionSet,
}

/// How an attempt ended, as this node saw it.
#[derives::key]
pub enum AttemptResult {
    /// A whole answer came.
    Answered,
    /// The target's node refused it.
    Refused,
    /// Connection lost, time out or a bad answer.
    Failed,
    /// This side gave it up; nothing is learnt.
    Cancelled,
}

/// What a look at targets that do not answer calls for.
#[derives::value]
#[derive(Default, Eq)]
pub struct SilenceCheck {
    /// Targets whose nodes are to be asked whether they live.
    pub to_probe: Vec<TargetKey>,
    /// Targets whose nodes have just become silent.
    pub newly_silent: Vec<TargetKey>,
}

/// Picks targets and learns from attempts; no I/O, no clock.
pub trait RoutePolicy: Send + 'static {
    /// A router without targets.
    fn new() -> Self;

    /// Adds a target and returns its key.
    fn add(&mut self, info: TargetInfo, now_us: u64) -> TargetKey;

    /// Changes what membership tells of a target.
    fn update(&mut self, target: TargetKey, info: TargetInfo);

    /// Removes a target.
    fn remove(&mut self, target: TargetKey);

    /// Picks a target of the service, avoiding those tried before, and counts
    /// the attempt as outstanding.
    fn pick<R: rand::Rng>(
        &mut self,
        wanted: RouteRequest,
        tried: &[TargetKey],
        now_us: u64,
        rng: &mut R,
    ) -> Result<TargetKey, Refusal>;

    /// An attempt ended; `level` came with the answer, if any did.
    fn end(
        &mut self,
        target: TargetKey,
        result: AttemptResult,
        latency_us: u64,
        level: Option<AdmissionLevel>,
        now_us: u64,
    );

    /// The node beside a target was heard outside of an attempt; returns
    /// whether it had been silent.
    fn record_response(&mut self, target: TargetKey, now_us: u64) -> bool;

    /// Regular look at targets of which nothing is heard.
    fn check_silence(&mut self, now_us: u64) -> SilenceCheck;

    /// Regular look at ejected targets; returns those that changed, with
    /// whether they are ejected now.
    fn tick(&mut self, now_us: u64) -> Vec<(TargetKey, bool)>;
}
