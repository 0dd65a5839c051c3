//! The `Send` side of calls to other nodes.

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

/// Calls that may wait for the thread; beyond it callers wait themselves.
const QUEUE_COUNT: usize = 1024;

/// Why a call to another node has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// No connection could be made.
    #[error("cannot connect to {address}: {cause}")]
    Unreachable {
        /// The node's address.
        address: SocketAddr,
        /// What the system said.
        cause: String,
    },
    /// The peer does not hold the fleet secret.
    #[error("{address} does not hold the fleet secret")]
    NotAuthentic {
        /// The node's address.
        address: SocketAddr,
    },
    /// The connection broke or the peer answered with an error.
    #[error("call to {address} failed: {cause}")]
    Failed {
        /// The node's address.
        address: SocketAddr,
        /// What capnp-rpc said.
        cause: String,
    },
    /// No answer came in time.
    #[error("no answer from {address} within {limit_ms} ms")]
    TimedOut {
        /// The node's address.
        address: SocketAddr,
        /// The time limit.
        limit_ms: u64,
    },
    /// The thread has ended with the process.
    #[error("the node is shutting down")]
    Stopped,
}

/// Answer of a call, or why there is none.
pub(super) type Reply<T> = oneshot::Sender<Result<T, RpcError>>;

/// Call to be made by the thread.
pub(super) enum Command {
    Document {
        kind: DocumentKind,
        above_version: u64,
        reply: Reply<Option<Document>>,
    },
    Lease {
        ask: LeaseRequest,
        reply: Reply<LeaseResponse>,
    },
    Borrow {
        ask: BorrowRequest,
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

/// A call with where it goes.
pub(super) struct Call {
    pub address: SocketAddr,
    pub command: Command,
}

/// Calls that wait for [`super::spawn`] to make them.
pub struct Calls {
    pub(super) receiver: mpsc::Receiver<Call>,
    pub(super) counters: Arc<RpcCounters>,
}

/// Calls other nodes; clones share the connections.
#[derive(Debug, Clone)]
pub struct RpcClient {
    sender: mpsc::Sender<Call>,
    counters: Arc<RpcCounters>,
}

/// A client and the calls that it makes, to be served by [`super::spawn`].
#[must_use]
pub fn channel() -> (RpcClient, Calls) {
    let (sender, receiver) = mpsc::channel(QUEUE_COUNT);
    let counters = Arc::new(RpcCounters::default());
    let client = RpcClient {
        sender,
        counters: counters.clone(),
    };
    (client, Calls { receiver, counters })
}

impl RpcClient {
    /// Calls made so far.
    #[must_use]
    pub fn counters(&self) -> &RpcCounters {
        &self.counters
    }

    /// A neighbour's document, if it holds a version above the given one.
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

    /// Asks an owner for its share of a workspace.
    pub async fn lease(
        &self,
        address: SocketAddr,
        ask: LeaseRequest,
    ) -> Result<LeaseResponse, RpcError> {
        self.call(address, |reply| Command::Lease { ask, reply })
            .await
    }

    /// Asks a bank for tokens.
    pub async fn borrow(
        &self,
        address: SocketAddr,
        ask: BorrowRequest,
    ) -> Result<BorrowResponse, RpcError> {
        self.call(address, |reply| Command::Borrow { ask, reply })
            .await
    }

    /// Asks the earlier bank of a workspace to hand over; `None` when it takes
    /// itself for the bank.
    pub async fn take_over(
        &self,
        address: SocketAddr,
        workspace: WorkspaceKey,
    ) -> Result<Option<PoolHandover>, RpcError> {
        let command = |reply| Command::TakeOver { workspace, reply };
        self.call(address, command).await
    }

    /// Gives a slice's keys to its next home; whether it took them.
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
        let (reply, answer) = oneshot::channel();
        let command = command(reply);
        let call = Call { address, command };
        let sent = self.sender.send(call).await;
        sent.map_err(|_| RpcError::Stopped)?;
        answer.await.map_err(|_| RpcError::Stopped)?
    }
}
