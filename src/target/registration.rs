//! Tracks which target process is the current one, and whether it leaves, from its heartbeats
//! and leave notices.

use super::{Health, departed::DepartedProcesses};

/// Sequences of heartbeats start at this number at most.
const FIRST_SEQUENCE: u64 = 1;

/// How a notice of the target relates to earlier ones.
#[derives::key]
pub enum NoticeStatus {
    /// First notice of a process.
    NewProcess,
    /// Newer notice of the current process.
    Current,
    /// First notice of a process that is older than the node's. It may have been sent before a
    /// leave that an earlier process of the node acknowledged; to be applied only once another
    /// source confirms that the target does not leave.
    Unconfirmed,
    /// Notice of such a process while it is being checked; nothing is to be done.
    InCheck,
    /// From an earlier process or one that left, or older than a notice already
    /// received; to be ignored.
    Outdated,
}

/// Since when a target process leaves.
#[derives::key]
pub enum LeaveStart {
    /// The first notice of it arrived at this time of the node's timer, in microseconds.
    NoticedUs(u64),
    /// The first notice of the process that this node got already said so: an earlier process of
    /// the node may have acknowledged it at any time before.
    BeforeNode,
}

/// A heartbeat as far as it concerns the process that sent it.
#[derive(Debug, Clone, Copy)]
pub struct ProcessNotice<'a> {
    /// Instance id; empty where targets have none.
    pub instance_id: &'a str,
    /// Start of the process in milliseconds since the Unix epoch; 0 if not reported.
    pub started_unix_ms: u64,
    /// Increases with each heartbeat of a process; `None` if heartbeats arrive in order.
    pub sequence: Option<u64>,
    /// Whether it says that the process leaves.
    pub is_leaving: bool,
}

/// Whether a process has been known not to leave since the node started.
#[derives::key]
enum Confirmation {
    /// It is being asked.
    InCheck,
    /// It said that it leaves or is ill.
    Denied,
    /// It did not answer, or its answer does not tell.
    Unanswered,
    /// It stays, or no leave of it can have been forgotten.
    Confirmed,
}

#[derive(Debug)]
struct Process {
    instance_id: String,
    started_unix_ms: u64,
    sequence: Option<u64>,
    has_left: bool,
    /// Whether an earlier process of the node may have received notices of it.
    may_predate_node: bool,
    confirmation: Confirmation,
    leave_start: Option<LeaveStart>,
}

impl Process {
    const fn is_identified(&self) -> bool {
        !self.instance_id.is_empty() || self.started_unix_ms != 0
    }

    fn begin_leave(&mut self, now_us: u64) {
        let start = match self.confirmation {
            Confirmation::Confirmed => LeaveStart::NoticedUs(now_us),
            _ => LeaveStart::BeforeNode,
        };
        self.leave_start.get_or_insert(start);
    }

    /// Records a newer heartbeat that says that the process stays.
    const fn record_stay(&mut self) -> NoticeStatus {
        match self.confirmation {
            Confirmation::InCheck => NoticeStatus::InCheck,
            Confirmation::Denied => {
                self.confirmation = Confirmation::InCheck;
                NoticeStatus::Unconfirmed
            }
            Confirmation::Unanswered | Confirmation::Confirmed => {
                self.confirmation = Confirmation::Confirmed;
                NoticeStatus::Current
            }
        }
    }
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
    node_started_unix_ms: u64,
    requires_confirmation: bool,
}

impl Registration {
    /// Creates a registration without a process.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            current: None,
            departed: DepartedProcesses::new(),
            node_started_unix_ms: 0,
            requires_confirmation: false,
        }
    }

    /// The registration at a node that started at this time, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn with_node_start(mut self, started_unix_ms: u64) -> Self {
        self.node_started_unix_ms = started_unix_ms;
        self
    }

    /// The registration where heartbeats may arrive late, so that the first one of a process that
    /// is older than the node has to be confirmed.
    #[must_use]
    pub const fn with_confirmation(mut self, requires_confirmation: bool) -> Self {
        self.requires_confirmation = requires_confirmation;
        self
    }

    /// Whether the process of a heartbeat is another one than the current, which has not left.
    #[must_use]
    pub fn would_replace(&self, notice: ProcessNotice<'_>) -> bool {
        self.current.as_ref().is_some_and(|process| {
            let is_same = process.instance_id == notice.instance_id
                && process.started_unix_ms == notice.started_unix_ms;
            !is_same && !process.has_left
        })
    }

    /// Records a heartbeat of a process.
    pub fn record_heartbeat(&mut self, notice: ProcessNotice<'_>, now_us: u64) -> NoticeStatus {
        match (self.classify(notice, now_us), &mut self.current) {
            (NoticeStatus::NewProcess, _) => self.begin_process(notice, now_us),
            (NoticeStatus::Current, Some(process)) => {
                process.sequence = notice.sequence;
                if !notice.is_leaving {
                    return process.record_stay();
                }
                process.begin_leave(now_us);
                process.confirmation = Confirmation::Confirmed;
                NoticeStatus::Current
            }
            (status, _) => status,
        }
    }

    fn begin_process(&mut self, notice: ProcessNotice<'_>, now_us: u64) -> NoticeStatus {
        let may_predate_node = self.may_predate_node(notice);
        let needs_check = may_predate_node && self.requires_confirmation && !notice.is_leaving;
        let leave_start = match may_predate_node {
            true => LeaveStart::BeforeNode,
            false => LeaveStart::NoticedUs(now_us),
        };
        self.current = Some(Process {
            instance_id: notice.instance_id.to_owned(),
            started_unix_ms: notice.started_unix_ms,
            sequence: notice.sequence,
            has_left: false,
            may_predate_node,
            confirmation: match needs_check {
                true => Confirmation::InCheck,
                false => Confirmation::Confirmed,
            },
            leave_start: notice.is_leaving.then_some(leave_start),
        });
        match needs_check {
            true => NoticeStatus::Unconfirmed,
            false => NoticeStatus::NewProcess,
        }
    }

    /// Whether an earlier process of the node may have got notices of the sender. The clock alone
    /// does not tell: it may have been set back since the target started.
    fn may_predate_node(&self, notice: ProcessNotice<'_>) -> bool {
        notice.started_unix_ms < self.node_started_unix_ms
            || notice
                .sequence
                .is_some_and(|sequence| sequence > FIRST_SEQUENCE)
    }

    /// Whether an earlier process of the node may have received heartbeats of the current process
    /// that are newer than those received here.
    #[must_use]
    pub fn may_lack_newer_heartbeats(&self) -> bool {
        let current = self.current.as_ref();
        self.requires_confirmation && current.is_some_and(|process| process.may_predate_node)
    }

    /// Whether this process is being asked whether it stays.
    #[must_use]
    pub fn is_in_check(&self, instance_id: &str, started_unix_ms: u64) -> bool {
        self.current.as_ref().is_some_and(|process| {
            process.instance_id == instance_id
                && process.started_unix_ms == started_unix_ms
                && process.confirmation == Confirmation::InCheck
                && !process.has_left
        })
    }

    /// Records what a process said when it was asked whether it stays; returns whether it is the
    /// current one and confirmed by that.
    pub fn record_check(
        &mut self,
        instance_id: &str,
        started_unix_ms: u64,
        health: Health,
    ) -> bool {
        if !self.is_in_check(instance_id, started_unix_ms) {
            return false;
        }
        let Some(process) = &mut self.current else {
            return false;
        };
        process.confirmation = match health {
            Health::Staying => Confirmation::Confirmed,
            Health::Unavailable => Confirmation::Denied,
            Health::Unanswered | Health::Unknown => Confirmation::Unanswered,
        };
        health == Health::Staying
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
        process.begin_leave(now_us);
        true
    }

    /// Records that the current process said in a response that it leaves.
    pub fn record_leaving(&mut self, now_us: u64) {
        if let Some(process) = &mut self.current {
            process.begin_leave(now_us);
        }
    }

    /// Since when the current process leaves.
    #[must_use]
    pub fn leave_start(&self) -> Option<LeaveStart> {
        self.current.as_ref()?.leave_start
    }

    /// Records that the target has been silent for so long that it counts as lost. A process that
    /// cannot be told from the next one is forgotten.
    pub fn record_silence(&mut self) {
        self.current.take_if(|process| !process.is_identified());
    }

    fn classify(&self, notice: ProcessNotice<'_>, now_us: u64) -> NoticeStatus {
        let ProcessNotice {
            instance_id,
            started_unix_ms,
            sequence,
            ..
        } = notice;
        if self.departed.contains(instance_id, started_unix_ms, now_us) {
            return NoticeStatus::Outdated;
        }
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
        // Without an id and a start, one that stays after one that left can only be another.
        let returns =
            !process.is_identified() && process.leave_start.is_some() && !notice.is_leaving;
        match is_out_of_order || process.has_left {
            true => NoticeStatus::Outdated,
            false if returns => NoticeStatus::NewProcess,
            false => NoticeStatus::Current,
        }
    }
}
