//! Checks recorded admissions against rate and burst.

use super::Rate;

/// Window in which more was admitted than rate and burst allow.
#[derives::key]
pub struct Violation {
    /// Time of the first admission in the window.
    pub from_us: u64,
    /// Time of the last admission in the window.
    pub to_us: u64,
    /// Admissions in the window, both ends included.
    pub admitted_count: u64,
    /// Admissions that rate and burst allow, rounded down.
    pub allowed_count: u64,
}

/// Finds windows of `admissions` (times of one workspace's admissions on all
/// nodes, in microseconds, in any order) that violate `admitted ≤ rate · w +
/// burst`.
///
/// Returns one violation per admission that ends such a window, with the window
/// of the largest excess. The result is empty exactly when no window exceeds
/// the limit.
#[must_use]
pub fn window_violations(admissions: &[u64], rate: Rate) -> Vec<Violation> {
    const MICROS: i128 = 1_000_000;
    let mut times = admissions.to_vec();
    times.sort_unstable();
    let per_us = i128::from(rate.rate_per_s);
    let mut violations = Vec::new();
    // For each end, the start with the largest excess is the earlier admission
    // with the smallest `index · 10^6 − rate · time`.
    let mut start: Option<(i128, usize)> = None;
    for (index, &to_us) in times.iter().enumerate() {
        let excess_key = index as i128 * MICROS - per_us * i128::from(to_us);
        let best_start = start.map_or((excess_key, index), |earlier| {
            earlier.min((excess_key, index))
        });
        start = Some(best_start);
        let from_us = times[best_start.1];
        let admitted_count = (index - best_start.1 + 1) as u64;
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
