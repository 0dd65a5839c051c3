//! Datagrams through the proxy.

use {
    super::{Effect, Host, proxy::Mesh},
    bytes::Bytes,
    rand::Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::Semaphore, time},
};

const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Datagrams of one socket that are delayed or held; further ones vanish.
const MAX_HELD_COUNT: usize = 10_000;

/// Forwards what arrives at one port of a host. Datagrams from senders that
/// are no hosts vanish: there is no virtual address to send them from.
pub(super) async fn serve(mesh: Arc<Mesh>, to: Host, address: SocketAddr) {
    let Some(socket) = mesh.udp_sockets.get(&address) else {
        return;
    };
    let held = Arc::new(Semaphore::new(MAX_HELD_COUNT));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here tells of an earlier datagram that met a closed port.
        let Ok((byte_count, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(from) = mesh.hosts.by_real_ip(source.ip()) else {
            continue;
        };
        let datagram = Datagram {
            from: from.clone(),
            to: to.clone(),
            port: address.port(),
            data: Bytes::copy_from_slice(&buffer[..byte_count]),
        };
        datagram.forward(&mesh, &held).await;
    }
}

#[derive(Debug, Clone)]
struct Datagram {
    from: Host,
    to: Host,
    port: u16,
    data: Bytes,
}

impl Datagram {
    async fn forward(self, mesh: &Arc<Mesh>, held: &Arc<Semaphore>) {
        let effect = self.effect(mesh);
        if effect.cut.is_some() || rand::rng().random::<f64>() < effect.drop_ratio {
            return;
        }
        let copy_count = if rand::rng().random::<f64>() < effect.duplicate_ratio {
            2
        } else {
            1
        };
        for _ in 0..copy_count {
            if effect.delay_ms == 0 && !effect.freeze {
                self.send(mesh).await;
                continue;
            }
            let Ok(permit) = Arc::clone(held).try_acquire_owned() else {
                return;
            };
            let (datagram, mesh) = (self.clone(), Arc::clone(mesh));
            tokio::spawn(async move {
                time::sleep(Duration::from_millis(effect.delay_ms)).await;
                datagram.wait_unfrozen(&mesh).await;
                datagram.send(&mesh).await;
                drop(permit);
            });
        }
    }

    fn effect(&self, mesh: &Mesh) -> Effect {
        mesh.rules.borrow().effect(&self.from, &self.to, self.port)
    }

    async fn wait_unfrozen(&self, mesh: &Mesh) {
        let mut rules = mesh.rules.subscribe();
        let is_open =
            |rules: &Arc<super::Rules>| !rules.effect(&self.from, &self.to, self.port).freeze;
        let _ = rules.wait_for(is_open).await;
    }

    /// Sent from the sender's virtual address, under which the receiver
    /// knows it.
    async fn send(&self, mesh: &Mesh) {
        let from = SocketAddr::new(self.from.virtual_ip, self.port);
        let to = SocketAddr::new(self.to.real_ip, self.port);
        if let Some(socket) = mesh.udp_sockets.get(&from) {
            let _ = socket.send_to(&self.data, to).await;
        }
    }
}
