//! Admission of new requests by how the calls of those before them fare.
//!
//! Pattern: a chain whose deepest service is full. Each request needs several
//! calls there, one after the other; of those that begin, most lose one of
//! their calls and fail, after the slots and calls of the whole tree were used.
//! With a twentieth of the calls lost, a request that makes eight fails in one
//! case of three. Beginning fewer serves more.
//!
//! Every answer between nodes carries the load of the target that gave it and
//! the load that its own calls meet, so that a node sees the fullest service of
//! the tree below it before calls are lost there. The share of new requests
//! that is admitted falls by steps while that load is high or calls fail, the more
//! the higher it is, and rises again after; the least important class first, and
//! none below a quarter of the most admitted one, so that none is starved.

use {
    super::Relief,
    crate::model::{AdmissionLevel, CLASS_COUNT, Class},
};

/// Time over which words of load are gathered.
const WINDOW_US: u64 = 100_000;
/// Time between two steps. What was admitted before a step shows in the load for
/// about as long; steps that follow faster overshoot, and the load swings.
const STEP_US: u64 = 200_000;
/// Time over which failed calls are counted.
const FAILURE_WINDOW_US: u64 = 200_000;
/// Fewest calls that say something.
const MIN_CALL_COUNT: u32 = 8;
/// Part of failed calls above which less is admitted. With four calls below
/// each, a twentieth lost at the deepest service shows as about this much.
const HIGH_RATIO: f64 = 0.2;
/// Part of failed calls below which more is admitted.
const LOW_RATIO: f64 = 0.1;
/// Factor of a step down for failed calls.
const FAILURE_DECREASE: f64 = 0.9;
/// Load below, in percent of slots, above which less is admitted: calls wait.
const HIGH_LOAD_PERCENT: f64 = 140.0;
/// Load that steps down aim at: all slots are in use and few calls wait.
const AIMED_LOAD_PERCENT: f64 = 115.0;
/// Load below which more is admitted.
const LOW_LOAD_PERCENT: f64 = 110.0;
/// Largest step down.
const LARGEST_DECREASE: f64 = 0.75;
/// Size of a step up, and of one for the classes below where there is much room.
const INCREASE: f64 = 0.1;
const FURTHER_INCREASE: f64 = 0.05;
/// Load below which there is much room.
const IDLE_LOAD_PERCENT: f64 = 60.0;
/// Least share of each class over that of the most admitted one, from the first
/// to be shed to the last but one: users hold that no kind is served less than a
/// quarter as often as others.
const FLOOR_RATIOS: [f64; CLASS_COUNT - 1] = [0.25, 0.5];
/// Least share of the last class to be shed.
const LEAST_SHARE: f64 = 0.1;
/// Weight of a window in the load that is told upwards.
const LOAD_WEIGHT: f64 = 0.6;
/// Fewest failed calls and ended requests of a class from which one tells
/// whether its requests depend on these calls.
const MIN_EVIDENCE_COUNT: u32 = 8;
/// Part of the calls' failures that requests which make calls show at least.
const DEPENDENT_RATIO: f64 = 0.3;

/// Ends of new requests of one class.
#[derive(Debug, Clone, Copy, Default)]
struct Ends {
    count: u32,
    failed_count: u32,
}

/// Words of load since the window opened.
#[derive(Debug, Clone, Copy, Default)]
struct Loads {
    since_us: u64,
    count: u32,
    sum_percent: u64,
}

/// Calls since the window opened.
#[derive(Debug, Clone, Copy, Default)]
struct Failures {
    since_us: u64,
    call_count: u32,
    failed_count: u32,
}

/// Failures of calls and of requests, gathered until there are enough.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    call_count: u32,
    failed_count: u32,
    ends: [Ends; CLASS_COUNT],
}

/// Shares of new requests by class; no I/O, no clock.
#[derive(Debug, Clone)]
pub struct Downstream {
    loads: Loads,
    stepped_us: u64,
    failures: Failures,
    failed_ratio: f64,
    evidence: Evidence,
    load_percent: f64,
    shares: [f64; CLASS_COUNT],
    /// Whether holding new requests back relieves the services below.
    pub relief: Relief,
    /// Classes whose requests fail along with calls, as far as is known.
    dependent: [bool; CLASS_COUNT],
}

impl Default for Downstream {
    fn default() -> Self {
        Self::new()
    }
}

impl Downstream {
    /// Everything is admitted.
    #[must_use]
    pub fn new() -> Self {
        Self {
            loads: Loads::default(),
            stepped_us: 0,
            failures: Failures::default(),
            failed_ratio: 0.0,
            evidence: Evidence::default(),
            load_percent: 0.0,
            shares: [1.0; CLASS_COUNT],
            relief: Relief::new(),
            dependent: [true; CLASS_COUNT],
        }
    }

    /// A call of the own target ended.
    pub fn note(&mut self, has_failed: bool, now_us: u64) {
        let failed = u32::from(has_failed);
        self.failures.call_count += 1;
        self.failures.failed_count += failed;
        self.evidence.call_count += 1;
        self.evidence.failed_count += failed;
        self.turn(now_us);
    }

    /// An attempt at such a call brought word of the load there and below.
    pub fn note_level(&mut self, level: AdmissionLevel, now_us: u64) {
        self.loads.count += 1;
        self.loads.sum_percent += u64::from(level.load_percent.max(level.below_percent));
        self.turn(now_us);
    }

    /// The own target answered a new request of this class.
    pub fn note_end(&mut self, class: Class, has_failed: bool) {
        let ends = &mut self.evidence.ends[class.index()];
        ends.count += 1;
        ends.failed_count += u32::from(has_failed);
    }

    /// Whether a new request of this class begins, which is `ranked` among those
    /// of all workspaces; `draw` is uniform between 0 and 1.
    pub fn admits(&mut self, class: Class, ranked: Class, draw: f64, now_us: u64) -> bool {
        self.turn(now_us);
        let share = match self.dependent[class.index()] {
            true => self.shares[ranked.index()],
            false => 1.0,
        };
        draw < share || !self.relief.would_reduce_downstream_load(class, now_us)
    }

    /// Share of this class that is admitted.
    #[must_use]
    pub const fn share(&self, class: Class) -> f64 {
        match self.dependent[class.index()] {
            true => self.shares[class.index()],
            false => 1.0,
        }
    }

    /// Load that calls of the own target meet, in percent of slots.
    #[must_use]
    pub const fn load_percent(&self) -> u16 {
        self.load_percent as u16
    }

    fn turn(&mut self, now_us: u64) {
        if now_us < self.loads.since_us + WINDOW_US {
            return;
        }
        self.take_loads(now_us);
        if now_us >= self.failures.since_us + FAILURE_WINDOW_US {
            self.take_failures(now_us);
        }
        if now_us < self.stepped_us + STEP_US {
            return;
        }
        self.stepped_us = now_us;
        if self.load_percent > HIGH_LOAD_PERCENT {
            let factor = (AIMED_LOAD_PERCENT / self.load_percent).sqrt();
            self.step_down(factor.max(LARGEST_DECREASE));
        } else if self.failed_ratio > HIGH_RATIO {
            self.step_down(FAILURE_DECREASE);
        } else if self.failed_ratio < LOW_RATIO && self.load_percent < LOW_LOAD_PERCENT {
            self.step_up();
        }
    }

    fn take_loads(&mut self, now_us: u64) {
        let loads = std::mem::take(&mut self.loads);
        self.loads.since_us = now_us;
        let load_percent = match loads.count {
            0 => 0.0,
            count => loads.sum_percent as f64 / f64::from(count),
        };
        self.load_percent += (load_percent - self.load_percent) * LOAD_WEIGHT;
    }

    fn take_failures(&mut self, now_us: u64) {
        let failures = std::mem::take(&mut self.failures);
        self.failures.since_us = now_us;
        self.failed_ratio = match failures.call_count >= MIN_CALL_COUNT {
            true => f64::from(failures.failed_count) / f64::from(failures.call_count),
            false => 0.0,
        };
        self.weigh_evidence();
    }

    /// Tells classes whose requests make calls from those whose do not.
    ///
    /// A call does not tell which request it belongs to. Where one class makes
    /// calls and another does not, both would be held back for the first one's
    /// sake, and price changes would be refused because a read below an order
    /// is slow. Requests that make calls fail along with them.
    fn weigh_evidence(&mut self) {
        let evidence = self.evidence;
        if evidence.failed_count < MIN_EVIDENCE_COUNT {
            return;
        }
        let call_ratio = f64::from(evidence.failed_count) / f64::from(evidence.call_count);
        let mut is_settled = true;
        for (place, ends) in evidence.ends.into_iter().enumerate() {
            // Fewer ends would show no failure by chance.
            let wanted = f64::from(MIN_EVIDENCE_COUNT) / call_ratio;
            if f64::from(ends.count) < wanted {
                is_settled &= ends.count == 0;
                continue;
            }
            let end_ratio = f64::from(ends.failed_count) / f64::from(ends.count);
            self.dependent[place] = end_ratio > call_ratio * DEPENDENT_RATIO;
        }
        if is_settled {
            self.evidence = Evidence::default();
        }
    }

    /// Takes from the least important class that is above its floor.
    fn step_down(&mut self, factor: f64) {
        for place in 0..CLASS_COUNT {
            let floor = self.floor(place);
            if self.shares[place] > floor {
                self.shares[place] = (self.shares[place] * factor).max(floor);
                return;
            }
        }
    }

    fn floor(&self, place: usize) -> f64 {
        let above = self.shares[place + 1..].iter().copied();
        match FLOOR_RATIOS.get(place) {
            Some(ratio) => above.fold(0.0, f64::max) * ratio,
            None => LEAST_SHARE,
        }
    }

    /// Gives to the most important class that is held back, and some to those
    /// below it where there is much room.
    fn step_up(&mut self) {
        let has_much_room = self.load_percent < IDLE_LOAD_PERCENT;
        let held_back = self.shares.iter_mut().rev().filter(|share| **share < 1.0);
        for (place, share) in held_back.enumerate() {
            let increase = match place {
                0 => INCREASE,
                _ if has_much_room => FURTHER_INCREASE,
                _ => return,
            };
            *share = (*share + increase).min(1.0);
        }
    }
}
