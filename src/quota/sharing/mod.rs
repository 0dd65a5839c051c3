//! Exchanges token needs and grants between nodes by datagrams.
//!
//! The next report makes up for a lost datagram. A divider that does not reply
//! is replaced by the next candidate, which starts with empty buckets. One that
//! drains or is preceded by a node that joins hands its tokens over.

mod datagrams;
mod exchange;
mod handover;
mod members;
mod replies;
mod takeover;

pub use {
    datagrams::Message,
    exchange::{Exchange, ExchangeInputs},
};

use {
    super::{DividedQuota, Rates},
    crate::{event, events::Event, membership::View, model::Names, peer::FleetAuth, timer::Timer},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, sync::watch},
    tokio_util::sync::CancellationToken,
};

/// Interval between two reports. A share stays lent for five intervals, so that
/// a few lost datagrams do no harm.
const PERIOD_MS: u64 = 200;
/// Time after which a report without a reply is repeated while requests wait: a
/// few round trips to another zone.
const REPEAT_INTERVAL: Duration = Duration::from_millis(12);
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Inputs of rate sharing from its node.
pub struct SharingInputs {
    /// Id of this node.
    pub node_id: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Port on which other nodes receive these messages.
    pub port: u16,
    /// Authenticates messages.
    pub auth: FleetAuth,
    /// Clock.
    pub timer: Timer,
    /// Names of workspaces.
    pub names: Names,
    /// Membership view.
    pub view: watch::Receiver<Arc<View>>,
    /// Number of nodes that the platform knows, which gossip may not all have
    /// met yet; `None` until the platform has been queried.
    pub expected_count: watch::Receiver<Option<usize>>,
    /// Rates in force.
    pub rates: watch::Receiver<Arc<Rates>>,
}

struct Sharing {
    inputs: SharingInputs,
    socket: UdpSocket,
    quota: DividedQuota,
    exchange: Exchange,
}

/// Binds the socket and shares rates with other nodes until `shutdown`.
pub async fn spawn_sharing(
    inputs: SharingInputs,
    quota: DividedQuota,
    shutdown: CancellationToken,
) -> std::io::Result<()> {
    let socket = UdpSocket::bind(inputs.address).await?;
    let exchange_inputs = ExchangeInputs {
        node_id: inputs.node_id.clone(),
        address: inputs.address,
        port: inputs.port,
        process_id: rand::random(),
        names: inputs.names.clone(),
    };
    let exchange = Exchange::new(exchange_inputs, inputs.timer.now_us());
    let sharing = Sharing {
        inputs,
        socket,
        quota,
        exchange,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = sharing.run() => {}
        }
    });
    Ok(())
}

impl Sharing {
    async fn run(mut self) {
        let mut ticks = self.inputs.timer.subscribe(PERIOD_MS);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let quota = self.quota.clone();
        loop {
            self.update_inputs();
            self.send_all().await;
            let has_waiting = quota.lock().has_waiting();
            tokio::select! {
                () = tokio::time::sleep(REPEAT_INTERVAL), if has_waiting => self.request_tokens(),
                tick = ticks.next() => match tick {
                    Some(tick) => {
                        self.update_inputs();
                        self.exchange.on_tick(&mut quota.lock(), tick.now_us);
                    }
                    None => return,
                },
                Ok(()) = self.inputs.expected_count.changed() => {}
                Ok(()) = self.inputs.view.changed() => {}
                Ok(()) = self.inputs.rates.changed() => {}
                () = quota.wait_until_tokens_needed() => self.request_tokens(),
                received = self.socket.recv_from(&mut buffer) => {
                    // A send to a closed port surfaces as an error of a later
                    // receive and says nothing about this socket.
                    if let Ok((length, sender)) = received {
                        self.receive(&buffer[..length], sender);
                    }
                }
            }
        }
    }

    /// Passes on what has changed in the view, the number of nodes and the rates.
    fn update_inputs(&mut self) {
        let now_us = self.inputs.timer.now_us();
        let mut quota = self.quota.lock();
        let rates = Arc::clone(&self.inputs.rates.borrow_and_update());
        self.exchange.set_rates(&rates, &mut quota, now_us);
        let view = Arc::clone(&self.inputs.view.borrow_and_update());
        self.exchange.set_view(view, now_us);
        let expected_count = *self.inputs.expected_count.borrow_and_update();
        self.exchange
            .set_expected_count(expected_count, &mut quota, now_us);
    }

    fn request_tokens(&mut self) {
        let now_us = self.inputs.timer.now_us();
        self.exchange.request_tokens(&mut self.quota.lock(), now_us);
    }

    fn receive(&mut self, datagram: &[u8], sender: SocketAddr) {
        let Some(message) = Message::decode(datagram, &self.inputs.auth) else {
            event!(
                Event::ContextForged,
                "quota datagram from {sender} rejected"
            );
            return;
        };
        self.update_inputs();
        let now_us = self.inputs.timer.now_us();
        self.exchange
            .receive(message, sender, &mut self.quota.lock(), now_us);
    }

    async fn send_all(&mut self) {
        for (message, to) in self.exchange.take_outgoing() {
            match message.encode(&self.inputs.auth) {
                // The next report makes up for a lost datagram.
                Ok(datagram) => drop(self.socket.send_to(&datagram, to).await),
                Err(error) => {
                    log::error!(target: "dogwood", "quota message cannot be encoded: {error}");
                }
            }
        }
    }
}
