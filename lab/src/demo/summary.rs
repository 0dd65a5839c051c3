//! Counts of what callers saw.

use {
    crate::caller::{CallRecord, Judgement},
    std::{collections::BTreeMap, fmt},
};

/// What became of all requests.
#[derives::record]
#[derive(Default, Eq)]
pub struct Summary {
    /// Requests sent.
    pub sent_count: u64,
    /// Whole answers to the right caller.
    pub whole_count: u64,
    /// Refused with the promise that nothing ran, by reason.
    pub not_run_counts: BTreeMap<String, u64>,
    /// May have run.
    pub unknown_count: u64,
    /// The target answered that it failed.
    pub target_failed_count: u64,
    /// Answers that were cut or someone else's. Never right.
    pub wrong_count: u64,
    /// No answer at all.
    pub no_answer_count: u64,
}

impl Summary {
    /// Counts one request.
    pub fn add(&mut self, record: &CallRecord) {
        self.sent_count += 1;
        match record.judgement {
            Judgement::Whole => self.whole_count += 1,
            Judgement::NotRun => {
                let reason = record.reason.clone().unwrap_or_default();
                *self.not_run_counts.entry(reason).or_default() += 1;
            }
            Judgement::Unknown => self.unknown_count += 1,
            Judgement::TargetFailed => self.target_failed_count += 1,
            Judgement::Wrong => self.wrong_count += 1,
            Judgement::NoAnswer => self.no_answer_count += 1,
        }
    }

    /// Requests that were refused with the promise that nothing ran.
    #[must_use]
    pub fn not_run_count(&self) -> u64 {
        self.not_run_counts.values().sum()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut line = |name: &str, count: u64| writeln!(formatter, "{name:<28}{count:>8}");
        line("requests sent", self.sent_count)?;
        line("whole answers", self.whole_count)?;
        line("refused, not-run", self.not_run_count())?;
        for (reason, count) in &self.not_run_counts {
            line(&format!("  {reason}"), *count)?;
        }
        line("unknown", self.unknown_count)?;
        line("failed by the target", self.target_failed_count)?;
        line("no answer", self.no_answer_count)?;
        line("cut or crossed answers", self.wrong_count)
    }
}
