//! RPC client: queues calls for the RPC thread and returns their responses.

use {
    super::counters::RpcCounters,
    crate::{
        documents::{Document, DocumentKind},
        guard::Handover,
        model::WorkspaceKey,
        quota::{BorrowRequest, BorrowResponse, LeaseRequest, LeaseResponse, PoolHandover},
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{mpsc, oneshot},
};

/// Calls queued for the RPC thread; when the queue is full, callers wait.
const CALL_QUEUE_CAPACITY: usize = 1024;

/// Why a call to another node failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// The connection could not be opened.
    #[error("cannot connect to {address}: {cause}")]
    Unreachable {
        /// The node's address.
        address: SocketAddr,
        /// Error of the operating system.
        cause: String,
    },
    /// Mutual authentication failed.
    #[error("authentication with {address} failed: both nodes need the same fleet secret")]
    NotAuthentic {
        /// The node's address.
        address: SocketAddr,
    },
    /// The connection broke or the peer returned an error.
    #[error("call to {address} failed: {cause}")]
    Failed {
        /// The node's address.
        address: SocketAddr,
        /// Error of capnp-rpc.
        cause: String,
    },
    /// No response arrived in time.
    #[error("no response from {address} within {limit_ms} ms")]
    TimedOut {
        /// The node's address.
        address: SocketAddr,
        /// The time limit.
        limit_ms: u64,
    },
    /// The RPC thread has stopped because the process is shutting down.
    #[error("the node is shutting down")]
    Stopped,
}

/// Sends the response of a call, or its error, to the caller.
pub(super) type Reply<T> = oneshot::Sender<Result<T, RpcError>>;

/// Call to be made by the RPC thread.
pub(super) enum Command {
    Document {
        kind: DocumentKind,
        above_version: u64,
        reply: Reply<Option<Document>>,
    },
    Lease {
        request: LeaseRequest,
        reply: Reply<LeaseResponse>,
    },
    Borrow {
        request: BorrowRequest,
        reply: Reply<BorrowResponse>,
    },
    TakeOver {
        workspace: WorkspaceKey,
        reply: Reply<Option<PoolHandover>>,
    },
    HandOver {
        handover: Handover,
        reply: Reply<bool>,
    },
}

/// A call and the address of its receiver.
pub(super) struct Call {
    pub address: SocketAddr,
    pub command: Command,
}

/// Receiver of the queued calls, for [`super::spawn`].
pub struct PendingCalls {
    pub(super) receiver: mpsc::Receiver<Call>,
    pub(super) counters: Arc<RpcCounters>,
}

/// Makes calls to other nodes; clones share the connections.
#[derive(Debug, Clone)]
pub struct RpcClient {
    sender: mpsc::Sender<Call>,
    counters: Arc<RpcCounters>,
}

/// Creates a client and the queue of its calls, which [`super::spawn`] makes.
#[must_use]
pub fn channel() -> (RpcClient, PendingCalls) {
    let (sender, receiver) = mpsc::channel(CALL_QUEUE_CAPACITY);
    let counters = Arc::new(RpcCounters::default());
    let client = RpcClient {
        sender,
        counters: counters.clone(),
    };
    (client, PendingCalls { receiver, counters })
}

impl RpcClient {
    /// Counters of the calls made so far.
    #[must_use]
    pub fn counters(&self) -> &RpcCounters {
        &self.counters
    }

    /// Fetches a document, if the peer holds a version above `above_version`.
    pub async fn fetch_document(
        &self,
        address: SocketAddr,
        kind: DocumentKind,
        above_version: u64,
    ) -> Result<Option<Document>, RpcError> {
        let command = |reply| Command::Document {
            kind,
            above_version,
            reply,
        };
        self.call(address, command).await
    }

    /// Requests a lease of an owner's share of a workspace.
    pub async fn lease(
        &self,
        address: SocketAddr,
        request: LeaseRequest,
    ) -> Result<LeaseResponse, RpcError> {
        self.call(address, |reply| Command::Lease { request, reply })
            .await
    }

    /// Requests tokens from a workspace's pool node.
    pub async fn borrow(
        &self,
        address: SocketAddr,
        request: BorrowRequest,
    ) -> Result<BorrowResponse, RpcError> {
        self.call(address, |reply| Command::Borrow { request, reply })
            .await
    }

    /// Requests the handover of a token pool from the workspace's previous pool
    /// node; `None` if that node considers itself the current one.
    pub async fn take_over(
        &self,
        address: SocketAddr,
        workspace: WorkspaceKey,
    ) -> Result<Option<PoolHandover>, RpcError> {
        let command = |reply| Command::TakeOver { workspace, reply };
        self.call(address, command).await
    }

    /// Hands a slice's idempotency keys over to its next home; returns whether
    /// they were accepted.
    pub async fn hand_over(
        &self,
        address: SocketAddr,
        handover: Handover,
    ) -> Result<bool, RpcError> {
        self.call(address, |reply| Command::HandOver { handover, reply })
            .await
    }

    async fn call<T>(
        &self,
        address: SocketAddr,
        command: impl FnOnce(Reply<T>) -> Command,
    ) -> Result<T, RpcError> {
        let (reply, response) = oneshot::channel();
        let command = command(reply);
        let call = Call { address, command };
        let send_result = self.sender.send(call).await;
        send_result.map_err(|_| RpcError::Stopped)?;
        response.await.map_err(|_| RpcError::Stopped)?
    }
}
