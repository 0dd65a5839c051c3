//! Stand-ins of the platform, its clients and its endpoints, and the cases that use them.
//!
//! `standins CASE FOLDER` plays a case beside real nodes and writes `record.txt` into the folder.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod cold_again;
mod deployment;
mod endpoint;
mod http;
mod json;
mod large_body;
mod late_beats;
mod late_copy;
mod node;
mod quota_after_crash;
mod random;
mod record;
mod store;

use {
    record::Record,
    std::{
        env,
        path::{Path, PathBuf},
        process::ExitCode,
        sync::Arc,
        time::Duration,
    },
};

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What a case works with.
pub struct Stage {
    pub record: Arc<Record>,
    /// A temporary folder for settings and logs of nodes.
    pub directory: PathBuf,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    match play(case, Path::new(folder)) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::CouldNotRun(why)) => {
            eprintln!("could not run: {why}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, folder: &Path) -> std::io::Result<Verdict> {
    let directory = env::temp_dir().join(format!("dogwood-review-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    node::abort_after(TIME_LIMIT);
    let stage = Stage {
        record: Arc::new(Record::create(&folder.join("record.txt"))?),
        directory,
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case {
        "cold-again" => cold_again::play(&stage),
        "late-copy" => late_copy::play(&stage),
        "quota-after-crash" => quota_after_crash::play(&stage),
        "late-beats" => late_beats::play(&stage),
        "large-body" => large_body::play(&stage),
        _ => Ok(Verdict::CouldNotRun(format!("no case is named {case}"))),
    };
    match env::var_os("KEEP_LOGS") {
        Some(_) => println!("logs: {}", stage.directory.display()),
        None => std::fs::remove_dir_all(&stage.directory)?,
    }
    verdict
}
