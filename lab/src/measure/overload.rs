//! How an overload of one service went: goodput against what it could do,
//! important work, attempts at it and work that was done in vain.

use {
    super::{Evidence, Execution, recovery::recovery_s},
    crate::{
        caller::Judgement,
        load::Original,
        scenario::{OverloadConf, Scenario},
    },
    standins::target::EntryState,
    std::collections::HashMap,
};

/// Figures of an overload, for one run.
#[derives::record]
#[derive(Default)]
pub struct OverloadResult {
    /// Service that is overloaded.
    pub service: String,
    /// Whole requests a second that it could do while the cause lasted.
    pub possible_per_s: f64,
    /// Whole requests a second, by the end of their last send.
    pub goodput_per_s: f64,
    /// Goodput over what was possible.
    pub goodput_ratio: f64,
    /// Goodput before the cause.
    pub normal_per_s: f64,
    /// From the end of the cause to 95% of normal goodput; absent if goodput
    /// did not come back in the run.
    pub recovery_s: Option<f64>,
    /// Requests of the important loads intended during the cause.
    pub critical_offered_count: u64,
    /// Share of them that was answered whole.
    pub critical_served_ratio: f64,
    /// Requests of the other loads intended during the cause.
    pub other_offered_count: u64,
    /// Share of them that was answered whole.
    pub other_served_ratio: f64,
    /// Sends over requests intended during the cause: how hard clients retry.
    pub sends_per_original: f64,
    /// Requests in the journals of the service, refused ones included, over
    /// requests intended during the cause.
    pub attempts_per_original: f64,
    /// Most attempts at the service for one request, over its sends: each
    /// send brings a retry budget of its own.
    pub max_attempts_per_send: f64,
    /// Attempts at the service that were begun for requests that did not end
    /// whole, over all that were begun.
    pub wasted_ratio: f64,
}

impl OverloadResult {
    pub(super) fn new(
        scenario: &Scenario,
        conf: &OverloadConf,
        evidence: &Evidence,
        goodput_per_s: &[f64],
        normal_per_s: f64,
    ) -> Option<Self> {
        let (start_s, end_s) = (scenario.cause_start_s()?, scenario.cause_end_s()?);
        let attempts = Attempts::new(&conf.service, &evidence.executions);
        let intended = (start_s * 1e6) as u64..(end_s * 1e6) as u64;
        let during: Vec<&Original> = evidence
            .originals
            .iter()
            .filter(|original| intended.contains(&original.intended_us))
            .collect();
        let is_critical = |original: &&&Original| {
            let load = scenario.loads.get(original.load_index);
            load.is_some_and(|load| conf.critical_loads.contains(&load.name))
        };
        let critical: Vec<_> = during.iter().copied().filter(|o| is_critical(&o)).collect();
        let other: Vec<_> = during
            .iter()
            .copied()
            .filter(|o| !is_critical(&o))
            .collect();
        let count = during.len().max(1) as f64;
        let send_count: usize = during.iter().map(|o| o.attempts.len()).sum();
        let attempt_count: u64 = during.iter().map(|o| attempts.of(o).count).sum();
        let goodput = super::result::mean(goodput_per_s, start_s, end_s);
        Some(Self {
            service: conf.service.clone(),
            possible_per_s: conf.possible_per_s,
            goodput_per_s: goodput,
            goodput_ratio: goodput / conf.possible_per_s,
            normal_per_s,
            recovery_s: recovery_s(goodput_per_s, normal_per_s, end_s),
            critical_offered_count: critical.len() as u64,
            critical_served_ratio: served_ratio(&critical),
            other_offered_count: other.len() as u64,
            other_served_ratio: served_ratio(&other),
            sends_per_original: send_count as f64 / count,
            attempts_per_original: attempt_count as f64 / count,
            max_attempts_per_send: attempts.max_per_send(&during),
            wasted_ratio: attempts.wasted_ratio(&during),
        })
    }
}

fn served_ratio(originals: &[&Original]) -> f64 {
    let whole = originals.iter().filter(|o| is_whole(o));
    whole.count() as f64 / originals.len().max(1) as f64
}

fn is_whole(original: &Original) -> bool {
    original.judgement() == Judgement::Whole
}

/// Attempts at the service for one request.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    /// All.
    count: u64,
    /// Those on which work was begun.
    begun_count: u64,
}

/// Attempts at the service by test id.
struct Attempts<'a>(HashMap<&'a str, Count>);

impl<'a> Attempts<'a> {
    fn new(service: &str, executions: &'a [Execution]) -> Self {
        let mut counts: HashMap<&str, Count> = HashMap::new();
        for execution in executions.iter().filter(|e| e.service == service) {
            let Some(test_id) = execution.entry.test_id.as_deref() else {
                continue;
            };
            let entry = counts.entry(test_id).or_default();
            entry.count += 1;
            entry.begun_count += u64::from(execution.entry.state != EntryState::Refused);
        }
        Self(counts)
    }

    fn of(&self, original: &Original) -> Count {
        let count = self.0.get(original.test_id.as_str());
        count.copied().unwrap_or_default()
    }

    fn max_per_send(&self, originals: &[&Original]) -> f64 {
        let per_send = |original: &&Original| {
            self.of(original).count as f64 / original.attempts.len().max(1) as f64
        };
        originals.iter().map(per_send).fold(0.0, f64::max)
    }

    fn wasted_ratio(&self, originals: &[&Original]) -> f64 {
        let begun = |original: &&Original| self.of(original).begun_count;
        let begun_count: u64 = originals.iter().map(begun).sum();
        let failed = originals.iter().filter(|original| !is_whole(original));
        let wasted_count: u64 = failed.map(begun).sum();
        wasted_count as f64 / begun_count.max(1) as f64
    }
}
