//! A small mesh with real requests: what the first command of the README runs.

mod conf;
mod overhead;
mod summary;
mod traffic;

pub use {
    overhead::{Overhead, measure_overhead},
    summary::Summary,
};

use crate::{LabError, mesh::Mesh};

/// Brings the mesh up, sends requests, measures what a hop adds and cleans up.
pub async fn run() -> Result<(Summary, Overhead), LabError> {
    let mesh = Mesh::start(conf::mesh()).await?;
    let summary = traffic::send_all(&mesh).await?;
    let key = mesh.create_key(conf::DEALERS).await?;
    let overhead = measure_overhead(&mesh, &key).await?;
    Ok((summary, overhead))
}
