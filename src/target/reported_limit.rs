//! Limits of targets as nodes report them to each other, for a node that restarts beside a
//! limited target.

use {
    super::{TargetPool, UNKNOWN_PROCESS_ID},
    std::collections::HashMap,
};

/// Time for which a report is repeated to the node beside the target, in milliseconds.
const RETENTION_MS: u64 = 10_000;

/// Limit that a target process names, as the node beside it reported it.
#[derives::key]
pub struct ReportedLimit {
    /// The target's process.
    pub process_id: u64,
    /// Requests that it takes in 1,000 s.
    pub milli_per_s: u64,
    /// The node's process, drawn at random at its start.
    pub reporter_id: u64,
}

/// The last reports of other nodes about their targets.
#[derive(Debug, Default)]
pub struct ReportedLimits {
    /// Limit and time of the report in milliseconds, by process.
    reports: HashMap<u64, (ReportedLimit, u64)>,
}

impl ReportedLimits {
    /// Records a report.
    pub fn record(&mut self, limit: ReportedLimit, now_ms: u64) {
        self.reports.insert(limit.process_id, (limit, now_ms));
        self.reports
            .retain(|_, (_, reported_ms)| now_ms.saturating_sub(*reported_ms) < RETENTION_MS);
    }

    /// The last report about a process, unless it is too old.
    #[must_use]
    pub fn remembered(&self, process_id: u64, now_ms: u64) -> Option<ReportedLimit> {
        let (limit, reported_ms) = *self.reports.get(&process_id)?;
        (now_ms.saturating_sub(reported_ms) < RETENTION_MS).then_some(limit)
    }
}

impl TargetPool {
    /// The limit that the target names, for other nodes to remember.
    #[must_use]
    pub fn reported_limit(&self) -> Option<ReportedLimit> {
        let rate_per_s = self.gate().named_limit_per_s()?;
        let process_id = self.process_id();
        (process_id != UNKNOWN_PROCESS_ID).then_some(ReportedLimit {
            process_id,
            milli_per_s: (rate_per_s * 1000.0) as u64,
            reporter_id: self.reporter_id(),
        })
    }

    /// Takes over a limit that an earlier process of this node reported to another node; returns
    /// whether it holds from now on.
    pub fn restore_limit(&self, limit: ReportedLimit, now_us: u64) -> bool {
        let is_own_report = limit.reporter_id == self.reporter_id();
        if is_own_report || limit.process_id != self.process_id() {
            return false;
        }
        let rate_per_s = limit.milli_per_s as f64 / 1000.0;
        self.gate().restore_limit(rate_per_s, now_us)
    }
}
