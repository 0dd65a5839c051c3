//! Estimate of how long the target works on a request.

use crate::model::WorkspaceKey;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Time without samples in which the estimate halves. Without this a high
/// estimate would refuse all work with short deadlines as hopeless, no sample
/// would come in any more, and the target would stay idle after it recovered.
const HALF_LIFE_US: f64 = 1_000_000.0;
/// Time without samples after which the estimate begins to fall.
const QUIET_US: u64 = 200_000;
/// Estimate before the first sample.
const FIRST_ESTIMATE_US: f64 = 1_000.0;

/// Exponentially weighted mean of recent service times, overall and for each
/// workspace.
#[derive(Debug, Default)]
pub struct ServiceTime {
    mean_us: Option<f64>,
    sampled_us: u64,
    workspace_means_us: Vec<Option<f64>>,
}

impl ServiceTime {
    /// An estimate without samples.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a request's service time.
    pub fn sample(&mut self, workspace: WorkspaceKey, service_us: f64, now_us: u64) {
        self.mean_us = Some(blend(self.mean_us, service_us));
        self.sampled_us = now_us;
        let index = workspace.index();
        if index >= self.workspace_means_us.len() {
            self.workspace_means_us.resize(index + 1, None);
        }
        let mean_us = &mut self.workspace_means_us[index];
        *mean_us = Some(blend(*mean_us, service_us));
    }

    /// Mean service time in microseconds; falls while no samples come in.
    #[must_use]
    pub fn mean_us(&self, now_us: u64) -> f64 {
        let mean_us = self.mean_us.unwrap_or(FIRST_ESTIMATE_US);
        let quiet_us = now_us.saturating_sub(self.sampled_us);
        let expected_gap_us = QUIET_US.max(mean_us as u64);
        if quiet_us <= expected_gap_us {
            return mean_us;
        }
        mean_us * (-((quiet_us - expected_gap_us) as f64) / HALF_LIFE_US).exp2()
    }

    /// Whether any request was measured yet.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.mean_us.is_some()
    }

    /// Cost of a workspace's requests in mean requests; 1 when unknown.
    #[must_use]
    pub fn cost_ratio(&self, workspace_index: usize) -> f64 {
        let workspace_us = self.workspace_means_us.get(workspace_index).copied();
        match (workspace_us.flatten(), self.mean_us) {
            (Some(workspace_us), Some(mean_us)) if mean_us > 0.0 => workspace_us / mean_us,
            _ => 1.0,
        }
    }
}

fn blend(mean_us: Option<f64>, sample_us: f64) -> f64 {
    mean_us.map_or(sample_us, |mean_us| {
        mean_us + (sample_us - mean_us) * SAMPLE_WEIGHT
    })
}
