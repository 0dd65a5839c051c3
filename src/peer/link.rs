//! Connections to another node.

use {
    crate::model::Class,
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http2,
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicI64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpSocket, sync::watch},
};

/// Sends requests on one connection.
pub type PeerSender = http2::SendRequest<Full<Bytes>>;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;
const SEND_STREAM_COUNT: usize = 1024;
/// Resets that the library remembers; a surge of cancelled requests must not
/// end the connection that others share.
const RESET_STREAM_COUNT: usize = 4096;
/// A peer that vanished without closing is noticed within the sum of both.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// No connection to the other node could be made.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The system refused.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Where to.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// No answer in time.
    #[error("cannot connect to {address} within {CONNECT_TIMEOUT:?}")]
    Timeout {
        /// Where to.
        address: SocketAddr,
    },
    /// The HTTP/2 handshake failed.
    #[error("HTTP/2 handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

#[derive(Debug, Default)]
struct Lane {
    sender: Mutex<Option<PeerSender>>,
    connecting: tokio::sync::Mutex<()>,
}

/// Connections to one process of another node.
///
/// Critical requests have a connection of their own, so that streams and flow
/// control used up by browsing cannot hold them up.
#[derive(Debug)]
pub struct PeerLink {
    local_ip: IpAddr,
    address: SocketAddr,
    lanes: [Lane; 2],
    is_silent: watch::Sender<bool>,
    /// The other node's clock less the own one, in milliseconds.
    clock_offset_ms: AtomicI64,
}

impl PeerLink {
    /// A link without connections yet; `local_ip` is the own address.
    #[must_use]
    pub fn new(local_ip: IpAddr, address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            local_ip,
            address,
            lanes: Default::default(),
            is_silent: watch::Sender::new(false),
            clock_offset_ms: AtomicI64::new(0),
        })
    }

    /// Time on the other node's clock, as far as it told.
    #[must_use]
    pub fn their_unix_ms(&self, own_unix_ms: u64) -> u64 {
        own_unix_ms.saturating_add_signed(self.clock_offset_ms.load(Ordering::Relaxed))
    }

    /// The other node told what its clock says.
    pub fn record_clock(&self, their_unix_ms: u64, own_unix_ms: u64) {
        let offset_ms = their_unix_ms.wrapping_sub(own_unix_ms).cast_signed();
        self.clock_offset_ms.store(offset_ms, Ordering::Relaxed);
    }

    /// Tells whether the other node has stopped to answer.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent
            .send_if_modified(|known| std::mem::replace(known, is_silent) != is_silent);
    }

    /// Waits until the other node has stopped to answer.
    pub async fn wait_until_silent(&self) {
        // The sender lives as long as this link.
        let _ = self.is_silent.subscribe().wait_for(|silent| *silent).await;
    }

    /// Address of the other node.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// An open connection for this class, made when there is none.
    pub async fn sender(&self, class: Class) -> Result<PeerSender, LinkError> {
        let lane = &self.lanes[usize::from(class == Class::Critical)];
        if let Some(sender) = lane.open_sender() {
            return Ok(sender);
        }
        let _connecting = lane.connecting.lock().await;
        if let Some(sender) = lane.open_sender() {
            return Ok(sender);
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect());
        let sender = connecting.await.map_err(|_| LinkError::Timeout {
            address: self.address,
        })??;
        *lane.sender.lock().expect("lock is not poisoned") = Some(sender.clone());
        Ok(sender)
    }

    async fn connect(&self) -> Result<PeerSender, LinkError> {
        let stream = connect_from(self.local_ip, self.address)
            .await
            .map_err(|source| LinkError::Connect {
                address: self.address,
                source,
            })?;
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(SEND_STREAM_COUNT)
            .max_concurrent_reset_streams(RESET_STREAM_COUNT)
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

impl Lane {
    fn open_sender(&self) -> Option<PeerSender> {
        let sender = self.sender.lock().expect("lock is not poisoned");
        sender
            .as_ref()
            .filter(|sender| !sender.is_closed())
            .cloned()
    }
}

/// Connects from the own address, so that other instances and fault tests see
/// where it comes from.
pub async fn connect_from(
    local_ip: IpAddr,
    address: SocketAddr,
) -> std::io::Result<tokio::net::TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    socket.bind(SocketAddr::new(local_ip, 0))?;
    socket.connect(address).await
}
