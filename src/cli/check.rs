//! `dogwoodctl check`.

use {
    super::{CliError, Exit, Finished},
    crate::conf::{CheckError, Problem, RulesRecord, check_dir},
    serde::Serialize,
    std::{fmt, path::Path},
};

/// What a check found.
#[derive(Debug, Clone, Serialize)]
pub(super) struct CheckReport {
    service_count: usize,
    workspace_count: usize,
    problems: Vec<Problem>,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.problems.is_empty() {
            return write!(
                formatter,
                "{} services and {} workspaces, no problems",
                self.service_count, self.workspace_count
            );
        }
        for problem in &self.problems {
            writeln!(formatter, "{problem}")?;
        }
        write!(
            formatter,
            "{} problem(s); nothing was published",
            self.problems.len()
        )
    }
}

pub(super) fn run(dir: &Path) -> Result<Finished, CliError> {
    match checked(dir)? {
        Ok(rules) => {
            let report = CheckReport {
                service_count: rules.services.len(),
                workspace_count: rules.workspaces.len(),
                problems: Vec::new(),
            };
            Ok(Finished::new(Exit::Done, &report))
        }
        Err(failed) => Ok(failed),
    }
}

/// The rules of a directory, or the report of its problems.
pub(super) fn checked(dir: &Path) -> Result<Result<RulesRecord, Finished>, CliError> {
    match check_dir(dir) {
        Ok(rules) => Ok(Ok(rules)),
        Err(CheckError::Problems(problems)) => {
            let report = CheckReport {
                service_count: 0,
                workspace_count: 0,
                problems,
            };
            Ok(Err(Finished::new(Exit::Failed, &report)))
        }
        Err(error) => Err(error.into()),
    }
}
