//! Starts the parts of a node that serve HTTP.

use {
    super::{Node, Policies, follow_answers, follow_evacuations, follow_members, run_ticks},
    crate::{
        control::serve_admin, egress::serve_egress, event, events::Event, exchange::bind,
        ingress::serve_callers, peer::serve_peers, shutdown,
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::net::TcpListener,
    tokio_util::task::TaskTracker,
};

/// A port could not be listened on.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address} for {purpose}: {source}")]
pub struct StartError {
    /// The address.
    pub address: SocketAddr,
    /// What for.
    pub purpose: String,
    /// Why.
    pub source: std::io::Error,
}

/// Listens on all HTTP ports and starts all tasks; the returned tracker's
/// tasks have ended when the node has stopped.
pub fn start<P: Policies>(node: &Arc<Node<P>>) -> Result<TaskTracker, StartError> {
    let settings = &node.settings;
    let callers = listen(node, settings.caller_port, "callers")?;
    let peers = listen(node, settings.peer_port, "other nodes")?;
    let egress = listen(node, settings.egress_port, "the own target")?;
    let admin = listen(node, settings.admin_port, "monitoring")?;
    let tasks = TaskTracker::new();
    tasks.spawn(run_ticks(Arc::clone(node)));
    tasks.spawn(follow_members(Arc::clone(node)));
    tasks.spawn(follow_answers(Arc::clone(node)));
    tasks.spawn(follow_evacuations(Arc::clone(node)));
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
