//! Serves one connection of a listener.

use {
    super::{
        Handler, ListenerLimits, Pipeline, ResponseBody,
        connection_table::ConnectionRequests,
        prefetch::{Unread, prefetch},
        read_ahead::ReadAheadRoom,
        read_timer::ReadTimer,
        refusal_response,
        tracked::{RequestProgress, TrackedBody, request_bytes},
    },
    crate::model::{Reason, Refusal},
    bytes::Bytes,
    hyper::{
        Request, Response, StatusCode, Version,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        rt::Timer,
        service::service_fn,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::conn::auto,
    },
    std::{
        convert::Infallible,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::net::TcpStream,
    tokio_util::sync::CancellationToken,
};

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
/// Retry delay of requests that are refused for want of memory, and the width of its random
/// addition.
const NO_MEMORY_RETRY_AFTER_MS: (u32, u32) = (250, 500);
/// Bytes of responses that the library buffers for each stream of HTTP/2.
const STREAM_BUFFER_BYTES: usize = 16 << 10;

/// A connection that is served.
pub struct ServedConnection<H> {
    /// Limits of its listener.
    pub limits: ListenerLimits,
    /// Cancelled when the listener closes.
    pub closing: CancellationToken,
    /// Its requests.
    pub requests: ConnectionRequests,
    /// Room for what is read ahead on all connections.
    pub read_ahead: ReadAheadRoom,
    /// Handles its requests.
    pub handler: H,
}

impl<H: Handler> ServedConnection<H> {
    /// Serves the connection until it ends or has been closed without losing a request.
    pub async fn run(self, stream: TcpStream) {
        let Self {
            limits,
            closing,
            requests,
            read_ahead,
            handler,
        } = self;
        let _ = stream.set_nodelay(true);
        let usage = Arc::new(Usage::default());
        let service_usage = Arc::clone(&usage);
        let pipeline = Pipeline::new().with_room(&read_ahead);
        let (early_handler, early_pipeline) = (handler.clone(), pipeline.clone());
        let (early_requests, service_pipeline) = (requests.clone(), pipeline.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let active_request = ActiveRequest::new(&service_usage, request.version());
            // Boxed: the library reserves space for it while the connection is open, and most
            // connections are idle.
            let handling = Box::pin(handle_tracked(
                handler.clone(),
                service_pipeline.clone(),
                requests.clone(),
                request,
            ));
            async move {
                let response = handling.await;
                drop(active_request);
                Ok::<_, Infallible>(response)
            }
        });
        let (stream, prefetch) = prefetch(stream, &read_ahead);
        let unread = prefetch.unread();
        let read_timer = ReadTimer::new(unread.clone());
        let mut first_request_timeout = read_timer.sleep(limits.header_timeout);
        let builder = http_builder(limits, read_timer);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let mut reading_ahead = pin!(prefetch.run(move |bytes| {
            early_pipeline.record_bytes(bytes, |head| {
                let progress = RequestProgress::new(early_requests.begin(request_bytes(head))?);
                early_handler.start_early(head, progress)
            });
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
}

/// Handles a request and follows it until its response is sent.
async fn handle_tracked<H: Handler>(
    handler: H,
    pipeline: Pipeline,
    requests: ConnectionRequests,
    mut request: Request<Incoming>,
) -> Response<TrackedBody> {
    let (head, body) = request.into_parts();
    let tracked = requests.begin(request_bytes(&head));
    request = Request::from_parts(head, body);
    let Some(tracked) = tracked else {
        return refuse_without_memory(&request).map(TrackedBody::untracked);
    };
    let progress = RequestProgress::new(tracked);
    request.extensions_mut().insert(progress.clone());
    let response = handle_in_order(handler, pipeline, request).await;
    response.map(|body| progress.respond(body))
}

fn refuse_without_memory(request: &Request<Incoming>) -> Response<ResponseBody> {
    let (base_ms, jitter_width_ms) = NO_MEMORY_RETRY_AFTER_MS;
    let retry_after_ms = base_ms + rand::random::<u32>() % jitter_width_ms;
    let refusal = Refusal::not_run(Reason::Overloaded).with_retry_after_ms(retry_after_ms);
    let mut response = refusal_response(refusal, "the node holds as many requests as it may");
    if request.version() <= Version::HTTP_11 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
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
        .max_buf_size((limits.max_header_bytes + limits.max_header_bytes / 2).max(8 << 10));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.max_streams)
        // A node may cancel many requests at once; the default limit of 20 would close its
        // connection with all other requests on it.
        .max_pending_accept_reset_streams(limits.max_streams as usize)
        .initial_stream_window_size(limits.memory.window_bytes.0)
        .initial_connection_window_size(limits.memory.window_bytes.1)
        .max_send_buf_size(STREAM_BUFFER_BYTES)
        .max_header_list_size(u32::try_from(limits.max_header_bytes * 2).unwrap_or(u32::MAX));
    builder
}
