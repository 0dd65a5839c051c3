//! Fleet-wide limits of rate and burst per workspace.

mod borrowed_tokens;
mod bucket;
mod divided;
mod divider_choice;
mod divider_role;
mod division;
mod division_account;
mod division_reporters;
mod gate;
mod headroom;
mod ledger;
pub mod limits;
mod messages;
mod node_quota;
mod outstanding;
mod owner;
mod placement;
mod pool_service;
mod refill;
mod reports;
mod share_lease;
mod sharing;
mod token_counts;
mod token_holdings;
mod token_pool;
mod violations;

pub use {
    borrowed_tokens::BorrowedTokens,
    bucket::{Bucket, capacity},
    divided::DividedQuota,
    divider_choice::{DIVIDER_COUNT, DividerChoice},
    divider_role::{DividerRole, ReportAction},
    division::Division,
    gate::{LeasedQuota, QuotaInputs, Rates, spawn},
    messages::{
        BorrowRequest, BorrowResponse, HandedOverLease, LeaseRequest, LeaseResponse, PoolHandover,
        PoolRef, Process,
    },
    node_quota::{NodeQuota, TakeResult},
    outstanding::OutstandingReports,
    owner::QuotaOwner,
    placement::pool_nodes,
    refill::RefillBucket,
    reports::{
        ClassCounts, HandedOverTokens, ReplyRef, Reporter, ReturnedTokens, TokenGrant, TokenNeed,
    },
    share_lease::{DivisionReply, SHARE_LEASE_US, ShareLease, TOKEN_TTL_US},
    sharing::{Exchange, ExchangeInputs, Message, SharingInputs, spawn_sharing},
    token_counts::{DividerCounts, NodeCounts},
    token_holdings::{GrantOrigin, TokenDecision, TokenHoldings, TokenOrigin},
    token_pool::{LeaseQuery, TokenPool},
    violations::{Violation, window_violations},
};

use crate::model::{Class, Refusal, WorkspaceKey};

/// Bucket level units per token. A share of one slice accrues whole units every
/// microsecond, so sums of shares need no rounding.
pub const UNITS_PER_TOKEN: u64 = crate::slices::SLICE_COUNT as u64 * 1_000_000;

/// Rate and burst of a workspace over the whole fleet.
#[derives::value]
#[derive(Copy, Eq)]
pub struct Rate {
    /// Requests per second.
    pub rate_per_s: u32,
    /// Requests that may arrive at once after a pause.
    pub burst_count: u32,
}

impl Rate {
    /// The same burst without further tokens.
    #[must_use]
    pub const fn without_refill(self) -> Self {
        Self {
            rate_per_s: 0,
            ..self
        }
    }
}

/// Admits a workspace's requests within its rate and burst.
pub trait QuotaGate: Send + Sync + 'static {
    /// Whether this node can admit requests at all. A node that cannot reports
    /// not ready, so that a node which has just started refuses nobody.
    fn is_ready(&self) -> bool {
        true
    }

    /// Admits one request of a class and returns the origin of its token, or
    /// refuses it with the time after which to retry. May send one query to a peer, within a short time limit.
    fn admit(
        &self,
        workspace: WorkspaceKey,
        rate: Rate,
        class: Class,
    ) -> impl Future<Output = Result<TokenOrigin, Refusal>> + Send;

    /// Gives back the token of an admitted request that did not run.
    fn refund(&self, _workspace: WorkspaceKey, _token: TokenOrigin) {}
}
