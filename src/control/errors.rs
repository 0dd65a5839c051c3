//! Failures of operators' calls.

use std::{io, net::SocketAddr};

/// A call between operator and node that failed.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The control port cannot be bound.
    #[error("cannot listen for operators on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The node cannot be reached.
    #[error("cannot be reached: {0}")]
    Connect(io::Error),
    /// The connection broke during the handshake. A node closes it when the
    /// secret is wrong.
    #[error("closed the connection: is --operator-secret the secret of these nodes?")]
    Closed,
    /// The other side did not prove that it holds the operator secret.
    #[error("did not prove that it holds the operator secret")]
    NotAuthentic,
    /// No answer in time.
    #[error("did not answer within {limit_ms} ms")]
    TimedOut {
        /// The limit.
        limit_ms: u64,
    },
    /// The call itself failed.
    #[error("the call failed: {0}")]
    Call(#[from] tarpc::client::RpcError),
}
