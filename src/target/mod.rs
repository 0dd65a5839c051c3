//! The node's own target: admission, connections, exchanges.

mod exchange;
mod gate;
mod passage;
mod pool;
mod registration;
mod serve;

pub use {
    exchange::{TargetAnswer, exchange},
    gate::{GateClosed, SendGate, Urgency},
    pool::{Lease, PoolError, PoolTarget, TargetPool},
    registration::{Registration, Standing},
    serve::serve_local,
};
