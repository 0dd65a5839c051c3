//! Router that prefers the nearest availability zone.
//!
//! Of two random targets of a tier (zone, region, other regions) it takes the
//! cheaper one; a farther tier is used if the nearer ones have no room or are
//! clearly slower.

use {
    super::{
        AttemptResult, Distance, RoutePolicy, RouteRequest, SilenceCheck, TargetInfo, TargetKey,
        service::{Service, tier_index, update_ejections},
        target::{Health, Target},
        zone_silence::ZoneWatches,
    },
    crate::{
        arena::Arena,
        model::{AdmissionLevel, Class, Reason, Refusal},
        settings::TargetChoice,
    },
    rand::Rng,
    std::collections::BTreeSet,
};

/// Time between two requests sent to a service although all its targets shed
/// their class. The first one after a recovery detects it.
pub const SHED_PROBE_PERIOD_US: u64 = 100_000;
/// Retry delay reported to refused callers, in milliseconds: minimum and width
/// of the random part.
const RETRY_AFTER_MS: (u32, u32) = (100, 200);
/// The same for a service without targets, whose recovery takes longer.
const NO_TARGET_RETRY_AFTER_MS: (u32, u32) = (500, 1000);
/// A target of a farther tier is picked only if its expected duration times this
/// ratio plus the margin below is less than that of a nearer one. Requests that
/// leave their zone are lost when the zone is cut off, and their traffic costs
/// money.
const FARTHER_TIER_RATIO: f64 = 1.2;
const FARTHER_TIER_MARGIN_US: f64 = 30_000.0;
/// Targets that are compared for one request by expected completion.
const DRAW_COUNT: usize = 2;

/// Routes to the nearest availability zone that has room.
///
/// Pure state: performs no I/O and reads no clock.
#[derive(Debug)]
pub struct ZoneRouter {
    pub(super) targets: Arena<TargetKey, Target>,
    /// Targets that have attempts in progress, are silent or are probed. The
    /// others cannot become silent, so that a tick costs as much as there are
    /// requests, however many targets exist.
    pub(super) watched: BTreeSet<TargetKey>,
    pub(super) zone_watches: ZoneWatches,
    pub(super) local: Option<TargetKey>,
    services: Vec<Service>,
    /// Changes since the last tick, which the next one returns.
    changes: Vec<(TargetKey, bool)>,
    choice: TargetChoice,
    /// Targets that are compared for one request by expected completion.
    pub(super) draw_count: usize,
}

impl RoutePolicy for ZoneRouter {
    fn new() -> Self {
        Self {
            targets: Arena::new(),
            watched: BTreeSet::new(),
            zone_watches: ZoneWatches::default(),
            local: None,
            services: Vec::new(),
            changes: Vec::new(),
            choice: TargetChoice::Latency,
            draw_count: DRAW_COUNT,
        }
    }

    fn with_target_choice(mut self, choice: TargetChoice) -> Self {
        self.choice = choice;
        self
    }

    fn distance(&self, target: TargetKey) -> Option<Distance> {
        self.targets.get(target).map(|entry| entry.info.distance)
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

    fn set_local(&mut self, target: TargetKey) {
        self.local = Some(target);
    }

    fn remove(&mut self, target: TargetKey) {
        self.local = self.local.filter(|local| *local != target);
        self.watched.remove(&target);
        if let Some(entry) = self.targets.remove(target) {
            self.zone_watches.remove_target(entry.info.zone, target);
            self.unlink(target, entry.info);
        }
    }

    fn pick<R: Rng>(
        &mut self,
        request: RouteRequest,
        tried: &[TargetKey],
        now_us: u64,
        rng: &mut R,
    ) -> Result<TargetKey, Refusal> {
        let picked = self
            .pick_admitting(request, tried, now_us, rng)
            .or_else(|| self.pick_unhealthy(request, now_us, rng))
            .or_else(|| self.pick_probe(request, tried, now_us, rng));
        let Some(key) = picked else {
            return Err(self.refusal(request, now_us, rng));
        };
        if let Some(target) = self.targets.get_mut(key) {
            target.outstanding_count += 1;
            target.figures.record_sent(request.class);
            self.watched.insert(key);
        }
        Ok(key)
    }

    fn end_attempt(
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
        entry.record_result(result, latency_us, level, now_us);
        if level.is_some() && self.local != Some(target) {
            self.zone_watches.record_response(entry.info.zone);
        }
        let service = &mut self.services[entry.info.service.index()];
        service.has_changed = true;
        // A node that aborts attempts at once seems to be the fastest and idle.
        // Between two ticks it would attract enough attempts to exhaust the
        // retries of the whole service, and callers would get failures although
        // another target is idle.
        if result == AttemptResult::Failed {
            update_ejections(
                service,
                &mut self.targets,
                self.choice,
                now_us,
                &mut self.changes,
            );
        }
    }

    fn record_level(
        &mut self,
        target: TargetKey,
        class: Class,
        level: AdmissionLevel,
        now_us: u64,
    ) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.figures.record_level(class, level, now_us);
            self.services[entry.info.service.index()].has_changed = true;
        }
    }

    fn record_response(&mut self, target: TargetKey, now_us: u64) -> bool {
        let Some(entry) = self.targets.get_mut(target) else {
            return false;
        };
        if self.local != Some(target) {
            self.zone_watches.record_response(entry.info.zone);
        }
        entry.silence.record_response(now_us)
    }

    fn is_silent(&self, target: TargetKey) -> bool {
        let entry = self.targets.get(target);
        entry.is_none_or(|entry| entry.silence.is_silent())
    }

    fn check_silence(&mut self, now_us: u64) -> SilenceCheck {
        self.check_watched(now_us)
    }

    fn tick(&mut self, now_us: u64) -> Vec<(TargetKey, bool)> {
        let mut changes = std::mem::take(&mut self.changes);
        for service in &mut self.services {
            if !service.needs_update() {
                continue;
            }
            service.has_changed = false;
            service.update_mean(&self.targets, now_us);
            update_ejections(
                service,
                &mut self.targets,
                self.choice,
                now_us,
                &mut changes,
            );
        }
        changes
    }
}

impl ZoneRouter {
    /// Sets how many targets are compared for one request by expected completion: 1 to 3.
    #[must_use]
    pub const fn with_draw_count(mut self, draw_count: usize) -> Self {
        self.draw_count = draw_count;
        self
    }

    /// Attempts of this node at the target that have not ended; `None` if it was
    /// removed.
    #[must_use]
    pub fn outstanding_count(&self, target: TargetKey) -> Option<u32> {
        self.targets
            .get(target)
            .map(|entry| entry.outstanding_count)
    }

    /// Number of targets whose silence is checked on every tick.
    #[must_use]
    pub fn watched_count(&self) -> usize {
        self.watched.len()
    }

    fn link(&mut self, key: TargetKey, info: TargetInfo) {
        let index = info.service.index();
        if index >= self.services.len() {
            self.services.resize_with(index + 1, Service::default);
        }
        self.services[index].tiers[tier_index(info.distance)].push(key);
        self.services[index].has_changed = true;
    }

    fn unlink(&mut self, key: TargetKey, info: TargetInfo) {
        let service = &mut self.services[info.service.index()];
        service.tiers[tier_index(info.distance)].retain(|other| *other != key);
        service.has_changed = true;
    }

    /// Picks a target that admits the class: preferably one with room, else a
    /// busy one, else one that was tried before.
    fn pick_admitting<R: Rng>(
        &self,
        request: RouteRequest,
        tried: &[TargetKey],
        now_us: u64,
        rng: &mut R,
    ) -> Option<TargetKey> {
        let admits = |target: &Target| !target.is_shedding(request.class, now_us);
        let is_untried = |key| !tried.contains(&key);
        self.pick_where(request, now_us, rng, |key, target| {
            is_untried(key) && admits(target) && !target.is_busy(now_us)
        })
        .or_else(|| {
            self.pick_where(request, now_us, rng, |key, target| {
                is_untried(key) && admits(target)
            })
        })
        .or_else(|| self.pick_where(request, now_us, rng, |_, target| admits(target)))
    }

    /// Picks an ejected target, or one on trial, if no target is healthy.
    fn pick_unhealthy<R: Rng>(
        &self,
        request: RouteRequest,
        now_us: u64,
        rng: &mut R,
    ) -> Option<TargetKey> {
        let entry = self.services.get(request.service.index())?;
        let has_healthy = entry
            .keys()
            .filter_map(|key| self.targets.get(key))
            .any(|target| may_serve(request, target, now_us) && target.health == Health::Healthy);
        if has_healthy {
            return None;
        }
        self.pick_two(entry, &entry.tiers.concat(), now_us, rng, |_, target| {
            let admits =
                may_serve(request, target, now_us) && !target.is_shedding(request.class, now_us);
            f64::from(u8::from(admits))
        })
    }

    /// Picks a target once per `SHED_PROBE_PERIOD_US` although all shed the class.
    /// Without requests no response would report that there is room again.
    fn pick_probe<R: Rng>(
        &mut self,
        request: RouteRequest,
        tried: &[TargetKey],
        now_us: u64,
        rng: &mut R,
    ) -> Option<TargetKey> {
        let last_probe_us = self.services.get(request.service.index())?.last_probe_us;
        if last_probe_us.is_some_and(|last_probe_us| now_us < last_probe_us + SHED_PROBE_PERIOD_US)
        {
            return None;
        }
        let key = self.pick_where(request, now_us, rng, |key, _| !tried.contains(&key))?;
        self.services[request.service.index()].last_probe_us = Some(now_us);
        Some(key)
    }

    /// Picks the cheaper of two eligible targets from the nearest tier that has
    /// any, or from a farther tier that is expected to be clearly faster.
    fn pick_where<R: Rng>(
        &self,
        request: RouteRequest,
        now_us: u64,
        rng: &mut R,
        is_eligible: impl Fn(TargetKey, &Target) -> bool,
    ) -> Option<TargetKey> {
        let service = self.services.get(request.service.index())?;
        if self.choice == TargetChoice::Completion && service.has_figures {
            return self.pick_earliest(service, request, now_us, rng, is_eligible);
        }
        let expected_us_of = |key: TargetKey| {
            self.targets.get(key).map_or(f64::MAX, |target| {
                target.expected_us(service.median_us, now_us)
            })
        };
        let mut best: Option<(TargetKey, f64)> = None;
        for tier in &service.tiers {
            let picked = self.pick_two(service, tier, now_us, rng, |key, target| {
                if !may_serve(request, target, now_us) || !is_eligible(key, target) {
                    return 0.0;
                }
                target.considered_share(now_us)
            });
            let Some(key) = picked else {
                continue;
            };
            let candidate_us = expected_us_of(key);
            let is_better = best.is_none_or(|(_, best_us)| {
                candidate_us * FARTHER_TIER_RATIO + FARTHER_TIER_MARGIN_US < best_us
            });
            if is_better {
                best = Some((key, candidate_us));
            }
        }
        best.map(|(key, _)| key)
    }

    fn refusal<R: Rng>(&self, request: RouteRequest, now_us: u64, rng: &mut R) -> Refusal {
        let service = self.services.get(request.service.index());
        let has_target = service.is_some_and(|service| {
            service
                .keys()
                .filter_map(|key| self.targets.get(key))
                .any(|target| may_serve(request, target, now_us))
        });
        let (reason, (min_ms, width_ms)) = if has_target {
            (Reason::Overloaded, RETRY_AFTER_MS)
        } else {
            (Reason::NoTarget, NO_TARGET_RETRY_AFTER_MS)
        };
        Refusal::not_run(reason).with_retry_after_ms(min_ms + rng.random_range(0..=width_ms))
    }
}

/// Whether a target may get the request now, regardless of its load.
pub(super) fn may_serve(request: RouteRequest, target: &Target, now_us: u64) -> bool {
    request.regions.allows(target.info.region) && !target.is_unavailable(now_us)
}
