//! Nearest targets first, the better of two, ejection of unfit ones.

use {
    super::{
        AttemptResult, Distance, RoutePolicy, RouteRequest, SilenceCheck, TargetInfo, TargetKey,
        ejection::{ejection_limit, median_us},
        target::{Health, Target},
    },
    crate::{
        arena::Arena,
        model::{AdmissionLevel, Reason, Refusal, ZoneKey},
    },
    rand::Rng,
};

/// Time between two requests of a class that are let through to a service of
/// which all targets shed it. Recovery is noticed by the first of them.
pub const PROBE_PERIOD_US: u64 = 100_000;
/// Time after which callers refused here are told to come back: the least,
/// and the width over which it is spread.
const RETRY_AFTER_MS: (u32, u32) = (100, 200);
/// The same for a service without targets, which lasts longer.
const NO_TARGET_RETRY_AFTER_MS: (u32, u32) = (500, 1000);
/// Costs that differ by less than this count as equal. Idle targets would
/// otherwise be told apart by the last microseconds of latency, and all work
/// would go to one.
const EQUAL_RATIO: f64 = 1.25;
/// Time that a target elsewhere must save over a nearer one to be picked, as a
/// share and in addition. Work that leaves its zone is lost when the zone is cut
/// off, and its bytes are paid for.
const LEAVE_RATIO: f64 = 1.2;
const LEAVE_MARGIN_US: f64 = 30_000.0;
const DISTANCE_COUNT: usize = 3;
const DISTANCES: [Distance; DISTANCE_COUNT] = [
    Distance::SameZone,
    Distance::SameRegion,
    Distance::OtherRegion,
];

/// Targets of one service.
#[derive(Debug, Default)]
struct Service {
    tiers: [Vec<TargetKey>; DISTANCE_COUNT],
    median_us: f64,
    probed_us: Option<u64>,
}

impl Service {
    fn target_count(&self) -> usize {
        self.tiers.iter().map(Vec::len).sum()
    }

    fn keys(&self) -> impl Iterator<Item = TargetKey> {
        self.tiers.iter().flatten().copied()
    }
}

/// Routes to the nearest availability zone that has room.
#[derive(Debug)]
pub struct ZoneRouter {
    targets: Arena<TargetKey, Target>,
    services: Vec<Service>,
    /// Changes that the next tick tells of.
    changes: Vec<(TargetKey, bool)>,
}

impl RoutePolicy for ZoneRouter {
    fn new() -> Self {
        Self {
            targets: Arena::new(),
            services: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn add(&mut self, info: TargetInfo, now_us: u64) -> TargetKey {
        let key = self.targets.insert(Target::new(info, now_us));
        self.link(key, info);
        key
    }

    fn update(&mut self, target: TargetKey, info: TargetInfo) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        let previous = std::mem::replace(&mut entry.info, info);
        if (previous.service, previous.distance) != (info.service, info.distance) {
            self.unlink(target, previous);
            self.link(target, info);
        }
    }

    fn remove(&mut self, target: TargetKey) {
        if let Some(entry) = self.targets.remove(target) {
            self.unlink(target, entry.info);
        }
    }

    fn pick<R: Rng>(
        &mut self,
        wanted: RouteRequest,
        tried: &[TargetKey],
        now_us: u64,
        rng: &mut R,
    ) -> Result<TargetKey, Refusal> {
        let picked = self
            .pick_admitting(wanted, tried, now_us, rng)
            .or_else(|| self.pick_unhealthy(wanted, now_us, rng))
            .or_else(|| self.pick_probe(wanted, tried, now_us, rng));
        let Some(key) = picked else {
            return Err(self.refusal(wanted, now_us, rng));
        };
        if let Some(target) = self.targets.get_mut(key) {
            target.outstanding_count += 1;
        }
        Ok(key)
    }

    fn end(
        &mut self,
        target: TargetKey,
        result: AttemptResult,
        latency_us: u64,
        level: Option<AdmissionLevel>,
        now_us: u64,
    ) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        entry.outstanding_count = entry.outstanding_count.saturating_sub(1);
        entry.learn(result, latency_us, level, now_us);
        // A node that breaks off answers faster than any other and looks idle.
        // Between two ticks it would draw so many attempts that the retries of
        // the whole service are used up, and callers would get failures while
        // another target is idle.
        if result == AttemptResult::Failed {
            let service = entry.info.service.index();
            review(
                &mut self.services[service],
                &mut self.targets,
                now_us,
                &mut self.changes,
            );
        }
    }

    fn record_response(&mut self, target: TargetKey, now_us: u64) -> bool {
        let entry = self.targets.get_mut(target);
        entry.is_some_and(|entry| entry.silence.heard(now_us))
    }

    fn check_silence(&mut self, now_us: u64) -> SilenceCheck {
        let mut unheard = SilenceCheck::default();
        let doubted = self.doubted_zones();
        for (key, target) in self.targets.iter_mut() {
            let is_waiting = target.outstanding_count > 0 || doubted.contains(&target.info.zone);
            let look = target.silence.look(is_waiting, now_us);
            if look.asks {
                unheard.to_probe.push(key);
            }
            if look.falls_silent {
                unheard.newly_silent.push(key);
            }
        }
        unheard
    }

    fn tick(&mut self, now_us: u64) -> Vec<(TargetKey, bool)> {
        let mut changes = std::mem::take(&mut self.changes);
        for service in &mut self.services {
            review(service, &mut self.targets, now_us, &mut changes);
        }
        changes
    }
}

impl ZoneRouter {
    /// Attempts of this node at a target that have not ended.
    #[must_use]
    pub fn outstanding_count(&self, target: TargetKey) -> Option<u32> {
        self.targets
            .get(target)
            .map(|entry| entry.outstanding_count)
    }

    /// Zones of which a node has just left questions unanswered: the others may
    /// be out of reach with it, and are asked before work has hung at each.
    fn doubted_zones(&self) -> Vec<ZoneKey> {
        let targets = self.targets.iter().map(|(_, target)| target);
        let mut zones: Vec<ZoneKey> = targets
            .filter(|target| target.silence.is_doubted())
            .map(|target| target.info.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    fn link(&mut self, key: TargetKey, info: TargetInfo) {
        let index = info.service.index();
        if index >= self.services.len() {
            self.services.resize_with(index + 1, Service::default);
        }
        self.services[index].tiers[tier_index(info.distance)].push(key);
    }

    fn unlink(&mut self, key: TargetKey, info: TargetInfo) {
        let tier = &mut self.services[info.service.index()].tiers[tier_index(info.distance)];
        tier.retain(|other| *other != key);
    }

    /// A target that admits the class: first one with room, then a busy one,
    /// at last one that was tried before.
    fn pick_admitting<R: Rng>(
        &self,
        wanted: RouteRequest,
        tried: &[TargetKey],
        now_us: u64,
        rng: &mut R,
    ) -> Option<TargetKey> {
        let admits = |target: &Target| !target.is_shedding(wanted.class, now_us);
        let is_new = |key| !tried.contains(&key);
        self.pick_where(wanted, now_us, rng, |key, target| {
            is_new(key) && admits(target) && !target.is_busy(now_us)
        })
        .or_else(|| {
            self.pick_where(wanted, now_us, rng, |key, target| {
                is_new(key) && admits(target)
            })
        })
        .or_else(|| self.pick_where(wanted, now_us, rng, |_, target| admits(target)))
    }

    /// An ejected target, or one on trial, when no target is healthy.
    fn pick_unhealthy<R: Rng>(
        &self,
        wanted: RouteRequest,
        now_us: u64,
        rng: &mut R,
    ) -> Option<TargetKey> {
        let entry = self.services.get(wanted.service.index())?;
        let has_healthy = entry
            .keys()
            .filter_map(|key| self.targets.get(key))
            .any(|target| may_serve(wanted, target, now_us) && target.health == Health::Healthy);
        if has_healthy {
            return None;
        }
        self.pick_two(entry, &entry.tiers.concat(), now_us, rng, |_, target| {
            let admits =
                may_serve(wanted, target, now_us) && !target.is_shedding(wanted.class, now_us);
            f64::from(u8::from(admits))
        })
    }

    /// Now and then a target though all shed the class. Otherwise, with no
    /// request admitted, no answer would tell that there is room again.
    fn pick_probe<R: Rng>(
        &mut self,
        wanted: RouteRequest,
        tried: &[TargetKey],
        now_us: u64,
        rng: &mut R,
    ) -> Option<TargetKey> {
        let probed_us = self.services.get(wanted.service.index())?.probed_us;
        if probed_us.is_some_and(|at_us| now_us < at_us + PROBE_PERIOD_US) {
            return None;
        }
        let key = self.pick_where(wanted, now_us, rng, |key, _| !tried.contains(&key))?;
        self.services[wanted.service.index()].probed_us = Some(now_us);
        Some(key)
    }

    /// The better of two from the nearest tier that has any such target, or from
    /// a tier further away where it is expected to take clearly less time.
    fn pick_where<R: Rng>(
        &self,
        wanted: RouteRequest,
        now_us: u64,
        rng: &mut R,
        is_wanted: impl Fn(TargetKey, &Target) -> bool,
    ) -> Option<TargetKey> {
        let service = self.services.get(wanted.service.index())?;
        let expected_us = |key: TargetKey| {
            self.targets.get(key).map_or(f64::MAX, |target| {
                target.expected_us(service.median_us, now_us)
            })
        };
        let mut best: Option<(TargetKey, f64)> = None;
        for tier in &service.tiers {
            let picked = self.pick_two(service, tier, now_us, rng, |key, target| {
                if !may_serve(wanted, target, now_us) || !is_wanted(key, target) {
                    return 0.0;
                }
                target.considered_share(now_us)
            });
            let Some(key) = picked else {
                continue;
            };
            let key_us = expected_us(key);
            let is_better =
                best.is_none_or(|(_, best_us)| key_us * LEAVE_RATIO + LEAVE_MARGIN_US < best_us);
            if is_better {
                best = Some((key, key_us));
            }
        }
        best.map(|(key, _)| key)
    }

    /// Draws two of the targets, each considered with the share given for it,
    /// and takes the cheaper one. Always taking the cheapest would send all nodes to the same target.
    fn pick_two<R: Rng>(
        &self,
        service: &Service,
        keys: &[TargetKey],
        now_us: u64,
        rng: &mut R,
        share_of: impl Fn(TargetKey, &Target) -> f64,
    ) -> Option<TargetKey> {
        let mut drawn: [Option<TargetKey>; 2] = [None, None];
        let mut seen_count = 0;
        for key in keys {
            let Some(target) = self.targets.get(*key) else {
                continue;
            };
            if !is_considered(share_of(*key, target), rng) {
                continue;
            }
            // Reservoir of two: each considered one is equally likely in it.
            seen_count += 1;
            if seen_count <= 2 {
                drawn[seen_count - 1] = Some(*key);
            } else {
                let place = rng.random_range(0..seen_count);
                if place < 2 {
                    drawn[place] = Some(*key);
                }
            }
        }
        let cost = |key: TargetKey| {
            self.targets
                .get(key)
                .map_or(f64::MAX, |target| target.cost(service.median_us, now_us))
        };
        let [Some(first), Some(second)] = drawn else {
            return drawn[0];
        };
        let (first_cost, second_cost) = (cost(first), cost(second));
        if first_cost * EQUAL_RATIO < second_cost {
            Some(first)
        } else if second_cost * EQUAL_RATIO < first_cost {
            Some(second)
        } else {
            drawn[usize::from(rng.random::<bool>())]
        }
    }

    fn refusal<R: Rng>(&self, wanted: RouteRequest, now_us: u64, rng: &mut R) -> Refusal {
        let service = self.services.get(wanted.service.index());
        let has_target = service.is_some_and(|service| {
            service
                .keys()
                .filter_map(|key| self.targets.get(key))
                .any(|target| may_serve(wanted, target, now_us))
        });
        let (reason, (least_ms, width_ms)) = if has_target {
            (Reason::Overloaded, RETRY_AFTER_MS)
        } else {
            (Reason::NoTarget, NO_TARGET_RETRY_AFTER_MS)
        };
        Refusal::not_run(reason).with_retry_after_ms(least_ms + rng.random_range(0..=width_ms))
    }
}

/// Whether a target may get the request now, whatever its load.
fn may_serve(wanted: RouteRequest, target: &Target, now_us: u64) -> bool {
    wanted.regions.allows(target.info.region) && !target.is_away(now_us)
}

fn tier_index(distance: Distance) -> usize {
    DISTANCES
        .iter()
        .position(|other| *other == distance)
        .unwrap_or(DISTANCE_COUNT - 1)
}

fn is_considered<R: Rng>(share: f64, rng: &mut R) -> bool {
    share >= 1.0 || (share > 0.0 && rng.random::<f64>() < share)
}

/// Looks at the targets of one service: median, recoveries, ejections.
fn review(
    service: &mut Service,
    targets: &mut Arena<TargetKey, Target>,
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
    let limit = ejection_limit(service.target_count());
    let mut ejected_count = 0;
    for key in service.keys() {
        let Some(target) = targets.get_mut(key) else {
            continue;
        };
        if target.recover(now_us) {
            changes.push((key, false));
        }
        ejected_count += usize::from(target.is_ejected());
    }
    for key in service.keys() {
        let Some(target) = targets.get_mut(key) else {
            continue;
        };
        if ejected_count < limit && target.is_unfit(service.median_us, peer_count) {
            target.eject(now_us);
            ejected_count += 1;
            changes.push((key, true));
        }
    }
}
