//! Counted calls.

use std::sync::Mutex;

/// What a call asks for.
#[derives::key]
pub enum CallKind {
    /// A plain read.
    Read,
    /// A conditional write, whether or not it took effect.
    Write,
    /// A watch; a waiting one counts once.
    Watch,
    /// Anything that the API does not know.
    Other,
}

/// Number of calls by kind since the start.
#[derives::record]
#[derive(Copy, Default, Eq)]
pub struct CallCounts {
    /// Plain reads.
    pub read_count: u64,
    /// Conditional writes.
    pub write_count: u64,
    /// Watches.
    pub watch_count: u64,
    /// Malformed calls.
    pub other_count: u64,
}

/// Counter that requests share.
#[derive(Debug, Default)]
pub(super) struct Calls(Mutex<CallCounts>);

impl Calls {
    pub(super) fn add(&self, kind: CallKind) {
        let mut counts = self.0.lock().expect("no panic while counting");
        let count = match kind {
            CallKind::Read => &mut counts.read_count,
            CallKind::Write => &mut counts.write_count,
            CallKind::Watch => &mut counts.watch_count,
            CallKind::Other => &mut counts.other_count,
        };
        *count += 1;
    }

    pub(super) fn counts(&self) -> CallCounts {
        *self.0.lock().expect("no panic while counting")
    }
}
