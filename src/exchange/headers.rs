//! Names of the headers between callers, nodes and targets, and their removal.

use hyper::{
    HeaderMap,
    header::{
        CONNECTION, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};

/// Tenant key of a caller.
pub const KEY: HeaderName = HeaderName::from_static("dogwood-key");
/// Time that a caller waits, or that remains for a target, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("dogwood-deadline-ms");
/// Idempotency key of a request that must not be executed twice.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Handle of the call that a target executes.
pub const CALL: HeaderName = HeaderName::from_static("dogwood-call");
/// Request context between nodes.
pub const CONTEXT: HeaderName = HeaderName::from_static("dogwood-context");
/// Authenticates the context as sent by a node of the fleet.
pub const AUTH: HeaderName = HeaderName::from_static("dogwood-auth");
/// Result of an attempt, as reported by the node that handled it.
pub const ANSWER: HeaderName = HeaderName::from_static("dogwood-answer");
/// Authenticates the response as sent by a node of the fleet.
pub const ANSWER_AUTH: HeaderName = HeaderName::from_static("dogwood-answer-auth");
/// Clock of a node that refused a context as too old, in milliseconds since the Unix
/// epoch.
pub const CLOCK: HeaderName = HeaderName::from_static("dogwood-clock");
/// Outcome of a request, for callers.
pub const OUTCOME: HeaderName = HeaderName::from_static("dogwood-outcome");
/// Reason of a refusal, for callers.
pub const REASON: HeaderName = HeaderName::from_static("dogwood-reason");
/// Retry delay in milliseconds, more precise than `Retry-After`.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("dogwood-retry-after-ms");
/// Set to `not-run` by a target that shed a request without executing any of it.
///
/// Not the outcome header: a target that copies the headers of a downstream response would
/// report by accident that it did not run itself.
pub const SHED: HeaderName = HeaderName::from_static("dogwood-shed");

/// Requests per second that a target takes from all nodes together, a decimal number.
pub const LIMIT_PER_S: HeaderName = HeaderName::from_static("dogwood-limit-per-s");
/// Set to `1` by a target that will exit.
pub const LEAVING: HeaderName = HeaderName::from_static("dogwood-leaving");

const INTERNAL_PREFIX: &str = "dogwood-";

const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Whether this is a header that callers may not set.
#[must_use]
pub fn is_internal(name: &HeaderName) -> bool {
    name.as_str().starts_with(INTERNAL_PREFIX) && name != KEY && name != DEADLINE
}

/// Removes all `dogwood-` headers, so that neither tenant keys nor forged values are
/// forwarded between callers and targets.
pub fn strip_internal(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(INTERNAL_PREFIX))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

/// Removes headers that apply to a single connection.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
