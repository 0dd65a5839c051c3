//! Admission of new requests by how the calls of those before them fare.
//!
//! Pattern: a chain whose deepest service is full. Each request needs several
//! calls there, one after the other; of those that begin, most lose one of
//! their calls and fail, after the slots and calls of the whole tree were used.
//! With a twentieth of the calls lost, a request that makes eight fails in one
//! case of three. Beginning fewer serves more.
//!
//! The share of new requests that is admitted falls by steps while calls fail
//! and rises slowly again, the least important class first and each class down
//! to a floor, so that none is starved.

use crate::model::{CLASS_COUNT, Class};

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
/// Factor of a step down. With 0.7, from a twentieth of failed calls on, the
/// users' heavy days earned 2 to 8 parts in 100 less than without holding back.
const DECREASE: f64 = 0.9;
/// Size of a step up: from the floor to all takes about three seconds.
const INCREASE: f64 = 0.05;
/// Least share of each class, from the first to be shed to the last. Users hold
/// that no kind is served less than a quarter as often as others.
const FLOORS: [f64; CLASS_COUNT] = [0.3, 0.5, 0.7];

/// Shares of new requests by class; no I/O, no clock.
#[derive(Debug, Clone)]
pub struct Downstream {
    since_us: u64,
    call_count: u32,
    failed_count: u32,
    shares: [f64; CLASS_COUNT],
}

impl Default for Downstream {
    fn default() -> Self {
        Self::new()
    }
}

impl Downstream {
    /// Everything is admitted.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            since_us: 0,
            call_count: 0,
            failed_count: 0,
            shares: [1.0; CLASS_COUNT],
        }
    }

    /// A call of the own target ended.
    pub fn note(&mut self, has_failed: bool, now_us: u64) {
        self.call_count += 1;
        self.failed_count += u32::from(has_failed);
        self.turn(now_us);
    }

    /// Whether a new request of this class begins; `draw` is uniform between 0
    /// and 1.
    pub fn admits(&mut self, class: Class, draw: f64, now_us: u64) -> bool {
        self.turn(now_us);
        draw < self.shares[class.index()]
    }

    /// Share of this class that is admitted.
    #[must_use]
    pub const fn share(&self, class: Class) -> f64 {
        self.shares[class.index()]
    }

    fn turn(&mut self, now_us: u64) {
        if now_us < self.since_us + WINDOW_US {
            return;
        }
        let ratio = match self.call_count >= MIN_CALL_COUNT {
            true => f64::from(self.failed_count) / f64::from(self.call_count),
            false => 0.0,
        };
        if ratio > HIGH_RATIO {
            self.step_down();
        } else if ratio < LOW_RATIO {
            self.step_up();
        }
        self.since_us = now_us;
        self.call_count = 0;
        self.failed_count = 0;
    }

    fn step_down(&mut self) {
        let places = 0..CLASS_COUNT;
        let Some(place) = places.into_iter().find(|at| self.shares[*at] > FLOORS[*at]) else {
            return;
        };
        self.shares[place] = (self.shares[place] * DECREASE).max(FLOORS[place]);
    }

    fn step_up(&mut self) {
        let places = (0..CLASS_COUNT).rev();
        let Some(place) = places.into_iter().find(|at| self.shares[*at] < 1.0) else {
            return;
        };
        self.shares[place] = (self.shares[place] + INCREASE).min(1.0);
    }
}
