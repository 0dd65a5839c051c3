//! Detects target nodes that do not respond.
//!
//! Requests to a zone whose packets are lost hang until their deadline, and new
//! ones follow them for seconds, until failures add up or membership declares
//! the nodes dead. A node with waiting requests that sends nothing is therefore
//! probed; if it does not respond, it gets no new requests until it does.

/// Time without a response, while requests wait, after which a node is probed.
const PROBE_AFTER_US: u64 = 100_000;
/// Time between two probes.
const PROBE_PERIOD_US: u64 = 80_000;
/// Time without a response to probes after which a node is silent. It covers
/// several probes, so that one lost datagram has no effect.
const SILENT_AFTER_US: u64 = 300_000;
/// Time between two probes of a silent node.
const SILENT_NODE_PROBE_PERIOD_US: u64 = 300_000;
/// Time without a response to probes in which the other nodes of the zone are
/// probed too.
const SUSPECTED_RANGE_US: std::ops::Range<u64> = 100_000..1_000_000;
/// Maximum time counted between two checks. Otherwise a node that was suspended
/// would consider all others silent when it resumes.
const MAX_CHECK_GAP_US: u64 = 30_000;

/// Result of a check of one target's node.
#[derives::value]
#[derive(Copy, Eq)]
pub struct SilenceStep {
    /// The node should be probed now.
    pub should_probe: bool,
    /// The node has just become silent.
    pub became_silent: bool,
}

/// Tracks how long a target's node has not responded.
///
/// Pure state: performs no I/O and reads no clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Silence {
    last_response_us: u64,
    last_check_us: u64,
    last_probe_us: Option<u64>,
    unanswered_us: u64,
}

impl Silence {
    /// A node that membership has just reported.
    #[must_use]
    pub const fn new(now_us: u64) -> Self {
        Self {
            last_response_us: now_us,
            last_check_us: now_us,
            last_probe_us: None,
            unanswered_us: 0,
        }
    }

    /// Records a response; returns whether the node was silent before.
    pub const fn record_response(&mut self, now_us: u64) -> bool {
        let was_silent = self.is_silent();
        self.last_response_us = now_us;
        self.last_probe_us = None;
        self.unanswered_us = 0;
        was_silent
    }

    /// Periodic check; `is_waiting` while requests wait for the target.
    pub fn check(&mut self, is_waiting: bool, now_us: u64) -> SilenceStep {
        let elapsed_us = now_us
            .saturating_sub(self.last_check_us)
            .min(MAX_CHECK_GAP_US);
        self.last_check_us = now_us;
        let was_silent = self.is_silent();
        if !is_waiting && !was_silent {
            self.last_probe_us = None;
            self.unanswered_us = 0;
            return SilenceStep {
                should_probe: false,
                became_silent: false,
            };
        }
        let should_probe = match self.last_probe_us {
            Some(last_probe_us) => {
                self.unanswered_us += elapsed_us;
                let period_us = match was_silent {
                    true => SILENT_NODE_PROBE_PERIOD_US,
                    false => PROBE_PERIOD_US,
                };
                now_us >= last_probe_us + period_us
            }
            None => now_us >= self.last_response_us + PROBE_AFTER_US,
        };
        if should_probe {
            self.last_probe_us = Some(now_us);
        }
        SilenceStep {
            should_probe,
            became_silent: self.is_silent() && !was_silent,
        }
    }

    /// Whether probes have been unanswered for a short time, so that the rest
    /// of the node's zone may be unreachable as well.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        SUSPECTED_RANGE_US.contains(&self.unanswered_us)
    }

    /// Whether probes have been unanswered for too long.
    #[must_use]
    pub const fn is_silent(&self) -> bool {
        self.unanswered_us >= SILENT_AFTER_US
    }
}
