//! Reports of this process without a reply yet. Pure state: performs no I/O and
//! reads no clock.

use {super::TOKEN_TTL_US, std::collections::VecDeque};

/// Number of reports that wait for a reply; the oldest beyond it counts as
/// lost.
const MAX_OUTSTANDING_COUNT: usize = 8;

/// Accepts only replies to reports of this process, and each only once.
///
/// A reply to an earlier process at this address names a time on that process's
/// clock, and a duplicate reply carries the same tokens again. If either were
/// accepted, tokens would be spent twice and the share would count as lent for
/// too long.
#[derive(Debug)]
pub struct OutstandingReports {
    process_id: u64,
    sent_us: VecDeque<u64>,
    last_begun_us: u64,
}

impl OutstandingReports {
    /// Starts without any sent report.
    #[must_use]
    pub const fn new(process_id: u64) -> Self {
        Self {
            process_id,
            sent_us: VecDeque::new(),
            last_begun_us: 0,
        }
    }

    /// Random id of this process.
    #[must_use]
    pub const fn process_id(&self) -> u64 {
        self.process_id
    }

    /// Begins a report. Returns its time, which is later than that of the last
    /// one, and the time before which no report has a reply on its way whose
    /// tokens count.
    pub fn begin_report(&mut self, now_us: u64) -> (u64, u64) {
        self.last_begun_us = now_us.max(self.last_begun_us + 1);
        let mut sent_us = self.sent_us.iter().copied();
        let open_us = sent_us.find(|sent_us| now_us < sent_us + TOKEN_TTL_US);
        (self.last_begun_us, open_us.unwrap_or(self.last_begun_us))
    }

    /// Records a sent report.
    pub fn record_sent(&mut self, sent_us: u64) {
        self.sent_us.push_back(sent_us);
        if self.sent_us.len() > MAX_OUTSTANDING_COUNT {
            self.sent_us.pop_front();
        }
    }

    /// When the latest report without a reply was sent.
    #[must_use]
    pub fn last_sent_us(&self) -> Option<u64> {
        self.sent_us.back().copied()
    }

    /// Whether the reply belongs to a report without a reply; the report then
    /// has one.
    pub fn accept_reply(&mut self, process_id: u64, sent_us: u64) -> bool {
        let index = self
            .sent_us
            .iter()
            .position(|outstanding_us| *outstanding_us == sent_us);
        match index.filter(|_| process_id == self.process_id) {
            Some(index) => self.sent_us.remove(index).is_some(),
            None => false,
        }
    }
}
