//! Sends one request to the local target.

use {
    super::{MeteredBody, PoolError, PooledConnection, TargetPool},
    crate::{
        dialect::{Dialect, TargetCall, TargetSignal},
        event,
        events::Event,
        exchange::{OutboundRequest, Segments, is_final_status},
        model::{Reason, Refusal, RequestId},
    },
    hyper::{Request, Response, StatusCode, Uri},
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

/// A request as it is sent to the target.
#[derive(Debug, Clone, Copy)]
pub struct SentRequest<'a> {
    /// Handle of its call.
    pub handle: u128,
    /// Id that the caller gave it.
    pub request_id: RequestId,
    /// Whether it may be executed again.
    pub repeatable: bool,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Its content.
    pub outbound: &'a OutboundRequest,
}

/// Sends the request and returns the head of the response.
///
/// `try_pass` is called immediately before sending. If it were called earlier,
/// requests that passed one by one could be sent in a burst after a connection
/// that was slow to open.
pub async fn exchange<D: Dialect>(
    dialect: &D,
    pool: &Arc<TargetPool>,
    sent: SentRequest<'_>,
    try_pass: impl Fn() -> Result<(), Refusal>,
) -> Result<TargetResponse, Refusal> {
    let outbound = sent.outbound;
    // A late copy of the rejection would pass for the response to this attempt.
    let avoided = (!D::RESPONSES_NAME_ATTEMPTS).then_some(&sent.request_id);
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let mut connection = pool
            .acquire(avoided)
            .await
            .map_err(|error| to_refusal(&error))?;
        let instance_id = connection.instance_id().to_owned();
        let Some((sender, progress)) = connection.sender() else {
            continue;
        };
        if sender.ready().await.is_err() {
            continue;
        }
        let call = TargetCall {
            handle: sent.handle,
            remaining_ms: sent.remaining_ms,
            instance_id: &instance_id,
            host: outbound.host.as_deref(),
            sent_headers: &outbound.headers,
            repeatable: sent.repeatable,
        };
        let mut request = build_request(outbound);
        dialect.complete_request(&mut request, &call);
        try_pass()?;
        progress.record();
        match sender.try_send_request(request).await {
            Ok(response) => {
                let mut signal = dialect.classify_response(&outbound.method, &call, &response);
                if !is_final_status(response.status()) {
                    signal.refusal = Some(Refusal::unknown(Reason::BadAnswer));
                }
                let progress = progress.clone();
                if !D::RESPONSES_NAME_ATTEMPTS && signal.is_rejection() {
                    connection.record_rejected(&sent.request_id);
                }
                log_doubt(&signal, &sent.request_id, response.status());
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

fn log_doubt(signal: &TargetSignal, request_id: &RequestId, status: StatusCode) {
    if let Some(doubt) = signal.claim_doubt {
        let (cause, status) = (doubt.name(), status.as_u16());
        event!(
            Event::RejectionUnproven,
            "request={request_id} status={status} cause={cause}"
        );
    }
}

fn build_request(outbound: &OutboundRequest) -> Request<Segments> {
    let mut request = Request::new(outbound.body.clone());
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
