//! Reports of this process that have no reply yet; no I/O, no clock.

use std::collections::VecDeque;

/// Reports whose replies are awaited; an older one is taken for lost.
const OUTSTANDING_COUNT: usize = 8;

/// Tells replies to this process's reports from others.
///
/// A reply to an earlier process at this address names a time on that process's
/// clock, and one that comes twice brings the same tokens again. Believed, the
/// tokens would be used twice and the share would count as lent for too long.
#[derive(Debug)]
pub struct Outstanding {
    process_id: u64,
    sent_us: VecDeque<u64>,
}

impl Outstanding {
    /// Nothing was sent by this process.
    #[must_use]
    pub const fn new(process_id: u64) -> Self {
        Self {
            process_id,
            sent_us: VecDeque::new(),
        }
    }

    /// Number of this process.
    #[must_use]
    pub const fn process_id(&self) -> u64 {
        self.process_id
    }

    /// Notes a report.
    pub fn sent(&mut self, sent_us: u64) {
        self.sent_us.push_back(sent_us);
        if self.sent_us.len() > OUTSTANDING_COUNT {
            self.sent_us.pop_front();
        }
    }

    /// When the last report without a reply was sent.
    #[must_use]
    pub fn last_us(&self) -> Option<u64> {
        self.sent_us.back().copied()
    }

    /// Whether this reply belongs to a report without one; it has one now.
    pub fn settle(&mut self, process_id: u64, sent_us: u64) -> bool {
        let place = self.sent_us.iter().position(|at_us| *at_us == sent_us);
        match place.filter(|_| process_id == self.process_id) {
            Some(place) => self.sent_us.remove(place).is_some(),
            None => false,
        }
    }
}
