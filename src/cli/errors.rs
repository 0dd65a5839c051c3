//! Why a command of `dogwoodctl` could not be carried out.

use {
    crate::{conf::CheckError, control::ControlError, keys::KeysError, platform::PlatformError},
    std::net::SocketAddr,
};

/// A command that failed before it could report on its own.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A flag that the command needs is missing.
    #[error("{flag} is missing: give the flag or its environment variable (see --help)")]
    MissingFlag {
        /// The flag.
        flag: String,
    },
    /// The files cannot be read.
    #[error(transparent)]
    Check(#[from] CheckError),
    /// The platform did not give what is needed.
    #[error("nothing was changed: {0}")]
    Platform(#[from] PlatformError),
    /// The published documents cannot be read.
    #[error("nothing was changed: {0}")]
    Document(#[from] crate::conf::CompileError),
    /// The keys document does not allow the change.
    #[error("nothing was changed: {0}")]
    Keys(#[from] KeysError),
    /// The list of evacuated availability zones cannot be read.
    #[error("nothing was changed: the list of evacuated zones cannot be read: {0}")]
    Evacuations(#[from] serde_json::Error),
    /// The workspace is not in the published configuration.
    #[error("workspace {workspace:?} is not published; published are: {}", known.join(", "))]
    UnknownWorkspace {
        /// As it was given.
        workspace: String,
        /// All published workspaces.
        known: Vec<String>,
    },
    /// No member has this name.
    #[error("no node is named {node:?}; known are: {}", known.join(", "))]
    UnknownNode {
        /// As it was given.
        node: String,
        /// All known nodes.
        known: Vec<String>,
    },
    /// No member has a target of this service.
    #[error(
        "no target announces service {service:?}; known are: {}{}",
        known_or_none(known),
        silent_part(*silent_count)
    )]
    UnknownService {
        /// As it was given.
        service: String,
        /// Services of all known targets.
        known: Vec<String>,
        /// Nodes that did not answer, whose service may be unknown.
        silent_count: usize,
    },
    /// A node could not be asked.
    #[error("{address} {source}")]
    Node {
        /// Its control address.
        address: SocketAddr,
        /// Why.
        source: ControlError,
    },
}

fn known_or_none(known: &[String]) -> String {
    match known.is_empty() {
        true => "none".to_owned(),
        false => known.join(", "),
    }
}

fn silent_part(silent_count: usize) -> String {
    match silent_count {
        0 => String::new(),
        count => format!("; {count} nodes did not answer, see `dogwoodctl status`"),
    }
}
