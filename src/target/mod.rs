//! The local target: send limits, connections and requests.

mod cold_report;
mod connection;
mod departed;
mod exchange;
mod gate;
mod gate_check;
mod health;
mod metered;
mod named_limit;
mod pool;
mod process;
mod registration;
mod rejected_requests;
mod reported_limit;
mod running;
mod serve;

pub use {
    cold_report::ColdReport,
    exchange::{SentRequest, TargetResponse, exchange},
    gate::{GateClosed, Priority, SendGate},
    health::{Health, HealthReport, check_health},
    metered::MeteredBody,
    named_limit::NamedLimit,
    pool::{PoolError, PooledConnection, TargetPool},
    process::{PoolTarget, UNKNOWN_PROCESS_ID},
    registration::{LeaveStart, NoticeStatus, ProcessNotice, Registration},
    reported_limit::{ReportedLimit, ReportedLimits},
    serve::serve_local,
};
