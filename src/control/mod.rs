//! What operators and monitoring see of a node: calls over tarpc, metrics and
//! health over HTTP.

mod admin;
mod capacity;
mod client;
mod errors;
mod explain;
mod handshake;
mod metrics;
mod operators;
mod process;
mod records;
mod refusals;
mod service;
mod sources;
mod target_metrics;
mod traffic;

pub use {
    admin::serve_admin,
    capacity::{
        ClassCounts, Figure, LISTED_WORKSPACE_COUNT, NodeCapacity, TargetCapacity,
        WorkspaceRefusalCount, node_capacity, record_refusal, target_capacity,
    },
    client::connect,
    errors::ControlError,
    explain::{NodeFacts, Resolved, resolve},
    handshake::{prove, verify},
    metrics::{ClassLabel, KindLabel, Metrics, RequestLabels},
    operators::{Operators, OperatorsClient},
    records::{
        ExplainRequest, ExplainStep, Explanation, FreshnessRecord, KeyVerdict, MemberStateRecord,
        MemberStatus, NodeStatus, TargetStatus, VersionsRecord,
    },
    refusals::{
        REFUSALS_KEPT_S, RecentRefusals, RefusalRecord, WORKSPACES_PER_SECOND, WorkspaceRefusals,
    },
    service::{Operated, spawn_operators},
    sources::ControlSources,
    target_metrics::TargetMetrics,
    traffic::Traffic,
};
