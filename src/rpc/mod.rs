//! Calls between nodes over capnp-rpc.
//!
//! capnp-rpc is not `Send`; it lives on a thread of its own. The rest of the
//! process talks to it through [`RpcClient`] and answers through
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

/// What a node answers to other nodes.
///
/// All but `borrow` must not wait: they run on the thread that serves every
/// connection.
pub trait Handlers: Send + Sync + 'static {
    /// The document that this node holds, if its version is above the given one.
    fn document(&self, kind: DocumentKind, above_version: u64) -> Option<Document>;

    /// Leases this node's share of a workspace to a bank.
    fn lease(&self, ask: LeaseRequest) -> LeaseResponse;

    /// Lends tokens as the bank of a workspace.
    fn borrow(&self, ask: BorrowRequest) -> impl Future<Output = BorrowResponse> + Send;

    /// Hands the bank of a workspace over to the asking node, unless this node
    /// takes itself for the bank.
    fn take_over(&self, workspace: WorkspaceKey) -> Option<PoolHandover>;

    /// Takes in keys of a slice that was given up for this node.
    fn hand_over(&self, handover: Handover) -> bool;
}
