//! Background tasks that update the state of a node.

use {
    super::{NOT_CUT_OFF, Node, Policies, evacuation::apply_evacuations, route_table::FleetState},
    crate::{
        dialect::Dialect,
        event,
        events::Event,
        freshness::Freshness,
        timer::{IDLE_TICK_MS, TICK_MS},
    },
    std::sync::{Arc, atomic::Ordering},
    tokio::sync::broadcast::error::RecvError,
};

/// Performs the periodic checks until the node stops.
///
/// They run every [`TICK_MS`] while requests are in flight. On an idle node nothing
/// can expire soon, so they run every [`IDLE_TICK_MS`]; the first request switches
/// to the short period at once, so that no request is checked late.
pub async fn run_ticks<P: Policies>(node: Arc<Node<P>>) {
    let mut ticks = node.timer.subscribe(TICK_MS);
    let mut idle_ticks = node.timer.subscribe(IDLE_TICK_MS);
    loop {
        let tick = tokio::select! {
            () = node.stopped.cancelled() => return,
            tick = ticks.next(), if !node.has_no_request_in_flight() => tick,
            tick = idle_ticks.next() => tick,
            () = node.first_request_arrived.notified() => continue,
        };
        let Some(tick) = tick else {
            return;
        };
        if node.has_no_request_in_flight() {
            node.loop_lag().pause();
        } else {
            node.loop_lag().record_tick(tick.now_us);
        }
        node.admission().tick(tick.now_us);
        node.quarantine.tick(tick.now_us);
        node.routes().tick(tick.now_us);
        probe_silent_nodes(&node, tick.now_us);
        remove_silent_target(&node, tick.now_ms());
        update_cut_off_since(&node, tick.now_ms());
    }
}

/// Updates the local target's gate and the routing policy's targets from membership and
/// evacuations.
pub async fn follow_members<P: Policies>(node: Arc<Node<P>>) {
    let mut view = node.view.clone();
    let mut own = node.own_state.subscribe();
    let mut evacuations = node.evacuations.clone();
    loop {
        let members = Arc::clone(&view.borrow_and_update());
        let own_state = own.borrow_and_update().clone();
        let evacuated_zones = Arc::clone(&evacuations.borrow_and_update());
        apply_evacuations(&node, &evacuated_zones);
        node.routes().sync(
            FleetState {
                view: &members,
                own: &own_state,
                evacuations: &evacuated_zones,
            },
            &node.settings,
            &node.names,
            !P::Dialect::SLOTS_ARE_EXACT,
            node.timer.now_us(),
        );
        let changed = tokio::select! {
            () = node.stopped.cancelled() => return,
            changed = view.changed() => changed,
            changed = own.changed() => changed,
            changed = evacuations.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Probes nodes that have outstanding requests and do not respond.
fn probe_silent_nodes<P: Policies>(node: &Node<P>, now_us: u64) {
    let to_probe = node.routes().check_silence(now_us);
    for node_id in to_probe {
        node.probes.probe_liveness(&node_id);
    }
}

/// Records responses to probes in the routing policy.
pub async fn follow_probe_responses<P: Policies>(node: Arc<Node<P>>) {
    let mut responses = node.probes.subscribe_responses();
    loop {
        let response = tokio::select! {
            () = node.stopped.cancelled() => return,
            response = responses.recv() => response,
        };
        match response {
            Ok(node_id) => node.routes().record_response(&node_id, node.timer.now_us()),
            // Members whose responses were missed also respond to the next probe.
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

fn remove_silent_target<P: Policies>(node: &Node<P>, now_ms: u64) {
    let silence_ms = node.settings.target_silence_ms();
    if node.target.remove_if_silent(now_ms, silence_ms) {
        event!(Event::TargetLost, "silent_ms={silence_ms}");
        node.registration().record_silence();
        node.own_state.send_modify(|own| own.target = None);
    }
}

fn update_cut_off_since<P: Policies>(node: &Node<P>, now_ms: u64) {
    let is_cut_off = node.freshness.borrow().at(now_ms) == Freshness::CutOff;
    let was_cut_off = node.cut_off_since_ms() != NOT_CUT_OFF;
    if is_cut_off != was_cut_off {
        let since_ms = if is_cut_off { now_ms } else { NOT_CUT_OFF };
        node.cut_off_since_ms.store(since_ms, Ordering::Relaxed);
    }
}
