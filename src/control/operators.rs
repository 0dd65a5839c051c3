//! The calls that operators make to a node, as a tarpc service.

// The macro generates items without doc comments.
#![allow(missing_docs)]

use {
    super::{
        capacity::NodeCapacity,
        records::{ExplainRequest, Explanation, KeyVerdict, NodeStatus},
    },
    crate::keys::KeyDigest,
};

/// Calls of operators.
#[tarpc::service]
pub trait Operators {
    /// What the node knows of itself and, if asked for, of the other members;
    /// their list is by far the longest part.
    async fn status(with_members: bool) -> NodeStatus;
    /// Revision of the configuration in force.
    async fn revision() -> u64;
    /// Revokes a key on this node, which tells the others; answers with the
    /// key's state once the revocation is in force here.
    async fn revoke(digest: KeyDigest) -> KeyVerdict;
    /// What a key is worth on this node.
    async fn key_verdict(digest: KeyDigest) -> KeyVerdict;
    /// Lets running work end and the process leave.
    async fn drain();
    /// Why a request would be admitted or refused here.
    async fn explain(request: ExplainRequest) -> Explanation;
    /// Load and refusals of the node's own target.
    async fn capacity() -> NodeCapacity;
}
