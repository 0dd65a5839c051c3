//! Sending an attempt to another node and reading what became of it.

use {
    super::{
        AttemptAnswer, ContentDigest, FleetAuth, PeerLink, ReceivedContext, decode_answer,
        encode_context, link::PeerSender,
    },
    crate::{
        exchange::{
            ANSWER, ANSWER_AUTH, AUTH, Answer, AnswerBody, CLOCK, CONTEXT, Collected,
            IDEMPOTENCY_KEY, Outbound, collect, pump,
        },
        model::{AdmissionLevel, Names, Reason, Refusal, RequestContext},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, Uri, body::Incoming},
    std::time::Duration,
};

/// How an attempt ended at its hop.
#[derive(Debug)]
pub struct HopResult {
    /// The target's answer or why there is none.
    pub result: Result<Answer, Refusal>,
    /// Retry allotment that came back.
    pub unspent: u8,
    /// Admission level of the answering node, if it answered.
    pub level: Option<AdmissionLevel>,
}

impl HopResult {
    /// An end without a word from the other node.
    #[must_use]
    pub const fn failed(refusal: Refusal, unspent: u8) -> Self {
        Self {
            result: Err(refusal),
            unspent,
            level: None,
        }
    }
}

/// One attempt to send a request to another node.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// What the other node is told.
    pub context: &'a RequestContext,
    /// Whether the other node is the home of the request's idempotency key.
    pub is_guarded: bool,
    /// The request.
    pub outbound: &'a Outbound,
    /// Answers up to this size are delivered only when whole.
    pub buffered_bytes: usize,
    /// Time until the deadline on this node.
    pub limit: Duration,
    /// Time now on this node's clock.
    pub now_unix_ms: u64,
}

/// Sends an attempt; dropping the future cancels it on the other node.
pub async fn send(
    link: &PeerLink,
    attempt: Attempt<'_>,
    auth: &FleetAuth,
    names: &Names,
) -> HopResult {
    let context = attempt.context;
    let unsent = Refusal::not_run(Reason::ConnectionLost);
    let Ok(mut sender) = link.sender(context.class).await else {
        return HopResult::failed(unsent, context.retry_allotment);
    };
    let attempt_id = rand::random();
    let Some(request) = request_of(link, attempt, attempt_id, auth, names) else {
        let refusal = Refusal::not_run(Reason::BadRequest);
        return HopResult::failed(refusal, context.retry_allotment);
    };
    let response = match try_send(&mut sender, request).await {
        Ok(response) => response,
        Err(Unanswered::Unsent) => return HopResult::failed(unsent, context.retry_allotment),
        // What was lent is lost with the answer: it may still be spent.
        Err(Unanswered::Lost) => {
            return HopResult::failed(Refusal::unknown(Reason::ConnectionLost), 0);
        }
    };
    // The clock of an instance may be far off, or was when its process started.
    // Its contexts would be taken for old ones that somebody recorded, and no
    // request would pass between it and the others. They are stamped by the
    // receiver's clock, which the receiver tells.
    if let Some(their_unix_ms) = authentic_clock(&response, attempt_id, auth) {
        link.record_clock(their_unix_ms, attempt.now_unix_ms);
        return HopResult::failed(unsent, context.retry_allotment);
    }
    let Some(told) = authentic_answer(&response, attempt_id, auth) else {
        return HopResult::failed(Refusal::unknown(Reason::BadAnswer), 0);
    };
    let result = match told.refusal {
        Some(refusal) => Err(refusal),
        None => read_answer(response, attempt).await,
    };
    HopResult {
        result,
        unspent: told.unspent.min(context.retry_allotment),
        level: Some(told.level),
    }
}

enum Unanswered {
    Unsent,
    Lost,
}

async fn try_send(
    sender: &mut PeerSender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Unanswered> {
    if sender.ready().await.is_err() {
        return Err(Unanswered::Unsent);
    }
    sender.try_send_request(request).await.map_err(|mut error| {
        // Only a request that comes back unsent has provably not left.
        match error.take_message() {
            Some(_) => Unanswered::Unsent,
            None => Unanswered::Lost,
        }
    })
}

fn request_of(
    link: &PeerLink,
    attempt: Attempt<'_>,
    attempt_id: u64,
    auth: &FleetAuth,
    names: &Names,
) -> Option<Request<Full<Bytes>>> {
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
    let sent = ReceivedContext {
        context: *attempt.context,
        attempt_id,
        is_guarded: attempt.is_guarded,
        content: ContentDigest::new(outbound.headers.get(IDEMPOTENCY_KEY), &outbound.body),
    };
    let sent_unix_ms = link.their_unix_ms(attempt.now_unix_ms);
    let context = encode_context(&sent, names, sent_unix_ms);
    let proof = auth.sign(&[
        context.as_bytes(),
        outbound.method.as_str().as_bytes(),
        outbound.path.as_str().as_bytes(),
    ]);
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = outbound.headers.clone();
    request.headers_mut().insert(CONTEXT, context);
    request.headers_mut().insert(AUTH, proof);
    Some(request)
}

/// What the other node's clock says, where it took this attempt for too old.
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

/// The other node's word on this very attempt. An answer to a different
/// attempt, late or crossed, must never be delivered in its place.
fn authentic_answer(
    response: &Response<Incoming>,
    attempt_id: u64,
    auth: &FleetAuth,
) -> Option<AttemptAnswer> {
    let value = response.headers().get(ANSWER)?;
    let proof = response.headers().get(ANSWER_AUTH)?;
    if !auth.is_authentic(proof, &[value.as_bytes()]) {
        return None;
    }
    decode_answer(value)
        .ok()
        .filter(|told| told.attempt_id == attempt_id)
}

async fn read_answer(
    response: Response<Incoming>,
    attempt: Attempt<'_>,
) -> Result<Answer, Refusal> {
    let (parts, mut body) = response.into_parts();
    let body = match collect(&mut body, attempt.buffered_bytes).await {
        Ok(Collected::Whole(bytes)) => AnswerBody::whole(bytes),
        Ok(Collected::Larger(head)) => pump(head, body, attempt.limit, (), |(), _| {}),
        Err(_) => return Err(Refusal::unknown(Reason::ConnectionLost)),
    };
    Ok(Answer::new(parts.status, parts.headers, body))
}
