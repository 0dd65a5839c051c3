//! Work that a target can complete, as a ratio of the work offered to it.

/// Time over which arrivals are counted and in which a backlog should drain.
const WINDOW_US: u64 = 200_000;
/// Length of one step of the sliding window.
const SLOT_US: u64 = 20_000;
/// Steps of the window, and one more that is partly within it.
const SLOT_COUNT: usize = (WINDOW_US / SLOT_US) as usize + 1;
/// Bounds of the ratio, in percent. 0 stands for an unknown ratio on the wire.
const BOUNDS_PERCENT: (f64, f64) = (1.0, 400.0);

/// State of a target at the moment for which its supply is computed.
#[derives::value]
#[derive(Copy)]
pub struct TargetState {
    /// Mean service time; `None` until the first request has ended.
    pub service_us: Option<f64>,
    /// Requests that wait.
    pub waiting_count: usize,
    /// Requests that may run at the same time.
    pub slot_count: u32,
    /// Share of the slots that should be in use, 0 to 1.
    pub desired_utilisation: f64,
}

/// Counts the arrivals at one target in a sliding window. Pure state: performs no I/O and reads no
/// clock.
#[derive(Debug, Clone, Default)]
pub struct SupplyEstimate {
    counts: [u32; SLOT_COUNT],
    newest_slot: u64,
}

impl SupplyEstimate {
    /// An estimate without arrivals.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that was admitted, queued or refused for load.
    pub fn record_arrival(&mut self, now_us: u64) {
        let slot = now_us / SLOT_US;
        if slot > self.newest_slot {
            let first_slot = (self.newest_slot + 1).max(slot.saturating_sub(SLOT_COUNT as u64 - 1));
            for passed_slot in first_slot..=slot {
                self.counts[ring_index(passed_slot)] = 0;
            }
            self.newest_slot = slot;
        }
        self.counts[ring_index(self.newest_slot)] += 1;
    }

    /// Work that the target can complete, in percent of the work offered to it, 1 to 400; 0 if
    /// the service time is unknown.
    ///
    /// Waiting requests count as offered: services above limit their concurrency, so that arrivals
    /// equal completions at a target with a standing queue, however high the demand is.
    #[must_use]
    pub fn percent(&self, state: TargetState, now_us: u64) -> u16 {
        let Some(service_us) = state.service_us else {
            return 0;
        };
        let offered_count = self.arrival_count(now_us) + state.waiting_count as f64;
        let offered_us = offered_count * service_us;
        let supply_us = f64::from(state.slot_count) * WINDOW_US as f64 * state.desired_utilisation;
        let (min_percent, max_percent) = BOUNDS_PERCENT;
        let percent = supply_us / offered_us.max(1.0) * 100.0;
        percent.clamp(min_percent, max_percent).round() as u16
    }

    /// Arrivals of the window; the oldest step counts by the part of it within the window.
    fn arrival_count(&self, now_us: u64) -> f64 {
        let slot = now_us / SLOT_US;
        let oldest_slot = slot.saturating_sub(SLOT_COUNT as u64 - 1);
        let passed_ratio = (now_us % SLOT_US) as f64 / SLOT_US as f64;
        (oldest_slot..=slot.min(self.newest_slot))
            .filter(|counted_slot| counted_slot + SLOT_COUNT as u64 > self.newest_slot)
            .map(|counted_slot| {
                let count = f64::from(self.counts[ring_index(counted_slot)]);
                match counted_slot == oldest_slot && slot >= SLOT_COUNT as u64 {
                    true => count * (1.0 - passed_ratio),
                    false => count,
                }
            })
            .sum()
    }
}

const fn ring_index(slot: u64) -> usize {
    (slot % SLOT_COUNT as u64) as usize
}
