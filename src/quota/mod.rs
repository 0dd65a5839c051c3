//! Fleet-wide rate and burst of workspaces.

mod bank;
mod banking;
mod bucket;
mod divided;
mod divider_choice;
mod division;
mod gate;
mod holding;
mod ledger;
pub mod limits;
mod messages;
mod outstanding;
mod owner;
mod purse;
mod refill;
mod route;
mod sharing;
mod violations;

pub use {
    bank::{LeaseQuery, TokenPool},
    bucket::{Bucket, capacity},
    divided::DividedQuota,
    divider_choice::DividerChoice,
    division::{ClassCounts, Division, LEASE_US, Reporter, TokenGrant, TokenNeed},
    gate::{LeasedQuota, QuotaInputs, Rates, spawn},
    holding::{TokenDecision, TokenHoldings},
    messages::{
        BorrowRequest, BorrowResponse, HandedOverLease, LeaseRequest, LeaseResponse, PoolHandover,
        PoolRef, Process,
    },
    outstanding::Outstanding,
    owner::QuotaOwner,
    purse::BorrowedTokens,
    refill::RefillBucket,
    route::banks,
    sharing::{SharingInputs, spawn_sharing},
    violations::{Violation, window_violations},
};

use crate::model::{Class, Refusal, WorkspaceKey};

/// Units of a bucket's level that make one token: a share of one slice accrues
/// whole units in each microsecond, so that no sum of shares is ever rounded.
pub const UNITS_PER_TOKEN: u64 = crate::slices::SLICE_COUNT as u64 * 1_000_000;

/// Rate and burst of a workspace over the whole fleet.
#[derives::value]
#[derive(Copy, Eq)]
pub struct Rate {
    /// Requests a second.
    pub rate_per_s: u32,
    /// Requests at once after a pause.
    pub burst_count: u32,
}

/// Admits a workspace's requests within its rate and burst.
pub trait QuotaGate: Send + Sync + 'static {
    /// Whether requests can be admitted at all; a node that cannot is not
    /// ready, so that nobody is refused by a node that has just started.
    fn is_ready(&self) -> bool {
        true
    }

    /// Admits one request of a class or says when to come back. May ask a neighbour once,
    /// within a small time limit.
    fn admit(
        &self,
        workspace: WorkspaceKey,
        rate: Rate,
        class: Class,
    ) -> impl Future<Output = Result<(), Refusal>> + Send;

    /// A request that was admitted did not run after all: its caller keeps the
    /// room.
    fn refund(&self, _workspace: WorkspaceKey, _class: Class) {}
}
