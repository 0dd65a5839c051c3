//! Listeners of the whole mesh.

use {
    super::{Host, Hosts, Rules, admin, tcp, udp},
    std::{collections::HashMap, io, net::SocketAddr, sync::Arc},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
    },
    tokio_util::sync::CancellationToken,
};

/// What is proxied.
#[derives::record]
#[derive(Default, Eq)]
#[serde(deny_unknown_fields)]
pub struct ProxyConf {
    /// All hosts.
    pub hosts: Vec<Host>,
    /// TCP ports of each host.
    pub tcp_ports: Vec<u16>,
    /// UDP ports of each host.
    pub udp_ports: Vec<u16>,
}

/// A listener could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub struct ProxyError {
    /// Where.
    pub address: SocketAddr,
    /// Why.
    pub source: io::Error,
}

/// What all connections share.
#[derive(Debug)]
pub(super) struct Mesh {
    pub(super) hosts: Hosts,
    pub(super) rules: watch::Sender<Arc<Rules>>,
    pub(super) udp_sockets: HashMap<SocketAddr, UdpSocket>,
}

/// A proxy whose listeners are open.
#[derive(Debug)]
pub struct FaultProxy {
    mesh: Arc<Mesh>,
    tcp_listeners: Vec<(Host, TcpListener)>,
}

impl FaultProxy {
    /// Opens all listeners.
    pub async fn new(conf: &ProxyConf) -> Result<Self, ProxyError> {
        let mut tcp_listeners = Vec::new();
        let mut udp_sockets = HashMap::new();
        for host in &conf.hosts {
            for port in &conf.tcp_ports {
                let address = SocketAddr::new(host.virtual_ip, *port);
                let listener = TcpListener::bind(address).await;
                let listener = listener.map_err(|source| ProxyError { address, source })?;
                tcp_listeners.push((host.clone(), listener));
            }
            for port in &conf.udp_ports {
                let address = SocketAddr::new(host.virtual_ip, *port);
                let socket = UdpSocket::bind(address).await;
                let socket = socket.map_err(|source| ProxyError { address, source })?;
                udp_sockets.insert(address, socket);
            }
        }
        Ok(Self {
            mesh: Arc::new(Mesh {
                hosts: Hosts::new(conf.hosts.clone()),
                rules: watch::Sender::default(),
                udp_sockets,
            }),
            tcp_listeners,
        })
    }

    /// Proxies until `stop` is cancelled.
    pub async fn serve(self, admin_listener: TcpListener, stop: CancellationToken) {
        for (host, listener) in self.tcp_listeners {
            let serving = tcp::serve(Arc::clone(&self.mesh), host, listener);
            tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
        }
        for host in self.mesh.hosts.all() {
            for address in self.mesh.udp_sockets.keys() {
                if address.ip() == host.virtual_ip {
                    let serving = udp::serve(Arc::clone(&self.mesh), host.clone(), *address);
                    tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
                }
            }
        }
        admin::serve(Arc::clone(&self.mesh), admin_listener, stop).await;
    }
}
