//! Faults that a test switches on and off.

/// Faults in force; the default is none.
#[derives::record]
#[derive(Copy, Default, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are accepted, then closed without an answer.
    pub down: bool,
    /// Each call waits this long before it takes effect.
    pub slow_ms: u64,
    /// Writes take effect, but their connections close without an answer.
    pub lose_answers_to_writes: bool,
    /// Plain reads answer with the version before the newest.
    pub stale_reads: bool,
}
