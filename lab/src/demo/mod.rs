//! A small mesh with real requests: what the first command of the README runs.

mod conf;
mod overhead;
mod summary;
mod traffic;

pub use {
    overhead::{Overhead, measure_overhead},
    summary::Summary,
};

use {
    crate::{LabError, mesh::Mesh, usage::NodeCost},
    std::time::Duration,
    tokio::time::sleep,
};

/// How long the nodes are watched without requests.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// How long they rest before.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// What the demonstration shows.
#[derive(Debug)]
pub struct Demo {
    /// Nodes without requests.
    pub idle_cost: NodeCost,
    /// What became of the requests.
    pub summary: Summary,
    /// What a hop adds.
    pub overhead: Overhead,
}

impl Demo {
    /// Resident memory of the largest idle node.
    #[must_use]
    pub fn idle_resident_mib(&self) -> f64 {
        self.idle_cost.max_resident_bytes as f64 / f64::from(1 << 20)
    }

    /// Share of one core that an idle node uses, in percent.
    #[must_use]
    pub fn idle_cpu_percent(&self) -> f64 {
        let node_count = self.idle_cost.node_count.max(1) as f64;
        let idle_ms = IDLE_TIME.as_millis() as f64;
        self.idle_cost.cpu_ms as f64 * 100.0 / idle_ms / node_count
    }
}

/// Brings the mesh up, sends requests, measures what a hop adds and cleans up.
pub async fn run() -> Result<Demo, LabError> {
    let mesh = Mesh::start(conf::mesh()).await?;
    let summary = traffic::send_all(&mesh).await?;
    let key = mesh.create_key(conf::DEALERS).await?;
    let overhead = measure_overhead(&mesh, &key).await?;
    // Members and slices have settled by now; a start is no rest.
    sleep(SETTLE_TIME).await;
    let before = mesh.node_usage();
    sleep(IDLE_TIME).await;
    let idle_cost = NodeCost::between(&before, &mesh.node_usage());
    Ok(Demo {
        idle_cost,
        summary,
        overhead,
    })
}
