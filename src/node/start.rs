//! Starts the HTTP listeners and background tasks of a node.

use {
    super::{Node, Policies, follow_members, follow_probe_responses, run_ticks},
    crate::{
        control::serve_admin, egress::serve_egress, event, events::Event, exchange::bind,
        ingress::serve_callers, peer::serve_peers, quarantine::exchange_reports, shutdown,
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::net::TcpListener,
    tokio_util::task::TaskTracker,
};

/// A listening socket could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address} for {purpose}: {source}")]
pub struct StartError {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Clients that the listener serves.
    pub purpose: String,
    /// Cause.
    pub source: std::io::Error,
}

/// Listens on all HTTP ports and starts all tasks. The returned tracker's tasks have
/// ended when the node has stopped.
pub fn start<P: Policies>(node: &Arc<Node<P>>) -> Result<TaskTracker, StartError> {
    let settings = &node.settings;
    let callers = listen(node, settings.caller_port, "callers")?;
    let peers = listen(node, settings.peer_port, "other nodes")?;
    let egress = listen(node, settings.egress_port, "the local target")?;
    let admin = listen(node, settings.admin_port, "monitoring")?;
    let tasks = TaskTracker::new();
    tasks.spawn(run_ticks(Arc::clone(node)));
    tasks.spawn(follow_members(Arc::clone(node)));
    tasks.spawn(follow_probe_responses(Arc::clone(node)));
    tasks.spawn(exchange_reports(Arc::clone(node)));
    tasks.spawn(serve_callers(Arc::clone(node), callers));
    tasks.spawn(serve_peers(Arc::clone(node), peers));
    tasks.spawn(serve_egress(Arc::clone(node), egress));
    tasks.spawn(serve_admin(Arc::clone(node), admin));
    tasks.spawn(shutdown::run(Arc::clone(node)));
    tasks.close();
    let (id, ip) = (&settings.node_id, settings.ip);
    event!(Event::NodeStarted, "node={id} ip={ip}");
    Ok(tasks)
}

fn listen<P: Policies>(
    node: &Node<P>,
    port: u16,
    purpose: &str,
) -> Result<TcpListener, StartError> {
    let address = SocketAddr::new(node.settings.ip, port);
    bind(address).map_err(|source| StartError {
        address,
        purpose: purpose.to_owned(),
        source,
    })
}
