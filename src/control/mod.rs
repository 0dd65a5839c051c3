//! Operators' calls to nodes.

mod client;
mod errors;
mod explain;
mod handshake;
mod operators;
mod records;
mod service;

pub use {
    client::connect,
    errors::ControlError,
    explain::{NodeFacts, Resolved, resolve},
    handshake::{prove, verify},
    operators::{Operators, OperatorsClient},
    records::{
        ExplainRequest, ExplainStep, Explanation, FreshnessRecord, KeyVerdict, MemberStateRecord,
        MemberStatus, NodeStatus, TargetStatus, VersionsRecord,
    },
    service::{Operated, spawn_operators},
};
