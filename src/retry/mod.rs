//! Decides whether failed attempts may be retried.
//!
//! Retries at each hop would multiply along a call chain. Here they are limited by
//! one budget per original request, and by a share of the first attempts at each
//! service.

mod chain_budget;
mod naive;
mod share;

pub use {
    chain_budget::ChainBudget,
    naive::{NAIVE_RETRY_COUNT, NaiveRetry},
    share::{RETRY_FLOOR_COUNT, RETRY_SHARE_PERCENT, RetryShareLimits, SHARE_WINDOW_US},
};

use crate::{arena_key, model::ServiceKey};

arena_key! {
    /// Key of a call that this node has in flight, with its retry allotment.
    CallKey
}

arena_key! {
    /// Key of the allotment that a call passed on to one child call.
    ChildAllotmentKey
}

/// Retry allotment of a child call.
#[derives::value]
#[derive(Copy, Eq)]
pub struct ChildAllotment {
    /// Identifies the allotment when the child's response is received.
    pub key: ChildAllotmentKey,
    /// Retries that the child and its descendants may spend.
    pub allotment: u8,
}

/// Limit that denies a retry.
#[derives::key]
pub enum BudgetLimit {
    /// The call has no allotment left.
    Allotment,
    /// Retries at the service have reached their share of its first attempts.
    Share,
}

/// Decides whether a failed attempt may be retried.
///
/// Allotment is moved from a call to its child calls and returns with their
/// responses. It is never copied, so that the sum over the whole chain never
/// grows.
pub trait RetryPolicy: Sized + Send + 'static {
    /// A policy without calls.
    fn new() -> Self;

    /// Sets the limits that apply to each called service.
    #[must_use]
    fn with_retry_share_limits(self, limits: RetryShareLimits) -> Self;

    /// Adds a call with the allotment that it received.
    fn open(&mut self, allotment: u8) -> CallKey;

    /// Moves part of a call's allotment to a child call. A closed call has none.
    fn allot_to_child(&mut self, call: CallKey) -> ChildAllotment;

    /// Gives a child's unspent retries back to its call: at most what the child got,
    /// and only once. For a child whose response was lost, `unspent` must be 0,
    /// since it may still spend its allotment.
    fn return_unspent(&mut self, key: ChildAllotmentKey, unspent: u8);

    /// Counts a first attempt at a service.
    fn record_first_attempt(&mut self, service: ServiceKey, now_us: u64);

    /// Checks whether one more attempt at a service is allowed, without spending
    /// allotment.
    fn check_retry(
        &mut self,
        call: CallKey,
        service: ServiceKey,
        now_us: u64,
    ) -> Result<(), BudgetLimit>;

    /// Requests one more attempt at a service; returns whether it is allowed, as
    /// [`Self::check_retry`] tells, and spends allotment if so.
    fn try_retry(&mut self, call: CallKey, service: ServiceKey, now_us: u64) -> bool;

    /// Removes a call and returns its unspent retries, which go back to its parent.
    /// Allotments that its children have not returned are lost.
    fn close(&mut self, call: CallKey) -> u8;
}
