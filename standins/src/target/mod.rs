//! A back-end instance beside a node: slots, cold start, latency, downstream
//! calls, load reports, drain, a journal of executions and injected faults.

mod admin;
mod announce;
mod answer;
mod conf;
mod crossing;
mod downstream;
mod faults;
mod journal;
mod latency;
mod server;
mod slots;

pub use {
    announce::{Announcement, LoadReport},
    answer::{AnswerError, CallResult, WholeAnswer},
    conf::{DownstreamCall, ParseCallError, TargetConf},
    faults::Faults,
    journal::{Entry, EntryState, Journal, JournalError},
    latency::{Latency, ParseLatencyError},
    server::Target,
};

/// Header with the handle of the call, set by the node.
pub const CALL_HANDLE: &str = "dogwood-call";
/// Header with the time that remains until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "dogwood-deadline-ms";
/// Header that names a request in tests; it travels along the chain.
pub const TEST_ID: &str = "x-test-id";
/// Header of an answer to a request whose work was not begun, with the cause.
pub const TARGET_REFUSAL: &str = "target-refusal";
/// Header by which a target tells its node that it did not begin the work.
pub const SHED: &str = "dogwood-shed";
