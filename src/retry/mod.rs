//! Retry budget of original requests and retry share of destinations.

mod chain_budget;
mod naive;
mod share;

pub use {
    chain_budget::ChainBudget,
    naive::{NAIVE_RETRY_COUNT, NaiveRetry},
    share::{RETRY_FLOOR_COUNT, RETRY_SHARE_PERCENT, SHARE_WINDOW_US, ShareLimits},
};

use crate::{arena_key, model::ServiceKey};

arena_key! {
    /// A request that this node has in flight, as a holder of retry allotment.
    CallKey
}

arena_key! {
    /// Allotment that a call lent to one child call.
    ChildAllotmentKey
}

/// Allotment that a child call carries.
#[derives::value]
#[derive(Copy, Eq)]
pub struct ChildAllotment {
    /// Names the loan when the child's answer comes.
    pub key: ChildAllotmentKey,
    /// Retries that the child and its descendants may spend.
    pub allotment: u8,
}

/// Decides whether a failed attempt may be repeated.
///
/// The allotment of a call is moved to a child call and comes back with the
/// child's answer; it is never copied, so that the sum over the whole chain
/// never grows.
pub trait RetryPolicy: Sized + Send + 'static {
    /// A policy without calls.
    fn new() -> Self;

    /// Holds each destination to these limits.
    #[must_use]
    fn with_share_limits(self, limits: ShareLimits) -> Self;

    /// A call begins with the allotment that came with it.
    fn open(&mut self, allotment: u8) -> CallKey;

    /// Takes allotment out of a call for a child; the child carries it.
    /// A call that is over lends nothing.
    fn allot_to_child(&mut self, call: CallKey) -> ChildAllotment;

    /// Puts back what a child did not spend, at most what it was lent and
    /// only once. A child whose answer was lost gives back nothing, since it
    /// may still be spending it: end its loan with 0.
    fn return_unspent(&mut self, loan: ChildAllotmentKey, unspent: u8);

    /// Counts a first attempt at a destination.
    fn first_attempt(&mut self, service: ServiceKey, now_us: u64);

    /// Asks for one more attempt; spends allotment when granted.
    fn try_retry(&mut self, call: CallKey, service: ServiceKey, now_us: u64) -> bool;

    /// A call ends; what it did not spend goes back to its parent. Loans that
    /// are still out are lost.
    fn close(&mut self, call: CallKey) -> u8;
}
