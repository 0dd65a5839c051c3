//! What was executed.

use std::{
    collections::VecDeque,
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

/// Entries that are kept in memory; older ones are dropped.
pub const MAX_ENTRY_COUNT: usize = 1_000_000;

/// How far a request has come.
#[derives::key]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// Work was begun.
    Started,
    /// Work was done to the end.
    Finished,
    /// The caller went away while the work was under way.
    Cancelled,
    /// Work was not begun: no time, no room in the queue.
    Refused,
}

/// A request that reached the target.
#[derives::record]
#[derive(Eq)]
pub struct Entry {
    /// Place in the journal, from 0.
    pub sequence: u64,
    /// Time of the entry since the Unix epoch.
    pub started_unix_ms: u64,
    /// Time of the end; absent while work is under way.
    pub ended_unix_ms: Option<u64>,
    /// How far it has come.
    pub state: EntryState,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// All headers in the order of their arrival.
    pub headers: Vec<(String, String)>,
    /// Digest of the whole body.
    pub body_digest: String,
    /// Start of the body.
    pub body: String,
    /// Handle of the call, as set by the node.
    pub call_handle: Option<String>,
    /// Name that the test gave the request.
    pub test_id: Option<String>,
}

/// The journal's file could not be written.
#[derive(Debug, thiserror::Error)]
#[error("journal file: {0}")]
pub struct JournalError(#[from] io::Error);

#[derive(Debug, Default)]
struct Table {
    first_sequence: u64,
    entries: VecDeque<Entry>,
    file: Option<File>,
}

/// All entries; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Journal(Arc<Mutex<Table>>);

impl Journal {
    /// An empty journal in memory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends each change to a file as well.
    pub fn with_file(self, path: &Path) -> Result<Self, JournalError> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        self.lock().file = Some(file);
        Ok(self)
    }

    /// Adds an entry and returns its sequence number.
    pub fn add(&self, mut entry: Entry) -> u64 {
        let mut table = self.lock();
        entry.sequence = table.first_sequence + table.entries.len() as u64;
        if table.entries.len() == MAX_ENTRY_COUNT {
            table.entries.pop_front();
            table.first_sequence += 1;
        }
        let sequence = entry.sequence;
        table.append_to_file(&entry);
        table.entries.push_back(entry);
        sequence
    }

    /// Sets the state in which an entry ended.
    pub fn end(&self, sequence: u64, state: EntryState) {
        let mut table = self.lock();
        let index = sequence.checked_sub(table.first_sequence);
        let Some(index) = index.and_then(|index| usize::try_from(index).ok()) else {
            return;
        };
        let Some(entry) = table.entries.get_mut(index) else {
            return;
        };
        entry.state = state;
        entry.ended_unix_ms = Some(unix_ms());
        let entry = entry.clone();
        table.append_to_file(&entry);
    }

    /// Entries from this sequence number on.
    #[must_use]
    pub fn entries_from(&self, sequence: u64) -> Vec<Entry> {
        let table = self.lock();
        let skip_count = sequence.saturating_sub(table.first_sequence);
        let skip_count = usize::try_from(skip_count).unwrap_or(usize::MAX);
        table.entries.iter().skip(skip_count).cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Table> {
        self.0.lock().expect("no panic while writing the journal")
    }
}

impl Table {
    // A target that is killed takes its memory along, and a test for double
    // executions would miss what it did. Each line is written at once.
    fn append_to_file(&mut self, entry: &Entry) {
        let Some(file) = &mut self.file else {
            return;
        };
        if let Ok(mut line) = serde_json::to_vec(entry) {
            line.push(b'\n');
            if let Err(error) = file.write_all(&line) {
                eprintln!("journal file: {error}");
            }
        }
    }
}

/// Milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
