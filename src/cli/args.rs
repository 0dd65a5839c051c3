//! Flags of `dogwoodctl`.

use {
    super::{CliError, Fleet},
    crate::{keys::KeyDigest, model::Class, platform::Platform},
    clap::{Parser, Subcommand, ValueEnum},
    clap_complete::Shell,
    std::{net::SocketAddr, path::PathBuf},
};

/// Publish configuration, grant and revoke keys, look at the fleet
#[derive(Debug, Clone, Parser)]
#[command(name = "dogwoodctl", version)]
pub struct Args {
    /// Control addresses of some nodes, separated by commas; the others are found through them
    #[arg(long, env = "DOGWOOD_NODES", value_delimiter = ',', global = true)]
    pub nodes: Vec<SocketAddr>,
    /// Secret that operators present
    #[arg(
        long,
        env = "DOGWOOD_OPERATOR_SECRET",
        hide_env_values = true,
        global = true
    )]
    pub operator_secret: Option<String>,
    /// Address of the platform's object API
    #[arg(long, env = "DOGWOOD_PLATFORM", global = true)]
    pub platform: Option<SocketAddr>,
    /// Longest time that one call of the platform may take, in milliseconds
    #[arg(
        long,
        env = "DOGWOOD_PLATFORM_LIMIT_MS",
        default_value_t = 5_000,
        global = true
    )]
    pub platform_limit_ms: u64,
    /// Form of the output
    #[arg(long, value_enum, default_value = "text", global = true)]
    pub output: OutputFormat,
    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// Form of the output.
#[derives::key]
#[derive(ValueEnum)]
pub enum OutputFormat {
    /// For people.
    Text,
    /// One JSON object.
    Json,
}

/// What `dogwoodctl` does.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Check the files of a directory and report all problems
    Check {
        /// Directory with the service files and workspaces.toml
        dir: PathBuf,
    },
    /// Check the files of a directory, then put them into force as one revision
    Publish(PublishArgs),
    /// Create, grant and revoke keys
    Key {
        /// What to do with keys
        #[command(subcommand)]
        command: KeyCommand,
    },
    /// Show what is in force in each availability zone, nodes, targets, platform
    Status,
    /// Show load, supply and refused requests of each service
    Room(RoomArgs),
    /// Send no more work to the targets of an availability zone, until it is taken back
    Evacuate(EvacuateArgs),
    /// Let a node end its running work and leave
    Drain {
        /// Name of the node, or its control address
        node: String,
    },
    /// Show why a request would be admitted or refused
    Explain(ExplainArgs),
    /// Print a page of the documentation that is made from the code
    Reference {
        /// The page
        page: Page,
    },
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Pages of the documentation that are made from the code.
#[derives::key]
#[derive(ValueEnum)]
pub enum Page {
    /// Numbered log events.
    Events,
    /// Settings of dogwoodd.
    Settings,
}

/// Flags of `publish`.
#[derive(Debug, Clone, clap::Args)]
pub struct PublishArgs {
    /// Directory with the service files and workspaces.toml
    pub dir: PathBuf,
    /// Who publishes; shown to whoever loses a race against this publication
    #[arg(long, env = "DOGWOOD_PUBLISHER", default_value = "operator")]
    pub publisher: String,
    /// Publish only if this version is in force, such as one seen in `status`
    #[arg(long)]
    pub if_version: Option<u64>,
    /// Longest wait until the revision is in force on all reachable nodes, in milliseconds
    #[arg(long, default_value_t = 10_000)]
    pub wait_ms: u64,
}

/// Flags of `room`.
#[derive(Debug, Clone, clap::Args)]
pub struct RoomArgs {
    /// The service to show; all by default
    pub service: Option<String>,
}

/// Flags of `evacuate`.
#[derive(Debug, Clone, clap::Args)]
pub struct EvacuateArgs {
    /// Name of the availability zone, as its nodes tell it
    pub zone: String,
    /// Take the evacuation back: the zone's targets get work again, as cold ones
    #[arg(long)]
    pub take_back: bool,
}

/// What to do with keys.
#[derive(Debug, Clone, Subcommand)]
pub enum KeyCommand {
    /// Make a new key, grant it and print it once
    Create {
        /// Workspace that it stands for
        #[arg(long)]
        workspace: String,
    },
    /// Grant a key that exists elsewhere, by its digest
    Grant {
        /// Workspace that it stands for
        #[arg(long)]
        workspace: String,
        /// SHA-256 of the key, 64 hexadecimal digits
        #[arg(long)]
        digest: KeyDigest,
    },
    /// Revoke a key for good, through the platform and on all nodes directly
    Revoke(KeyChoice),
}

/// A key, or its digest.
#[derive(Debug, Clone, clap::Args)]
#[group(required = true, multiple = false)]
pub struct KeyChoice {
    /// The key itself; it does not leave this machine
    #[arg(long)]
    pub key: Option<String>,
    /// SHA-256 of the key, 64 hexadecimal digits
    #[arg(long)]
    pub digest: Option<KeyDigest>,
}

impl KeyChoice {
    /// Digest of the chosen key.
    #[must_use]
    pub fn digest(&self) -> Option<KeyDigest> {
        let of_key = self.key.as_deref().map(KeyDigest::of_key);
        self.digest.or(of_key)
    }
}

/// Flags of `explain`.
#[derive(Debug, Clone, clap::Args)]
pub struct ExplainArgs {
    /// Node to ask, by name or control address; the first of --nodes by default
    #[arg(long)]
    pub node: Option<String>,
    /// Service that the request calls
    #[arg(long)]
    pub service: String,
    /// Method of the request
    #[arg(long, default_value = "GET")]
    pub method: String,
    /// Path below the service
    #[arg(long, default_value = "/")]
    pub path: String,
    /// Key of the request; only its digest leaves this machine
    #[arg(long, conflicts_with_all = ["digest", "workspace"])]
    pub key: Option<String>,
    /// Digest of the request's key
    #[arg(long, conflicts_with = "workspace")]
    pub digest: Option<KeyDigest>,
    /// Workspace, when no key is at hand
    #[arg(long)]
    pub workspace: Option<String>,
    /// Class instead of the route's one
    #[arg(long)]
    pub class: Option<Class>,
}

impl Args {
    /// Client of the platform.
    pub fn platform(&self) -> Result<Platform, CliError> {
        let address = self.platform.ok_or(CliError::MissingFlag {
            flag: "--platform".to_owned(),
        })?;
        Ok(Platform::new(address).with_call_timeout_ms(self.platform_limit_ms))
    }

    /// The nodes, if any are named.
    pub fn fleet_if_named(&self) -> Result<Option<Fleet>, CliError> {
        if self.nodes.is_empty() {
            return Ok(None);
        }
        self.fleet().map(Some)
    }

    /// The nodes.
    pub fn fleet(&self) -> Result<Fleet, CliError> {
        if self.nodes.is_empty() {
            return Err(CliError::MissingFlag {
                flag: "--nodes".to_owned(),
            });
        }
        let secret = self.operator_secret.clone();
        let secret = secret.ok_or(CliError::MissingFlag {
            flag: "--operator-secret".to_owned(),
        })?;
        Ok(Fleet::new(self.nodes.clone(), secret))
    }
}
