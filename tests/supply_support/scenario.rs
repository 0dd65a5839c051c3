//! Load, sizes and faults of one run of the model, and the bound with full knowledge.

use {
    super::KindCount,
    dogwoodbridge::{model::Class, settings::DownstreamChoice},
};

const SERVICE_US: f64 = 83_000.0;
const CALLS_PER_TREE: f64 = 8.0;
/// Share of the slots that the policy at the target uses.
const USABLE_RATIO: f64 = 0.95;
/// Smallest share of browse over that of critical.
const MIN_BROWSE_SHARE: f64 = 0.25;
/// Step in which the bound follows demand and capacity.
pub const BOUND_STEP_US: u64 = 500_000;

/// Targets of one service.
#[derive(Debug, Clone, Copy)]
pub struct Layer {
    pub target_count: usize,
    pub slot_count: u32,
}

impl Layer {
    pub const ROOT_BROWSE: usize = 0;
    pub const ROOT_CRITICAL: usize = 1;
    pub const MIDDLE: usize = 2;
    pub const DEEPEST: usize = 3;
}

/// Demand of one kind over time, in units of the capacity of the deepest service.
#[derive(Debug, Clone, Copy)]
pub enum Demand {
    Steady(f64),
    /// Another value from the first to the second time.
    Burst {
        usual: f64,
        burst: f64,
        from_us: u64,
        until_us: u64,
    },
    /// Mean and amplitude of a wave, as a share of the mean.
    Wave {
        mean: f64,
        amplitude: f64,
        period_us: u64,
    },
}

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub class: Class,
    /// Service of the root; trees at the deepest service are a single call.
    pub layer: usize,
    pub demand: Demand,
}

/// Fault of the supply figures of all targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FigureFault {
    /// Unknown in every response.
    Stop,
    /// The last figure before the fault, again and again.
    Constant,
    /// Each figure arrives half a second late.
    Late,
    /// 1 and 400 in turn.
    Alternate,
}

#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub choice: DownstreamChoice,
    pub seed: u64,
    pub layers: [Layer; 4],
    pub kinds: Vec<Kind>,
    /// Capacity of the deepest service from this time on, over the usual one.
    pub capacity_change: (f64, u64),
    /// Targets of the deepest service that leave, and when.
    pub leaving: (usize, u64),
    /// Fault, its start and its end.
    pub figure_fault: (FigureFault, u64, u64),
    /// Requests that arrive in this time are counted.
    pub counted_us: (u64, u64),
    pub until_us: u64,
}

impl Scenario {
    pub fn new(name: &'static str, kinds: Vec<Kind>, counted_us: (u64, u64)) -> Self {
        let layer = |target_count, slot_count| Layer {
            target_count,
            slot_count,
        };
        Self {
            name,
            choice: DownstreamChoice::Supply,
            seed: 1,
            layers: [layer(17, 108), layer(12, 108), layer(8, 140), layer(4, 144)],
            kinds,
            capacity_change: (1.0, u64::MAX),
            leaving: (0, u64::MAX),
            figure_fault: (FigureFault::Stop, u64::MAX, u64::MAX),
            counted_us,
            until_us: counted_us.1 + 3_000_000,
        }
    }

    pub fn service_us(&self, now_us: u64) -> f64 {
        let (capacity, from_us) = self.capacity_change;
        match now_us >= from_us {
            true => SERVICE_US / capacity,
            false => SERVICE_US,
        }
    }

    pub const fn left_target_count(&self, now_us: u64) -> usize {
        let (count, from_us) = self.leaving;
        match now_us >= from_us {
            true => count,
            false => 0,
        }
    }

    pub fn usable_slot_count(&self, now_us: u64) -> f64 {
        let Layer {
            target_count,
            slot_count,
        } = self.layers[Layer::DEEPEST];
        let target_count = target_count - self.left_target_count(now_us);
        target_count as f64 * f64::from(slot_count) * USABLE_RATIO
    }

    /// Trees per second at which all slots of the deepest service are in use.
    fn capacity_per_s(&self) -> f64 {
        let Layer {
            target_count,
            slot_count,
        } = self.layers[Layer::DEEPEST];
        target_count as f64 * f64::from(slot_count) / SERVICE_US * 1e6 / CALLS_PER_TREE
    }

    /// Work of one request in trees.
    pub fn tree_count(&self, kind: usize) -> f64 {
        match self.kinds[kind].layer {
            Layer::DEEPEST => 1.0 / CALLS_PER_TREE,
            _ => 1.0,
        }
    }

    pub fn rate_per_s(&self, kind: usize, now_us: u64) -> f64 {
        let demand = match self.kinds[kind].demand {
            Demand::Steady(demand) => demand,
            Demand::Burst {
                usual,
                burst,
                from_us,
                until_us,
            } => match (from_us..until_us).contains(&now_us) {
                true => burst,
                false => usual,
            },
            Demand::Wave {
                mean,
                amplitude,
                period_us,
            } => {
                let phase = now_us as f64 / period_us as f64 * std::f64::consts::TAU;
                mean * (1.0 + amplitude * phase.sin())
            }
        };
        demand * self.capacity_per_s() / self.tree_count(kind)
    }

    pub fn max_rate_per_s(&self, kind: usize) -> f64 {
        let max_demand = match self.kinds[kind].demand {
            Demand::Steady(demand) => demand,
            Demand::Burst { usual, burst, .. } => usual.max(burst),
            Demand::Wave {
                mean, amplitude, ..
            } => mean * (1.0 + amplitude),
        };
        max_demand * self.capacity_per_s() / self.tree_count(kind)
    }

    pub const fn bound_step_count(&self) -> usize {
        ((self.counted_us.1 - self.counted_us.0) / BOUND_STEP_US) as usize
    }

    /// Requests of each kind that could be completed with full knowledge of the arrivals: in each
    /// step, as many of the classes above browse as fit beside the least share of browse, then
    /// browse.
    pub fn possible(&self, kinds: &[KindCount]) -> Vec<f64> {
        let mut possible = vec![0.0; kinds.len()];
        for step in 0..self.bound_step_count() {
            let now_us = self.counted_us.0 + step as u64 * BOUND_STEP_US;
            let slot_us = self.usable_slot_count(now_us) * BOUND_STEP_US as f64;
            let capacity = slot_us / self.service_us(now_us) / CALLS_PER_TREE;
            let offered = |kind: usize| f64::from(kinds[kind].offered_counts[step]);
            let is_browse = |kind: usize| self.kinds[kind].class == Class::Browse;
            let offered_trees = |counts_browse: bool| -> f64 {
                (0..kinds.len())
                    .filter(|kind| is_browse(*kind) == counts_browse)
                    .map(|kind| offered(kind) * self.tree_count(kind))
                    .sum()
            };
            let (high, browse) = (offered_trees(false), offered_trees(true));
            let high_share = (capacity / (high + MIN_BROWSE_SHARE * browse)).min(1.0);
            let browse_share = ((capacity - high * high_share) / browse.max(1.0)).min(1.0);
            for (kind, count) in possible.iter_mut().enumerate() {
                let share = if is_browse(kind) {
                    browse_share
                } else {
                    high_share
                };
                *count += offered(kind) * share;
            }
        }
        possible
    }
}
