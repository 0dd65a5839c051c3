//! Availability zones that do not respond.
//!
//! When one node of a zone does not respond, the others may be unreachable too,
//! and requests should not hang at each of them in turn. A sample of the zone is
//! probed. With a probe to every node, the probes of a fleet would grow with its
//! square, and single nodes that fail in all zones would cause probes to all.

use {
    super::TargetKey,
    crate::model::ZoneKey,
    std::collections::{BTreeMap, BTreeSet},
};

/// Targets of a suspected zone that are probed.
const SAMPLE_COUNT: usize = 6;
/// Time for which a zone that responded is not suspected again.
const RECHECK_US: u64 = 1_000_000;

#[derive(Debug)]
struct ZoneWatch {
    sample: BTreeSet<TargetKey>,
    since_us: u64,
    has_responded: bool,
    is_silent: bool,
}

/// A change of a zone's state.
#[derives::value]
#[derive(Copy, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneKey,
    /// Whether it is silent now.
    pub is_silent: bool,
}

/// Samples of the zones that are suspected not to respond. Pure state: performs
/// no I/O and reads no clock.
#[derive(Debug, Default)]
pub struct ZoneWatches {
    watches: BTreeMap<ZoneKey, ZoneWatch>,
}

impl ZoneWatches {
    /// Whether the zone is or was recently sampled.
    #[must_use]
    pub fn contains(&self, zone: ZoneKey) -> bool {
        self.watches.contains_key(&zone)
    }

    /// Samples the zone with these targets.
    pub fn suspect(&mut self, zone: ZoneKey, targets: &[TargetKey], now_us: u64) {
        let watch = ZoneWatch {
            sample: draw(targets, now_us),
            since_us: now_us,
            has_responded: false,
            is_silent: false,
        };
        self.watches.insert(zone, watch);
    }

    /// Whether the target is probed for its zone.
    #[must_use]
    pub fn samples(&self, zone: ZoneKey, target: TargetKey) -> bool {
        let watch = self.watches.get(&zone);
        watch.is_some_and(|watch| !watch.has_responded && watch.sample.contains(&target))
    }

    /// Sampled targets of the zones that have not responded.
    pub fn sampled(&self) -> impl Iterator<Item = TargetKey> {
        let unanswered = self.watches.values().filter(|watch| !watch.has_responded);
        unanswered.flat_map(|watch| watch.sample.iter().copied())
    }

    /// Records that a node of the zone responded.
    pub fn record_response(&mut self, zone: ZoneKey) {
        if let Some(watch) = self.watches.get_mut(&zone) {
            watch.has_responded = true;
        }
    }

    /// Forgets a target that was removed.
    pub fn remove_target(&mut self, zone: ZoneKey, target: TargetKey) {
        if let Some(watch) = self.watches.get_mut(&zone) {
            watch.sample.remove(&target);
        }
    }

    /// Updates the zones by the silence of their samples; returns those whose
    /// state changed.
    pub fn update(
        &mut self,
        now_us: u64,
        is_silent: impl Fn(TargetKey) -> bool,
    ) -> Vec<ZoneChange> {
        let mut changes = Vec::new();
        self.watches.retain(|zone, watch| {
            let is_unknown = watch.sample.is_empty();
            let was_silent = watch.is_silent;
            watch.is_silent = !watch.has_responded
                && !is_unknown
                && watch.sample.iter().all(|target| is_silent(*target));
            if watch.is_silent != was_silent {
                changes.push(ZoneChange {
                    zone: *zone,
                    is_silent: watch.is_silent,
                });
            }
            let is_settled = is_unknown || watch.has_responded;
            !is_settled || now_us < watch.since_us + RECHECK_US
        });
        changes
    }
}

/// Picks targets that are spread evenly, beginning at one that differs between
/// nodes and times.
fn draw(targets: &[TargetKey], now_us: u64) -> BTreeSet<TargetKey> {
    let stride = targets.len().div_ceil(SAMPLE_COUNT).max(1);
    let offset = usize::try_from(now_us).unwrap_or(0) % stride;
    let drawn = targets.iter().skip(offset).step_by(stride);
    drawn.copied().collect()
}
