//! Checks of what callers and targets send, before anything is decided.

use {
    crate::{
        conf::Running,
        event,
        events::Event,
        exchange::{
            Collected, IDEMPOTENCY_KEY, collect, discard, is_internal, strip_hop_by_hop,
            strip_internal,
        },
        model::{Reason, Refusal, ServiceKey},
        settings::Settings,
    },
    bytes::Bytes,
    hyper::{
        HeaderMap, Uri,
        body::Incoming,
        header::{CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue},
        http::{request::Parts, uri::PathAndQuery},
    },
    std::time::Duration,
};

/// Longest Idempotency-Key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Longest deadline that a caller may state; one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Ways to write characters of a path that a target may resolve differently
/// than the route match did.
const AMBIGUOUS: [&str; 3] = ["%2e", "%2f", "%5c"];

/// A request that is refused with words for whoever sent it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}: {detail}", refusal.reason)]
pub struct Rejection {
    /// The refusal.
    pub refusal: Refusal,
    /// What is wrong and what would be right.
    pub detail: String,
}

impl Rejection {
    /// A refusal with its words.
    #[must_use]
    pub fn new(refusal: Refusal, detail: &str) -> Self {
        Self {
            refusal,
            detail: detail.to_owned(),
        }
    }

    fn bad(detail: &str) -> Self {
        Self::new(Refusal::not_run(Reason::BadRequest), detail)
    }

    fn large(detail: &str) -> Self {
        Self::new(Refusal::not_run(Reason::TooLarge), detail)
    }
}

/// Checks the size of the request's head.
pub fn check_size(head: &Parts, max_bytes: usize) -> Result<(), Rejection> {
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
        let detail = format!("path and headers together may have {max_bytes} bytes");
        return Err(Rejection::large(&detail));
    }
    Ok(())
}

/// Service and path below it of a request for `/{service}/{path}`.
pub fn split_path(running: &Running, uri: &Uri) -> Result<(ServiceKey, PathAndQuery), Rejection> {
    check_path(uri.path())?;
    let whole = uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let whole = whole
        .strip_prefix('/')
        .ok_or_else(|| Rejection::bad("the path must have the form /{service}/{path}"))?;
    let end = whole.find(['/', '?']).unwrap_or(whole.len());
    let (name, rest) = whole.split_at(end);
    let service = running.service_names.get(name).ok_or_else(|| {
        let refusal = Refusal::not_run(Reason::NoRoute);
        Rejection::new(refusal, "no service of this name is configured")
    })?;
    let rest = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    let path = PathAndQuery::try_from(rest).map_err(|_| Rejection::bad("malformed path"))?;
    Ok((*service, path))
}

/// Refuses paths that a target may read differently than the route match: an
/// order could otherwise travel as a browsing request.
fn check_path(path: &str) -> Result<(), Rejection> {
    let lower = path.to_ascii_lowercase();
    let is_ambiguous = AMBIGUOUS.iter().any(|code| lower.contains(code)) || lower.contains('\\');
    let mut segments = path.split('/').skip(1).peekable();
    let mut has_odd_segment = false;
    while let Some(segment) = segments.next() {
        let is_empty_inside = segment.is_empty() && segments.peek().is_some();
        has_odd_segment |= matches!(segment, "." | "..") || is_empty_inside;
    }
    if is_ambiguous || has_odd_segment {
        let detail = "the path may hold no empty, '.' or '..' segments, '\\', %2e, %2f or %5c";
        return Err(Rejection::bad(detail));
    }
    Ok(())
}

/// Deadline header in milliseconds.
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
            Rejection::bad(detail)
        })
}

/// The Idempotency-Key, if there is one and only one.
pub fn check_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Rejection> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let has_length = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&bytes.len());
    let is_visible = bytes.iter().all(u8::is_ascii_graphic);
    if values.next().is_some() || !has_length || !is_visible {
        let detail = "idempotency-key must be given once, as 1 to 128 visible ASCII characters";
        return Err(Rejection::bad(detail));
    }
    Ok(value.to_str().ok().map(str::to_owned))
}

/// Removes key, internal and connection headers; whoever set internal ones
/// other than `expected` is logged.
pub fn strip(headers: &mut HeaderMap, expected: Option<&HeaderName>) {
    let forged = headers
        .keys()
        .find(|name| is_internal(name) && Some(*name) != expected);
    if let Some(name) = forged {
        event!(Event::ContextForged, "header={name} dropped");
    }
    strip_internal(headers);
    strip_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
}

/// Reads what is left of a refused request's body, unless whoever sent it
/// waits for a word before sending it.
pub async fn discard_body(head: &HeaderMap, body: &mut Incoming) {
    if !head.contains_key(EXPECT) {
        discard(body).await;
    }
}

/// Reads the whole body within size and time.
pub async fn read_body(
    settings: &Settings,
    headers: &HeaderMap,
    body: &mut Incoming,
) -> Result<Bytes, Rejection> {
    let limit_bytes = settings.max_body_bytes;
    let too_large = || Rejection::large(&format!("the body may have {limit_bytes} bytes"));
    let announced = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if announced.is_some_and(|bytes| bytes > limit_bytes as u64) {
        return Err(too_large());
    }
    let timeout_ms = settings.caller_read_timeout_ms;
    let reading = collect(body, limit_bytes);
    let read = tokio::time::timeout(Duration::from_millis(timeout_ms), reading).await;
    match read {
        Err(_) => Err(Rejection::bad(&format!(
            "the body did not arrive within {timeout_ms} ms"
        ))),
        Ok(Err(error)) => Err(Rejection::bad(&format!("the body is malformed: {error}"))),
        Ok(Ok(Collected::Larger(..))) => Err(too_large()),
        Ok(Ok(Collected::Whole(bytes))) => Ok(bytes),
    }
}
