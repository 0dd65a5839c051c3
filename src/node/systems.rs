//! Systems that run over the tables of a node.

use {
    super::{NOT_CUT_OFF, Node, Policies, route_table::FleetState},
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

/// Silence after which a target counts as lost, in milliseconds.
const TARGET_SILENCE_MS: u64 = 5000;

/// Runs the systems that look at time, until the node stops.
///
/// With requests in flight they run each [`TICK_MS`]. Without any nothing can
/// expire soon, so they run each [`IDLE_TICK_MS`]; the first request wakes
/// them at once, so that none waits longer for its turn.
pub async fn run_ticks<P: Policies>(node: Arc<Node<P>>) {
    let mut ticks = node.timer.subscribe(TICK_MS);
    let mut idle_ticks = node.timer.subscribe(IDLE_TICK_MS);
    loop {
        let tick = tokio::select! {
            () = node.stopped.cancelled() => return,
            tick = ticks.next(), if !node.has_nothing_to_do() => tick,
            tick = idle_ticks.next() => tick,
            () = node.work_begins.notified() => continue,
        };
        let Some(tick) = tick else {
            return;
        };
        if node.has_nothing_to_do() {
            node.loop_lag().pause();
        } else {
            node.loop_lag().note(tick.now_us);
        }
        node.admission().tick(tick.now_us);
        node.routes().tick(tick.now_us);
        ask_unheard(&node, tick.now_us);
        lose_silent_target(&node, tick.now_ms());
        watch_freshness(&node, tick.now_ms());
    }
}

/// Keeps the targets of the routing policy as membership knows them.
pub async fn follow_members<P: Policies>(node: Arc<Node<P>>) {
    let mut view = node.view.clone();
    let mut own = node.own_state.subscribe();
    let mut evacuations = node.evacuations.clone();
    loop {
        let members = Arc::clone(&view.borrow_and_update());
        let own_state = own.borrow_and_update().clone();
        let evacuated = Arc::clone(&evacuations.borrow_and_update());
        node.routes().sync(
            FleetState {
                view: &members,
                own: &own_state,
                evacuations: &evacuated,
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

/// Asks the nodes whether they live at which requests wait without a word.
fn ask_unheard<P: Policies>(node: &Node<P>, now_us: u64) {
    let asked = node.routes().unheard(now_us);
    for node_id in asked {
        node.probes.ask(&node_id);
    }
}

/// Tells the routing policy which nodes answered.
pub async fn follow_answers<P: Policies>(node: Arc<Node<P>>) {
    let mut answers = node.probes.answers();
    loop {
        let answer = tokio::select! {
            () = node.stopped.cancelled() => return,
            answer = answers.recv() => answer,
        };
        match answer {
            Ok(node_id) => node.routes().heard(&node_id, node.timer.now_us()),
            // The members that were missed answer the next question as well.
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

fn lose_silent_target<P: Policies>(node: &Node<P>, now_ms: u64) {
    if node.target.lose_if_silent(now_ms, TARGET_SILENCE_MS) {
        event!(Event::TargetLost, "silent_ms={TARGET_SILENCE_MS}");
        node.own_state.send_modify(|own| own.target = None);
    }
}

fn watch_freshness<P: Policies>(node: &Node<P>, now_ms: u64) {
    let is_cut_off = node.freshness.borrow().at(now_ms) == Freshness::CutOff;
    let was_cut_off = node.cut_off_since_ms() != NOT_CUT_OFF;
    if is_cut_off != was_cut_off {
        let since_ms = if is_cut_off { now_ms } else { NOT_CUT_OFF };
        node.cut_off_since_ms.store(since_ms, Ordering::Relaxed);
    }
}
