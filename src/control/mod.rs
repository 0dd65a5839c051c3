//! What operators and monitoring see of a node.

mod admin;
mod metrics;

pub use {
    admin::serve_admin,
    metrics::{Metrics, RequestLabels},
};
