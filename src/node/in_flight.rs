//! Count of the requests in flight.

use {
    super::{Node, Policies},
    std::sync::{Arc, atomic::Ordering},
};

/// Counts a request as in flight until dropped.
pub struct InFlightGuard<P: Policies>(Arc<Node<P>>);

impl<P: Policies> InFlightGuard<P> {
    /// A guard for a request that was counted.
    pub(super) const fn new(node: Arc<Node<P>>) -> Self {
        Self(node)
    }
}

impl<P: Policies> Drop for InFlightGuard<P> {
    fn drop(&mut self) {
        self.0.in_flight_count.fetch_sub(1, Ordering::AcqRel);
    }
}
