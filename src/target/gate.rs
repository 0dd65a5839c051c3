//! Limits what is sent to the local target while it is cold or limited or its zone is evacuated.
//!
//! A cold target handles only a few requests per second. When all targets of a
//! service restart together under the usual load, each fails, restarts cold and
//! fails again, and the service never recovers. All requests to a target pass
//! through its node, so the limit holds here whatever state other nodes assume.

use {
    super::NamedLimit,
    crate::{
        dialect::LimitSignal,
        model::{CLASS_COUNT, Class},
    },
    std::collections::VecDeque,
};

/// Sliding window over which sent requests are counted.
const WINDOW_US: u64 = 1_000_000;
/// Longest cold time that is accepted from one heartbeat.
const MAX_COLD_US: u64 = 60_000_000;
/// Consecutive heartbeats that must report a suspected target as warm. The first
/// may have been sent before the event that raised the suspicion.
const WARM_HEARTBEAT_COUNT: u32 = 2;
/// Load in percent reported for a cold target that has reached its limit. It makes
/// callers choose other targets and throttle new call chains.
const COLD_FULL_LOAD_PERCENT: u64 = 200;
/// Share of the limit, in percent, up to which new call chains of each class are
/// sent, lowest class first. The rest is reserved for calls of chains in
/// progress: refusing those would waste the work already done.
const NEW_CHAIN_SHARES_PERCENT: [u32; CLASS_COUNT] = [50, 70, 85];

/// Priority of a request at the gate.
#[derives::key]
pub enum Priority {
    /// Starts a call chain.
    NewChain(Class),
    /// Belongs to a call chain in progress.
    ChainInProgress,
}

impl Priority {
    /// Share of a limit, in percent, up to which such requests are sent.
    #[must_use]
    pub const fn share_percent(self) -> u32 {
        match self {
            Self::NewChain(class) => NEW_CHAIN_SHARES_PERCENT[class.index()],
            Self::ChainInProgress => 100,
        }
    }
}

/// Why a request must not be sent now.
#[derives::key]
pub enum GateClosed {
    /// The target's availability zone is evacuated.
    Evacuated,
    /// The limit that the target names is reached.
    Limited {
        /// Time until the request could be sent, in microseconds.
        left_us: u64,
    },
    /// The target is cold and its limit is reached.
    Cold {
        /// Time until the target is warm as it reported, in microseconds; `None`
        /// while it is only suspected to be cold.
        left_us: Option<u64>,
    },
}

/// Limits what is sent to one target. Pure state: performs no I/O and reads no
/// clock.
#[derive(Debug)]
pub struct SendGate {
    is_evacuated: bool,
    /// Time at which the target is warm, as it reported.
    cold_until_us: u64,
    /// Heartbeats that must still report the target as warm: it may have become
    /// cold since its last report.
    missing_warm_heartbeat_count: u32,
    /// Times of the last sent requests, oldest first; at most `cold_limit_per_s`.
    sent_at_us: VecDeque<u64>,
    /// Time until which an earlier process of the node may have sent requests in the window.
    sends_unknown_until_us: u64,
    /// Requests that a cold target may receive in any second; 0: unlimited.
    cold_limit_per_s: u32,
    named_limit: NamedLimit,
}

impl Default for SendGate {
    fn default() -> Self {
        Self::new()
    }
}

impl SendGate {
    /// A gate for a target whose state is unknown.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            is_evacuated: false,
            cold_until_us: 0,
            missing_warm_heartbeat_count: WARM_HEARTBEAT_COUNT,
            sent_at_us: VecDeque::new(),
            sends_unknown_until_us: 0,
            cold_limit_per_s: 0,
            named_limit: NamedLimit::new(),
        }
    }

    /// Records what a response to a request sent at `sent_us` said about the target's limit;
    /// returns the new limit, in requests per second, if it changed.
    pub fn record_limit(
        &mut self,
        signal: LimitSignal,
        sent_us: u64,
        now_us: u64,
    ) -> Option<Option<f64>> {
        let is_changed = self.named_limit.record_response(signal, sent_us, now_us);
        is_changed.then(|| self.named_limit.rate_per_s())
    }

    /// Takes over a limit that was in force before this node started; returns whether none was
    /// known.
    pub const fn restore_limit(&mut self, rate_per_s: f64, now_us: u64) -> bool {
        self.named_limit.restore(rate_per_s, now_us)
    }

    /// Limit that the target names, in requests per second; `None` without one.
    #[must_use]
    pub fn named_limit_per_s(&self) -> Option<f64> {
        self.named_limit.rate_per_s()
    }

    /// Records how much longer the target stays cold, as its heartbeat reports.
    ///
    /// Unless the process is new, a heartbeat cannot shorten a cold time reported
    /// earlier: it may be delayed, and a target overloaded while cold fails.
    pub fn record_cold_time(&mut self, cold_left_us: u64, is_new_process: bool, now_us: u64) {
        let new_cold_until_us = match cold_left_us {
            0 => 0,
            left_us => now_us + left_us.min(MAX_COLD_US),
        };
        if is_new_process {
            self.named_limit.forget();
            self.cold_until_us = new_cold_until_us;
            self.missing_warm_heartbeat_count = 0;
            return;
        }
        self.cold_until_us = self.cold_until_us.max(new_cold_until_us);
        self.missing_warm_heartbeat_count = match cold_left_us {
            0 => self.missing_warm_heartbeat_count.saturating_sub(1),
            _ => 0,
        };
    }

    /// Forgets the previous process. This one is older than the node: an earlier process of the
    /// node may have received a cold time that is newer than the next heartbeat.
    pub const fn begin_older_process(&mut self) {
        self.named_limit.forget();
        self.cold_until_us = 0;
        // The node's clock starts with its process.
        self.sends_unknown_until_us = WINDOW_US;
        self.suspect_cold();
    }

    /// Records how much longer the target stays cold, as its response to a health check reports.
    ///
    /// Unlike a heartbeat it cannot have been sent before it was asked for. If it says cold and
    /// the heartbeat said warm, the heartbeat is outdated, and later ones have to say warm.
    pub fn record_checked_cold_time(&mut self, cold_left_us: u64, now_us: u64) {
        let cold_until_us = now_us + cold_left_us.min(MAX_COLD_US);
        self.cold_until_us = self.cold_until_us.max(cold_until_us);
        match cold_left_us {
            0 => self.missing_warm_heartbeat_count = 0,
            _ if self.missing_warm_heartbeat_count > 0 => self.suspect_cold(),
            _ => {}
        }
    }

    /// Treats the target as possibly cold although it has not reported so: it was
    /// unreachable, or received nothing during an evacuation.
    pub const fn suspect_cold(&mut self) {
        self.missing_warm_heartbeat_count = WARM_HEARTBEAT_COUNT;
    }

    /// Closes or opens the gate for an evacuation; returns whether that changed.
    pub const fn set_evacuated(&mut self, is_evacuated: bool) -> bool {
        let is_changed = self.is_evacuated != is_evacuated;
        self.is_evacuated = is_evacuated;
        if is_changed && !is_evacuated {
            self.suspect_cold();
        }
        is_changed
    }

    /// Whether the target is cold or suspected to be.
    #[must_use]
    pub const fn is_cold(&self, now_us: u64) -> bool {
        self.cold_limit_per_s > 0
            && (now_us < self.cold_until_us || self.missing_warm_heartbeat_count > 0)
    }

    /// Checks whether a request could be sent now. `cold_limit_per_s` is the number
    /// of requests that a cold target may receive in any second; 0: unlimited.
    pub fn check(
        &mut self,
        priority: Priority,
        cold_limit_per_s: u32,
        now_us: u64,
    ) -> Result<(), GateClosed> {
        self.cold_limit_per_s = cold_limit_per_s;
        if self.is_evacuated {
            return Err(GateClosed::Evacuated);
        }
        let limited = self.named_limit.check(priority, now_us);
        limited.map_err(|left_us| GateClosed::Limited { left_us })?;
        if !self.is_cold(now_us) {
            return Ok(());
        }
        let left_us = match self.missing_warm_heartbeat_count {
            0 => Some(self.cold_until_us.saturating_sub(now_us)),
            _ => None,
        };
        let allowed_count = (cold_limit_per_s * priority.share_percent() / 100).max(1);
        match self.recent_count(now_us) < allowed_count {
            true => Ok(()),
            false => Err(GateClosed::Cold { left_us }),
        }
    }

    /// Checks and counts a request that is sent immediately afterwards.
    pub fn try_pass(
        &mut self,
        priority: Priority,
        cold_limit_per_s: u32,
        now_us: u64,
    ) -> Result<(), GateClosed> {
        self.check(priority, cold_limit_per_s, now_us)?;
        self.named_limit.record_send();
        // Recorded while the target is warm, too: requests sent just before it
        // became cold count against the limit.
        self.sent_at_us.push_back(now_us);
        while self.sent_at_us.len() > cold_limit_per_s as usize {
            self.sent_at_us.pop_front();
        }
        Ok(())
    }

    /// Load in percent of a cold or limited target; 0 if it is warm and names no limit.
    #[must_use]
    pub fn load_percent(&mut self, now_us: u64) -> u16 {
        self.cold_load_percent(now_us)
            .max(self.named_limit.load_percent(now_us))
    }

    fn cold_load_percent(&self, now_us: u64) -> u16 {
        if !self.is_cold(now_us) {
            return 0;
        }
        let recent_count = u64::from(self.recent_count(now_us));
        let percent = recent_count * COLD_FULL_LOAD_PERCENT / u64::from(self.cold_limit_per_s);
        u16::try_from(percent).unwrap_or(u16::MAX)
    }

    /// Requests sent in the window; as many as possible while that is unknown.
    fn recent_count(&self, now_us: u64) -> u32 {
        if now_us < self.sends_unknown_until_us {
            return u32::MAX;
        }
        let recent_times = self.sent_at_us.iter().rev();
        let recent_times = recent_times.take_while(|sent_at_us| now_us < **sent_at_us + WINDOW_US);
        u32::try_from(recent_times.count()).unwrap_or(u32::MAX)
    }
}
