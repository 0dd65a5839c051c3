//! Choice of a target by expected completion.

use {
    super::{
        RouteRequest, TargetKey,
        completion::{Expectation, leaving_share},
        service::Service,
        target::Target,
        zone_router::{ZoneRouter, may_serve},
    },
    rand::Rng,
};

/// Most targets that are compared for one request.
const MAX_DRAW_COUNT: usize = 3;

/// A drawn target.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: TargetKey,
    /// Rank of the draw; the lowest ranks are drawn.
    rank: f64,
    expectation: Expectation,
}

impl ZoneRouter {
    /// Picks the target that is expected to complete the request first among a few from the
    /// nearest tier with free capacity.
    pub(super) fn pick_earliest<R: Rng>(
        &self,
        service: &Service,
        request: RouteRequest,
        now_us: u64,
        rng: &mut R,
        is_eligible: impl Fn(TargetKey, &Target) -> bool,
    ) -> Option<TargetKey> {
        let mut best: Option<Candidate> = None;
        for tier in &service.tiers {
            let share_of = |key: TargetKey, target: &Target| {
                let is_eligible = may_serve(request, target, now_us) && is_eligible(key, target);
                f64::from(u8::from(is_eligible)) * target.considered_share(now_us)
            };
            let Some(candidate) = self.draw(service, tier, request, now_us, rng, share_of) else {
                continue;
            };
            let is_better = best.is_none_or(|best| {
                let share = leaving_share(&best.expectation, &candidate.expectation);
                share > 0.0 && rng.random::<f64>() < share
            });
            if is_better {
                best = Some(candidate);
            }
        }
        best.map(|candidate| candidate.key)
    }

    /// Draws a few targets, each with a probability in proportion to the requests that it can
    /// serve in a time, and takes the cheapest.
    fn draw<R: Rng>(
        &self,
        service: &Service,
        keys: &[TargetKey],
        request: RouteRequest,
        now_us: u64,
        rng: &mut R,
        share_of: impl Fn(TargetKey, &Target) -> f64,
    ) -> Option<Candidate> {
        let mut drawn: [Option<Candidate>; MAX_DRAW_COUNT] = [None; MAX_DRAW_COUNT];
        for key in keys {
            let Some(target) = self.targets.get(*key) else {
                continue;
            };
            let share = share_of(*key, target) * target.slow_start_share(now_us);
            if share <= 0.0 {
                continue;
            }
            let expectation = target.expectation(request.class, service.mean, now_us);
            let slot_count = f64::from(target.info.slot_count.max(1));
            let weight = slot_count * share / expectation.service_us;
            // The lowest of exponentially distributed ranks: sampling by weight without
            // replacement.
            let mut candidate = Candidate {
                key: *key,
                rank: -(1.0 - rng.random::<f64>()).ln() / weight,
                expectation,
            };
            for slot in drawn.iter_mut().take(self.draw_count) {
                match slot {
                    Some(other) if other.rank <= candidate.rank => {}
                    Some(other) => std::mem::swap(other, &mut candidate),
                    None => {
                        *slot = Some(candidate);
                        break;
                    }
                }
            }
        }
        drawn.into_iter().flatten().reduce(|first, second| {
            if second.expectation.cost_us() < first.expectation.cost_us() {
                second
            } else {
                first
            }
        })
    }
}
