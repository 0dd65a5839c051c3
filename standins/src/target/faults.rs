//! Faults that a test switches on and off.

/// Faults in force; the default is none.
#[derives::record]
#[derive(Copy)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Multiplier of service times.
    pub slow_factor: f64,
    /// Slots in place of the configured ones.
    pub slots: Option<usize>,
    /// Nothing is worked on, announced or reported until lifted.
    pub freeze: bool,
    /// Connections close in the middle of the body.
    pub cut_answers: bool,
    /// The answers of two concurrent requests are swapped.
    pub cross_answers: bool,
    /// Time that a finished answer is held back.
    pub late_ms: u64,
    /// Share of requests that fail with status 500.
    pub fail_ratio: f64,
    /// The call handle is not echoed.
    pub no_echo: bool,
    /// Work time that is reported in place of the true one.
    pub lie_work_time_percent: Option<f64>,
    /// No work time is reported.
    pub hide_work_time: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            slots: None,
            freeze: false,
            cut_answers: false,
            cross_answers: false,
            late_ms: 0,
            fail_ratio: 0.0,
            no_echo: false,
            lie_work_time_percent: None,
            hide_work_time: false,
        }
    }
}
