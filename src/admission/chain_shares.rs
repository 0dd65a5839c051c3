//! Admitted shares of new requests by the supply of downstream services.

use crate::model::{CLASS_COUNT, Class};

/// Time between two updates of the shares.
const SLOT_US: u64 = 20_000;
/// Length of the history, in updates.
const HISTORY_COUNT: usize = 64;
/// Age of the newest shares that a measured ratio reflects: half of the window of the
/// measurement and the smoothing of one hop.
const MIN_AGE_US: u64 = 120_000;
/// Bounds of the duration of call trees.
const TREE_BOUNDS_US: (u64, u64) = (200_000, 800_000);
/// Duration of call trees while none has ended.
const INITIAL_TREE_US: u64 = 400_000;
/// Weight of a tree in the mean duration.
const TREE_WEIGHT: f64 = 0.05;
/// Bounds of a single ratio, so that one wrong figure changes the shares by a limited factor.
const RATIO_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Exponent of a ratio below 1 for browse. Browse is only a part of the work offered downstream,
/// so that the ratio alone corrects too little; above 2, shares would oscillate where it is all.
const BROWSE_GAIN: f64 = 1.5;
/// The same for the classes above. Once browse is at its floor, a low ratio mostly shows the
/// backlog that its earlier requests left; with 1, the highest class lost 4 % in a jump to 1.85.
const UPPER_GAIN: f64 = 0.25;
/// Ratios between which that gain holds; beyond them, the rest is applied in full. No backlog
/// explains a lower ratio, and calls would miss their deadlines before smaller cuts take effect;
/// above the higher one, slots idle.
const UPPER_GAIN_RATIOS: (f64, f64) = (0.5, 1.25);
/// Part of a cut that is taken back each time that a ratio is applied. Shares that only follow
/// changes would keep any difference between nodes; with this, equal ratios lead to equal shares.
const TAKEN_BACK_RATIO: f64 = 0.03;
/// Smallest share of browse over the share of the classes above: no class may be served less than
/// a quarter as often as others.
const MIN_BROWSE_SHARE: f64 = 0.25;
/// Smallest share of standard over that of critical.
const MIN_STANDARD_SHARE: f64 = 0.5;
/// Smallest admitted share of critical requests.
const MIN_CRITICAL_SHARE: f64 = 0.1;
/// Increase per second of the logarithm of the share while there are no measurements, for at most
/// one second at a time.
const UNMEASURED_RISE_PER_S: f64 = 0.25;

/// Admitted share of new requests by class.
///
/// A single figure, the sum of the logarithms of the cuts of all classes, determines the shares of
/// all classes: the cuts of browse come first, then those of standard, then those of critical. A
/// measured ratio reflects the shares at which the present calls were admitted, which is up to the
/// duration of a call tree ago. The shares are therefore set to these earlier ones multiplied by
/// the ratio, not to the present ones: a ratio is applied once, and only the remaining part of a
/// worse one is applied before the effect of the first shows. The state does not depend on the
/// classes that the node serves itself, so that nodes that serve only critical requests refuse
/// them only when browse and standard are at their floors elsewhere. Pure state: performs no I/O
/// and reads no clock.
#[derive(Debug, Clone)]
pub struct ChainShares {
    log_cut: f64,
    history: [f64; HISTORY_COUNT],
    slot: u64,
    tree_us: f64,
}

impl Default for ChainShares {
    fn default() -> Self {
        Self::new()
    }
}

impl ChainShares {
    /// Shares of 1.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            log_cut: 0.0,
            history: [0.0; HISTORY_COUNT],
            slot: 0,
            tree_us: INITIAL_TREE_US as f64,
        }
    }

    /// Records how long a request that began a call tree ran.
    pub fn record_tree(&mut self, run_us: u64) {
        let (min_us, max_us) = TREE_BOUNDS_US;
        let run_us = run_us.clamp(min_us, max_us) as f64;
        self.tree_us += (run_us - self.tree_us) * TREE_WEIGHT;
    }

    /// Sets the shares by a new measurement: the supply of the scarcest downstream service over
    /// the work offered to it.
    ///
    /// Called for each response, and only then: a ratio that is applied again without a new
    /// response would be counted twice once its first effect is part of the history.
    pub fn record_ratio(&mut self, ratio: f64, now_us: u64) {
        if self.advance(now_us) == 0 {
            return;
        }
        let (min_ratio, max_ratio) = RATIO_BOUNDS;
        let log_cut = next_log_cut(
            self.reflected_log_cut() * (1.0 - TAKEN_BACK_RATIO),
            ratio.clamp(min_ratio, max_ratio).ln(),
        );
        self.log_cut = log_cut.clamp(min_log_cut(), 0.0);
    }

    /// Raises the shares slowly; called while there is no recent measurement.
    pub fn rise_unmeasured(&mut self, now_us: u64) {
        let passed_s = (self.advance(now_us) * SLOT_US) as f64 / 1e6;
        let rise = passed_s.min(1.0) * UNMEASURED_RISE_PER_S;
        self.log_cut = (self.log_cut + rise).min(0.0);
    }

    /// Continues the history up to now; returns the number of updates that have passed.
    fn advance(&mut self, now_us: u64) -> u64 {
        let slot = now_us / SLOT_US;
        let passed_count = slot.saturating_sub(self.slot);
        for passed in 0..passed_count.min(HISTORY_COUNT as u64) {
            self.history[ring_index(slot - passed)] = self.log_cut;
        }
        self.slot = self.slot.max(slot);
        passed_count
    }

    /// Admitted share of this class, 0 to 1.
    #[must_use]
    pub fn share(&self, class: Class) -> f64 {
        let browse = self.log_cut.exp().max(MIN_BROWSE_SHARE);
        let standard = (self.log_cut.exp() / MIN_BROWSE_SHARE).clamp(MIN_STANDARD_SHARE, 1.0);
        let lower_floor = MIN_BROWSE_SHARE * MIN_STANDARD_SHARE;
        let critical = (self.log_cut.exp() / lower_floor).clamp(MIN_CRITICAL_SHARE, 1.0);
        let shares: [f64; CLASS_COUNT] = [browse * critical, standard * critical, critical];
        shares[class.index()]
    }

    /// Mean cut under which the calls were admitted that the present ratio reflects.
    fn reflected_log_cut(&self) -> f64 {
        let first_age = MIN_AGE_US / SLOT_US;
        let last_age = (first_age + self.tree_us as u64 / SLOT_US).min(HISTORY_COUNT as u64 - 1);
        let ages = first_age..=last_age;
        let count = ages.clone().count() as f64;
        let sum: f64 = ages
            .map(|age| self.history[ring_index(self.slot.wrapping_sub(age))])
            .sum();
        sum / count
    }
}

/// The cut that corrects a ratio of this logarithm, starting from the cut that it reflects.
///
/// Gains are the same in both directions: otherwise noise would move the shares, and nodes with
/// fewer responses would end with other shares than the rest of the fleet.
fn next_log_cut(reflected: f64, log_ratio: f64) -> f64 {
    let browse_floor = MIN_BROWSE_SHARE.ln();
    if log_ratio >= 0.0 {
        let upper_rise = upper_change(log_ratio);
        let upper_room = (browse_floor - reflected).max(0.0);
        if upper_rise <= upper_room {
            return reflected + upper_rise;
        }
        let browse_part = log_ratio * (1.0 - upper_room / upper_rise);
        return reflected + upper_room + browse_part * BROWSE_GAIN;
    }
    // Part of the ratio that browse can correct down to its floor.
    let browse_room = ((browse_floor - reflected) / BROWSE_GAIN).min(0.0);
    let browse_part = log_ratio.max(browse_room);
    reflected + browse_part * BROWSE_GAIN + upper_change(log_ratio - browse_part)
}

/// Change of the cut of the classes above browse for a ratio of this logarithm.
fn upper_change(log_ratio: f64) -> f64 {
    let (severe_ratio, idle_ratio) = UPPER_GAIN_RATIOS;
    let common_part = log_ratio.clamp(severe_ratio.ln(), idle_ratio.ln());
    common_part * UPPER_GAIN + (log_ratio - common_part)
}

fn min_log_cut() -> f64 {
    (MIN_BROWSE_SHARE * MIN_STANDARD_SHARE * MIN_CRITICAL_SHARE).ln()
}

const fn ring_index(slot: u64) -> usize {
    (slot % HISTORY_COUNT as u64) as usize
}
