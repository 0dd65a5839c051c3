//! What may be sent to the own target now.
//!
//! Pattern: all targets of a service come back from an outage at the same time.
//! A target that is cold bears a few requests a second and fails at many more;
//! under the usual load it fails, comes back cold and fails again, and the
//! service never recovers. All requests for a target pass its own node, so the
//! bound is kept exactly here, whatever other nodes believe.

use {
    crate::model::{CLASS_COUNT, Class},
    std::collections::VecDeque,
};

/// Span over which sent requests are counted.
const WINDOW_US: u64 = 1_000_000;
/// Longest time that a target is taken for cold on one word of it.
const COLD_LIMIT_US: u64 = 60_000_000;
/// Heartbeats in a row that call a target warm before a doubt about it ends. The
/// first one may have been sent before what raised the doubt.
const WARM_HEARTBEAT_COUNT: u32 = 2;
/// Load, in percent, that is told of a cold target that has got all that it bears:
/// callers then go elsewhere, and new chains are held back.
const FULL_LOAD_PERCENT: u64 = 200;
/// Share of the bound, in percent, that new requests of each class may use up,
/// from the least important. The rest is kept for calls of chains that have
/// begun: their work would be lost with them.
const NEW_SHARES_PERCENT: [u32; CLASS_COUNT] = [50, 70, 85];

/// How important it is that a request is sent.
#[derives::key]
pub enum Urgency {
    /// It begins a chain of calls.
    New(Class),
    /// It belongs to a chain that has begun.
    Begun,
}

/// Why nothing more is sent for now.
#[derives::key]
pub enum GateClosed {
    /// The target's availability zone is evacuated.
    Evacuated,
    /// The cold target has got what it bears.
    Cold {
        /// Time until it is warm by its own word, in microseconds.
        left_us: Option<u64>,
    },
}

/// Bounds what is sent to one target; no I/O, no clock.
#[derive(Debug)]
pub struct SendGate {
    is_evacuated: bool,
    /// When the target is warm by its own word.
    cold_until_us: u64,
    /// Heartbeats that must call it warm before it is taken for warm: it may have
    /// become cold since it last told.
    wanted_heartbeat_count: u32,
    /// Times of the last requests, the oldest first; no more than the bound.
    sent_us: VecDeque<u64>,
    /// Requests that a cold target may get in any second; 0 without a bound.
    bound_count: u32,
}

impl Default for SendGate {
    fn default() -> Self {
        Self::new()
    }
}

impl SendGate {
    /// A gate before a target of which nothing is known.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            is_evacuated: false,
            cold_until_us: 0,
            wanted_heartbeat_count: WARM_HEARTBEAT_COUNT,
            sent_us: VecDeque::new(),
            bound_count: 0,
        }
    }

    /// A heartbeat tells how much longer the target stays cold.
    ///
    /// A word that would end an earlier one too soon is not believed: it may be
    /// late, and a target that is flooded while it is cold fails.
    pub fn tell(&mut self, cold_left_us: u64, is_new_process: bool, now_us: u64) {
        let until_us = match cold_left_us {
            0 => 0,
            left_us => now_us + left_us.min(COLD_LIMIT_US),
        };
        if is_new_process {
            self.cold_until_us = until_us;
            self.wanted_heartbeat_count = 0;
            return;
        }
        self.cold_until_us = self.cold_until_us.max(until_us);
        self.wanted_heartbeat_count = match cold_left_us {
            0 => self.wanted_heartbeat_count.saturating_sub(1),
            _ => 0,
        };
    }

    /// The target may have become cold without a word: it was away, or got
    /// nothing for a while by the operators' will.
    pub const fn doubt(&mut self) {
        self.wanted_heartbeat_count = WARM_HEARTBEAT_COUNT;
    }

    /// Opens or shuts the gate for an evacuation; returns whether that is new.
    pub const fn set_evacuated(&mut self, is_evacuated: bool) -> bool {
        let is_changed = self.is_evacuated != is_evacuated;
        self.is_evacuated = is_evacuated;
        if is_changed && !is_evacuated {
            self.doubt();
        }
        is_changed
    }

    /// Whether the target is cold or may be.
    #[must_use]
    pub const fn is_cold(&self, now_us: u64) -> bool {
        self.bound_count > 0 && (now_us < self.cold_until_us || self.wanted_heartbeat_count > 0)
    }

    /// Whether a request could be sent now; `bound_count` is how many a cold
    /// target may get in any second, 0 for no bound.
    pub fn check(
        &mut self,
        urgency: Urgency,
        bound_count: u32,
        now_us: u64,
    ) -> Result<(), GateClosed> {
        self.bound_count = bound_count;
        if self.is_evacuated {
            return Err(GateClosed::Evacuated);
        }
        if !self.is_cold(now_us) {
            return Ok(());
        }
        let left_us = match self.wanted_heartbeat_count {
            0 => Some(self.cold_until_us.saturating_sub(now_us)),
            _ => None,
        };
        let share_percent = match urgency {
            Urgency::New(class) => NEW_SHARES_PERCENT[class.index()],
            Urgency::Begun => 100,
        };
        let allowed_count = (bound_count * share_percent / 100).max(1);
        match self.sent_count(now_us) < allowed_count {
            true => Ok(()),
            false => Err(GateClosed::Cold { left_us }),
        }
    }

    /// Lets a request pass, which is sent at this moment.
    pub fn pass(
        &mut self,
        urgency: Urgency,
        bound_count: u32,
        now_us: u64,
    ) -> Result<(), GateClosed> {
        self.check(urgency, bound_count, now_us)?;
        // Kept also while the target is warm: what it got just before it became
        // cold counts as well.
        self.sent_us.push_back(now_us);
        while self.sent_us.len() > bound_count as usize {
            self.sent_us.pop_front();
        }
        Ok(())
    }

    /// Load of a cold target, in percent; 0 for a warm one.
    #[must_use]
    pub fn load_percent(&self, now_us: u64) -> u16 {
        if !self.is_cold(now_us) {
            return 0;
        }
        let sent_count = u64::from(self.sent_count(now_us));
        let percent = sent_count * FULL_LOAD_PERCENT / u64::from(self.bound_count);
        u16::try_from(percent).unwrap_or(u16::MAX)
    }

    fn sent_count(&self, now_us: u64) -> u32 {
        let recent = self.sent_us.iter().rev();
        let recent = recent.take_while(|sent_us| now_us < **sent_us + WINDOW_US);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }
}
