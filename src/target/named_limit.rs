//! Limits the requests to a target that names, in its responses, how many it takes.

use {super::Priority, crate::dialect::LimitSignal};

/// Burst after a pause, as time at the named rate.
const BURST_S: f64 = 0.5;
/// Smallest rate that is sent. Without any request no response could end the limit.
const MIN_RATE_PER_S: f64 = 0.1;
/// Load in percent reported for a target that has reached its limit: other targets are
/// preferred, but new call chains are not throttled, since others may have room.
const FULL_LOAD_PERCENT: f64 = 125.0;
const US_PER_S: f64 = 1e6;
/// Time since the limit was last named after which responses without it lift it: a target may
/// name its limit in some of its responses only.
const HOLD_US: u64 = 3_000_000;
/// Shortest interval between the doublings by which a limit is lifted. Lifted at once, all slots
/// of the target would fill before its next response can name the limit again.
const LIFT_INTERVAL_US: u64 = 1_000_000;
/// Multiple of the named limit above which it no longer holds.
const MAX_LIFT: f64 = 32.0;

#[derives::value]
#[derive(Copy)]
struct Bucket {
    /// Limit that the target named.
    named_per_s: f64,
    /// Limit that holds: the named one, or a multiple while it is lifted.
    rate_per_s: f64,
    /// When a response last named the limit.
    named_us: u64,
    /// When the limit was last named or doubled.
    changed_us: u64,
    token_count: f64,
    refilled_us: u64,
}

impl Bucket {
    const fn new(rate_per_s: f64, now_us: u64) -> Self {
        Self {
            named_per_s: rate_per_s,
            rate_per_s,
            named_us: now_us,
            changed_us: now_us,
            token_count: 0.0,
            refilled_us: now_us,
        }
    }

    fn name(&mut self, rate_per_s: f64, now_us: u64) {
        self.named_per_s = rate_per_s;
        self.rate_per_s = rate_per_s;
        self.named_us = now_us;
        self.changed_us = now_us;
        self.token_count = self.token_count.min(capacity(rate_per_s));
    }
}

/// The limit that the local target names, as a token bucket. Pure state: performs no I/O and
/// reads no clock.
#[derive(Debug, Default)]
pub struct NamedLimit {
    bucket: Option<Bucket>,
}

impl NamedLimit {
    /// A target that names no limit.
    #[must_use]
    pub const fn new() -> Self {
        Self { bucket: None }
    }

    /// The rate in requests per second; `None` without a limit.
    #[must_use]
    pub fn rate_per_s(&self) -> Option<f64> {
        self.bucket.map(|bucket| bucket.rate_per_s)
    }

    /// Records what a response said, to a request that was sent at `sent_us`; returns whether
    /// the limit changed.
    ///
    /// Responses may overtake each other. One to a request that was sent before the limit was
    /// last named may be older than that: it cannot raise the limit. Responses without a limit
    /// lift it in steps.
    pub fn record_response(&mut self, signal: LimitSignal, sent_us: u64, now_us: u64) -> bool {
        let previous_per_s = self.rate_per_s();
        let is_newer = self.bucket.is_none_or(|bucket| sent_us > bucket.named_us);
        match signal {
            LimitSignal::PerS(rate_per_s) => {
                self.refill(now_us);
                let rate_per_s = rate_per_s.max(MIN_RATE_PER_S);
                let bucket = self.bucket.get_or_insert(Bucket::new(rate_per_s, now_us));
                if is_newer || rate_per_s <= bucket.named_per_s {
                    bucket.name(rate_per_s, now_us);
                }
            }
            LimitSignal::NotNamed => self.lift(sent_us, now_us),
            LimitSignal::Unreadable => {}
        }
        previous_per_s != self.rate_per_s()
    }

    fn lift(&mut self, sent_us: u64, now_us: u64) {
        self.refill(now_us);
        let Some(bucket) = &mut self.bucket else {
            return;
        };
        let is_held = sent_us < bucket.named_us + HOLD_US;
        if is_held || now_us < bucket.changed_us + LIFT_INTERVAL_US {
            return;
        }
        bucket.rate_per_s *= 2.0;
        bucket.changed_us = now_us;
        if bucket.rate_per_s > bucket.named_per_s * MAX_LIFT {
            self.bucket = None;
        }
    }

    /// Takes over a limit that was in force before this node started, unless the target has named
    /// one since.
    pub const fn restore(&mut self, rate_per_s: f64, now_us: u64) -> bool {
        let is_unknown = self.bucket.is_none();
        if is_unknown {
            self.bucket = Some(Bucket::new(rate_per_s.max(MIN_RATE_PER_S), now_us));
        }
        is_unknown
    }

    /// Forgets the limit: a new process has named none.
    pub const fn forget(&mut self) {
        self.bucket = None;
    }

    /// Checks whether a request could be sent now; otherwise returns the time until then, in
    /// microseconds.
    pub fn check(&mut self, priority: Priority, now_us: u64) -> Result<(), u64> {
        self.refill(now_us);
        let Some(bucket) = &self.bucket else {
            return Ok(());
        };
        let reserved_share = f64::from(100 - priority.share_percent()) / 100.0;
        let needed_count = 1.0 + (capacity(bucket.rate_per_s) - 1.0) * reserved_share;
        if bucket.token_count >= needed_count {
            return Ok(());
        }
        let missing_count = needed_count - bucket.token_count;
        Err((missing_count / bucket.rate_per_s * US_PER_S) as u64)
    }

    /// Counts a request that is sent now.
    pub fn record_send(&mut self) {
        if let Some(bucket) = &mut self.bucket {
            bucket.token_count -= 1.0;
        }
    }

    /// Load of the target in percent of its limit; 0 without a limit.
    #[must_use]
    pub fn load_percent(&mut self, now_us: u64) -> u16 {
        self.refill(now_us);
        let Some(bucket) = &self.bucket else {
            return 0;
        };
        let used_share = 1.0 - bucket.token_count.max(0.0) / capacity(bucket.rate_per_s);
        match bucket.token_count < 1.0 {
            true => FULL_LOAD_PERCENT as u16,
            false => (used_share * 100.0) as u16,
        }
    }

    fn refill(&mut self, now_us: u64) {
        if let Some(bucket) = &mut self.bucket {
            let elapsed_s = now_us.saturating_sub(bucket.refilled_us) as f64 / US_PER_S;
            let added_count = elapsed_s * bucket.rate_per_s;
            let capacity = capacity(bucket.rate_per_s);
            bucket.token_count = (bucket.token_count + added_count).min(capacity);
            bucket.refilled_us = now_us;
        }
    }
}

fn capacity(rate_per_s: f64) -> f64 {
    (rate_per_s * BURST_S).max(1.0)
}
