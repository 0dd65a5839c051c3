//! Decides from the results of a call's attempts whether it is retried.

use {
    super::Call,
    crate::{
        model::{Outcome, Reason, Refusal},
        retry::BudgetLimit,
    },
};

/// Most retries, after attempts that reached no target, outside the retry budget.
const MAX_FREE_RETRIES: usize = 3;
/// Most targets that may crash during one call.
const MAX_CRASHED_TARGETS: usize = 2;

/// Kind of a retry that the rules allow.
#[derives::key]
pub enum RetryKind {
    /// Spends nothing: the attempt reached no target.
    Free,
    /// Needs the retry budget.
    Budgeted,
    /// Needs the retry budget and a delay, since the target crashed.
    AfterCrash,
}

/// Why a failed attempt is not retried.
#[derives::key]
pub enum RetryDenial {
    /// A retry cannot succeed, or a hop below has denied it.
    Final,
    /// The attempt may have run and must not run twice.
    Unrepeatable,
    /// The deadline has passed.
    Deadline,
    /// The target gets no requests for a while; others would refuse too.
    TargetPaused,
    /// Too many targets crashed during the call.
    Crashes,
    /// The call's retry allotment is spent.
    Allotment,
    /// The retries at the service have reached their share.
    Share,
    /// No other target can be picked.
    NoTarget,
}

impl RetryDenial {
    /// Value in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Final => "final",
            Self::Unrepeatable => "unrepeatable",
            Self::Deadline => "deadline",
            Self::TargetPaused => "target-paused",
            Self::Crashes => "crashes",
            Self::Allotment => "allotment",
            Self::Share => "share",
            Self::NoTarget => "no-target",
        }
    }

    /// Whether upstream hops must not retry either.
    pub const fn is_exhausted(self) -> bool {
        matches!(
            self,
            Self::TargetPaused | Self::Crashes | Self::Allotment | Self::Share
        )
    }
}

impl From<BudgetLimit> for RetryDenial {
    fn from(limit: BudgetLimit) -> Self {
        match limit {
            BudgetLimit::Allotment => Self::Allotment,
            BudgetLimit::Share => Self::Share,
        }
    }
}

/// Results of a call's attempts, as far as they limit its retries.
///
/// Pure state: performs no I/O and reads no clock.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    failed_count: usize,
    free_retry_count: usize,
    crashed_count: usize,
    may_have_run: bool,
}

impl AttemptHistory {
    /// A call without attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failed attempt; returns the refusal with the outcome of the whole call.
    /// `is_last` if no other attempt is running.
    ///
    /// A refused retry says nothing about another attempt. If its `not-run` were passed on,
    /// the caller would be told that the request did not run although a target may have
    /// executed it.
    pub fn record(&mut self, refusal: Refusal, is_last: bool) -> Refusal {
        self.failed_count += 1;
        self.may_have_run |= refusal.outcome == Outcome::Unknown;
        self.crashed_count += usize::from(refusal.reason == Reason::TargetCrashed);
        match self.may_have_run || !is_last {
            true => Refusal {
                outcome: Outcome::Unknown,
                ..refusal
            },
            false => refusal,
        }
    }

    /// Number of failed attempts.
    pub const fn failed_count(&self) -> usize {
        self.failed_count
    }

    /// Decides whether the attempt that ended with this refusal, as returned by
    /// [`Self::record`], is retried; a free retry is counted.
    pub fn decide(
        &mut self,
        call: &Call,
        refusal: Refusal,
        now_us: u64,
    ) -> Result<RetryKind, RetryDenial> {
        if refusal.exhausted || !can_succeed_elsewhere(refusal.reason) {
            return Err(RetryDenial::Final);
        }
        if !call.repeatable && refusal.outcome != Outcome::NotRun {
            return Err(RetryDenial::Unrepeatable);
        }
        if now_us >= call.deadline_us {
            return Err(RetryDenial::Deadline);
        }
        // A node that has died but is still a member would otherwise exhaust the retries
        // of a service with little traffic, and callers would be refused although another
        // target is idle. Nothing ran, so these retries cannot multiply load.
        if never_reached_target(refusal) && self.free_retry_count < MAX_FREE_RETRIES {
            self.free_retry_count += 1;
            return Ok(RetryKind::Free);
        }
        if is_target_paused(refusal) {
            return Err(RetryDenial::TargetPaused);
        }
        if refusal.reason != Reason::TargetCrashed {
            return Ok(RetryKind::Budgeted);
        }
        match self.crashed_count >= MAX_CRASHED_TARGETS {
            true => Err(RetryDenial::Crashes),
            false => Ok(RetryKind::AfterCrash),
        }
    }
}

/// Whether the attempt ended before the target: its node could not be connected to, or
/// does not or not yet send requests to it.
fn never_reached_target(refusal: Refusal) -> bool {
    let is_before_target = matches!(
        refusal.reason,
        Reason::ConnectionLost
            | Reason::Draining
            | Reason::NoTarget
            | Reason::NotReady
            | Reason::TargetCold
            | Reason::TargetLimited
            | Reason::ZoneEvacuated
            | Reason::OutsideRegions
    );
    refusal.outcome == Outcome::NotRun && is_before_target
}

/// Whether the target's node sends it no further requests for a while. A retry would
/// most likely be refused by other targets for the same reason.
fn is_target_paused(refusal: Refusal) -> bool {
    let is_paused = matches!(
        refusal.reason,
        Reason::TargetCold | Reason::TargetLimited | Reason::ZoneEvacuated
    );
    refusal.outcome == Outcome::NotRun && is_paused
}

/// Whether another target may serve a request that one refused for this reason.
const fn can_succeed_elsewhere(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Overloaded
            | Reason::Draining
            | Reason::NotReady
            | Reason::ConnectionLost
            | Reason::TargetCrashed
            | Reason::BadAnswer
            | Reason::TooManyConnections
            | Reason::TargetShed
            | Reason::TargetCold
            | Reason::TargetLimited
            | Reason::ZoneEvacuated
            | Reason::OutsideRegions
            // The picked node has just lost its target.
            | Reason::NoTarget
    )
}
