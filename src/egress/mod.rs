//! Egress: receives the local target's notices and sends its downstream calls.

mod announce;
mod attempt;
mod attempts;
mod call;
mod child;
mod confirm;
mod retry_rules;
mod silent_call;

pub use {
    announce::{record_leaving_response, record_load},
    attempt::send,
    attempts::run_attempts,
    call::{Call, request_context},
};

use {
    crate::{
        dialect::Dialect,
        exchange::{ListenerLimits, ListenerMemory, ResponseBody, serve},
        node::{Node, Policies},
    },
    hyper::{Request, Response, body::Incoming},
    std::{sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Connections of a target that makes its downstream calls elsewhere.
const MAX_NOTICE_CONNECTIONS: usize = 64;
/// Concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Prefix of the paths that the node handles itself.
const NODE_PATH_PREFIX: &str = "/-/";

/// Serves the local target until the node stops.
pub async fn serve_egress<P: Policies>(node: Arc<Node<P>>, listener: TcpListener) {
    let budget = node.settings.memory_budget();
    let (max_connections, memory) = match P::Dialect::CALLS_USE_CALLER_PORT {
        true => (MAX_NOTICE_CONNECTIONS, ListenerMemory::FOR_MACHINE),
        false => (budget.connection_count, budget.listener_memory()),
    };
    let limits = ListenerLimits {
        max_connections,
        max_header_bytes: node.settings.max_header_bytes,
        header_timeout: HEADER_TIMEOUT,
        max_streams: MAX_STREAMS,
        memory,
    };
    let stopped = node.stopped.clone();
    let handle = move |request| handle(Arc::clone(&node), request);
    serve(
        listener,
        limits,
        stopped.clone(),
        stopped,
        Arc::default(),
        handle,
    )
    .await;
}

async fn handle<P: Policies>(
    node: Arc<Node<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if P::Dialect::CALLS_USE_CALLER_PORT || request.uri().path().starts_with(NODE_PATH_PREFIX) {
        announce::handle(&node, request).await
    } else {
        child::handle(&node, request).await
    }
}
