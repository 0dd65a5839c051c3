//! The local target: send limits, connections and requests.

mod exchange;
mod gate;
mod gate_check;
mod pool;
mod registration;
mod serve;

pub use {
    exchange::{TargetResponse, exchange},
    gate::{GateClosed, Priority, SendGate},
    pool::{PoolError, PoolTarget, PooledConnection, TargetPool},
    registration::{NoticeStatus, Registration},
    serve::serve_local,
};
