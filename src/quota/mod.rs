//! Fleet-wide rate and burst of workspaces.

mod bank;
mod banking;
mod bucket;
mod demand;
mod divided;
mod division;
mod gate;
mod ledger;
pub mod limits;
mod messages;
mod owner;
mod purse;
mod route;
mod share;
mod sharing;
mod violations;

pub use {
    bank::{Bank, OwnerAsk},
    bucket::{Bucket, capacity},
    demand::Demand,
    divided::DividedQuota,
    division::{Division, LEASE_US},
    gate::{LeasedQuota, QuotaInputs, Rates, spawn},
    messages::{
        BankRef, BorrowAnswer, BorrowAsk, Estate, EstateLease, LeaseAnswer, LeaseAsk, Process,
    },
    owner::QuotaOwner,
    purse::Purse,
    route::banks,
    share::{Share, ShareBucket},
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
}
