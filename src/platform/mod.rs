//! Client of the platform's object API.
//!
//! `GET /objects/NAME` reads, `PUT /objects/NAME` with `if-version` writes on
//! a condition, `GET /objects/NAME?watch=1&above=N&wait_ms=M` waits for a
//! higher version. Plain reads may be older than what was read before; the
//! version named by a refused write is the current one.

mod client;
mod exchange;
mod origin;
mod outcome;

pub use {
    client::{CallCounts, MAX_OBJECT_BYTES, Platform},
    outcome::{Object, PlatformError, Watched, Write},
};
