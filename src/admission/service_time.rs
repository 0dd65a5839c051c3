//! Estimated service time of the target.

use crate::model::WorkspaceKey;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Time without samples in which the estimate halves. If a high estimate did not decay, it would
/// refuse every request with a short deadline, no more samples would come in, and the target
/// would stay idle after it recovered.
const HALF_LIFE_US: f64 = 1_000_000.0;
/// Shortest time without samples after which the estimate starts to decay.
const MIN_SAMPLE_GAP_US: u64 = 200_000;
/// Estimate before the first sample.
const INITIAL_ESTIMATE_US: f64 = 1_000.0;

/// Exponentially weighted mean of recent service times, overall and per workspace.
#[derive(Debug, Default)]
pub struct ServiceTime {
    mean_us: Option<f64>,
    last_sample_us: u64,
    workspace_means_us: Vec<Option<f64>>,
}

impl ServiceTime {
    /// An estimate without samples.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the service time of a request.
    pub fn record(&mut self, workspace: WorkspaceKey, service_us: f64, now_us: u64) {
        self.mean_us = Some(update_mean(self.mean_us, service_us));
        self.last_sample_us = now_us;
        let index = workspace.index();
        if index >= self.workspace_means_us.len() {
            self.workspace_means_us.resize(index + 1, None);
        }
        let mean_us = &mut self.workspace_means_us[index];
        *mean_us = Some(update_mean(*mean_us, service_us));
    }

    /// Mean service time in microseconds; decays while no samples come in.
    #[must_use]
    pub fn mean_us(&self, now_us: u64) -> f64 {
        let mean_us = self.mean_us.unwrap_or(INITIAL_ESTIMATE_US);
        let idle_us = now_us.saturating_sub(self.last_sample_us);
        let expected_gap_us = MIN_SAMPLE_GAP_US.max(mean_us as u64);
        if idle_us <= expected_gap_us {
            return mean_us;
        }
        mean_us * (-((idle_us - expected_gap_us) as f64) / HALF_LIFE_US).exp2()
    }

    /// Expected service time of a request of this workspace, in whole microseconds.
    #[must_use]
    pub fn expected_us(&self, workspace_index: usize, now_us: u64) -> u64 {
        (self.mean_us(now_us) * self.cost_ratio(workspace_index)) as u64
    }

    /// Whether any service time was recorded.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.mean_us.is_some()
    }

    /// Mean service time of a workspace over the overall mean; 1 when unknown.
    #[must_use]
    pub fn cost_ratio(&self, workspace_index: usize) -> f64 {
        let workspace_us = self.workspace_means_us.get(workspace_index).copied();
        match (workspace_us.flatten(), self.mean_us) {
            (Some(workspace_us), Some(mean_us)) if mean_us > 0.0 => workspace_us / mean_us,
            _ => 1.0,
        }
    }
}

fn update_mean(mean_us: Option<f64>, sample_us: f64) -> f64 {
    mean_us.map_or(sample_us, |mean_us| {
        mean_us + (sample_us - mean_us) * SAMPLE_WEIGHT
    })
}
