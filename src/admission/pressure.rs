//! Level down to which work is admitted, with hysteresis.

use crate::model::Class;

/// Fill of the queue, in percent, below which one more class is admitted.
const RELEASE_FILL_PERCENT: usize = 25;
/// Fill of the queue, in percent, from which a class counts as shed. Requests
/// with short deadlines are refused from a nearly empty queue too; that says
/// nothing about others of their class.
const RAISE_FILL_PERCENT: usize = 40;
/// Shortest time between two classes being admitted again.
const RELEASE_STEP_US: u64 = 20_000;

/// Lowest class that is admitted at present.
///
/// It rises when a class is shed from a full queue and falls, class by class,
/// once the queue is nearly empty. Work that waits covers the time until nodes
/// upstream have seen the change, so no slot idles.
#[derive(Debug)]
pub struct Pressure {
    lowest_class: Class,
    changed_us: u64,
}

impl Default for Pressure {
    fn default() -> Self {
        Self::new()
    }
}

impl Pressure {
    /// Everything is admitted.
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

    /// A request of this class was shed because too much waits. Critical
    /// work stays admitted: it competes in the queue itself.
    pub fn shed(&mut self, class: Class, waiting_count: usize, capacity: usize, now_us: u64) {
        if waiting_count * 100 < capacity * RAISE_FILL_PERCENT {
            return;
        }
        let next = match class {
            Class::Browse => Class::Standard,
            Class::Standard | Class::Critical => Class::Critical,
        };
        if next >= self.lowest_class {
            self.lowest_class = next;
            self.changed_us = now_us;
        }
    }

    /// Admits one more class when the queue has room.
    pub fn tick(&mut self, waiting_count: usize, capacity: usize, now_us: u64) {
        let is_full = waiting_count * 100 > capacity * RELEASE_FILL_PERCENT;
        if is_full || now_us < self.changed_us + RELEASE_STEP_US {
            return;
        }
        self.lowest_class = match self.lowest_class {
            Class::Critical => Class::Standard,
            Class::Standard | Class::Browse => Class::Browse,
        };
        self.changed_us = now_us;
    }
}
