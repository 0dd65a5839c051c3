//! HTTP requests and responses that pass through a node.

mod body;
mod body_room;
mod connection_table;
mod headers;
mod listener;
mod memory_budget;
mod pipeline;
mod prefetch;
mod read_ahead;
mod read_timer;
mod response;
mod segments;
mod served_connection;
mod tracked;

pub use {
    body::{Collected, ResponseBody, TruncatedBody, collect, discard, stream_body},
    body_room::{BodyRoom, HeldBody, HeldCollected, NoRoom, collect_held},
    connection_table::{
        ConnectionLimits, ConnectionRequests, ConnectionTable, OpenConnection, TrackedRequest,
    },
    headers::{
        ANSWER, ANSWER_AUTH, AUTH, CALL, CLOCK, CONTEXT, DEADLINE, IDEMPOTENCY_KEY, KEY, LEAVING,
        LIMIT_PER_S, OUTCOME, REASON, RETRY_AFTER_MS, SHED, is_internal, strip_hop_by_hop,
        strip_internal,
    },
    listener::{Handler, ListenerLimits, ListenerMemory, bind, serve},
    memory_budget::MemoryBudget,
    pipeline::{EarlyResponse, Pipeline},
    read_ahead::ReadAheadRoom,
    response::{ForwardedResponse, is_final_status, refusal_response, response_from_result},
    segments::{SegmentWriter, Segments},
    tracked::{RequestProgress, TrackedBody, request_bytes},
};

use hyper::{HeaderMap, Method, http::uri::PathAndQuery};

/// A request that was read completely and validated, ready to be sent.
///
/// Its headers contain neither the tenant key nor headers between nodes.
#[derive(Debug, Clone)]
pub struct OutboundRequest {
    /// Method.
    pub method: Method,
    /// Host that the caller addressed, if the dialect forwards it to targets.
    pub host: Option<String>,
    /// Path below the service, including the query.
    pub path: PathAndQuery,
    /// Headers to send to the target.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Segments,
}
