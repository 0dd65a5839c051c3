//! Accepting connections and serving them until the node drains.

use {
    super::{
        AnswerBody, BegunAhead, Pipeline,
        prefetch::{Unread, prefetch},
        refusal_response,
    },
    crate::model::{Reason, Refusal},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        Request, Response, StatusCode, Version, body::Incoming, header::CONNECTION,
        http::request::Parts, service::service_fn,
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

const BACKLOG: u32 = 1024;
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time that a new connection gets for its first request when the listener
/// closes.
///
/// The library closes a connection without a request at once. One that was
/// sent a moment before is then unread, and its caller sees a reset without
/// knowing whether it ran.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);
/// Time for which an HTTP/1 connection must have been silent before it is ended
/// when the listener closes.
///
/// Callers keep connections open and send on them at any time. One that is
/// ended just when a request is under way makes its caller see a reset.
/// Answers carry `Connection: close` by then, so that connections in use end
/// by their next answer, and those that stay silent are unlikely to be used.
const SILENCE_BEFORE_END: Duration = Duration::from_millis(1000);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// What a listener grants its connections.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Connections at a time.
    pub connection_count: usize,
    /// Headers of a request, in bytes.
    pub header_bytes: usize,
    /// Time for the headers of a request.
    pub header_timeout: Duration,
    /// Streams at a time on an HTTP/2 connection.
    pub stream_count: u32,
}

/// Answers the requests of a listener.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers a request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send + 'static;

    /// Begins a request without a body that waits behind another one of its
    /// connection, unless it may be executed only once.
    fn begin_ahead(&self, _head: &Parts) -> Option<BegunAhead> {
        None
    }
}

impl<H, F> Handler for H
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send + 'static {
        self(request)
    }
}

/// Listens on an address.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves connections until `closing`; then accepts none, tells the open ones
/// to end (`Connection: close`, GOAWAY) and returns when all have, or when
/// `stopped` cuts them off.
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
            Ok((stream, _)) => connections.begin(stream),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    if let Err(error) = connections.begin_rest(listener) {
        log::warn!(target: "dogwood", "connections of the last moment were not accepted: {error}");
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
    fn begin(&self, stream: TcpStream) {
        if self.open_count.load(Ordering::Relaxed) >= self.limits.connection_count {
            self.tasks.spawn(refuse(stream));
            return;
        }
        let counted = Counted::new(Arc::clone(&self.open_count));
        let stopped = self.stopped.clone();
        let closing = self.closing.clone();
        let connection = serve_connection(stream, self.limits, closing, self.handler.clone());
        self.tasks.spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = connection => {}
            }
            drop(counted);
        });
    }

    /// Takes what the system has accepted for the listener, which would be reset
    /// when it goes; the runtime learns of it later than the system.
    fn begin_rest(&self, listener: TcpListener) -> std::io::Result<()> {
        let listener = listener.into_std()?;
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            };
            stream.set_nonblocking(true)?;
            self.begin(TcpStream::from_std(stream)?);
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
    let used = Arc::clone(&usage);
    let pipeline = Pipeline::new();
    let (ahead_handler, ahead_pipeline) = (handler.clone(), pipeline.clone());
    let turns = pipeline.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let working = Working::new(&used, request.version());
        // The library keeps room for the future as long as the connection is open,
        // and most connections are idle.
        let answer = Box::pin(answer_in_turn(handler.clone(), turns.clone(), request));
        async move {
            let answer = answer.await;
            drop(working);
            Ok::<_, Infallible>(answer)
        }
    });
    let builder = builder(limits);
    let (stream, ahead) = prefetch(stream);
    let unread = ahead.unread();
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut caller_left = pin!(ahead.run(move |bytes| {
        ahead_pipeline.read(bytes, |head| ahead_handler.begin_ahead(head));
    }));
    let mut has_left = false;
    let mut first_request = pin!(tokio::time::sleep(limits.header_timeout));
    let mut end = pin!(end_of_requests(&closing, &usage, &pipeline, &unread));
    let mut is_checked = false;
    let mut is_told = false;
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = caller_left.as_mut(), if !has_left => {
                has_left = true;
                // Nobody will read the answer. Dropping the connection cancels
                // the request with all that is done for it.
                if usage.working_count() > 0 {
                    return;
                }
            }
            () = end.as_mut(), if !is_told => {
                is_told = true;
                connection.as_mut().graceful_shutdown();
            }
            // The library waits without limit for the bytes that tell the
            // HTTP versions apart; silent connections would use up the limit
            // on connections.
            () = first_request.as_mut(), if !is_checked => {
                is_checked = true;
                if usage.request_count() == 0 {
                    return;
                }
            }
        }
    }
}

/// Answers a request when its turn comes, or takes the answer of one that was
/// begun before.
async fn answer_in_turn<H: Handler>(
    handler: H,
    pipeline: Pipeline,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let begun = pipeline.take(&request);
    let mut answer = match begun {
        Some(begun) => begun.await.unwrap_or_else(|error| {
            log::error!(target: "dogwood", "a request that was begun ahead broke: {error}");
            // It may have run: no status that promises otherwise.
            let mut response = Response::new(AnswerBody::whole(Bytes::new()));
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        }),
        None => handler.handle(request).await,
    };
    pipeline.answered();
    // Those behind it would be lost, though targets work on them.
    if pipeline.has_begun() {
        answer.headers_mut().remove(CONNECTION);
    }
    answer
}

/// Waits until a connection shall take no further requests.
async fn end_of_requests(
    closing: &CancellationToken,
    usage: &Usage,
    pipeline: &Pipeline,
    unread: &Unread,
) {
    closing.cancelled().await;
    pipeline.stop();
    let mut silence = match usage.request_count() {
        0 => FIRST_REQUEST_GRACE,
        _ => SILENCE_BEFORE_END,
    };
    // HTTP/2 says by GOAWAY which requests it still takes.
    while !usage.is_http2.load(Ordering::Relaxed) {
        let before_count = usage.request_count();
        tokio::time::sleep(silence).await;
        let is_silent = usage.request_count() == before_count && !unread.has_bytes();
        if is_silent && !pipeline.has_begun() {
            return;
        }
        silence = SILENCE_BEFORE_END;
    }
}

/// What came over a connection so far.
#[derive(Debug, Default)]
struct Usage {
    requests: AtomicUsize,
    working: AtomicUsize,
    is_http2: AtomicBool,
}

impl Usage {
    fn record(&self, version: Version) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.is_http2
            .store(version == Version::HTTP_2, Ordering::Relaxed);
    }

    fn request_count(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    fn working_count(&self) -> usize {
        self.working.load(Ordering::Relaxed)
    }
}

/// Counts a request as worked on while it lives.
struct Working(Arc<Usage>);

impl Working {
    fn new(usage: &Arc<Usage>, version: Version) -> Self {
        usage.record(version);
        usage.working.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(usage))
    }
}

impl Drop for Working {
    fn drop(&mut self) {
        self.0.working.fetch_sub(1, Ordering::Relaxed);
    }
}

fn builder(limits: ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.saturating_mul(2).max(16 << 10));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.stream_count)
        // A node that cancels much at once is no attacker; the default of 20
        // would end its connection with everything else on it.
        .max_pending_accept_reset_streams(limits.stream_count as usize)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(u32::try_from(limits.header_bytes * 2).unwrap_or(u32::MAX));
    builder
}

async fn refuse(mut stream: TcpStream) {
    let refusal = Refusal::not_run(Reason::TooManyConnections);
    let (parts, body) = refusal_response(refusal, "this node has no connections left").into_parts();
    let Ok(body) = body.collect().await else {
        return;
    };
    let body = body.to_bytes();
    let mut text = format!("HTTP/1.1 {}\r\nconnection: close\r\n", parts.status);
    text.push_str(&format!("content-length: {}\r\n", body.len()));
    for (name, value) in &parts.headers {
        text.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap_or("")));
    }
    text.push_str("\r\n");
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.write_all(&body).await;
    let _ = stream.shutdown().await;
}

/// Counts an open connection as long as it lives.
struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
