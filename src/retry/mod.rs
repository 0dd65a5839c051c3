//! Retry budget of original requests and retry share of destinations.

use crate::{arena_key, model::ServiceKey};

arena_key! {
    /// A request that this node has in flight, as a holder of retry allotment.
    CallKey
}

/// Decides whether a failed attempt may be repeated.
///
/// The allotment of a call is moved to a child call and comes back with the
/// child's answer; it is never copied, so that the sum over the whole chain
/// never grows.
pub trait RetryPolicy: Send + 'static {
    /// A policy without calls.
    fn new() -> Self;

    /// A call begins with the allotment that came with it.
    fn open(&mut self, allotment: u8) -> CallKey;

    /// Takes allotment out of a call for a child; the child carries it.
    fn lend(&mut self, call: CallKey) -> u8;

    /// Puts back what a child did not spend. A child whose answer was lost
    /// gives back nothing: it may still be spending it.
    fn give_back(&mut self, call: CallKey, unspent: u8);

    /// Counts a first attempt at a destination.
    fn first_attempt(&mut self, service: ServiceKey, now_us: u64);

    /// Asks for one more attempt; spends allotment when granted.
    fn try_retry(&mut self, call: CallKey, service: ServiceKey, now_us: u64) -> bool;

    /// A call ends; what it did not spend goes back to its parent.
    fn close(&mut self, call: CallKey) -> u8;
}
