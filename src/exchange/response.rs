//! Responses to callers: a target's response or a refusal.

use {
    super::{OUTCOME, REASON, RETRY_AFTER_MS, ResponseBody, strip_hop_by_hop, strip_internal},
    crate::model::{Outcome, Refusal},
    bytes::Bytes,
    hyper::{
        HeaderMap, Response, StatusCode,
        header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
};

/// Retry delay of transient failures that set none.
const DEFAULT_RETRY_AFTER_MS: u32 = 1000;

/// A target's response on its way back to the caller.
#[derive(Debug)]
pub struct ForwardedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers of the target, without internal and connection headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: ResponseBody,
}

impl ForwardedResponse {
    /// Creates a response; removes internal and connection headers.
    #[must_use]
    pub fn new(status: StatusCode, mut headers: HeaderMap, body: ResponseBody) -> Self {
        strip_hop_by_hop(&mut headers);
        strip_internal(&mut headers);
        if !body.is_streamed() && !matches!(&body, ResponseBody::Buffered(body) if body.is_empty())
        {
            // The server sets the length of a buffered body.
            headers.remove(CONTENT_LENGTH);
        }
        Self {
            status,
            headers,
            body,
        }
    }
}

/// Whether HTTP defines this as the status of a final response. The library accepts any three
/// digits from 100 on.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Response to the sender of a request: the target's response or a refusal.
#[must_use]
pub fn response_from_result(result: Result<ForwardedResponse, Refusal>) -> Response<ResponseBody> {
    match result {
        Ok(forwarded) => {
            let mut response = Response::new(forwarded.body);
            *response.status_mut() = forwarded.status;
            *response.headers_mut() = forwarded.headers;
            response
                .headers_mut()
                .insert(OUTCOME, HeaderValue::from_static(Outcome::Whole.name()));
            response
        }
        Err(refusal) => refusal_response(refusal, ""),
    }
}

/// JSON body of a refusal.
#[derive(serde::Serialize)]
struct RefusalBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    detail: &'a str,
    retry_after_ms: u32,
}

/// Response for a refusal; `detail` explains what is wrong with the request.
#[must_use]
pub fn refusal_response(refusal: Refusal, detail: &str) -> Response<ResponseBody> {
    let retry_after_ms = retry_after_ms(refusal);
    let body = RefusalBody {
        outcome: refusal.outcome.name(),
        reason: refusal.reason.name(),
        detail,
        retry_after_ms,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(ResponseBody::buffered(Bytes::from(body)));
    *response.status_mut() = status_of(refusal);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME, HeaderValue::from_static(refusal.outcome.name()));
    headers.insert(REASON, HeaderValue::from_static(refusal.reason.name()));
    if retry_after_ms > 0 {
        headers.insert(RETRY_AFTER_MS, HeaderValue::from(retry_after_ms));
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(retry_after_ms.div_ceil(1000).max(1)),
        );
    }
    response
}

fn status_of(refusal: Refusal) -> StatusCode {
    StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn retry_after_ms(refusal: Refusal) -> u32 {
    let is_transient = matches!(refusal.reason.status(), 429 | 502..=504);
    if refusal.retry_after_ms == 0 && is_transient {
        DEFAULT_RETRY_AFTER_MS
    } else {
        refusal.retry_after_ms
    }
}
