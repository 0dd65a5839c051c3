//! Quarantine of requests that crash the targets that run them.
//!
//! The node beside a target records which requests ran when it crashed. Nodes exchange these
//! reports, so that a request is recognised at any node and after any target. A request that
//! ran at several crashes and never completed is refused without reaching a target.
//!
//! `CrashWatch`, `SuspectTable` and `ReportQueue` are pure state: they perform no I/O and read
//! no clock.

mod check;
mod crash_watch;
mod digest;
mod exchange;
mod report_queue;
mod reports;
mod state;
mod suspects;

pub use {
    check::{
        IdentifiedRequest, check_quarantine, enter_target, is_end_planned, record_completed,
        record_lost,
    },
    crash_watch::{Crash, CrashWatch, MAX_LOST_COUNT},
    digest::RequestDigest,
    exchange::exchange_reports,
    report_queue::{ReportQueue, TRAFFIC_BYTES_PER_S},
    reports::{Completion, CrashKey, CrashReport, MAX_PACKET_BYTES, ReportPacket},
    state::Quarantine,
    suspects::{
        CRASH_LIMIT, MAX_SUSPECT_COUNT, QUARANTINE_MS, SUSPICION_MS, SuspectTable, Verdict,
    },
};
