//! What became of each request.

use crate::caller::Judgement;

/// One send of a request.
#[derives::record]
#[derive(Eq)]
pub struct Attempt {
    /// Send, since the start of the load.
    pub sent_us: u64,
    /// Conclusion.
    pub judgement: Judgement,
    /// Reason of a refusal.
    pub reason: Option<String>,
}

/// A request with all its sends.
#[derives::record]
#[derive(Eq)]
pub struct Original {
    /// Name of the request, the same in all sends.
    pub test_id: String,
    /// Place of its load in the scenario.
    pub load_index: usize,
    /// Intended send, since the start of the load.
    pub intended_us: u64,
    /// From the intended send to the end of the last attempt.
    pub latency_us: u64,
    /// Sends; none if the generator was at its limit.
    pub attempts: Vec<Attempt>,
}

impl Original {
    /// Conclusion of the last send.
    #[must_use]
    pub fn judgement(&self) -> Judgement {
        self.attempts
            .last()
            .map_or(Judgement::NoAnswer, |attempt| attempt.judgement)
    }

    /// End, since the start of the load.
    #[must_use]
    pub const fn ended_us(&self) -> u64 {
        self.intended_us + self.latency_us
    }
}
