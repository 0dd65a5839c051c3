//! Where the programs are.

use {
    crate::LabError,
    std::{
        env,
        path::{Path, PathBuf},
    },
};

/// Directory with other builds of the programs, to compare them.
pub const BINARY_DIR_VARIABLE: &str = "DOGWOOD_BIN_DIR";

/// Directory in which cargo puts the programs of this build.
pub fn build_dir() -> Result<PathBuf, LabError> {
    let own = env::current_exe().map_err(LabError::io("path of this program"))?;
    let dir = own.parent().unwrap_or(Path::new("."));
    // Test binaries lie in a directory below.
    if dir.ends_with("deps") {
        Ok(dir.parent().unwrap_or(dir).to_path_buf())
    } else {
        Ok(dir.to_path_buf())
    }
}

/// Path of a program: from the directory that the environment names, if it is
/// there, else beside this program.
pub fn binary(name: &str) -> Result<PathBuf, LabError> {
    if let Some(dir) = env::var_os(BINARY_DIR_VARIABLE) {
        let path = PathBuf::from(dir).join(name);
        if path.is_file() {
            return Ok(path);
        }
    }
    let path = build_dir()?.join(name);
    if path.is_file() {
        Ok(path)
    } else {
        Err(LabError::MissingBinary { path })
    }
}
