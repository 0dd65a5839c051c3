//! Whether the node beside a target still answers at all.
//!
//! Pattern: a zone that swallows packets. Requests that went there hang until
//! their deadline, and until failures add up or membership takes the nodes for
//! dead, seconds later, new ones follow them. While requests wait at a target
//! and nothing is heard from its node, the node is asked whether it lives; a
//! node that does not answer gets no new work until it does.

/// Time without a word, while requests wait, after which the node is asked.
const QUIET_US: u64 = 100_000;
/// Time between two questions.
const ASK_PERIOD_US: u64 = 80_000;
/// Time without an answer after which the node counts as silent: a few
/// questions, so that one lost datagram changes nothing.
const SILENT_US: u64 = 300_000;
/// Time between two questions to a node that is silent.
const SILENT_ASK_PERIOD_US: u64 = 300_000;
/// Time without an answer in which others of the same zone are asked as well.
const DOUBTED_US: std::ops::Range<u64> = 100_000..1_000_000;
/// Most that counts between two looks. A node that was suspended itself would
/// otherwise take all others for silent when it wakes.
const LOOK_LIMIT_US: u64 = 30_000;

/// What a look at a target's silence calls for.
#[derives::value]
#[derive(Copy, Eq)]
pub struct SilenceStep {
    /// Its node is to be asked now.
    pub asks: bool,
    /// It has just become silent.
    pub falls_silent: bool,
}

/// Time since the node beside a target was heard; no I/O, no clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Silence {
    heard_us: u64,
    looked_us: u64,
    asked_us: Option<u64>,
    unanswered_us: u64,
}

impl Silence {
    /// A node of which membership has just told.
    #[must_use]
    pub const fn new(now_us: u64) -> Self {
        Self {
            heard_us: now_us,
            looked_us: now_us,
            asked_us: None,
            unanswered_us: 0,
        }
    }

    /// The node was heard; returns whether it had been silent.
    pub const fn heard(&mut self, now_us: u64) -> bool {
        let was_silent = self.is_silent();
        self.heard_us = now_us;
        self.asked_us = None;
        self.unanswered_us = 0;
        was_silent
    }

    /// Regular look; `is_waiting` while requests wait for the target.
    pub fn look(&mut self, is_waiting: bool, now_us: u64) -> SilenceStep {
        let passed_us = now_us.saturating_sub(self.looked_us).min(LOOK_LIMIT_US);
        self.looked_us = now_us;
        let was_silent = self.is_silent();
        if !is_waiting && !was_silent {
            self.asked_us = None;
            self.unanswered_us = 0;
            return SilenceStep {
                asks: false,
                falls_silent: false,
            };
        }
        let asks = match self.asked_us {
            Some(asked_us) => {
                self.unanswered_us += passed_us;
                let period_us = match was_silent {
                    true => SILENT_ASK_PERIOD_US,
                    false => ASK_PERIOD_US,
                };
                now_us >= asked_us + period_us
            }
            None => now_us >= self.heard_us + QUIET_US,
        };
        if asks {
            self.asked_us = Some(now_us);
        }
        SilenceStep {
            asks,
            falls_silent: self.is_silent() && !was_silent,
        }
    }

    /// Whether the node has just begun to leave questions unanswered.
    #[must_use]
    pub fn is_doubted(&self) -> bool {
        DOUBTED_US.contains(&self.unanswered_us)
    }

    /// Whether the node left questions unanswered for too long.
    #[must_use]
    pub const fn is_silent(&self) -> bool {
        self.unanswered_us >= SILENT_US
    }
}
