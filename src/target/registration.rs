//! Tracks which target process is the current one from its heartbeats and leave notices.

use super::departed::DepartedProcesses;

/// How a notice of the target relates to earlier ones.
#[derives::key]
pub enum NoticeStatus {
    /// First notice of a process.
    NewProcess,
    /// Newer notice of the current process.
    Current,
    /// From an earlier process or one that left, or older than a notice already
    /// received; to be ignored.
    Outdated,
}

#[derive(Debug)]
struct Process {
    instance_id: String,
    started_unix_ms: u64,
    sequence: Option<u64>,
    has_left: bool,
}

/// The current target process. Pure state: performs no I/O and reads no clock.
///
/// A notice delayed by a partition may arrive after its process has been replaced.
/// Accepting it would direct requests to a process that no longer exists and drop
/// the connections to the current one.
#[derive(Debug, Default)]
pub struct Registration {
    current: Option<Process>,
    departed: DepartedProcesses,
}

impl Registration {
    /// Creates a registration without a process.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            current: None,
            departed: DepartedProcesses::new(),
        }
    }

    /// Records a heartbeat of a process.
    pub fn record_heartbeat(
        &mut self,
        instance_id: &str,
        started_unix_ms: u64,
        sequence: Option<u64>,
        now_us: u64,
    ) -> NoticeStatus {
        if self.departed.contains(instance_id, started_unix_ms, now_us) {
            return NoticeStatus::Outdated;
        }
        let status = self.classify(instance_id, started_unix_ms, sequence);
        match (status, &mut self.current) {
            (NoticeStatus::NewProcess, current) => {
                *current = Some(Process {
                    instance_id: instance_id.to_owned(),
                    started_unix_ms,
                    sequence,
                    has_left: false,
                });
            }
            (NoticeStatus::Current, Some(process)) => process.sequence = sequence,
            (NoticeStatus::Current, None) | (NoticeStatus::Outdated, _) => {}
        }
        status
    }

    /// Records that a process shuts down for good; returns whether it is the current one.
    ///
    /// The leave of an unknown process is kept too: its heartbeats may still be on their way.
    pub fn record_leave(
        &mut self,
        instance_id: &str,
        started_unix_ms: Option<u64>,
        now_us: u64,
    ) -> bool {
        let started_unix_ms = started_unix_ms.unwrap_or(0);
        let current = self.current.as_mut().filter(|process| {
            let has_same_start = started_unix_ms == 0
                || process.started_unix_ms == 0
                || started_unix_ms == process.started_unix_ms;
            process.instance_id == instance_id && has_same_start
        });
        let Some(process) = current else {
            self.departed.insert(instance_id, started_unix_ms, now_us);
            return false;
        };
        process.has_left = true;
        true
    }

    fn classify(
        &self,
        instance_id: &str,
        started_unix_ms: u64,
        sequence: Option<u64>,
    ) -> NoticeStatus {
        let Some(process) = &self.current else {
            return NoticeStatus::NewProcess;
        };
        let is_same_process =
            process.instance_id == instance_id && process.started_unix_ms == started_unix_ms;
        if !is_same_process {
            return match started_unix_ms < process.started_unix_ms {
                true => NoticeStatus::Outdated,
                false => NoticeStatus::NewProcess,
            };
        }
        let is_out_of_order = match (sequence, process.sequence) {
            (Some(sequence), Some(last_sequence)) => sequence <= last_sequence,
            _ => false,
        };
        match is_out_of_order || process.has_left {
            true => NoticeStatus::Outdated,
            false => NoticeStatus::Current,
        }
    }
}
