//! Counts by second.

use {
    super::workspaces::Refusals,
    crate::{caller::Judgement, load::Original},
};

/// One second of a run.
#[derives::record]
#[derive(Default)]
pub struct Second {
    /// Since the start of the load.
    pub at_s: u64,
    /// Requests that were to be sent in it, without repeats.
    pub offered_count: u64,
    /// Whole answers by the second of their end: goodput.
    pub whole_count: u64,
    /// Sends, repeats included.
    pub attempt_count: u64,
    /// Sends refused for quota although inside the workspace's rate.
    pub wrongful_count: u64,
    /// Least share of its fair claim that a workspace was served.
    pub worst_served_ratio: f64,
}

pub(super) fn seconds(originals: &[Original], refusals: &Refusals, duration_s: u64) -> Vec<Second> {
    let mut seconds: Vec<Second> = (0..duration_s)
        .map(|at_s| Second {
            at_s,
            worst_served_ratio: 1.0,
            ..Second::default()
        })
        .collect();
    let second_of = |time_us: u64| usize::try_from(time_us / 1_000_000).unwrap_or(usize::MAX);
    for original in originals {
        if let Some(second) = seconds.get_mut(second_of(original.intended_us)) {
            second.offered_count += 1;
        }
        for attempt in &original.attempts {
            if let Some(second) = seconds.get_mut(second_of(attempt.sent_us)) {
                second.attempt_count += 1;
            }
        }
        if original.judgement() != Judgement::Whole {
            continue;
        }
        if let Some(second) = seconds.get_mut(second_of(original.ended_us())) {
            second.whole_count += 1;
        }
    }
    for time_us in &refusals.wrongful_us {
        if let Some(second) = seconds.get_mut(second_of(*time_us)) {
            second.wrongful_count += 1;
        }
    }
    seconds
}
