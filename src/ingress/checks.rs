//! Validates requests of callers and targets before they are routed.

use {
    crate::{
        conf::CompiledConfiguration,
        event,
        events::Event,
        exchange::{
            HeldBody, HeldCollected, IDEMPOTENCY_KEY, Segments, collect_held, discard, is_internal,
            strip_hop_by_hop, strip_internal,
        },
        model::{Reason, Refusal, ServiceKey},
        node::{Node, Policies},
    },
    hyper::{
        HeaderMap, Uri,
        body::Incoming,
        header::{CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue},
        http::{request::Parts, uri::PathAndQuery},
    },
    std::time::Duration,
};

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Longest deadline that a caller may set: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Retry delay while there is no room for a body, and the width of its random addition, which
/// spreads the callers. Most requests end within it.
const NO_ROOM_RETRY_AFTER_MS: u32 = 250;
const NO_ROOM_RETRY_JITTER_MS: u32 = 500;
/// Percent-encoded characters of a path that a target may decode although the
/// route match does not.
const AMBIGUOUS_ENCODINGS: [&str; 3] = ["%2e", "%2f", "%5c"];

/// A refused request, with an explanation for its sender.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}: {detail}", refusal.reason)]
pub struct Rejection {
    /// Outcome, reason and retry delay.
    pub refusal: Refusal,
    /// What is wrong with the request and what would be valid.
    pub detail: String,
}

impl Rejection {
    /// Creates a rejection.
    #[must_use]
    pub fn new(refusal: Refusal, detail: &str) -> Self {
        Self {
            refusal,
            detail: detail.to_owned(),
        }
    }

    fn bad_request(detail: &str) -> Self {
        Self::new(Refusal::not_run(Reason::BadRequest), detail)
    }

    fn too_large(detail: &str) -> Self {
        Self::new(Refusal::not_run(Reason::TooLarge), detail)
    }
}

/// Checks that path and headers together have at most `max_bytes`.
pub fn check_head_size(head: &Parts, max_bytes: usize) -> Result<(), Rejection> {
    let header_bytes: usize = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    let path_bytes = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    if header_bytes + path_bytes > max_bytes {
        let detail = format!("path and headers together may have at most {max_bytes} bytes");
        return Err(Rejection::too_large(&detail));
    }
    Ok(())
}

/// Splits `/{service}/{path}` into the service and the path below it, with the query.
pub fn split_path(
    running: &CompiledConfiguration,
    uri: &Uri,
) -> Result<(ServiceKey, PathAndQuery), Rejection> {
    check_path(uri.path())?;
    let full_path = uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let full_path = full_path
        .strip_prefix('/')
        .ok_or_else(|| Rejection::bad_request("the path must have the form /{service}/{path}"))?;
    let name_end = full_path.find(['/', '?']).unwrap_or(full_path.len());
    let (name, rest) = full_path.split_at(name_end);
    let service = running.service_names.get(name).ok_or_else(|| {
        let refusal = Refusal::not_run(Reason::NoRoute);
        Rejection::new(refusal, "no service of this name is configured")
    })?;
    let rest = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    let path =
        PathAndQuery::try_from(rest).map_err(|_| Rejection::bad_request("malformed path"))?;
    Ok((*service, path))
}

/// Refuses paths that a target may resolve differently than the route match: an
/// order could otherwise be sent in the class of a browsing request.
fn check_path(path: &str) -> Result<(), Rejection> {
    let lower = path.to_ascii_lowercase();
    let is_ambiguous = AMBIGUOUS_ENCODINGS
        .iter()
        .any(|encoding| lower.contains(encoding))
        || lower.contains('\\');
    let mut segments = path.split('/').skip(1).peekable();
    let mut has_odd_segment = false;
    while let Some(segment) = segments.next() {
        let is_empty_inner = segment.is_empty() && segments.peek().is_some();
        has_odd_segment |= matches!(segment, "." | "..") || is_empty_inner;
    }
    if is_ambiguous || has_odd_segment {
        let detail = "the path must not contain empty, '.' or '..' segments, '\\', %2e, %2f or %5c";
        return Err(Rejection::bad_request(detail));
    }
    Ok(())
}

/// Parses the deadline header: 1 to 86,400,000 milliseconds, digits only.
pub fn parse_deadline_ms(value: &HeaderValue) -> Result<u64, Rejection> {
    let number = value
        .to_str()
        .ok()
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|text| text.parse::<u64>().ok());
    number
        .filter(|number| (1..=MAX_DEADLINE_MS).contains(number))
        .ok_or_else(|| {
            let detail = "dogwood-deadline-ms must be a whole number from 1 to 86400000";
            Rejection::bad_request(detail)
        })
}

/// Idempotency key, if any; fails unless it is given once, as 1 to 128 visible ASCII
/// characters.
pub fn check_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Rejection> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let is_length_valid = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&bytes.len());
    let is_visible = bytes.iter().all(u8::is_ascii_graphic);
    if values.next().is_some() || !is_length_valid || !is_visible {
        let detail = "idempotency-key must be given once, as 1 to 128 visible ASCII characters";
        return Err(Rejection::bad_request(detail));
    }
    Ok(value.to_str().ok().map(str::to_owned))
}

/// Removes tenant key, internal and connection headers; logs an internal header other
/// than `expected`, since only nodes may set them.
pub fn strip_request_headers(headers: &mut HeaderMap, expected: Option<&HeaderName>) {
    let forged_name = headers
        .keys()
        .find(|name| is_internal(name) && Some(*name) != expected);
    if let Some(name) = forged_name {
        event!(Event::ContextForged, "header={name} dropped");
    }
    strip_internal(headers);
    strip_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
}

/// Discards the rest of a refused request's body, unless the sender waits for
/// `100 Continue` before sending it.
pub async fn discard_body(head: &HeaderMap, body: &mut Incoming) {
    if !head.contains_key(EXPECT) {
        discard(body).await;
    }
}

/// Reads the complete body, limited by the configuration or `max_body_bytes`, and by
/// `caller_read_timeout_ms`. Its room is taken until the second value is dropped.
pub async fn read_body<P: Policies>(
    node: &Node<P>,
    headers: &HeaderMap,
    body: &mut Incoming,
) -> Result<(Segments, HeldBody), Rejection> {
    let limit_bytes = node.max_body_bytes();
    let too_large =
        || Rejection::too_large(&format!("the body may have at most {limit_bytes} bytes"));
    let content_length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if content_length.is_some_and(|bytes| bytes > limit_bytes as u64) {
        return Err(too_large());
    }
    let timeout_ms = node.settings.caller_read_timeout_ms;
    let collecting = collect_held(body, limit_bytes, &node.body_room);
    let result = tokio::time::timeout(Duration::from_millis(timeout_ms), collecting).await;
    match result {
        Err(_) => Err(Rejection::bad_request(&format!(
            "the body did not arrive within {timeout_ms} ms"
        ))),
        Ok(Err(error)) => Err(Rejection::bad_request(&format!(
            "the body is malformed: {error}"
        ))),
        Ok(Ok(HeldCollected::TooLarge)) => Err(too_large()),
        Ok(Ok(HeldCollected::NoRoom)) => {
            let detail = "the node holds as many bytes of request bodies as it may";
            Err(Rejection::new(no_room_for_body(), detail))
        }
        Ok(Ok(HeldCollected::Complete(bytes, held))) => Ok((bytes, held)),
    }
}

/// Refusal of a request while there is no room for its body.
pub fn no_room_for_body() -> Refusal {
    let jitter_ms = rand::random::<u32>() % NO_ROOM_RETRY_JITTER_MS;
    Refusal::not_run(Reason::Overloaded).with_retry_after_ms(NO_ROOM_RETRY_AFTER_MS + jitter_ms)
}
