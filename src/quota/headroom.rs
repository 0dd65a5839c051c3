//! Room that a bucket had in the recent past.

use std::collections::VecDeque;

const SLOT_US: u64 = 100_000;
const SLOT_COUNT: usize = 64;

/// Least room of a bucket in each recent period.
///
/// A token that was taken and not spent is as good as never taken. It would still
/// be in the bucket, as far as the bucket had room for it all the time since.
#[derive(Debug, Clone)]
pub struct Headroom {
    /// Room by period, the latest one last.
    slots: VecDeque<f64>,
    last_slot: u64,
}

impl Headroom {
    /// Starts without room before `now_us`.
    #[must_use]
    pub fn new(now_us: u64) -> Self {
        Self {
            slots: VecDeque::from([f64::INFINITY]),
            last_slot: now_us / SLOT_US,
        }
    }

    /// Records the room at `now_us`, which is the least since the last call.
    pub fn record(&mut self, room_tokens: f64, now_us: u64) {
        let slot = now_us / SLOT_US;
        let room_tokens = room_tokens.max(0.0);
        if let Some(last) = self.slots.back_mut() {
            *last = last.min(room_tokens);
        }
        let new_count = slot.saturating_sub(self.last_slot).min(SLOT_COUNT as u64);
        for _ in 0..new_count {
            self.slots.push_back(room_tokens);
        }
        while self.slots.len() > SLOT_COUNT {
            self.slots.pop_front();
        }
        self.last_slot = self.last_slot.max(slot);
    }

    /// Uses the room for tokens that were taken at `since_us`; returns how many
    /// had room all the time since then.
    pub fn take(&mut self, token_count: u32, since_us: u64) -> f64 {
        let age = self.last_slot.saturating_sub(since_us / SLOT_US);
        let Some(first) = usize::try_from(age)
            .ok()
            .and_then(|age| self.slots.len().checked_sub(age + 1))
        else {
            return 0.0;
        };
        let slots = self.slots.range_mut(first..);
        let room_tokens = slots.fold(f64::from(token_count), |room, slot| room.min(*slot));
        for slot in self.slots.range_mut(first..) {
            *slot -= room_tokens;
        }
        room_tokens
    }
}
