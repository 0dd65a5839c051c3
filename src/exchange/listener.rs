//! HTTP listeners: accept connections and serve them until the node drains.

use {
    super::{
        EarlyResponse, Pipeline, ResponseBody,
        prefetch::{Unread, prefetch},
        read_timer::ReadTimer,
        refusal_response,
    },
    crate::model::{Reason, Refusal},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        Request, Response, StatusCode, Version, body::Incoming, header::CONNECTION,
        http::request::Parts, rt::Timer, service::service_fn,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::conn::auto,
    },
    std::{
        convert::Infallible,
        io::ErrorKind,
        net::SocketAddr,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
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
/// Time that a new connection has for its first request when the listener closes.
///
/// The library closes a connection without a request immediately. A request that was
/// sent just before stays unread: its caller sees a reset and cannot tell whether it ran.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);
/// Time for which an HTTP/1 connection must be idle before it is closed when the listener
/// closes.
///
/// A caller whose request is in transit when its connection closes sees a reset. Responses
/// contain `Connection: close` by then: active connections end with their next response,
/// and idle ones are unlikely to be used again.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(1000);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

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
}

/// Handles the requests of a listener.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles a request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send + 'static;

    /// Starts a pipelined request without a body early; `None` for one that may be executed
    /// only once.
    fn start_early(&self, _head: &Parts) -> Option<EarlyResponse> {
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
    let connections = Connections {
        tasks: TaskTracker::new(),
        limits,
        closing: closing.clone(),
        stopped: stopped.clone(),
        open_count,
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
    limits: ListenerLimits,
    closing: CancellationToken,
    stopped: CancellationToken,
    open_count: Arc<AtomicUsize>,
    handler: H,
}

impl<H: Handler> Connections<H> {
    fn start(&self, stream: TcpStream) {
        if self.open_count.load(Ordering::Relaxed) >= self.limits.max_connections {
            self.tasks.spawn(refuse_connection(stream));
            return;
        }
        let open_connection = OpenConnection::new(Arc::clone(&self.open_count));
        let stopped = self.stopped.clone();
        let closing = self.closing.clone();
        let connection = serve_connection(stream, self.limits, closing, self.handler.clone());
        self.tasks.spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = connection => {}
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

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    limits: ListenerLimits,
    closing: CancellationToken,
    handler: H,
) {
    let _ = stream.set_nodelay(true);
    let usage = Arc::new(Usage::default());
    let service_usage = Arc::clone(&usage);
    let pipeline = Pipeline::new();
    let (early_handler, early_pipeline) = (handler.clone(), pipeline.clone());
    let service_pipeline = pipeline.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let active_request = ActiveRequest::new(&service_usage, request.version());
        // Boxed: the library reserves space for it while the connection is open, and most
        // connections are idle.
        let handling = Box::pin(handle_in_order(
            handler.clone(),
            service_pipeline.clone(),
            request,
        ));
        async move {
            let response = handling.await;
            drop(active_request);
            Ok::<_, Infallible>(response)
        }
    });
    let (stream, prefetch) = prefetch(stream);
    let unread = prefetch.unread();
    let read_timer = ReadTimer::new(unread.clone());
    let mut first_request_timeout = read_timer.sleep(limits.header_timeout);
    let builder = http_builder(limits, read_timer);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut reading_ahead = pin!(prefetch.run(move |bytes| {
        early_pipeline.record_bytes(bytes, |head| early_handler.start_early(head));
    }));
    let mut is_caller_gone = false;
    let mut closable = pin!(wait_until_closable(&closing, &usage, &pipeline, &unread));
    let mut is_first_request_checked = false;
    let mut is_shutting_down = false;
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = reading_ahead.as_mut(), if !is_caller_gone => {
                is_caller_gone = true;
                // Nobody will read the response. Dropping the connection cancels the
                // request and its downstream calls.
                if usage.active_count() > 0 {
                    return;
                }
            }
            () = closable.as_mut(), if !is_shutting_down => {
                is_shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
            // The library waits without a limit for the bytes that distinguish the HTTP
            // versions; idle connections would exhaust the connection limit.
            () = first_request_timeout.as_mut(), if !is_first_request_checked => {
                is_first_request_checked = true;
                if usage.request_count() == 0 {
                    return;
                }
            }
        }
    }
}

/// Handles a request in its turn, or returns the response if it was started early.
async fn handle_in_order<H: Handler>(
    handler: H,
    pipeline: Pipeline,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let early_response = pipeline.take_response(&request);
    let mut response = match early_response {
        Some(early_response) => early_response.await.unwrap_or_else(|error| {
            log::error!(target: "dogwood", "a request that was started early failed: {error}");
            // It may have run, so the status must not imply that it did not.
            let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        }),
        None => handler.handle(request).await,
    };
    pipeline.record_response();
    // With `Connection: close`, pipelined requests that targets already execute would be lost.
    if pipeline.has_early_requests() {
        response.headers_mut().remove(CONNECTION);
    }
    response
}

/// Waits until the listener closes and a connection can be closed without losing a request.
async fn wait_until_closable(
    closing: &CancellationToken,
    usage: &Usage,
    pipeline: &Pipeline,
    unread: &Unread,
) {
    closing.cancelled().await;
    pipeline.stop();
    let mut idle_time = match usage.request_count() {
        0 => FIRST_REQUEST_GRACE,
        _ => IDLE_BEFORE_CLOSE,
    };
    // In HTTP/2, GOAWAY states which requests are still accepted.
    while !usage.is_http2.load(Ordering::Relaxed) {
        let previous_count = usage.request_count();
        tokio::time::sleep(idle_time).await;
        let is_idle = usage.request_count() == previous_count && !unread.has_bytes();
        if is_idle && !pipeline.has_early_requests() {
            return;
        }
        idle_time = IDLE_BEFORE_CLOSE;
    }
}

/// Requests of a connection so far.
#[derive(Debug, Default)]
struct Usage {
    request_count: AtomicUsize,
    active_count: AtomicUsize,
    is_http2: AtomicBool,
}

impl Usage {
    fn record_request(&self, version: Version) {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        self.is_http2
            .store(version == Version::HTTP_2, Ordering::Relaxed);
    }

    fn request_count(&self) -> usize {
        self.request_count.load(Ordering::Relaxed)
    }

    fn active_count(&self) -> usize {
        self.active_count.load(Ordering::Relaxed)
    }
}

/// Counts a request as active until it is dropped.
struct ActiveRequest(Arc<Usage>);

impl ActiveRequest {
    fn new(usage: &Arc<Usage>, version: Version) -> Self {
        usage.record_request(version);
        usage.active_count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(usage))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_count.fetch_sub(1, Ordering::Relaxed);
    }
}

fn http_builder(limits: ListenerLimits, read_timer: ReadTimer) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(read_timer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.saturating_mul(2).max(16 << 10));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.max_streams)
        // A node may cancel many requests at once; the default limit of 20 would close its
        // connection with all other requests on it.
        .max_pending_accept_reset_streams(limits.max_streams as usize)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(u32::try_from(limits.max_header_bytes * 2).unwrap_or(u32::MAX));
    builder
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

/// Counts an open connection until it is dropped.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
