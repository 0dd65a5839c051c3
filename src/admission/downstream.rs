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
//! that is admitted falls by steps while that load is high or calls fail, and
//! rises again after, the least important class first and each class down to a
//! floor, so that none is starved.

use crate::model::{AdmissionLevel, CLASS_COUNT, Class};

/// Time over which calls are counted. The users' smaller site makes about 4,100
/// calls a second over 16 nodes, some fifty of them on a node in this time.
const WINDOW_US: u64 = 200_000;
/// Fewest calls that say something.
const MIN_CALL_COUNT: u32 = 8;
/// Part of failed calls above which less is admitted. With four calls below
/// each, a twentieth lost at the deepest service shows as about this much.
const HIGH_RATIO: f64 = 0.2;
/// Part of failed calls below which more is admitted.
const LOW_RATIO: f64 = 0.1;
/// Load below, in percent of slots, above which less is admitted: half as many
/// wait as run. The users' deepest calls take 22 ms; four of them one after the
/// other then wait 50 ms, in requests that have 800. At 300 percent those that
/// needed the most calls ran out of time.
const HIGH_LOAD_PERCENT: f64 = 150.0;
/// Load below which more is admitted: all slots are in use and few wait.
const LOW_LOAD_PERCENT: f64 = 110.0;
/// Load from which steps down are larger.
const EXTREME_LOAD_PERCENT: f64 = 300.0;
/// Factor of a step down. With 0.7, from a twentieth of failed calls on, the
/// users' heavy days earned 2 to 8 parts in 100 less than without holding back.
const DECREASE: f64 = 0.9;
/// Factor of a step down at extreme load.
const EXTREME_DECREASE: f64 = 0.75;
/// Size of a step up: from the floor to all takes about a second and a half.
const INCREASE: f64 = 0.1;
/// Least share of each class, from the first to be shed to the last. Users hold
/// that no kind is served less than a quarter as often as others.
const FLOORS: [f64; CLASS_COUNT] = [0.3, 0.5, 0.7];
/// Weight of a window in the load that is told upwards.
const LOAD_WEIGHT: f64 = 0.5;
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

/// Calls since the window opened.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    since_us: u64,
    call_count: u32,
    failed_count: u32,
    level_count: u32,
    load_sum_percent: u64,
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
    window: Window,
    evidence: Evidence,
    load_percent: f64,
    shares: [f64; CLASS_COUNT],
    /// Classes whose requests make calls, as far as is known.
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
            window: Window::default(),
            evidence: Evidence::default(),
            load_percent: 0.0,
            shares: [1.0; CLASS_COUNT],
            dependent: [true; CLASS_COUNT],
        }
    }

    /// A call of the own target ended.
    pub fn note(&mut self, has_failed: bool, now_us: u64) {
        let failed = u32::from(has_failed);
        self.window.call_count += 1;
        self.window.failed_count += failed;
        self.evidence.call_count += 1;
        self.evidence.failed_count += failed;
        self.turn(now_us);
    }

    /// An attempt at such a call brought word of the load there and below.
    pub fn note_level(&mut self, level: AdmissionLevel, now_us: u64) {
        self.window.level_count += 1;
        self.window.load_sum_percent += u64::from(level.load_percent.max(level.below_percent));
        self.turn(now_us);
    }

    /// The own target answered a new request of this class.
    pub fn note_end(&mut self, class: Class, has_failed: bool) {
        let ends = &mut self.evidence.ends[class.index()];
        ends.count += 1;
        ends.failed_count += u32::from(has_failed);
    }

    /// Whether a new request of this class begins; `draw` is uniform between 0
    /// and 1.
    pub fn admits(&mut self, class: Class, draw: f64, now_us: u64) -> bool {
        self.turn(now_us);
        draw < self.share(class)
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
        if now_us < self.window.since_us + WINDOW_US {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.since_us = now_us;
        let load_percent = match window.level_count {
            0 => 0.0,
            count => window.load_sum_percent as f64 / f64::from(count),
        };
        self.load_percent += (load_percent - self.load_percent) * LOAD_WEIGHT;
        let ratio = match window.call_count >= MIN_CALL_COUNT {
            true => f64::from(window.failed_count) / f64::from(window.call_count),
            false => 0.0,
        };
        if ratio > HIGH_RATIO || self.load_percent > HIGH_LOAD_PERCENT {
            self.step_down(match self.load_percent > EXTREME_LOAD_PERCENT {
                true => EXTREME_DECREASE,
                false => DECREASE,
            });
        } else if ratio < LOW_RATIO && self.load_percent < LOW_LOAD_PERCENT {
            self.step_up();
        }
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

    fn step_down(&mut self, factor: f64) {
        let places = 0..CLASS_COUNT;
        let Some(place) = places.into_iter().find(|at| self.shares[*at] > FLOORS[*at]) else {
            return;
        };
        self.shares[place] = (self.shares[place] * factor).max(FLOORS[place]);
    }

    fn step_up(&mut self) {
        let places = (0..CLASS_COUNT).rev();
        let Some(place) = places.into_iter().find(|at| self.shares[*at] < 1.0) else {
            return;
        };
        self.shares[place] = (self.shares[place] + INCREASE).min(1.0);
    }
}
