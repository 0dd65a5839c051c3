//! What control costs at several fleet sizes, carried to the size to design
//! for.

mod conf;
mod counts;
mod fit;
mod measure;
mod report;

pub use {
    counts::Counts,
    fit::{Line, Point},
    measure::{Measurement, Spending, measure},
    report::{Report, Row},
};

use crate::LabError;

/// Most nodes of a mesh, so that with their targets a few hundred processes
/// run at most.
pub const MAX_NODE_COUNT: usize = 108;

/// Measures one mesh after the other.
pub async fn run(node_counts: &[usize]) -> Result<Report, LabError> {
    let mut measurements = Vec::new();
    for node_count in node_counts {
        measurements.push(measure((*node_count).clamp(1, MAX_NODE_COUNT)).await?);
    }
    Ok(Report::new(measurements))
}
