//! HTTP pieces that the stand-ins share.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        Request, Response, StatusCode, Uri, body::Incoming, header, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::{Serialize, de::DeserializeOwned},
    std::{convert::Infallible, future::Future, io, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Connections of an admin listener at a time.
pub const ADMIN_CONNECTION_COUNT: usize = 256;

const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// An answer that is held in memory.
pub type Answer = Response<Full<Bytes>>;

/// The connection is closed without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("closed without an answer")]
pub struct NoAnswer;

/// A body that could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// Larger than the limit.
    #[error("body is larger than the limit")]
    TooLarge,
    /// The connection ended before the body did.
    #[error("body ended early")]
    Incomplete,
}

/// Reads a body of at most `limit_bytes`.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Incomplete),
    }
}

/// Reads a JSON object; serde alone would take an array for a struct too.
pub fn json_object<T: DeserializeOwned>(body: &[u8]) -> serde_json::Result<T> {
    let object: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
    serde_json::from_value(object.into())
}

/// An answer without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// An answer with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let Ok(body) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    answer
}

/// An answer that tells what is wrong with the request.
#[must_use]
pub fn problem(status: StatusCode, message: String) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(message)));
    *answer.status_mut() = status;
    answer
}

/// Value of a query parameter; no percent-decoding.
#[must_use]
pub fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

/// Numeric value of a query parameter.
#[must_use]
pub fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    query_value(uri, name)?.parse().ok()
}

/// Serves HTTP/1.1 with keep-alive until `stop` is cancelled, then lets
/// running exchanges end.
///
/// Connections over `connection_count` are closed at once. An error of the
/// handler closes its connection without an answer; a handler is dropped when
/// its caller closes the connection.
pub async fn serve<H, F, B, E>(
    listener: TcpListener,
    connection_count: usize,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    let tracker = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(connection_count));
    while let Some(stream) = accept(&listener, &stop).await {
        if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
            tracker.spawn(serve_connection(
                stream,
                permit,
                stop.clone(),
                handler.clone(),
            ));
        }
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

/// Serves an admin interface, whose handler always answers.
pub async fn serve_admin<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    serve(listener, ADMIN_CONNECTION_COUNT, stop, move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    })
    .await;
}

async fn accept(listener: &TcpListener, stop: &CancellationToken) -> Option<TcpStream> {
    loop {
        let accepted: io::Result<_> = tokio::select! {
            () = stop.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            // Out of file descriptors: without a pause the loop would take a
            // whole core and never get around to closing connections.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<H, F, B, E>(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    let _permit = permit;
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service_fn(handler));
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
