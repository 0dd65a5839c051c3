//! What a process costs.

use {
    crate::LabError,
    std::{fs, io},
};

/// Fields of `/proc/PID/stat` after the program's name, from 0.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;
const RESIDENT_PAGES_FIELD: usize = 21;

/// Memory and processor time of a process.
#[derives::record]
#[derive(Copy, Eq)]
pub struct Usage {
    /// Resident memory, shared pages included.
    pub resident_bytes: u64,
    /// Processor time since its start, of all threads, in user and system mode.
    pub cpu_ms: u64,
}

impl Usage {
    /// Usage up to now, from `/proc`.
    pub fn of(pid: u32) -> Result<Self, LabError> {
        let path = format!("/proc/{pid}/stat");
        let text = fs::read_to_string(&path).map_err(LabError::io(path.clone()))?;
        Self::parse(&text).ok_or_else(|| LabError::io(path)(io::ErrorKind::InvalidData.into()))
    }

    /// Reads the text of `/proc/PID/stat`.
    #[must_use]
    pub fn parse(stat: &str) -> Option<Self> {
        // The name may hold blanks and brackets; the last bracket ends it.
        let (_, fields) = stat.rsplit_once(") ")?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let field = |index: usize| fields.get(index)?.parse::<u64>().ok();
        let ticks = field(USER_TICKS_FIELD)? + field(SYSTEM_TICKS_FIELD)?;
        let page_bytes = rustix::param::page_size() as u64;
        Some(Self {
            resident_bytes: field(RESIDENT_PAGES_FIELD)? * page_bytes,
            cpu_ms: ticks * 1000 / rustix::param::clock_ticks_per_second().max(1),
        })
    }
}

/// What nodes cost over a time.
#[derives::record]
#[derive(Copy, Default, Eq)]
pub struct NodeCost {
    /// Nodes that ran through the whole time.
    pub node_count: u64,
    /// Processor time of all of them.
    pub cpu_ms: u64,
    /// Resident memory of the largest at the end.
    pub max_resident_bytes: u64,
}

impl NodeCost {
    /// The cost between two looks. Nodes that were away at either, or were
    /// replaced in between, are left out.
    #[must_use]
    pub fn between(before: &[Option<Usage>], after: &[Option<Usage>]) -> Self {
        let pairs = before.iter().zip(after);
        let pairs = pairs.filter_map(|(before, after)| before.as_ref().zip(after.as_ref()));
        let same = pairs.filter(|(before, after)| after.cpu_ms >= before.cpu_ms);
        same.fold(Self::default(), |cost, (before, after)| Self {
            node_count: cost.node_count + 1,
            cpu_ms: cost.cpu_ms + after.cpu_ms - before.cpu_ms,
            max_resident_bytes: cost.max_resident_bytes.max(after.resident_bytes),
        })
    }
}
