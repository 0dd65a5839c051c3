//! Load that the local target reported last.

use super::{LoadReport, REPORT_AGE_LIMIT_US};

/// Reports of the local target, with their age.
///
/// The work time has a time of receipt of its own: a report without a valid one replaces the
/// other figures only, so that the last valid work time counts for its full time.
///
/// Pure state: performs no I/O and reads no clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedLoad {
    waiting: Option<Figure<u32>>,
    work_time: Option<Figure<u16>>,
}

#[derive(Debug, Clone, Copy)]
struct Figure<T> {
    value: T,
    received_us: u64,
}

impl<T: Copy> Figure<T> {
    fn at(self, now_us: u64) -> Option<T> {
        let age_us = now_us.saturating_sub(self.received_us);
        (age_us <= REPORT_AGE_LIMIT_US).then_some(self.value)
    }
}

impl ReportedLoad {
    /// Creates the state before the first report.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report.
    pub fn record(&mut self, report: LoadReport) {
        let received_us = report.received_us;
        self.waiting = Some(Figure {
            value: report.waiting_count,
            received_us,
        });
        if let Some(value) = report.work_time_percent {
            self.work_time = Some(Figure { value, received_us });
        }
    }

    /// Requests that wait inside the target; `None` without a recent report.
    #[must_use]
    pub fn waiting_count(&self, now_us: u64) -> Option<u32> {
        self.waiting.and_then(|figure| figure.at(now_us))
    }

    /// Time that work takes, in percent of the usual time; `None` without a recent valid figure.
    #[must_use]
    pub fn work_time_percent(&self, now_us: u64) -> Option<u16> {
        self.work_time.and_then(|figure| figure.at(now_us))
    }
}
