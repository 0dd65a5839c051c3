//! Names of the tests in the sources.

use {
    crate::LabError,
    std::{collections::BTreeSet, fs, path::Path},
};

/// Directories of integration tests and what stands before their names.
const DIRECTORIES: [(&str, &str); 3] = [
    ("tests", ""),
    ("lab/tests", "lab/"),
    ("standins/tests", "standins/"),
];

/// All integration tests below the root, such as `datapath::a_drain` of
/// `tests/datapath.rs` and `lab/keys::a_drain` of `lab/tests/keys.rs`.
/// Ignored ones are left out, since they prove nothing.
pub fn scan_tests(root: &Path) -> Result<BTreeSet<String>, LabError> {
    let mut names = BTreeSet::new();
    for (directory, prefix) in DIRECTORIES {
        let directory = root.join(directory);
        let failed = || LabError::io(directory.display().to_string());
        for file in fs::read_dir(&directory).map_err(failed())? {
            let path = file.map_err(failed())?.path();
            if path.extension().is_none_or(|extension| extension != "rs") {
                continue;
            }
            let stem = path.file_stem().unwrap_or_default().to_string_lossy();
            let text = fs::read_to_string(&path).map_err(failed())?;
            let functions = test_functions(&text).into_iter();
            names.extend(functions.map(|function| format!("{prefix}{stem}::{function}")));
        }
    }
    Ok(names)
}

fn test_functions(source: &str) -> Vec<&str> {
    let mut functions = Vec::new();
    let mut is_test = false;
    for line in source.lines().map(str::trim) {
        if line.starts_with("#[test]") || line.starts_with("#[tokio::test") {
            is_test = true;
        } else if line.starts_with("#[ignore") {
            is_test = false;
        } else if let Some(name) = function_name(line) {
            if is_test {
                functions.push(name);
            }
            is_test = false;
        }
    }
    functions
}

fn function_name(line: &str) -> Option<&str> {
    let line = line.strip_prefix("async ").unwrap_or(line);
    let (name, _) = line.strip_prefix("fn ")?.split_once('(')?;
    Some(name)
}
