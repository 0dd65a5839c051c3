//! Target processes that left before the node knew them.

/// Processes that are remembered; one instance has few in the time for which notices are late.
const MAX_PROCESS_COUNT: usize = 16;
/// Time for which a leave without a start time is kept. The instance may start again under its
/// id, and the two processes cannot be told apart.
const UNDATED_RETENTION_US: u64 = 10_000_000;

#[derive(Debug)]
struct Departed {
    instance_id: String,
    started_unix_ms: u64,
    recorded_us: u64,
}

/// The last processes whose leave notice arrived before any heartbeat. Pure state: performs no
/// I/O and reads no clock.
#[derive(Debug, Default)]
pub struct DepartedProcesses {
    /// Oldest first.
    processes: Vec<Departed>,
}

impl DepartedProcesses {
    /// No processes.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            processes: Vec::new(),
        }
    }

    /// Adds a process; `started_unix_ms` is 0 if the notice does not tell its start.
    pub fn insert(&mut self, instance_id: &str, started_unix_ms: u64, now_us: u64) {
        self.processes.retain(|process| {
            process.instance_id != instance_id || process.started_unix_ms != started_unix_ms
        });
        self.processes.push(Departed {
            instance_id: instance_id.to_owned(),
            started_unix_ms,
            recorded_us: now_us,
        });
        if self.processes.len() > MAX_PROCESS_COUNT {
            self.processes.remove(0);
        }
    }

    /// Whether this process has left.
    #[must_use]
    pub fn contains(&self, instance_id: &str, started_unix_ms: u64, now_us: u64) -> bool {
        self.processes.iter().any(|process| {
            let is_dated = process.started_unix_ms != 0 && started_unix_ms != 0;
            let has_left = match is_dated {
                true => process.started_unix_ms == started_unix_ms,
                false => now_us.saturating_sub(process.recorded_us) < UNDATED_RETENTION_US,
            };
            process.instance_id == instance_id && has_left
        })
    }
}
