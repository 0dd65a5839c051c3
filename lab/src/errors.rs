//! What can go wrong in the lab itself.

use std::{io, net::SocketAddr, path::PathBuf, time::Duration};

/// A failure of the lab, as opposed to one of what it examines.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A program has not been built.
    #[error("{} is missing: run cargo build --workspace --bins first", path.display())]
    MissingBinary {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// A file or process could not be worked with.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// Why it failed.
        source: io::Error,
    },
    /// No block of addresses is free.
    #[error("no free block of loopback addresses")]
    NoFreeBlock,
    /// A condition did not come true.
    #[error("not within {limit:?}: {what}")]
    Timeout {
        /// The condition.
        what: String,
        /// How long it was waited for.
        limit: Duration,
    },
    /// An admin call failed.
    #[error("{method} http://{address}{path}: {message}")]
    Admin {
        /// Method.
        method: String,
        /// Address.
        address: SocketAddr,
        /// Path.
        path: String,
        /// What came instead.
        message: String,
    },
    /// `dogwoodctl` did not do what it was asked to.
    #[error("dogwoodctl {arguments} ended with {code:?}: {output}")]
    Ctl {
        /// Its arguments.
        arguments: String,
        /// Its exit code.
        code: Option<i32>,
        /// What it printed.
        output: String,
    },
    /// A request cannot be formed.
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
    /// A process ended before it was ready.
    #[error("{name} ended early; its log ends with:\n{log}")]
    EndedEarly {
        /// The process.
        name: String,
        /// The end of its log.
        log: String,
    },
    /// A scenario cannot be run.
    #[error("scenario: {message}")]
    Scenario {
        /// What is wrong with it.
        message: String,
    },
}

impl LabError {
    /// For `map_err` on calls of the operating system.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |source| Self::Io { what, source }
    }
}
