//! What nodes and dividers tell each other about tokens.

use crate::model::CLASS_COUNT;

/// Counts by class, from the class shed first to the one shed last.
pub type ClassCounts = [u32; CLASS_COUNT];

/// Tokens that a node needs of a workspace's rate, and those it has of the
/// division that replied to it last.
#[derives::value]
#[derive(Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct TokenNeed {
    /// Requests that wait for a token.
    pub waiting_counts: ClassCounts,
    /// Tokens for requests expected soon.
    pub ahead_counts: ClassCounts,
    /// Tokens that the node holds.
    pub held_count: u32,
    /// Tokens that the node returns.
    pub returned: Vec<ReturnedTokens>,
}

/// Tokens that were granted and did not admit a request that ran.
#[derives::key]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ReturnedTokens {
    /// When they were granted, on the divider's clock in microseconds.
    pub granted_us: u64,
    /// Number of tokens.
    pub token_count: u32,
}

/// Tokens granted to a node out of a workspace's rate.
#[derives::value]
#[derive(Copy, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct TokenGrant {
    /// Granted tokens.
    pub counts: ClassCounts,
    /// Milliseconds until a class that got fewer tokens than it has waiting
    /// requests should ask again; 0 for a class that got all.
    pub empty_for_ms: ClassCounts,
}

/// Tokens of a workspace that a divider hands over.
#[derives::key]
pub struct HandedOverTokens {
    /// Whole tokens in its bucket.
    pub token_count: u32,
    /// Tokens that it has granted and that may still be spent.
    pub granted_count: u32,
}

/// Sender of a report.
#[derive(Debug, Clone, Copy)]
pub struct Reporter<'a> {
    /// Node id.
    pub node_id: &'a str,
    /// Random id of the process.
    pub process_id: u64,
    /// When the report was sent, on the reporter's clock in microseconds.
    pub sent_us: u64,
    /// Replies to reports sent before have arrived, or count no more.
    pub settled_us: u64,
    /// Latest reply that the process has accepted.
    pub last_reply: Option<ReplyRef>,
}

/// Reply of a division to a report.
#[derives::key]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ReplyRef {
    /// Random id of the division.
    pub division_id: u64,
    /// When it was sent, on the divider's clock in microseconds.
    pub replied_us: u64,
    /// Whether the share of the node is lent to the division.
    pub is_share_lent: bool,
}

impl TokenNeed {
    /// Whether the node requests tokens.
    #[must_use]
    pub fn wants_tokens(&self) -> bool {
        let mut counts = self.waiting_counts.iter().chain(&self.ahead_counts);
        counts.any(|count| *count > 0)
    }
}

impl TokenGrant {
    /// Granted tokens of all classes.
    #[must_use]
    pub fn token_count(&self) -> u32 {
        self.counts.iter().sum()
    }
}
