//! Graceful shutdown: drain, announce the leave, close peer connections, stop.
//!
//! Requests in flight get time to finish and peers are notified before their
//! connections close, so that a planned shutdown avoids unknown outcomes.

mod late_requests;

pub use late_requests::{RequestTiming, check_time_left};

use {
    crate::{
        admission::{DRAIN_ANNOUNCE_US, Drain},
        event,
        events::Event,
        node::{Node, Policies},
        timer::TICK_MS,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Time for the membership update about the leave to spread.
const LEAVE_SPREAD_TIME: Duration = Duration::from_millis(300);

/// Maximum wait for requests that arrived while the leave was spreading.
const LATE_REQUESTS_TIMEOUT: Duration = Duration::from_millis(2000);

/// Maximum wait for peers to close their connections.
const PEER_CLOSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum wait for the last answers to be sent.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(200);

/// Waits for a drain to start, completes it and stops the node.
pub async fn run<P: Policies>(node: Arc<Node<P>>) {
    tokio::select! {
        () = node.stopped.cancelled() => return,
        () = node.wait_until_draining() => {}
    }
    let started_ms = node.timer.now_ms();
    let now_us = node.timer.now_us();
    node.admission().drain(Drain::new(now_us));
    let accept_duration = Duration::from_millis(node.settings.drain_accept_ms);
    tokio::time::sleep(accept_duration.max(Duration::from_micros(DRAIN_ANNOUNCE_US))).await;
    node.callers_closing.cancel();
    let drain_limit = Duration::from_millis(node.settings.drain_limit_ms);
    let remaining = |limit: Duration| {
        let elapsed = Duration::from_millis(node.timer.now_ms() - started_ms);
        limit.saturating_sub(elapsed)
    };
    let finished_in_time = wait_until(&node, remaining(drain_limit), Node::is_idle).await;
    let unfinished_count = if finished_in_time {
        0
    } else {
        node.in_flight_count()
    };
    node.own_state.send_modify(|own| own.left = true);
    tokio::time::sleep(LEAVE_SPREAD_TIME).await;
    // Requests that arrived while the leave was spreading.
    wait_until(
        &node,
        LATE_REQUESTS_TIMEOUT.min(remaining(drain_limit)),
        Node::is_idle,
    )
    .await;
    // Closing without GOAWAY would give an attempt that is just arriving an
    // unknown outcome at its sender, which then could not safely resend it.
    node.peers_closing.cancel();
    wait_until(
        &node,
        PEER_CLOSE_TIMEOUT.min(remaining(drain_limit)),
        |node| node.peer_connection_count.load(Ordering::Acquire) == 0,
    )
    .await;
    node.answering_rest.cancel();
    wait_until(&node, LAST_ANSWERS_TIMEOUT, Node::is_idle).await;
    let took_ms = node.timer.now_ms() - started_ms;
    event!(
        Event::DrainEnded,
        "took_ms={took_ms} cut_off={unfinished_count}"
    );
    node.stopped.cancel();
}

/// Checks the condition on every tick; returns whether it held within the limit.
async fn wait_until<P: Policies>(
    node: &Node<P>,
    limit: Duration,
    condition: impl Fn(&Node<P>) -> bool,
) -> bool {
    let mut ticks = node.timer.subscribe(TICK_MS);
    let wait = async {
        while !condition(node) {
            if ticks.next().await.is_none() {
                return;
            }
        }
    };
    tokio::time::timeout(limit, wait).await.is_ok()
}

/// Starts a drain on SIGTERM or SIGINT.
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
