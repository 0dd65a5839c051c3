//! The one way in which a node leaves.

use {
    crate::{
        event,
        events::Event,
        node::{DRAIN_ANNOUNCE_US, Node, Policies},
        timer::TICK_MS,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// How long the news that the node left is given to spread.
const FAREWELL_TIME: Duration = Duration::from_millis(300);

/// How long work of the last moment is given to end.
const FAREWELL_LIMIT: Duration = Duration::from_millis(2000);

/// How long other nodes are given to let go of their connections.
const PEERS_LIMIT: Duration = Duration::from_millis(1000);

/// Waits for a drain, carries it out and stops the node.
pub async fn run<P: Policies>(node: Arc<Node<P>>) {
    tokio::select! {
        () = node.stopped.cancelled() => return,
        () = node.wait_until_draining() => {}
    }
    let started_ms = node.timer.now_ms();
    let now_us = node.timer.now_us();
    node.admission().drain(now_us);
    let accept = Duration::from_millis(node.settings.drain_accept_ms);
    tokio::time::sleep(accept.max(Duration::from_micros(DRAIN_ANNOUNCE_US))).await;
    node.callers_closing.cancel();
    let limit = Duration::from_millis(node.settings.drain_limit_ms);
    let left = |limit: Duration| {
        let passed = Duration::from_millis(node.timer.now_ms() - started_ms);
        limit.saturating_sub(passed)
    };
    let is_done = until(&node, left(limit), Node::is_idle).await;
    let cut_off = if is_done { 0 } else { node.in_flight_count() };
    node.own_state.send_modify(|own| own.left = true);
    tokio::time::sleep(FAREWELL_TIME).await;
    // What came in at the last moment.
    until(&node, FAREWELL_LIMIT.min(left(limit)), Node::is_idle).await;
    // Cut without GOAWAY, an attempt that arrives just now would end in an
    // unknown outcome at its sender instead of one that may be sent again.
    node.peers_closing.cancel();
    until(&node, PEERS_LIMIT.min(left(limit)), |node| {
        node.peer_connection_count.load(Ordering::Acquire) == 0
    })
    .await;
    let took_ms = node.timer.now_ms() - started_ms;
    event!(Event::DrainEnded, "took_ms={took_ms} cut_off={cut_off}");
    node.stopped.cancel();
}

/// Whether the condition came true within the limit.
async fn until<P: Policies>(
    node: &Node<P>,
    limit: Duration,
    condition: impl Fn(&Node<P>) -> bool,
) -> bool {
    let mut ticks = node.timer.subscribe(TICK_MS);
    let waiting = async {
        while !condition(node) {
            if ticks.next().await.is_none() {
                return;
            }
        }
    };
    tokio::time::timeout(limit, waiting).await.is_ok()
}

/// Starts the drain at SIGTERM or SIGINT.
pub async fn drain_at_signal<P: Policies>(node: Arc<Node<P>>) -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.drain();
    Ok(())
}
