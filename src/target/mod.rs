//! The node's own target: admission, connections, exchanges.

mod exchange;
mod pool;
mod serve;

pub use {
    exchange::exchange,
    pool::{Lease, PoolError, PoolTarget, TargetPool},
    serve::serve_local,
};
