//! Targets of one service, and their ejections.

use {
    super::{
        Distance, TargetKey,
        completion::ServiceMean,
        ejection::{ejection_limit, median_us},
        target::{Health, Target},
    },
    crate::{arena::Arena, settings::TargetChoice},
};

const DISTANCE_COUNT: usize = 3;
const DISTANCES: [Distance; DISTANCE_COUNT] = [
    Distance::SameZone,
    Distance::SameRegion,
    Distance::OtherRegion,
];

/// Targets of one service, by distance.
#[derive(Debug, Default)]
pub struct Service {
    /// Keys by distance, nearest first.
    pub tiers: [Vec<TargetKey>; DISTANCE_COUNT],
    /// Lower median of the targets' mean latencies.
    pub median_us: f64,
    /// Time of the last request that was sent although all targets shed its class.
    pub last_probe_us: Option<u64>,
    /// Mean load and service time of the targets.
    pub mean: ServiceMean,
    /// Whether a recent response of any target reported its queue.
    pub has_figures: bool,
    /// Whether a target or its results changed since the last update.
    pub has_changed: bool,
    /// Whether a target is ejected or on trial.
    has_unhealthy: bool,
}

impl Service {
    /// Number of targets.
    pub fn target_count(&self) -> usize {
        self.tiers.iter().map(Vec::len).sum()
    }

    /// Keys of all targets, nearest first.
    pub fn keys(&self) -> impl Iterator<Item = TargetKey> {
        self.tiers.iter().flatten().copied()
    }

    /// Whether the mean or an ejection may differ from the last update. Otherwise
    /// the targets of a large idle service would be compared on every tick.
    pub const fn needs_update(&self) -> bool {
        self.has_changed || self.has_unhealthy || self.has_figures
    }

    /// Updates the mean load and service time of the targets from their recent figures.
    pub fn update_mean(&mut self, targets: &Arena<TargetKey, Target>, now_us: u64) {
        let (mut slot_count, mut request_count, mut figure_count) = (0.0, 0.0, 0);
        let mut services_us = Vec::new();
        for target in self.keys().filter_map(|key| targets.get(key)) {
            services_us.extend(target.figures.mean_service_us());
            let Some(load_ratio) = target.figures.load_ratio(now_us) else {
                continue;
            };
            let target_slot_count = f64::from(target.info.slot_count.max(1));
            slot_count += target_slot_count;
            request_count += target_slot_count * load_ratio;
            figure_count += 1;
        }
        self.has_figures = figure_count > 0;
        self.mean = ServiceMean {
            load_ratio: request_count / f64::max(slot_count, 1.0),
            service_us: median_us(services_us).unwrap_or(0.0),
        };
    }
}

/// Index of the tier of this distance.
pub fn tier_index(distance: Distance) -> usize {
    DISTANCES
        .iter()
        .position(|other| *other == distance)
        .unwrap_or(DISTANCE_COUNT - 1)
}

/// Updates the median of one service, ends ejections and trials that have
/// lasted long enough, and ejects targets.
pub fn update_ejections(
    service: &mut Service,
    targets: &mut Arena<TargetKey, Target>,
    choice: TargetChoice,
    now_us: u64,
    changes: &mut Vec<(TargetKey, bool)>,
) {
    let means_us: Vec<f64> = service
        .keys()
        .filter_map(|key| targets.get(key)?.latency.mean_us())
        .collect();
    let peer_count = means_us.len();
    if let Some(median_us) = median_us(means_us) {
        service.median_us = median_us;
    }
    let max_ejected_count = ejection_limit(service.target_count());
    let mut ejected_count = 0;
    let mut has_unhealthy = false;
    for key in service.keys() {
        let Some(target) = targets.get_mut(key) else {
            continue;
        };
        if target.advance_recovery(now_us) {
            changes.push((key, false));
        }
        ejected_count += usize::from(target.is_ejected());
    }
    for key in service.keys() {
        let Some(target) = targets.get_mut(key) else {
            continue;
        };
        // By expected completion, a slow target gets less work as long as its node reports its
        // queue. If it was ejected, the others would get the work that it can do.
        let peer_count = match choice == TargetChoice::Completion && target.figures.is_fresh(now_us)
        {
            true => 0,
            false => peer_count,
        };
        if ejected_count < max_ejected_count && target.should_eject(service.median_us, peer_count) {
            target.eject(now_us);
            ejected_count += 1;
            changes.push((key, true));
        }
        has_unhealthy |= target.health != Health::Healthy;
    }
    service.has_unhealthy = has_unhealthy;
}
