//! How many lines of an event are written.

use std::collections::HashMap;

/// Lines of one event in a second. A node under overload refuses hundreds of
/// requests a second. Forming a line takes 2.5 us (`cargo bench --bench
/// decisions`), so that an event takes a ten-thousandth of a core besides the
/// writes, which are made for many lines at once.
const LINES_PER_S: u32 = 40;
/// The same for events at the levels of warnings and errors.
const WARNINGS_PER_S: u32 = 100;
const SECOND_US: u64 = 1_000_000;

/// Whether a line is written.
#[derives::key]
pub struct Verdict {
    /// It is.
    pub is_written: bool,
    /// Lines of the same event that were left out before it.
    pub left_out_count: u64,
}

#[derive(Debug, Default)]
struct Window {
    second: u64,
    written_count: u32,
    left_out_count: u64,
}

/// Lines of each event in the present second; no I/O, no clock.
#[derive(Debug, Default)]
pub struct LineBudget {
    windows: HashMap<String, Window>,
}

impl LineBudget {
    /// Nothing was written yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a line of this event.
    pub fn spend(&mut self, event: &str, level: log::Level, now_us: u64) -> Verdict {
        let window = self.windows.entry(event.to_owned()).or_default();
        let second = now_us / SECOND_US;
        if window.second != second {
            window.second = second;
            window.written_count = 0;
        }
        let limit = match level <= log::Level::Warn {
            true => WARNINGS_PER_S,
            false => LINES_PER_S,
        };
        if window.written_count >= limit {
            window.left_out_count += 1;
            return Verdict {
                is_written: false,
                left_out_count: 0,
            };
        }
        window.written_count += 1;
        Verdict {
            is_written: true,
            left_out_count: std::mem::take(&mut window.left_out_count),
        }
    }
}
