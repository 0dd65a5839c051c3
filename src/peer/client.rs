//! Sends an attempt to another node and reads its result.

use {
    super::{
        AttemptContext, ContentDigest, FleetAuth, PeerLink, ResponseMetadata,
        decode_response_metadata, encode_context, link::PeerSender,
    },
    crate::{
        exchange::{
            ANSWER, ANSWER_AUTH, AUTH, CLOCK, CONTEXT, Collected, ForwardedResponse,
            IDEMPOTENCY_KEY, OutboundRequest, ResponseBody, Segments, collect, is_final_status,
            stream_body,
        },
        model::{AdmissionLevel, Names, Reason, Refusal, RequestContext},
        target::{ReportedLimit, UNKNOWN_PROCESS_ID},
    },
    hyper::{Request, Response, Uri, body::Incoming},
    std::time::{Duration, Instant},
};

/// Result of an attempt at the next hop.
#[derive(Debug)]
pub struct HopResult {
    /// The target's response, or the refusal in its place.
    pub result: Result<ForwardedResponse, Refusal>,
    /// Unspent part of the retry allotment sent with the attempt.
    pub unspent: u8,
    /// Admission level of the peer, if it responded.
    pub level: Option<AdmissionLevel>,
    /// Process of the peer's target that said in a response that it leaves; 0 if none did.
    pub leaving_process_id: u64,
    /// Limit that the peer's target names.
    pub reported_limit: Option<ReportedLimit>,
}

impl HopResult {
    /// The result when there is no valid response from the peer.
    #[must_use]
    pub const fn failed(refusal: Refusal, unspent: u8) -> Self {
        Self {
            result: Err(refusal),
            unspent,
            level: None,
            leaving_process_id: UNKNOWN_PROCESS_ID,
            reported_limit: None,
        }
    }
}

/// An attempt to send a request to another node.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Request context, sent in a header.
    pub context: &'a RequestContext,
    /// Whether the peer is the home of the request's idempotency key.
    pub is_guarded: bool,
    /// The request.
    pub outbound: &'a OutboundRequest,
    /// Response bodies up to this size are buffered and returned only if
    /// complete; larger ones are streamed.
    pub buffered_bytes: usize,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Current time on this node's clock.
    pub now_unix_ms: u64,
    /// Limit that the peer reported for its target.
    pub remembered_limit: Option<ReportedLimit>,
}

/// Sends an attempt; dropping the future cancels it on the peer.
pub async fn send(
    link: &PeerLink,
    attempt: Attempt<'_>,
    auth: &FleetAuth,
    names: &Names,
) -> HopResult {
    let context = attempt.context;
    let started = Instant::now();
    let not_sent = Refusal::not_run(Reason::ConnectionLost);
    let Ok(mut sender) = link.sender(context.class).await else {
        return HopResult::failed(not_sent, context.retry_allotment);
    };
    let attempt_id = rand::random();
    let Some(request) = build_request(link, attempt, attempt_id, auth, names) else {
        let refusal = Refusal::not_run(Reason::BadRequest);
        return HopResult::failed(refusal, context.retry_allotment);
    };
    let response = match try_send(&mut sender, request).await {
        Ok(response) => response,
        Err(SendError::NotSent) => return HopResult::failed(not_sent, context.retry_allotment),
        // The allotment sent along is lost too: the peer may still spend it.
        Err(SendError::ResponseLost) => {
            return HopResult::failed(Refusal::unknown(Reason::ConnectionLost), 0);
        }
    };
    // An instance's clock may be far off, or may have been when its process
    // started. Peers would refuse its contexts as replayed, and no request would
    // pass between them. The peer therefore returns its clock, and contexts are
    // timestamped by the receiver's clock.
    if let Some(peer_unix_ms) = authentic_clock(&response, attempt_id, auth) {
        link.record_clock(peer_unix_ms, attempt.now_unix_ms);
        return HopResult::failed(not_sent, context.retry_allotment);
    }
    let Some(metadata) = authentic_metadata(&response, attempt_id, auth) else {
        return HopResult::failed(Refusal::unknown(Reason::BadAnswer), 0);
    };
    let result = match metadata.refusal {
        Some(refusal) => Err(refusal),
        None => read_response(response, attempt, started).await,
    };
    HopResult {
        result,
        unspent: metadata.unspent.min(context.retry_allotment),
        level: Some(metadata.level),
        leaving_process_id: metadata.leaving_process_id,
        reported_limit: metadata.reported_limit,
    }
}

enum SendError {
    NotSent,
    ResponseLost,
}

async fn try_send(
    sender: &mut PeerSender,
    request: Request<Segments>,
) -> Result<Response<Incoming>, SendError> {
    if sender.ready().await.is_err() {
        return Err(SendError::NotSent);
    }
    sender.try_send_request(request).await.map_err(|mut error| {
        // Only if hyper returns the request was it certainly not sent.
        match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::ResponseLost,
        }
    })
}

fn build_request(
    link: &PeerLink,
    attempt: Attempt<'_>,
    attempt_id: u64,
    auth: &FleetAuth,
    names: &Names,
) -> Option<Request<Segments>> {
    let outbound = attempt.outbound;
    let uri = Uri::builder()
        .scheme("http")
        .authority(
            outbound
                .host
                .clone()
                .unwrap_or_else(|| link.address().to_string()),
        )
        .path_and_query(outbound.path.clone())
        .build()
        .ok()?;
    let attempt_context = AttemptContext {
        context: *attempt.context,
        attempt_id,
        is_guarded: attempt.is_guarded,
        content: ContentDigest::of_segments(outbound.headers.get(IDEMPOTENCY_KEY), &outbound.body),
        remembered_limit: attempt.remembered_limit,
    };
    let sent_unix_ms = link.peer_unix_ms(attempt.now_unix_ms);
    let context = encode_context(&attempt_context, names, sent_unix_ms);
    let proof = auth.sign(&[
        context.as_bytes(),
        outbound.method.as_str().as_bytes(),
        outbound.path.as_str().as_bytes(),
    ]);
    let mut request = Request::new(outbound.body.clone());
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = outbound.headers.clone();
    request.headers_mut().insert(CONTEXT, context);
    request.headers_mut().insert(AUTH, proof);
    Some(request)
}

/// The peer's clock, if it refused this attempt because of its timestamp.
fn authentic_clock(
    response: &Response<Incoming>,
    attempt_id: u64,
    auth: &FleetAuth,
) -> Option<u64> {
    let value = response.headers().get(CLOCK)?;
    let proof = response.headers().get(ANSWER_AUTH)?;
    let parts = [value.as_bytes(), &attempt_id.to_le_bytes()];
    if !auth.is_authentic(proof, &parts) {
        return None;
    }
    value.to_str().ok()?.parse().ok()
}

/// The peer's metadata for exactly this attempt. The response to another
/// attempt, late or mixed up, must never be returned in its place.
fn authentic_metadata(
    response: &Response<Incoming>,
    attempt_id: u64,
    auth: &FleetAuth,
) -> Option<ResponseMetadata> {
    let value = response.headers().get(ANSWER)?;
    let proof = response.headers().get(ANSWER_AUTH)?;
    if !auth.is_authentic(proof, &[value.as_bytes()]) {
        return None;
    }
    decode_response_metadata(value)
        .ok()
        .filter(|metadata| metadata.attempt_id == attempt_id)
}

async fn read_response(
    response: Response<Incoming>,
    attempt: Attempt<'_>,
    started: Instant,
) -> Result<ForwardedResponse, Refusal> {
    let (parts, mut body) = response.into_parts();
    if !is_final_status(parts.status) {
        return Err(Refusal::unknown(Reason::BadAnswer));
    }
    let body = match collect(&mut body, attempt.buffered_bytes).await {
        Ok(Collected::Complete(bytes)) => ResponseBody::Buffered(bytes),
        Ok(Collected::TooLarge(head)) => {
            let time_left = attempt.time_left.saturating_sub(started.elapsed());
            stream_body(head, body, time_left, (), |(), _| {})
        }
        Err(_) => return Err(Refusal::unknown(Reason::ConnectionLost)),
    };
    Ok(ForwardedResponse::new(parts.status, parts.headers, body))
}
