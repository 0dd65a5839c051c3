//! Results and errors of calls to the platform.

use std::io;

/// An object as returned by a read.
#[derives::value]
#[derive(Eq)]
pub struct Object {
    /// Version; 0 if the object does not exist.
    pub version: u64,
    /// Content; empty if the object does not exist.
    pub content: Vec<u8>,
}

/// Result of a conditional write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The write took effect; the new version.
    Written(u64),
    /// The write had no effect; the current version.
    Conflict(u64),
    /// The write had no effect, for another reason.
    Refused(PlatformError),
    /// No usable response: the write may have taken effect, or may do so later.
    Unknown(PlatformError),
}

/// Result of a wait for a higher version.
#[derives::value]
#[derive(Eq)]
pub enum WatchResult {
    /// The object has a higher version.
    Changed(Object),
    /// No higher version appeared within the wait.
    Unchanged,
}

/// Error of a failed call to the platform.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The connection could not be opened: the request was not sent.
    #[error("cannot connect to the platform: {0}")]
    Unreachable(io::Error),
    /// The connection failed during the exchange.
    #[error("the exchange with the platform broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The request could not be built.
    #[error("the request to the platform is not valid HTTP: {0}")]
    BadRequest(#[from] hyper::http::Error),
    /// No response within the timeout.
    #[error("the platform did not respond within {limit_ms} ms")]
    TimedOut {
        /// Timeout of the call, in milliseconds.
        limit_ms: u64,
    },
    /// The object is larger than the platform accepts.
    #[error("the object has {byte_count} bytes, more than the platform accepts")]
    TooLarge {
        /// Size of the object, in bytes.
        byte_count: usize,
    },
    /// Unexpected HTTP status.
    #[error("the platform responded with unexpected status {status}")]
    Status {
        /// HTTP status code.
        status: u16,
    },
    /// Reads remain older than a version that the platform has reported.
    #[error("the platform's reads remain older than version {version}")]
    Stale {
        /// The reported version.
        version: u64,
    },
    /// The response has no valid `object-version` header.
    #[error("the platform's response has no valid object-version header")]
    NoVersion,
    /// The response body is larger than any object, or incomplete.
    #[error("the platform's response body is too large or incomplete")]
    BadBody,
}
