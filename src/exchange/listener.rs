//! HTTP listeners: accept connections and serve them until the node drains.

use {
    super::{
        EarlyResponse, ResponseBody,
        connection_table::{ConnectionLimits, ConnectionTable},
        read_ahead::ReadAheadRoom,
        refusal_response,
        served_connection::ServedConnection,
        tracked::RequestProgress,
    },
    crate::model::{Reason, Refusal},
    http_body_util::BodyExt,
    hyper::{Request, Response, body::Incoming, http::request::Parts},
    std::{
        io::ErrorKind,
        net::SocketAddr,
        sync::{Arc, atomic::AtomicUsize},
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpSocket, TcpStream},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Length of the queue of connections that are not accepted yet.
const BACKLOG: u32 = 1024;
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What the connections of a listener may hold together.
#[derive(Debug, Clone, Copy)]
pub struct ListenerMemory {
    /// Heads and state of requests in progress, in bytes.
    pub request_bytes: usize,
    /// Responses that callers have not read, in bytes.
    pub response_bytes: usize,
    /// Bytes that are read ahead, beside the first ones of each connection.
    pub read_ahead_bytes: usize,
    /// Flow control windows of each stream and connection of HTTP/2, in bytes.
    pub window_bytes: (u32, u32),
}

impl ListenerMemory {
    /// Of a listener for other nodes, which keep to limits of their own.
    pub const FOR_NODES: Self = Self {
        request_bytes: usize::MAX / 2,
        response_bytes: usize::MAX / 2,
        read_ahead_bytes: 8 << 20,
        window_bytes: (1 << 20, 8 << 20),
    };
    /// Of a listener for the machine's own target and for monitoring, with few requests at a time.
    pub const FOR_MACHINE: Self = Self {
        request_bytes: 1 << 20,
        response_bytes: 2 << 20,
        read_ahead_bytes: 256 << 10,
        window_bytes: (16 << 10, 64 << 10),
    };
}

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Concurrent connections.
    pub max_connections: usize,
    /// Size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Time to receive the headers of a request.
    pub header_timeout: Duration,
    /// Concurrent streams of an HTTP/2 connection.
    pub max_streams: u32,
    /// Memory of all connections.
    pub memory: ListenerMemory,
}

/// Handles the requests of a listener.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles a request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send + 'static;

    /// Records that a connection was closed to make room for others.
    fn record_closed(&self) {}

    /// Starts a pipelined request without a body early; `None` for one that may be executed
    /// only once.
    fn start_early(&self, _head: &Parts, _progress: RequestProgress) -> Option<EarlyResponse> {
        None
    }
}

impl<H, F> Handler for H
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send + 'static {
        self(request)
    }
}

/// Binds a listener to an address.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves connections until `closing` is cancelled. Then accepts no further ones, shuts
/// the open ones down gracefully (`Connection: close`, GOAWAY) and returns when all have
/// ended; `stopped` aborts them.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: ListenerLimits,
    closing: CancellationToken,
    stopped: CancellationToken,
    open_count: Arc<AtomicUsize>,
    handler: H,
) {
    let connection_limits = ConnectionLimits {
        connection_count: limits.max_connections,
        request_bytes: limits.memory.request_bytes,
        response_bytes: limits.memory.response_bytes,
    };
    let connections = Connections {
        tasks: TaskTracker::new(),
        table: ConnectionTable::new(connection_limits, open_count),
        read_ahead: ReadAheadRoom::new(limits.memory.read_ahead_bytes),
        limits,
        closing: closing.clone(),
        stopped: stopped.clone(),
        handler,
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => break,
            () = stopped.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => connections.start(stream),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    if let Err(error) = connections.start_pending(listener) {
        log::warn!(target: "dogwood", "cannot accept the pending connections of a closing listener: {error}");
    }
    connections.tasks.close();
    connections.tasks.wait().await;
}

/// The connections of a listener.
struct Connections<H> {
    tasks: TaskTracker,
    table: ConnectionTable,
    read_ahead: ReadAheadRoom,
    limits: ListenerLimits,
    closing: CancellationToken,
    stopped: CancellationToken,
    handler: H,
}

impl<H: Handler> Connections<H> {
    fn start(&self, stream: TcpStream) {
        let Some(open_connection) = self.table.open() else {
            self.tasks.spawn(refuse_connection(stream));
            return;
        };
        let stopped = self.stopped.clone();
        let serving = ServedConnection {
            limits: self.limits,
            closing: self.closing.clone(),
            requests: open_connection.requests(),
            read_ahead: self.read_ahead.clone(),
            handler: self.handler.clone(),
        };
        let handler = self.handler.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = open_connection.must_close() => handler.record_closed(),
                () = serving.run(stream) => {}
            }
            drop(open_connection);
        });
    }

    /// Starts connections that the system has accepted but the runtime has not reported yet;
    /// they would be reset with the listener.
    fn start_pending(&self, listener: TcpListener) -> std::io::Result<()> {
        let listener = listener.into_std()?;
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            };
            stream.set_nonblocking(true)?;
            self.start(TcpStream::from_std(stream)?);
        }
    }
}

async fn refuse_connection(mut stream: TcpStream) {
    let refusal = Refusal::not_run(Reason::TooManyConnections);
    let (parts, body) =
        refusal_response(refusal, "this node has reached its connection limit").into_parts();
    let Ok(body) = body.collect().await else {
        return;
    };
    let body = body.to_bytes();
    let mut head = format!("HTTP/1.1 {}\r\nconnection: close\r\n", parts.status);
    head.push_str(&format!("content-length: {}\r\n", body.len()));
    for (name, value) in &parts.headers {
        head.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap_or("")));
    }
    head.push_str("\r\n");
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&body).await;
    let _ = stream.shutdown().await;
}
