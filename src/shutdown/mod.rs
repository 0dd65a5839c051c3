//! The one way in which a node leaves.

use {
    crate::{
        event,
        events::Event,
        node::{Node, Policies},
        timer::TICK_MS,
    },
    std::{sync::Arc, time::Duration},
};

/// How long the node goes on serving while others learn that it leaves.
///
/// Refusing at once would spend the retries of every request that others have
/// already sent here.
const ANNOUNCE_TIME: Duration = Duration::from_millis(1000);
/// How long the news that the node left is given to spread.
const FAREWELL_TIME: Duration = Duration::from_millis(300);

/// Waits for a drain, carries it out and stops the node.
pub async fn run<P: Policies>(node: Arc<Node<P>>) {
    node.drain_begins().await;
    let started_ms = node.timer.now_ms();
    tokio::time::sleep(ANNOUNCE_TIME).await;
    let now_us = node.timer.now_us();
    node.admission().drain(now_us);
    node.closing.cancel();
    let limit = Duration::from_millis(node.settings.drain_limit_ms);
    let is_done = tokio::time::timeout(limit, work_ends(&node)).await.is_ok();
    node.own_state.send_modify(|own| own.left = true);
    tokio::time::sleep(FAREWELL_TIME).await;
    let took_ms = node.timer.now_ms() - started_ms;
    let cut_off = if is_done { 0 } else { node.in_flight_count() };
    event!(Event::DrainEnded, "took_ms={took_ms} cut_off={cut_off}");
    node.stopped.cancel();
}

async fn work_ends<P: Policies>(node: &Node<P>) {
    let mut ticks = node.timer.subscribe(TICK_MS);
    loop {
        let (running, waiting) = node.admission().counts();
        if running + waiting + node.in_flight_count() == 0 {
            return;
        }
        if ticks.next().await.is_none() {
            return;
        }
    }
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
