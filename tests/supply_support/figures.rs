//! Levels in the responses of the model, and the faults of their supply figures.

use {
    super::{FigureFault, Model},
    dogwoodbridge::{
        admission::AdmissionPolicy,
        model::{AdmissionLevel, Class},
    },
};

/// Age of figures that arrive late.
const LATE_US: u64 = 500_000;

impl Model<'_> {
    pub(super) fn level(&mut self, node: usize) -> Option<AdmissionLevel> {
        let now_us = self.now_us;
        let model_node = &mut self.nodes[node];
        model_node.response_count += 1;
        let level = AdmissionLevel {
            below_percent: model_node.control.load_percent(),
            below_supply_percent: model_node.control.supply_percent(now_us),
            ..model_node.policy.level(Class::Standard, now_us)
        };
        let (fault, from_us, until_us) = self.scenario.figure_fault;
        let is_faulty = (from_us..until_us).contains(&now_us);
        if !is_faulty || fault == FigureFault::Late {
            model_node.figures.push_back((now_us, level.supply_percent));
        }
        while model_node.figures.len() > 1
            && model_node.figures[0].0 + LATE_US < now_us
            && !is_faulty
        {
            model_node.figures.pop_front();
        }
        if !is_faulty {
            return Some(level);
        }
        if fault == FigureFault::Late {
            while model_node.figures.len() > 1 && model_node.figures[1].0 + LATE_US < now_us {
                model_node.figures.pop_front();
            }
        }
        let supply_percent = match fault {
            FigureFault::Stop => 0,
            FigureFault::Constant => model_node.figures.back()?.1,
            FigureFault::Late => model_node.figures.front()?.1,
            FigureFault::Alternate if model_node.response_count.is_multiple_of(2) => 1,
            FigureFault::Alternate => 400,
        };
        let below_supply_percent = match fault {
            FigureFault::Stop => 0,
            _ => level.below_supply_percent,
        };
        Some(AdmissionLevel {
            supply_percent,
            below_supply_percent,
            ..level
        })
    }
}
