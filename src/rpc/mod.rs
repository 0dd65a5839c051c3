//! Calls between nodes over capnp-rpc.
//!
//! capnp-rpc is not `Send`, so it runs on a thread of its own. The rest of the
//! process makes calls through [`RpcClient`] and serves them through
//! [`Handlers`].

mod auth;
mod client;
mod codec;
mod connection;
mod counters;
mod handlers;
mod server;
mod thread;

pub use {
    client::{RpcClient, RpcError, channel},
    counters::{CallCount, CallKind, RpcCounters},
    handlers::{DocumentSource, NodeHandlers},
    thread::{RpcConfig, spawn},
};

use {
    crate::{
        documents::{Document, DocumentKind},
        guard::Handover,
        model::WorkspaceKey,
        quota::{BorrowRequest, BorrowResponse, LeaseRequest, LeaseResponse, PoolHandover},
    },
    std::future::Future,
};

/// Handles the calls of other nodes.
///
/// All but `borrow` must not block: they run on the thread that serves all
/// connections.
pub trait Handlers: Send + Sync + 'static {
    /// The document that this node holds, if its version is above
    /// `above_version`.
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document>;

    /// Leases this node's share of a workspace to a token pool.
    fn lease(&self, request: LeaseRequest) -> LeaseResponse;

    /// Lends tokens from the workspace's token pool on this node.
    fn borrow(&self, request: BorrowRequest) -> impl Future<Output = BorrowResponse> + Send;

    /// Hands the workspace's token pool over to the calling node; `None` if this
    /// node considers itself the current pool node.
    fn take_over(&self, workspace: WorkspaceKey) -> Option<PoolHandover>;

    /// Takes over the idempotency keys of a slice that moved to this node;
    /// returns whether they were accepted.
    fn hand_over(&self, handover: Handover) -> bool;
}
