//! The promise of quota as a check on journals.

use super::Rate;

/// A window in which more was admitted than rate and burst allow.
#[derives::key]
pub struct Violation {
    /// Time of the window's first admission.
    pub from_us: u64,
    /// Time of its last.
    pub to_us: u64,
    /// Admissions in it, both ends included.
    pub admitted_count: u64,
    /// What rate and burst allow, rounded down.
    pub allowed_count: u64,
}

/// Windows of `admissions` (times of one workspace's admissions on all nodes,
/// in microseconds, in any order) that break `admitted ≤ rate · w + burst`.
///
/// One violation for each admission that ends such a window, with the window
/// that is exceeded most. Empty exactly when every window keeps the promise.
#[must_use]
pub fn window_violations(admissions: &[u64], rate: Rate) -> Vec<Violation> {
    const MICROS: i128 = 1_000_000;
    let mut times = admissions.to_vec();
    times.sort_unstable();
    let per_us = i128::from(rate.rate_per_s);
    let mut violations = Vec::new();
    // For each end, the start with the greatest excess is the earlier one with
    // the least `index · 10^6 − rate · time`.
    let mut start: Option<(i128, usize)> = None;
    for (index, &to_us) in times.iter().enumerate() {
        let key = index as i128 * MICROS - per_us * i128::from(to_us);
        let best = start.map_or((key, index), |best| best.min((key, index)));
        start = Some(best);
        let from_us = times[best.1];
        let admitted_count = (index - best.1 + 1) as u64;
        let allowed = per_us * i128::from(to_us - from_us) + i128::from(rate.burst_count) * MICROS;
        if i128::from(admitted_count) * MICROS > allowed {
            violations.push(Violation {
                from_us,
                to_us,
                admitted_count,
                allowed_count: u64::try_from(allowed / MICROS).unwrap_or(u64::MAX),
            });
        }
    }
    violations
}
