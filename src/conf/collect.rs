//! Finds and checks the configuration files of a directory tree.
//!
//! Reads every `*.toml` file in the directory itself, and files named
//! `dogwood.toml` in its subdirectories, where services keep them next to
//! their code.

use {
    super::{
        check::{FileRules, check_service, check_workspaces},
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
/// Name of service files in subdirectories.
pub const SERVICE_FILE: &str = "dogwood.toml";

/// Subdirectories are searched down to this depth.
const MAX_DEPTH: usize = 8;

/// Why the files cannot be published.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A directory or file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// The directory or file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The files have these problems.
    #[error("{} problem(s) in the files; nothing was published", .0.len())]
    Problems(Vec<Problem>),
}

/// Reads and checks all files. An error lists all problems, sorted by file and line.
pub fn check_dir(dir: &Path) -> Result<RulesRecord, CheckError> {
    let mut paths = Vec::new();
    find_files(dir, 0, &mut paths)?;
    paths.sort();
    let mut all_rules = FileRules::default();
    let mut problems = Vec::new();
    for path in paths {
        let text = read_file(&path)?;
        let file = path
            .strip_prefix(dir)
            .unwrap_or(&path)
            .display()
            .to_string();
        let is_workspaces_file = path.file_name().is_some_and(|name| name == WORKSPACES_FILE);
        let (file_rules, file_problems) = if is_workspaces_file {
            check_workspaces(&file, &text)
        } else {
            check_service(&file, &text)
        };
        problems.extend(file_problems);
        add_file_rules(&file, file_rules, &mut all_rules, &mut problems);
    }
    report_missing_files(&all_rules, &problems.clone(), &mut problems);
    if !problems.is_empty() {
        problems.sort();
        return Err(CheckError::Problems(problems));
    }
    all_rules.services.sort_by(|a, b| a.name.cmp(&b.name));
    all_rules.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(all_rules.into_rules())
}

fn add_file_rules(
    file: &str,
    file_rules: FileRules,
    all_rules: &mut FileRules,
    problems: &mut Vec<Problem>,
) {
    for service in file_rules.services {
        let is_defined = all_rules
            .services
            .iter()
            .any(|other| other.name == service.name);
        if is_defined && !service.name.is_empty() {
            let message = format!(
                "service {:?} is already defined in another file: keep one",
                service.name
            );
            problems.push(new_problem(file, 1, "service", message));
        }
        all_rules.services.push(service);
    }
    all_rules.workspaces.extend(file_rules.workspaces);
}

fn report_missing_files(
    all_rules: &FileRules,
    file_problems: &[Problem],
    problems: &mut Vec<Problem>,
) {
    let is_in_workspaces_file = |problem: &Problem| problem.file.ends_with(WORKSPACES_FILE);
    if all_rules.workspaces.is_empty() && !file_problems.iter().any(is_in_workspaces_file) {
        let message = "no workspace: add at least one [[workspace]], or no key can be granted";
        problems.push(new_problem(
            WORKSPACES_FILE,
            0,
            "workspace",
            message.to_owned(),
        ));
    }
    if all_rules.services.is_empty() && file_problems.iter().all(is_in_workspaces_file) {
        let message = "no service file: add one .toml file per service";
        problems.push(new_problem(".", 0, "service", message.to_owned()));
    }
}

fn new_problem(file: &str, line: usize, field: &str, message: String) -> Problem {
    Problem {
        file: file.to_owned(),
        line,
        field: field.to_owned(),
        message,
    }
}

fn read_file(path: &Path) -> Result<String, CheckError> {
    fs::read_to_string(path).map_err(|source| unreadable_error(path, source))
}

fn unreadable_error(path: &Path, source: io::Error) -> CheckError {
    CheckError::Unreadable {
        path: path.to_owned(),
        source,
    }
}

fn find_files(dir: &Path, depth: usize, paths: &mut Vec<PathBuf>) -> Result<(), CheckError> {
    let entries = fs::read_dir(dir).map_err(|source| unreadable_error(dir, source))?;
    for entry in entries {
        let path = entry
            .map_err(|source| unreadable_error(dir, source))?
            .path();
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
