//! HTTP/2 connections to another node.

use {
    crate::{exchange::Segments, model::Class},
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

/// Sends requests over a connection.
pub type PeerSender = http2::SendRequest<Segments>;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// What a caller that does not read its response makes this node hold of it.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
/// Responses that are not read use up the window of their connection, and hold up all others on it;
/// their number is bounded at the listener for callers.
const CONNECTION_WINDOW_BYTES: u32 = 256 << 20;
const SEND_STREAM_COUNT: usize = 1024;
/// Reset streams that hyper remembers. A frame for a forgotten one closes the
/// connection; a surge of cancelled requests must not do that to the others.
const RESET_STREAM_COUNT: usize = 4096;
/// A peer that disappears without closing is detected within the sum of
/// interval and timeout.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to the peer could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The TCP connection failed.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The connection was not open in time.
    #[error("cannot connect to {address} within {CONNECT_TIMEOUT:?}")]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// The HTTP/2 handshake failed.
    #[error("HTTP/2 handshake failed: {0}")]
    Handshake(#[from] hyper::Error),
}

#[derive(Debug, Default)]
struct SharedConnection {
    sender: Mutex<Option<PeerSender>>,
    connect_lock: tokio::sync::Mutex<()>,
}

/// Connections to a process of another node.
///
/// Critical requests have a connection of their own, so that other classes
/// cannot block them by using up its streams or flow control window.
#[derive(Debug)]
pub struct PeerLink {
    local_ip: IpAddr,
    address: SocketAddr,
    connections: [SharedConnection; 2],
    is_silent: watch::Sender<bool>,
    /// The peer's clock minus the local clock, in milliseconds.
    clock_offset_ms: AtomicI64,
}

impl PeerLink {
    /// Creates a link without open connections; they are made from `local_ip`.
    #[must_use]
    pub fn new(local_ip: IpAddr, address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            local_ip,
            address,
            connections: Default::default(),
            is_silent: watch::Sender::new(false),
            clock_offset_ms: AtomicI64::new(0),
        })
    }

    /// Time on the peer's clock; local time until the peer has reported its own.
    #[must_use]
    pub fn peer_unix_ms(&self, local_unix_ms: u64) -> u64 {
        local_unix_ms.saturating_add_signed(self.clock_offset_ms.load(Ordering::Relaxed))
    }

    /// Records the clock that the peer reported.
    pub fn record_clock(&self, peer_unix_ms: u64, local_unix_ms: u64) {
        let offset_ms = peer_unix_ms.wrapping_sub(local_unix_ms).cast_signed();
        self.clock_offset_ms.store(offset_ms, Ordering::Relaxed);
    }

    /// Sets whether the peer has stopped responding.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent
            .send_if_modified(|was_silent| std::mem::replace(was_silent, is_silent) != is_silent);
    }

    /// Waits until the peer has stopped responding.
    pub async fn wait_until_silent(&self) {
        // The wait cannot fail: this link owns the sender.
        let _ = self.is_silent.subscribe().wait_for(|silent| *silent).await;
    }

    /// Address of the peer.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// An open connection for this class; opened if there is none.
    pub async fn sender(&self, class: Class) -> Result<PeerSender, LinkError> {
        let connection = &self.connections[usize::from(class == Class::Critical)];
        if let Some(sender) = connection.open_sender() {
            return Ok(sender);
        }
        let _connecting = connection.connect_lock.lock().await;
        if let Some(sender) = connection.open_sender() {
            return Ok(sender);
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect());
        let sender = connecting.await.map_err(|_| LinkError::Timeout {
            address: self.address,
        })??;
        *connection.sender.lock().expect("lock is not poisoned") = Some(sender.clone());
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

impl SharedConnection {
    fn open_sender(&self) -> Option<PeerSender> {
        let sender = self.sender.lock().expect("lock is not poisoned");
        sender
            .as_ref()
            .filter(|sender| !sender.is_closed())
            .cloned()
    }
}

/// Connects from the local address, so that other instances and fault tests can
/// identify the source.
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
