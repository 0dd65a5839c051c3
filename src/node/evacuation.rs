//! Evacuation of this node's availability zone.

use {
    super::{Node, Policies},
    crate::conf::Evacuations,
};

/// Closes or opens the gate of the local target. Queued requests are refused as not
/// run, so that the sending nodes choose other targets; running requests complete.
///
/// Must precede the change of the routes: an evacuation that callers see without the
/// gate would end without the suspicion that the target is cold.
pub fn apply_evacuations<P: Policies>(node: &Node<P>, evacuations: &Evacuations) {
    let is_evacuated = evacuations.contains(&node.settings.zone);
    let is_changed = node.target.gate().set_evacuated(is_evacuated);
    if is_changed && is_evacuated {
        node.admission().refuse_waiting(node.timer.now_us());
    }
}
