//! Sends one request to the local target.

use {
    super::{MeteredBody, PoolError, PooledConnection, TargetPool},
    crate::{
        dialect::{Dialect, TargetCall, TargetSignal},
        exchange::OutboundRequest,
        model::{Reason, Refusal},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, Uri},
    std::sync::Arc,
};

/// Connections tried for one request when idle ones turn out to be closed.
const MAX_CONNECTION_ATTEMPTS: usize = 3;

/// Head of a target's response.
#[derive(Debug)]
pub struct TargetResponse {
    /// Response whose body is not read yet.
    pub response: Response<MeteredBody>,
    /// Connection on which the response arrives.
    pub connection: PooledConnection,
    /// What the dialect reads from the head.
    pub signal: TargetSignal,
}

/// Sends the request with this call handle and returns the head of the response.
///
/// `try_pass` is called immediately before sending. If it were called earlier,
/// requests that passed one by one could be sent in a burst after a connection
/// that was slow to open.
pub async fn exchange<D: Dialect>(
    dialect: &D,
    pool: &Arc<TargetPool>,
    handle: u128,
    outbound: &OutboundRequest,
    remaining_ms: u64,
    try_pass: impl Fn() -> Result<(), Refusal>,
) -> Result<TargetResponse, Refusal> {
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let mut connection = pool.acquire().await.map_err(|error| to_refusal(&error))?;
        let instance_id = connection.instance_id().to_owned();
        let Some((sender, progress)) = connection.sender() else {
            continue;
        };
        if sender.ready().await.is_err() {
            continue;
        }
        let call = TargetCall {
            handle,
            remaining_ms,
            instance_id: &instance_id,
            host: outbound.host.as_deref(),
            sent_headers: &outbound.headers,
        };
        let mut request = build_request(outbound);
        dialect.complete_request(&mut request, &call);
        try_pass()?;
        progress.record();
        match sender.try_send_request(request).await {
            Ok(response) => {
                let signal = dialect.classify_response(&outbound.method, &call, &response);
                let progress = progress.clone();
                let response = response.map(|body| MeteredBody::new(body, progress));
                return Ok(TargetResponse {
                    response,
                    connection,
                    signal,
                });
            }
            // Only a request that the client returns was certainly not sent. After
            // any other error the target may have started to execute it.
            Err(mut error) => {
                if error.take_message().is_none() {
                    return Err(Refusal::unknown(Reason::ConnectionLost));
                }
            }
        }
    }
    Err(Refusal::not_run(Reason::ConnectionLost))
}

fn build_request(outbound: &OutboundRequest) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = Uri::from(outbound.path.clone());
    *request.headers_mut() = outbound.headers.clone();
    request
}

const fn to_refusal(error: &PoolError) -> Refusal {
    match error {
        PoolError::NoTarget => Refusal::not_run(Reason::NoTarget),
        PoolError::AllInUse => Refusal::not_run(Reason::TooManyConnections),
        PoolError::Connect(_) | PoolError::Timeout | PoolError::Handshake(_) => {
            Refusal::not_run(Reason::ConnectionLost)
        }
    }
}
