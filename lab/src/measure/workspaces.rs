//! How each workspace fares.

use {
    super::quota::{RateLimit, TokenBucket},
    crate::{
        caller::Judgement,
        load::Original,
        scenario::{Scenario, WorkspaceConf},
    },
};

const OVER_QUOTA: &str = "over-quota";

/// A workspace over the whole run.
#[derives::record]
pub struct WorkspaceResult {
    /// Name.
    pub name: String,
    /// Requests offered, without repeats.
    pub offered_count: u64,
    /// Whole answers.
    pub whole_count: u64,
    /// Requests that it was entitled to: offered, but no more than rate and
    /// burst.
    pub claim_count: u64,
    /// Whole answers over claim, at most 1.
    pub served_ratio: f64,
    /// Sends refused for quota.
    pub over_quota_count: u64,
    /// Of these, sends that were inside the rate.
    pub wrongful_count: u64,
    /// Sends that were inside the rate.
    pub inside_count: u64,
}

impl WorkspaceConf {
    /// Rate and burst.
    #[must_use]
    pub fn limit(&self) -> RateLimit {
        RateLimit {
            rate_per_s: f64::from(self.rate_per_s),
            burst: f64::from(self.burst),
        }
    }
}

/// Refusals for quota of all workspaces.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    /// Times of those inside the rate.
    pub(super) wrongful_us: Vec<u64>,
}

pub(super) fn workspaces(
    scenario: &Scenario,
    originals: &[Original],
    refusals: &mut Refusals,
) -> Vec<WorkspaceResult> {
    let confs = scenario.workspaces.iter();
    confs
        .map(|conf| workspace(scenario, conf, originals, refusals))
        .collect()
}

fn workspace(
    scenario: &Scenario,
    conf: &WorkspaceConf,
    originals: &[Original],
    refusals: &mut Refusals,
) -> WorkspaceResult {
    let is_own = |original: &&Original| {
        let load = scenario.loads.get(original.load_index);
        load.is_some_and(|load| load.workspace == conf.name)
    };
    let own: Vec<&Original> = originals.iter().filter(is_own).collect();
    let is_whole = |original: &&&Original| original.judgement() == Judgement::Whole;
    let whole_count = own.iter().filter(is_whole).count() as u64;
    let entitled_count = u64::from(conf.rate_per_s) * scenario.duration_s + u64::from(conf.burst);
    let claim_count = entitled_count.min(own.len() as u64);
    let mut result = WorkspaceResult {
        name: conf.name.clone(),
        offered_count: own.len() as u64,
        whole_count,
        claim_count,
        served_ratio: (whole_count as f64 / claim_count.max(1) as f64).min(1.0),
        over_quota_count: 0,
        wrongful_count: 0,
        inside_count: 0,
    };
    count_refusals(&mut result, conf, &own, refusals);
    result
}

/// Compares each refusal with a bucket that a single process would keep.
///
/// A send counts as admitted unless it was refused for quota, so sends that
/// were lost on the way make this count fewer wrongful refusals, not more.
fn count_refusals(
    result: &mut WorkspaceResult,
    conf: &WorkspaceConf,
    own: &[&Original],
    refusals: &mut Refusals,
) {
    let attempts = own.iter().flat_map(|original| &original.attempts);
    let mut attempts: Vec<_> = attempts.collect();
    attempts.sort_by_key(|attempt| attempt.sent_us);
    let mut bucket = TokenBucket::new(conf.limit());
    for attempt in attempts {
        let is_inside = bucket.is_inside(attempt.sent_us);
        let is_refused = attempt.reason.as_deref() == Some(OVER_QUOTA);
        result.inside_count += u64::from(is_inside);
        result.over_quota_count += u64::from(is_refused);
        if is_refused && is_inside {
            result.wrongful_count += 1;
            refusals.wrongful_us.push(attempt.sent_us);
        } else if !is_refused {
            bucket.take();
        }
    }
}
