//! The result of a scenario.

use {
    super::{
        Checks, Evidence, OverloadResult, Second, WorkspaceResult,
        recovery::recovery_s,
        series::seconds,
        workspaces::{Refusals, workspaces},
    },
    crate::{caller::Judgement, load::Original, scenario::Scenario, usage::NodeCost},
    hdrhistogram::Histogram,
    std::collections::BTreeMap,
};

const MAX_LATENCY_US: u64 = 600_000_000;

/// One load over the whole run.
#[derives::record]
pub struct LoadResult {
    /// Name.
    pub name: String,
    /// Requests offered, without repeats.
    pub offered_count: u64,
    /// Sends, repeats included.
    pub attempt_count: u64,
    /// Requests by the conclusion of their last send.
    pub judgements: BTreeMap<Judgement, u64>,
    /// Sends by the reason of their refusal.
    pub reasons: BTreeMap<String, u64>,
    /// Requests that the lab could not send, being at its own limit.
    pub unsent_count: u64,
    /// Median latency of whole answers, from the intended send.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// The result of a scenario.
#[derives::record]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub name: String,
    /// Its description.
    pub description: String,
    /// Flags of the nodes.
    pub node_flags: Vec<String>,
    /// Goodput before the first cause of trouble.
    pub normal_per_s: f64,
    /// Goodput between the begin of the first and the end of the last cause.
    pub trouble_per_s: Option<f64>,
    /// From the end of the last cause to 95% of normal goodput.
    pub recovery_s: Option<f64>,
    /// Whether there was a cause and goodput did not come back after it.
    pub stayed_down: bool,
    /// Name of the worst-served workspace.
    pub worst_served: Option<String>,
    /// Its whole answers over its claim.
    pub worst_served_ratio: f64,
    /// Refusals for quota inside the rate, over all sends inside the rate.
    pub wrongful_ratio: f64,
    /// Figures of the overload, where the scenario names one.
    pub overload: Option<OverloadResult>,
    /// What the nodes cost during the load.
    pub node_cost: NodeCost,
    /// Processor time of all nodes for one send, in microseconds. A chain
    /// passes several nodes, so this is more than the cost of one hop.
    pub node_cpu_us_per_attempt: f64,
    /// Loads in their order.
    pub loads: Vec<LoadResult>,
    /// Workspaces in their order.
    pub workspaces: Vec<WorkspaceResult>,
    /// What must always hold.
    pub checks: Checks,
    /// Counts by second.
    pub seconds: Vec<Second>,
}

impl ScenarioResult {
    /// Measures a run.
    #[must_use]
    pub fn new(scenario: &Scenario, evidence: &Evidence) -> Self {
        let originals = &evidence.originals;
        let mut refusals = Refusals::default();
        let workspaces = workspaces(scenario, originals, &mut refusals);
        let seconds = seconds_with_worst(scenario, originals, &refusals);
        let goodput: Vec<f64> = seconds.iter().map(|s| s.whole_count as f64).collect();
        let warm_up_s = scenario.warm_up_s as f64;
        let cause_start_s = scenario.cause_start_s();
        let normal_end_s = cause_start_s.unwrap_or(scenario.duration_s as f64);
        let normal_per_s = mean(&goodput, warm_up_s, normal_end_s);
        let cause_end_s = scenario.cause_end_s();
        let recovery = cause_end_s.and_then(|end_s| recovery_s(&goodput, normal_per_s, end_s));
        let worst = workspaces
            .iter()
            .filter(|workspace| workspace.claim_count > 0)
            .min_by(|a, b| a.served_ratio.total_cmp(&b.served_ratio));
        let wrongful_count: u64 = workspaces.iter().map(|w| w.wrongful_count).sum();
        let inside_count: u64 = workspaces.iter().map(|w| w.inside_count).sum();
        Self {
            name: scenario.name.clone(),
            description: scenario.description.clone(),
            node_flags: scenario.node_flags.clone(),
            normal_per_s,
            trouble_per_s: cause_start_s
                .zip(cause_end_s)
                .map(|(start_s, end_s)| mean(&goodput, start_s, end_s)),
            recovery_s: recovery,
            stayed_down: cause_end_s.is_some() && recovery.is_none(),
            worst_served: worst.map(|workspace| workspace.name.clone()),
            worst_served_ratio: worst.map_or(1.0, |workspace| workspace.served_ratio),
            wrongful_ratio: wrongful_count as f64 / inside_count.max(1) as f64,
            overload: scenario.overload.as_ref().and_then(|conf| {
                OverloadResult::new(scenario, conf, evidence, &goodput, normal_per_s)
            }),
            node_cost: evidence.node_cost,
            node_cpu_us_per_attempt: cpu_us_per_attempt(evidence),
            loads: loads(scenario, originals),
            checks: Checks::new(scenario, evidence),
            workspaces,
            seconds,
        }
    }
}

fn cpu_us_per_attempt(evidence: &Evidence) -> f64 {
    let originals = evidence.originals.iter();
    let attempt_count: usize = originals.map(|original| original.attempts.len()).sum();
    evidence.node_cost.cpu_ms as f64 * 1000.0 / attempt_count.max(1) as f64
}

/// Mean of the whole seconds from `start_s` to `end_s`.
pub(super) fn mean(values: &[f64], start_s: f64, end_s: f64) -> f64 {
    let first = (start_s.ceil() as usize).min(values.len());
    let last = (end_s.floor() as usize).clamp(first, values.len());
    let window = &values[first..last];
    window.iter().sum::<f64>() / window.len().max(1) as f64
}

fn seconds_with_worst(
    scenario: &Scenario,
    originals: &[Original],
    refusals: &Refusals,
) -> Vec<Second> {
    let mut all = seconds(originals, refusals, scenario.duration_s);
    for conf in &scenario.workspaces {
        let is_own = |original: &&Original| {
            let load = scenario.loads.get(original.load_index);
            load.is_some_and(|load| load.workspace == conf.name)
        };
        let own: Vec<Original> = originals.iter().filter(is_own).cloned().collect();
        let own = seconds(&own, &Refusals::default(), scenario.duration_s);
        for (second, own) in all.iter_mut().zip(own) {
            let claim = own.offered_count.min(u64::from(conf.rate_per_s));
            let ratio = own.whole_count as f64 / claim.max(1) as f64;
            if claim > 0 {
                second.worst_served_ratio = second.worst_served_ratio.min(ratio);
            }
        }
    }
    all
}

fn loads(scenario: &Scenario, originals: &[Original]) -> Vec<LoadResult> {
    let loads = scenario.loads.iter().enumerate();
    loads
        .map(|(index, load)| {
            let own = originals.iter().filter(|o| o.load_index == index);
            load_result(&load.name, &own.collect::<Vec<_>>())
        })
        .collect()
}

fn load_result(name: &str, originals: &[&Original]) -> LoadResult {
    let mut latency_us: Histogram<u64> =
        Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds in range");
    let mut result = LoadResult {
        name: name.to_owned(),
        offered_count: originals.len() as u64,
        attempt_count: 0,
        judgements: BTreeMap::new(),
        reasons: BTreeMap::new(),
        unsent_count: 0,
        p50_ms: 0.0,
        p99_ms: 0.0,
    };
    for original in originals {
        result.attempt_count += original.attempts.len() as u64;
        result.unsent_count += u64::from(original.attempts.is_empty());
        *result.judgements.entry(original.judgement()).or_default() += 1;
        for reason in original.attempts.iter().filter_map(|a| a.reason.as_ref()) {
            *result.reasons.entry(reason.clone()).or_default() += 1;
        }
        if original.judgement() == Judgement::Whole {
            latency_us.saturating_record(original.latency_us);
        }
    }
    result.p50_ms = latency_us.value_at_quantile(0.5) as f64 / 1000.0;
    result.p99_ms = latency_us.value_at_quantile(0.99) as f64 / 1000.0;
    result
}
