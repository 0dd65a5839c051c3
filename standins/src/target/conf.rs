//! Settings of a target.

use {
    super::Latency,
    clap::Parser,
    std::{net::SocketAddr, path::PathBuf, str::FromStr},
};

/// Stand-in for a back-end instance beside a node
#[derive(Debug, Clone, Parser)]
#[command(name = "target", version)]
pub struct TargetConf {
    /// Name of the service
    #[arg(long)]
    pub service: String,
    /// Address for requests from the node
    #[arg(long)]
    pub listen: SocketAddr,
    /// Address of the journal and of the faults
    #[arg(long)]
    pub admin: SocketAddr,
    /// Egress address of the instance's node; without it nothing is announced
    #[arg(long)]
    pub egress: Option<SocketAddr>,
    /// Requests that are worked on at a time
    #[arg(long, default_value_t = 100)]
    pub slots: usize,
    /// Connections at a time; further ones are closed at once
    #[arg(long, default_value_t = 1000)]
    pub connections: usize,
    /// Time after the start in which work takes --cold-factor times as long
    #[arg(long, default_value_t = 0)]
    pub cold_start_ms: u64,
    /// How much longer work takes during the cold start
    #[arg(long, default_value_t = 3.0)]
    pub cold_factor: f64,
    /// Time after the start at which the machine slows down
    #[arg(long, default_value_t = 0)]
    pub slow_after_ms: u64,
    /// Time for which the machine is slow; 0 if it never is
    #[arg(long, default_value_t = 0)]
    pub slow_for_ms: u64,
    /// How much longer work takes while the machine is slow
    #[arg(long, default_value_t = 2.5)]
    pub slow_factor: f64,
    /// Service time: fixed:MS, uniform:LOW:HIGH or lognormal:MEDIAN:SIGMA
    #[arg(long, default_value = "fixed:5")]
    pub latency: Latency,
    /// Requests that may wait for a slot; unbounded if not given
    #[arg(long)]
    pub queue_length: Option<usize>,
    /// Age of the load that is reported
    #[arg(long, default_value_t = 0)]
    pub load_report_lag_ms: u64,
    /// Busy ratio that is reported in place of the true one
    #[arg(long)]
    pub lie_busy_ratio: Option<f64>,
    /// Work time in percent that is reported in place of the true one
    #[arg(long)]
    pub lie_work_time_percent: Option<f64>,
    /// Report no work time
    #[arg(long)]
    pub hide_work_time: bool,
    /// Calls that each request makes through the node, such as
    /// "POST /pricing/price,GET /cards/x"; method * repeats the request's own
    #[arg(long, value_delimiter = ',')]
    pub calls: Vec<DownstreamCall>,
    /// Padding in each answer
    #[arg(long, default_value_t = 0)]
    pub answer_bytes: usize,
    /// Time after the drain was announced in which requests are still taken
    #[arg(long, default_value_t = 3000)]
    pub drain_grace_ms: u64,
    /// Longest time that running work gets to end after SIGTERM
    #[arg(long, default_value_t = 30_000)]
    pub drain_limit_ms: u64,
    /// File to which each change of the journal is appended as a JSON line,
    /// so that the journal outlives the process
    #[arg(long)]
    pub journal_file: Option<PathBuf>,
}

/// A call that a target makes while it works on a request.
#[derives::value]
#[derive(Eq)]
pub struct DownstreamCall {
    /// HTTP method; `None` repeats the method of the request.
    pub method: Option<String>,
    /// Path, which begins with the service.
    pub path: String,
}

/// A downstream call that is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?}: expected a method and a path, such as \"GET /pricing/price\"")]
pub struct ParseCallError {
    /// The text as it was given.
    pub text: String,
}

impl FromStr for DownstreamCall {
    type Err = ParseCallError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseCallError {
            text: text.to_owned(),
        };
        let (method, path) = text.trim().split_once(' ').ok_or_else(malformed)?;
        if !path.starts_with('/') || method.is_empty() {
            return Err(malformed());
        }
        Ok(Self {
            method: (method != "*").then(|| method.to_owned()),
            path: path.to_owned(),
        })
    }
}
