//! Collects the files of a directory tree.
//!
//! All `*.toml` files of the directory itself count, and those named
//! `dogwood.toml` in the directories below, where they stand beside a
//! service's code.

use {
    super::{
        check::{Part, check_service, check_workspaces},
        problem::Problem,
        record::RulesRecord,
    },
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// File that lists the workspaces.
pub const WORKSPACES_FILE: &str = "workspaces.toml";
/// Name of service files in the directories below the collected one.
pub const SERVICE_FILE: &str = "dogwood.toml";

const MAX_DEPTH: usize = 8;

/// Files that cannot be published.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A directory or file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// The directory or file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The files have problems.
    #[error("{} problem(s) in the files; nothing was published", .0.len())]
    Problems(Vec<Problem>),
}

/// Reads and checks all files; reports all problems at once.
pub fn check_dir(dir: &Path) -> Result<RulesRecord, CheckError> {
    let mut paths = Vec::new();
    find_files(dir, 0, &mut paths)?;
    paths.sort();
    let mut whole = Part::default();
    let mut problems = Vec::new();
    for path in paths {
        let text = read(&path)?;
        let file = path
            .strip_prefix(dir)
            .unwrap_or(&path)
            .display()
            .to_string();
        let is_workspaces = path.file_name().is_some_and(|name| name == WORKSPACES_FILE);
        let (part, found) = if is_workspaces {
            check_workspaces(&file, &text)
        } else {
            check_service(&file, &text)
        };
        problems.extend(found);
        add(&file, part, &mut whole, &mut problems);
    }
    note_missing(&whole, &problems.clone(), &mut problems);
    if !problems.is_empty() {
        problems.sort();
        return Err(CheckError::Problems(problems));
    }
    whole.services.sort_by(|a, b| a.name.cmp(&b.name));
    whole.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(whole.into_rules())
}

fn add(file: &str, part: Part, whole: &mut Part, problems: &mut Vec<Problem>) {
    for service in part.services {
        let is_known = whole
            .services
            .iter()
            .any(|other| other.name == service.name);
        if is_known && !service.name.is_empty() {
            let message = format!(
                "service {:?} has another file already: keep one",
                service.name
            );
            problems.push(problem(file, 1, "service", message));
        }
        whole.services.push(service);
    }
    whole.workspaces.extend(part.workspaces);
}

fn note_missing(whole: &Part, found: &[Problem], problems: &mut Vec<Problem>) {
    let concerns_workspaces = |problem: &Problem| problem.file.ends_with(WORKSPACES_FILE);
    if whole.workspaces.is_empty() && !found.iter().any(concerns_workspaces) {
        let message = "no workspace: give at least one [[workspace]], or no key can be granted";
        problems.push(problem(WORKSPACES_FILE, 0, "workspace", message.to_owned()));
    }
    if whole.services.is_empty() && found.iter().all(concerns_workspaces) {
        let message = "no service file: give one .toml file for each service";
        problems.push(problem(".", 0, "service", message.to_owned()));
    }
}

fn problem(file: &str, line: usize, field: &str, message: String) -> Problem {
    Problem {
        file: file.to_owned(),
        line,
        field: field.to_owned(),
        message,
    }
}

fn read(path: &Path) -> Result<String, CheckError> {
    fs::read_to_string(path).map_err(|source| unreadable(path, source))
}

fn unreadable(path: &Path, source: io::Error) -> CheckError {
    CheckError::Unreadable {
        path: path.to_owned(),
        source,
    }
}

fn find_files(dir: &Path, depth: usize, paths: &mut Vec<PathBuf>) -> Result<(), CheckError> {
    let entries = fs::read_dir(dir).map_err(|source| unreadable(dir, source))?;
    for entry in entries {
        let path = entry.map_err(|source| unreadable(dir, source))?.path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if path.is_dir() {
            if depth < MAX_DEPTH && !name.starts_with('.') {
                find_files(&path, depth + 1, paths)?;
            }
        } else if name == SERVICE_FILE || depth == 0 && name.ends_with(".toml") {
            paths.push(path);
        }
    }
    Ok(())
}
