//! Drain of a node: its start, and the time by which it ends.

use {
    super::{Node, Policies},
    crate::{event, events::Event},
    std::sync::atomic::Ordering,
};

impl<P: Policies> Node<P> {
    /// Starts to drain: notifies the other nodes, then stops accepting new work while
    /// running requests complete.
    ///
    /// Entry point for SIGTERM and operators; `shutdown::run` performs the drain.
    pub fn drain(&self) {
        if self.drain.is_cancelled() {
            return;
        }
        event!(Event::DrainStarted, "node={}", self.settings.node_id);
        self.own_state.send_modify(|own| own.draining = true);
        let stop_us = self.timer.now_us() + self.settings.drain_limit_ms * 1000;
        self.stop_us.store(stop_us, Ordering::Release);
        self.drain.cancel();
    }

    /// Time by which requests must have ended if a drain has started, in microseconds of the
    /// timer.
    #[must_use]
    pub fn stop_us(&self) -> Option<u64> {
        let stop_us = self.stop_us.load(Ordering::Acquire);
        (stop_us != u64::MAX).then_some(stop_us)
    }

    /// Whether a drain has started.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// Waits until a drain starts.
    pub async fn wait_until_draining(&self) {
        self.drain.cancelled().await;
    }
}
