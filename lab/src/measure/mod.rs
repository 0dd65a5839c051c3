//! What a run shows: the four measures over time, and checks of what must
//! always hold.

mod checks;
mod evidence;
mod overload;
mod quota;
mod recovery;
mod result;
mod series;
mod workspaces;

pub use {
    checks::Checks,
    evidence::{Evidence, Execution, parse_journal, read_journals},
    overload::OverloadResult,
    quota::{AdmissionSpan, RateLimit, TokenBucket, proven_excess, window_excess},
    recovery::recovery_s,
    result::{LoadResult, ScenarioResult},
    series::Second,
    workspaces::WorkspaceResult,
};
