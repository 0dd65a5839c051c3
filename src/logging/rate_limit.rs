//! Rate limit for log lines of the same event.

use std::collections::HashMap;

/// Lines per event and second below level `warn`. A node under overload refuses
/// hundreds of requests per second. Formatting a line takes 2.5 us, so an event
/// uses at most 1/10,000 of a core in addition to the batched writes.
const MAX_LINES_PER_S: u32 = 40;
/// Lines per event and second at levels `warn` and `error`.
const MAX_WARNINGS_PER_S: u32 = 100;
const US_PER_S: u64 = 1_000_000;

/// Whether to write a line.
#[derives::key]
pub struct LineDecision {
    /// Whether the line is within the limit.
    pub should_write: bool,
    /// Lines of the same event suppressed since the last one written.
    pub suppressed_count: u64,
}

#[derive(Debug, Default)]
struct EventWindow {
    start_s: u64,
    written_count: u32,
    suppressed_count: u64,
}

/// Counts the lines of each event in the current second. Pure state: performs no
/// I/O and reads no clock.
#[derive(Debug, Default)]
pub struct LineRateLimiter {
    windows_by_event: HashMap<String, EventWindow>,
}

impl LineRateLimiter {
    /// Creates a limiter without any lines counted.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether to write a line of this event, and counts it.
    pub fn check(&mut self, event: &str, level: log::Level, now_us: u64) -> LineDecision {
        let window = self.windows_by_event.entry(event.to_owned()).or_default();
        let now_s = now_us / US_PER_S;
        if window.start_s != now_s {
            window.start_s = now_s;
            window.written_count = 0;
        }
        let limit_per_s = match level <= log::Level::Warn {
            true => MAX_WARNINGS_PER_S,
            false => MAX_LINES_PER_S,
        };
        if window.written_count >= limit_per_s {
            window.suppressed_count += 1;
            return LineDecision {
                should_write: false,
                suppressed_count: 0,
            };
        }
        window.written_count += 1;
        LineDecision {
            should_write: true,
            suppressed_count: std::mem::take(&mut window.suppressed_count),
        }
    }
}
