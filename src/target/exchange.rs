//! One exchange with the own target.

use {
    super::{Lease, PoolError, TargetPool},
    crate::{
        exchange::{CALL, DEADLINE, Outbound, SHED},
        model::{Outcome, Reason, Refusal},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Method, Request, Response, StatusCode, Uri, Version,
        body::{Body, Incoming},
        header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING},
    },
    std::sync::Arc,
};

/// Connections tried when idle ones turn out to be closed.
const CONNECTION_TRIES: usize = 3;

/// Sends the request under this handle and returns the head of the answer.
pub async fn exchange(
    pool: &Arc<TargetPool>,
    handle: u128,
    outbound: &Outbound,
    remaining_ms: u64,
) -> Result<(Response<Incoming>, Lease), Refusal> {
    let handle = HeaderValue::try_from(format!("{handle:032x}")).expect("hex digits are visible");
    let mut request = request_of(outbound, &handle, remaining_ms);
    for _ in 0..CONNECTION_TRIES {
        let mut lease = pool.lease().await.map_err(|error| refusal_of(&error))?;
        let Some(sender) = lease.sender() else {
            continue;
        };
        if sender.ready().await.is_err() {
            continue;
        }
        match sender.try_send_request(request).await {
            Ok(response) => {
                check(&response, &handle, &outbound.method)?;
                return Ok((response, lease));
            }
            // Only a request that comes back has provably not left; any other
            // error leaves open whether the target has begun.
            Err(mut error) => match error.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(Refusal::unknown(Reason::ConnectionLost)),
            },
        }
    }
    Err(Refusal::not_run(Reason::ConnectionLost))
}

/// The refusal for an answer by which the target says that it shed the
/// request untouched. Any other 429 or 503 is an answer like all others.
pub fn shed_refusal(response: &Response<Incoming>) -> Option<Refusal> {
    let says_not_run =
        response.headers().get(SHED)?.as_bytes() == Outcome::NotRun.name().as_bytes();
    (is_shed(response.status()) && says_not_run).then_some(Refusal::not_run(Reason::Overloaded))
}

/// Whether the target shed load by its own account.
pub fn is_shed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

fn request_of(
    outbound: &Outbound,
    handle: &HeaderValue,
    remaining_ms: u64,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = Uri::from(outbound.path.clone());
    let headers = request.headers_mut();
    *headers = outbound.headers.clone();
    headers.insert(HOST, HeaderValue::from_static("target"));
    headers.insert(CALL, handle.clone());
    headers.insert(DEADLINE, HeaderValue::from(remaining_ms));
    request
}

/// Refuses answers of another exchange and those whose end cannot be told
/// from a break.
fn check(
    response: &Response<Incoming>,
    handle: &HeaderValue,
    method: &Method,
) -> Result<(), Refusal> {
    let is_own = response.headers().get(CALL) == Some(handle);
    let has_end = response.body().is_end_stream()
        || method == Method::HEAD
        || response.headers().contains_key(CONTENT_LENGTH)
        || (response.version() == Version::HTTP_11
            && response.headers().contains_key(TRANSFER_ENCODING));
    if is_own && has_end {
        Ok(())
    } else {
        Err(Refusal::unknown(Reason::BadAnswer))
    }
}

const fn refusal_of(error: &PoolError) -> Refusal {
    match error {
        PoolError::NoTarget => Refusal::not_run(Reason::NoTarget),
        PoolError::AllInUse => Refusal::not_run(Reason::TooManyConnections),
        PoolError::Connect(_) | PoolError::Timeout | PoolError::Handshake(_) => {
            Refusal::not_run(Reason::ConnectionLost)
        }
    }
}
