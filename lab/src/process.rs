//! Processes that the lab starts.

use {
    crate::{
        LabError,
        usage::Usage,
        wait::{GENEROUS_LIMIT, wait_until},
    },
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, OpenOptions},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        time::Duration,
    },
};

/// State of a thread in `/proc` after SIGSTOP.
const STOPPED_STATE: char = 'T';

const LOG_TAIL_BYTES: usize = 2000;

/// A process of the mesh; killed when dropped.
///
/// stdout and stderr go to one file, which a restart goes on with.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log_path: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program.
    pub fn new(
        name: String,
        program: PathBuf,
        arguments: Vec<String>,
        log_path: PathBuf,
    ) -> Result<Self, LabError> {
        let child = spawn(&program, &arguments, &log_path)?;
        Ok(Self {
            name,
            program,
            arguments,
            log_path,
            child,
        })
    }

    /// Name in messages and of the log.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills it if it still runs, then starts it anew.
    pub fn restart(&mut self) -> Result<(), LabError> {
        self.kill();
        self.child = spawn(&self.program, &self.arguments, &self.log_path)?;
        Ok(())
    }

    /// SIGKILL; returns when it is gone.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// SIGTERM: a planned stop.
    pub fn terminate(&mut self) -> Result<(), LabError> {
        self.signal(Signal::TERM)
    }

    /// SIGSTOP: the process stands still and notices nothing.
    ///
    /// Threads that run at the signal go on for a moment, in which a request
    /// could still be answered and a test would see no pause. This returns
    /// only when all of them stand still.
    pub async fn pause(&mut self) -> Result<(), LabError> {
        self.signal(Signal::STOP)?;
        let pid = self.pid();
        let what = format!("{} stands still", self.name);
        wait_until(&what, GENEROUS_LIMIT, || async move {
            is_stopped(pid).then_some(())
        })
        .await
    }

    /// SIGCONT after a pause.
    pub fn resume(&mut self) -> Result<(), LabError> {
        self.signal(Signal::CONT)
    }

    /// Whether it runs, or is paused.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus, LabError> {
        let what = format!("{} ends", self.name);
        let child = std::sync::Mutex::new(&mut self.child);
        wait_until(&what, limit, || {
            let status = child
                .lock()
                .ok()
                .and_then(|mut child| child.try_wait().ok());
            async move { status.flatten() }
        })
        .await
    }

    /// Memory and processor time up to now.
    pub fn usage(&self) -> Result<Usage, LabError> {
        Usage::of(self.pid())
    }

    /// All that it has printed.
    #[must_use]
    pub fn log(&self) -> String {
        let log = fs::read(&self.log_path).unwrap_or_default();
        String::from_utf8_lossy(&log).into_owned()
    }

    /// An error if the process has ended.
    pub fn check_running(&mut self) -> Result<(), LabError> {
        if self.is_running() {
            return Ok(());
        }
        let log = self.log();
        let start = log.len().saturating_sub(LOG_TAIL_BYTES);
        let start = (start..log.len()).find(|index| log.is_char_boundary(*index));
        Err(LabError::EndedEarly {
            name: self.name.clone(),
            log: log[start.unwrap_or(0)..].to_owned(),
        })
    }

    // The child has not been waited for, so its id cannot have gone to a
    // process of someone else.
    fn signal(&mut self, signal: Signal) -> Result<(), LabError> {
        self.check_running()?;
        let what = format!("signal to {}", self.name);
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(|error| LabError::io(what)(error.into()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether all threads are stopped by a signal.
fn is_stopped(pid: u32) -> bool {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return false;
    };
    threads.flatten().all(|thread| {
        let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        let fields = stat.rsplit_once(") ").map(|(_, fields)| fields);
        fields.is_some_and(|fields| fields.starts_with(STOPPED_STATE))
    })
}

fn spawn(program: &PathBuf, arguments: &[String], log_path: &PathBuf) -> Result<Child, LabError> {
    let open = || OpenOptions::new().create(true).append(true).open(log_path);
    let log = open().map_err(LabError::io(log_path.display().to_string()))?;
    let error_log = log.try_clone().map_err(LabError::io("log"))?;
    Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(error_log)
        .spawn()
        .map_err(LabError::io(program.display().to_string()))
}
