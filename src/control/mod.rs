//! What operators and monitoring see of a node: calls over tarpc, metrics and
//! health over HTTP.

mod admin;
mod client;
mod errors;
mod explain;
mod handshake;
mod metrics;
mod operators;
mod process;
mod records;
mod service;
mod sources;
mod traffic;

pub use {
    admin::serve_admin,
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
    service::{Operated, spawn_operators},
    sources::ControlSources,
    traffic::Traffic,
};
