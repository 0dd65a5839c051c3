//! Counts of tokens since the last log line. Together with those of all other
//! nodes they show whether a token was spent twice.

/// Tokens of one workspace at one node.
#[derives::value]
#[derive(Copy, Eq, Default)]
pub struct NodeCounts {
    /// Received from a divider.
    pub granted_count: u32,
    /// Taken from the node's own share.
    pub own_share_count: u32,
    /// Spent on admitted requests.
    pub spent_count: u32,
    /// Given back by requests that did not run.
    pub refunded_count: u32,
    /// Set aside for the divider.
    pub returned_count: u32,
    /// Requests over the rate.
    pub refused_count: u32,
}

impl NodeCounts {
    /// Whether an operator may want to check them: the workspace is at its rate
    /// or its requests do not run.
    #[must_use]
    pub const fn is_notable(&self) -> bool {
        self.refused_count > 0 || self.refunded_count > 0
    }
}

/// Tokens of one workspace at the divider.
#[derives::value]
#[derive(Copy, Default)]
pub struct DividerCounts {
    /// Granted to reporters.
    pub granted_count: u32,
    /// Returned by reporters.
    pub returned_count: u32,
    /// Received from the previous divider.
    pub handed_over_tokens: f64,
    /// Requests that got no token.
    pub refused_count: u32,
}
