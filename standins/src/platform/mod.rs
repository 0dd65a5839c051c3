//! The platform's object API: versions, conditional updates, long-poll
//! watches, counted calls and injected faults.

mod calls;
mod faults;
mod server;
mod store;

pub use {
    calls::{CallCounts, CallKind},
    faults::Faults,
    server::{IF_VERSION, MAX_VALUE_BYTES, OBJECT_VERSION, Platform},
    store::{Object, Store, VersionConflict},
};
