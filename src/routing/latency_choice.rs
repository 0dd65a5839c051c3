//! Choice of a target by own attempts, own latency and the reported load.

use {
    super::{TargetKey, service::Service, target::Target, zone_router::ZoneRouter},
    rand::Rng,
};

/// Costs that differ by less than this ratio are treated as equal. Otherwise
/// microseconds of latency would decide between idle targets, and one of them
/// would get all requests.
const EQUAL_RATIO: f64 = 1.25;

impl ZoneRouter {
    /// Draws two targets at random, each considered with the probability that
    /// `share_of` returns, and takes the cheaper one. If all nodes took the
    /// cheapest of all, they would send their requests to the same target.
    pub(super) fn pick_two<R: Rng>(
        &self,
        service: &Service,
        keys: &[TargetKey],
        now_us: u64,
        rng: &mut R,
        share_of: impl Fn(TargetKey, &Target) -> f64,
    ) -> Option<TargetKey> {
        let mut drawn: [Option<TargetKey>; 2] = [None, None];
        let mut considered_count = 0;
        for key in keys {
            let Some(target) = self.targets.get(*key) else {
                continue;
            };
            if !is_considered(share_of(*key, target), rng) {
                continue;
            }
            // Reservoir sampling: all considered targets are drawn equally likely.
            considered_count += 1;
            if considered_count <= 2 {
                drawn[considered_count - 1] = Some(*key);
            } else {
                let drawn_index = rng.random_range(0..considered_count);
                if drawn_index < 2 {
                    drawn[drawn_index] = Some(*key);
                }
            }
        }
        let cost_of = |key: TargetKey| {
            self.targets
                .get(key)
                .map_or(f64::MAX, |target| target.cost(service.median_us, now_us))
        };
        let [Some(first), Some(second)] = drawn else {
            return drawn[0];
        };
        let (first_cost, second_cost) = (cost_of(first), cost_of(second));
        if first_cost * EQUAL_RATIO < second_cost {
            Some(first)
        } else if second_cost * EQUAL_RATIO < first_cost {
            Some(second)
        } else {
            drawn[usize::from(rng.random::<bool>())]
        }
    }
}

fn is_considered<R: Rng>(share: f64, rng: &mut R) -> bool {
    share >= 1.0 || (share > 0.0 && rng.random::<f64>() < share)
}
