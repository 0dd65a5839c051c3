//! Client of the platform's object API.
//!
//! `GET /objects/NAME` reads, `PUT /objects/NAME` with `if-version` writes
//! conditionally, `GET /objects/NAME?watch=1&above=N&wait_ms=M` waits for a
//! higher version. Plain reads may be stale and older than an earlier read; the
//! version in the response to a refused write is current.

mod client;
mod exchange;
mod origin;
mod outcome;

pub use {
    client::{CallCounts, MAX_OBJECT_BYTES, Platform},
    outcome::{Object, PlatformError, WatchResult, WriteOutcome},
};
