//! What must always hold, checked with journals and callers' records.

use {
    super::{
        AdmissionSpan, Evidence, Execution,
        quota::{proven_excess, window_excess},
    },
    crate::{
        caller::Judgement,
        load::Original,
        scenario::{LoadConf, Scenario},
    },
    standins::target::EntryState,
    std::collections::{BTreeMap, HashMap},
};

/// Violations; all counts are 0 in a right run, except where a line says
/// otherwise.
#[derives::record]
#[derive(Default)]
pub struct Checks {
    /// Requests other than reads that a service executed more than once.
    pub double_execution_count: u64,
    /// Requests that were executed though all their sends were answered
    /// `not-run`.
    pub false_not_run_count: u64,
    /// Journal entries with a tenant key in them.
    pub leaked_key_count: u64,
    /// Answers that were cut or someone else's, yet looked right.
    pub wrong_answer_count: u64,
    /// Largest number of executions of one request at one service; no
    /// violation while within the retry limit.
    pub max_execution_count: u64,
    /// Executions over requests that were executed at all, by service; no
    /// violation in itself.
    pub executions_per_original: BTreeMap<String, f64>,
    /// Executions over rate and burst in the worst window, by workspace.
    ///
    /// Counted where the chain begins, at the time of the execution. Work
    /// that waited between admission and execution shows as an excess, so a
    /// small number is a hint, no proof.
    pub window_excess: BTreeMap<String, f64>,
    /// Admissions over rate and burst in the worst window, by workspace;
    /// always 0 in a right run.
    ///
    /// Each request counts as admitted at some time between its first send, by
    /// its caller, and its first execution, by the target's journal. Admitted
    /// work that no target began with is not counted.
    pub proven_excess: BTreeMap<String, f64>,
}

/// Executions by test id.
type ByTestId<'a> = HashMap<&'a str, Vec<&'a Execution>>;

impl Checks {
    pub(super) fn new(scenario: &Scenario, evidence: &Evidence) -> Self {
        let by_test_id = by_test_id(&evidence.executions);
        let mut checks = Self {
            leaked_key_count: leaked_key_count(evidence),
            window_excess: excesses(scenario, evidence, &by_test_id),
            proven_excess: proven_excesses(scenario, evidence, &by_test_id),
            executions_per_original: executions_per_original(&evidence.executions),
            ..Self::default()
        };
        for original in &evidence.originals {
            let Some(load) = scenario.loads.get(original.load_index) else {
                continue;
            };
            let executions = by_test_id.get(original.test_id.as_str());
            checks.add(original, load, executions.map_or(&[], Vec::as_slice));
        }
        checks
    }

    fn add(&mut self, original: &Original, load: &LoadConf, executions: &[&Execution]) {
        let judgements = || original.attempts.iter().map(|attempt| attempt.judgement);
        let wrong_count = judgements().filter(|j| *j == Judgement::Wrong).count();
        self.wrong_answer_count += wrong_count as u64;
        let is_told_not_run =
            !original.attempts.is_empty() && judgements().all(|j| j == Judgement::NotRun);
        if is_told_not_run && !executions.is_empty() {
            self.false_not_run_count += 1;
        }
        let mut counts: HashMap<(&str, &str), u64> = HashMap::new();
        for execution in executions {
            let place = (execution.service.as_str(), execution.entry.path.as_str());
            *counts.entry(place).or_default() += 1;
        }
        let largest = counts.into_values().max().unwrap_or(0);
        self.max_execution_count = self.max_execution_count.max(largest);
        if load.method != "GET" && largest > 1 {
            self.double_execution_count += 1;
        }
    }

    /// Whether nothing that must always hold was violated. Of the windows only
    /// the proven excess counts, see there.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.double_execution_count == 0
            && self.false_not_run_count == 0
            && self.leaked_key_count == 0
            && self.wrong_answer_count == 0
            && self.proven_excess.values().all(|excess| *excess <= 0.0)
    }
}

fn by_test_id(executions: &[Execution]) -> ByTestId<'_> {
    let mut by_test_id: ByTestId<'_> = HashMap::new();
    for execution in executions.iter().filter(is_begun) {
        if let Some(test_id) = execution.entry.test_id.as_deref() {
            by_test_id.entry(test_id).or_default().push(execution);
        }
    }
    by_test_id
}

fn is_begun(execution: &&Execution) -> bool {
    execution.entry.state != EntryState::Refused
}

fn leaked_key_count(evidence: &Evidence) -> u64 {
    let has_key = |text: &str| evidence.keys.iter().any(|key| text.contains(key.as_str()));
    let is_leak = |execution: &&Execution| {
        let entry = &execution.entry;
        let in_headers = entry.headers.iter().any(|(_, value)| has_key(value));
        in_headers || has_key(&entry.path) || has_key(&entry.body)
    };
    evidence.executions.iter().filter(is_leak).count() as u64
}

fn executions_per_original(executions: &[Execution]) -> BTreeMap<String, f64> {
    let mut counts: BTreeMap<&str, HashMap<&str, u64>> = BTreeMap::new();
    for execution in executions.iter().filter(is_begun) {
        if let Some(test_id) = execution.entry.test_id.as_deref() {
            let service = counts.entry(&execution.service).or_default();
            *service.entry(test_id).or_default() += 1;
        }
    }
    let ratio = |counts: HashMap<&str, u64>| {
        counts.values().sum::<u64>() as f64 / counts.len().max(1) as f64
    };
    let ratios = counts.into_iter();
    ratios
        .map(|(service, counts)| (service.to_owned(), ratio(counts)))
        .collect()
}

fn excesses(
    scenario: &Scenario,
    evidence: &Evidence,
    by_test_id: &ByTestId<'_>,
) -> BTreeMap<String, f64> {
    let mut times_us: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for original in &evidence.originals {
        let Some(load) = scenario.loads.get(original.load_index) else {
            continue;
        };
        let executions = by_test_id.get(original.test_id.as_str());
        let at_entry = executions.into_iter().flatten().filter(|execution| {
            let mut segments = load.path.split('/').skip(1);
            segments.next() == Some(execution.service.as_str())
        });
        // Retries inside the fleet are no new requests of the workspace.
        let times = at_entry.map(|execution| execution.entry.started_unix_ms * 1000);
        let times = times.take(original.attempts.len());
        times_us.entry(&load.workspace).or_default().extend(times);
    }
    let confs = scenario.workspaces.iter();
    confs
        .map(|conf| {
            let times_us = times_us.remove(conf.name.as_str()).unwrap_or_default();
            (conf.name.clone(), window_excess(times_us, conf.limit()))
        })
        .collect()
}

fn proven_excesses(
    scenario: &Scenario,
    evidence: &Evidence,
    by_test_id: &ByTestId<'_>,
) -> BTreeMap<String, f64> {
    let mut spans: BTreeMap<&str, Vec<AdmissionSpan>> = BTreeMap::new();
    for original in &evidence.originals {
        let load = scenario.loads.get(original.load_index);
        let executions = by_test_id.get(original.test_id.as_str());
        let (Some(load), Some(executions)) = (load, executions) else {
            continue;
        };
        let sent_us = original.attempts.first().map(|attempt| attempt.sent_us);
        let begun_ms = executions.iter().map(|e| e.entry.started_unix_ms).min();
        if let (Some(sent_us), Some(begun_ms)) = (sent_us, begun_ms) {
            spans
                .entry(&load.workspace)
                .or_default()
                .push(AdmissionSpan {
                    from_us: evidence.started_unix_us + sent_us,
                    // Journals round down to milliseconds.
                    to_us: begun_ms * 1000 + 999,
                });
        }
    }
    let confs = scenario.workspaces.iter();
    confs
        .map(|conf| {
            let spans = spans.remove(conf.name.as_str()).unwrap_or_default();
            (conf.name.clone(), proven_excess(&spans, conf.limit()))
        })
        .collect()
}
