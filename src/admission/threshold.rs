//! Lowest admitted class, with hysteresis.

use crate::model::Class;

/// Queue fill at or below which one more class is admitted.
const LOWER_FILL_PERCENT: usize = 25;
/// Queue fill from which shedding a request raises the threshold. Requests with short deadlines
/// are shed from a nearly empty queue too, which says nothing about others of their class.
const RAISE_FILL_PERCENT: usize = 40;
/// Shortest time between two steps down of the threshold.
const LOWER_INTERVAL_US: u64 = 20_000;

/// Lowest class that is currently admitted.
///
/// Rises when a class is shed from a full queue and falls, class by class, once the queue is
/// nearly empty. Requests still waiting then keep the slots busy until upstream nodes have seen
/// the change.
#[derive(Debug)]
pub struct AdmissionThreshold {
    lowest_class: Class,
    changed_us: u64,
}

impl Default for AdmissionThreshold {
    fn default() -> Self {
        Self::new()
    }
}

impl AdmissionThreshold {
    /// A threshold that admits every class.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            lowest_class: Class::Browse,
            changed_us: 0,
        }
    }

    /// Lowest class that is admitted.
    #[must_use]
    pub const fn lowest_class(&self) -> Class {
        self.lowest_class
    }

    /// Records that a request of this class was shed because too many wait. Critical requests
    /// stay admitted: they compete in the queue itself.
    pub fn record_shed(
        &mut self,
        class: Class,
        waiting_count: usize,
        capacity: usize,
        now_us: u64,
    ) {
        if waiting_count * 100 < capacity * RAISE_FILL_PERCENT {
            return;
        }
        let raised_class = match class {
            Class::Browse => Class::Standard,
            Class::Standard | Class::Critical => Class::Critical,
        };
        if raised_class >= self.lowest_class {
            self.lowest_class = raised_class;
            self.changed_us = now_us;
        }
    }

    /// Admits one more class if the queue is nearly empty. Called on every tick.
    pub fn tick(&mut self, waiting_count: usize, capacity: usize, now_us: u64) {
        let has_backlog = waiting_count * 100 > capacity * LOWER_FILL_PERCENT;
        if has_backlog || now_us < self.changed_us + LOWER_INTERVAL_US {
            return;
        }
        self.lowest_class = match self.lowest_class {
            Class::Critical => Class::Standard,
            Class::Standard | Class::Browse => Class::Browse,
        };
        self.changed_us = now_us;
    }
}
