//! Evacuation of this node's availability zone.

use {
    super::{Node, Policies},
    std::sync::Arc,
};

/// Keeps the gate of the local target closed while its zone is evacuated. Queued
/// requests are refused as not run, so that the sending nodes choose other targets;
/// running requests complete.
pub async fn follow_evacuations<P: Policies>(node: Arc<Node<P>>) {
    let mut evacuations = node.evacuations.clone();
    loop {
        let is_evacuated = evacuations
            .borrow_and_update()
            .contains(&node.settings.zone);
        let is_changed = node.target.gate().set_evacuated(is_evacuated);
        if is_changed && is_evacuated {
            node.admission().refuse_waiting(node.timer.now_us());
        }
        let changed = tokio::select! {
            () = node.stopped.cancelled() => return,
            changed = evacuations.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
