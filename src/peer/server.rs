//! Serves attempts from other nodes.

use {
    super::{
        AttemptContext, ContentDigest, PeerHeaderError, ResponseMetadata, decode_context,
        encode_response_metadata,
    },
    crate::{
        event,
        events::Event,
        exchange::{
            ANSWER, ANSWER_AUTH, AUTH, CLOCK, CONTEXT, HeldBody, HeldCollected, IDEMPOTENCY_KEY,
            ListenerLimits, ListenerMemory, OutboundRequest, RequestProgress, ResponseBody,
            collect_held, refusal_response, response_from_result, serve, strip_hop_by_hop,
            strip_internal,
        },
        ingress::no_room_for_body,
        model::{Reason, Refusal},
        node::{Node, Policies, serve_at_home},
        target::{ReportedLimit, serve_local},
    },
    hyper::{
        Method, Request, Response, body::Incoming, header::HeaderValue, http::uri::PathAndQuery,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

const MAX_CONNECTION_COUNT: usize = 8192;
const MAX_STREAM_COUNT: u32 = 4096;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Allowance for the headers that nodes add to a caller's.
const ADDED_HEADER_BYTES: usize = 4096;

/// Serves other nodes until the node stops.
///
/// Continues during a drain, so that attempts already sent get a response.
pub async fn serve_peers<P: Policies>(node: Arc<Node<P>>, listener: TcpListener) {
    let limits = ListenerLimits {
        max_connections: MAX_CONNECTION_COUNT,
        memory: ListenerMemory::FOR_NODES,
        max_header_bytes: node.settings.max_header_bytes + ADDED_HEADER_BYTES,
        header_timeout: HEADER_TIMEOUT,
        max_streams: MAX_STREAM_COUNT,
    };
    let (closing, stopped) = (node.peers_closing.clone(), node.stopped.clone());
    let open_count = Arc::clone(&node.peer_connection_count);
    let handle = move |request| handle(Arc::clone(&node), request);
    serve(listener, limits, closing, stopped, open_count, handle).await;
}

async fn handle<P: Policies>(
    node: Arc<Node<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let attempt = match authentic_context(&node, &request) {
        Ok(attempt) => attempt,
        Err(PeerHeaderError::TimestampOutOfRange { attempt_id }) => {
            return send_clock(&node, attempt_id);
        }
        Err(_) => return refuse_forged(request.method()),
    };
    if let Some(remembered) = attempt.remembered_limit {
        restore_limit(&node, remembered);
    }
    if let Some(progress) = request.extensions().get::<RequestProgress>() {
        // Its connection must not give way to others: a node retries nothing that it has sent.
        progress.receive();
    }
    let _in_flight = node.begin_request();
    let method = request.method().clone();
    let (result, unspent) = match read_request(&node, request).await {
        Ok((outbound, _)) if !matches_digest(&outbound, attempt.content) => {
            return refuse_forged(&method);
        }
        Ok((outbound, _held_body)) if attempt.is_guarded => {
            serve_at_home(&node, &attempt.context, outbound).await
        }
        Ok((outbound, _held_body)) => serve_local(&node, &attempt.context, &outbound).await,
        Err(refusal) => (Err(refusal), attempt.context.retry_allotment),
    };
    let level = node.level(attempt.context.class);
    let metadata = ResponseMetadata {
        attempt_id: attempt.attempt_id,
        refusal: result.as_ref().err().copied(),
        unspent,
        level,
        leaving_process_id: node.target.leaving_process_id(),
        reported_limit: node.target.reported_limit(),
    };
    let value = encode_response_metadata(&metadata);
    let proof = node.auth.sign(&[value.as_bytes()]);
    let mut response = response_from_result(result);
    response.headers_mut().insert(ANSWER, value);
    response.headers_mut().insert(ANSWER_AUTH, proof);
    response
}

/// Takes over a limit of the local target that the sender remembers from an earlier process of
/// this node.
fn restore_limit<P: Policies>(node: &Node<P>, remembered: ReportedLimit) {
    let now_us = node.timer.now_us();
    if node.target.restore_limit(remembered, now_us) {
        let (milli_per_s, age_ms) = (remembered.milli_per_s, now_us / 1000);
        event!(
            Event::TargetLimited,
            "limit_milli_per_s={milli_per_s} cause=earlier-process node_age_ms={age_ms}"
        );
    }
}

fn authentic_context<P: Policies>(
    node: &Node<P>,
    request: &Request<Incoming>,
) -> Result<AttemptContext, PeerHeaderError> {
    let headers = request.headers();
    let (context, proof) = match (headers.get(CONTEXT), headers.get(AUTH)) {
        (Some(context), Some(proof)) => (context, proof),
        _ => return Err(PeerHeaderError::NotAuthentic),
    };
    let path = request.uri().path_and_query();
    let parts = [
        context.as_bytes(),
        request.method().as_str().as_bytes(),
        path.map_or("", PathAndQuery::as_str).as_bytes(),
    ];
    if !node.auth.is_authentic(proof, &parts) {
        return Err(PeerHeaderError::NotAuthentic);
    }
    let attempt = decode_context(context, &node.names, node.timer.steady_unix_ms())?;
    let is_first = node
        .seen_attempts
        .record(attempt.attempt_id, node.timer.now_ms());
    match is_first {
        true => Ok(attempt),
        false => Err(PeerHeaderError::NotAuthentic),
    }
}

/// Reports this node's clock to a node of the fleet whose timestamp is out of
/// range. The attempt was not processed.
fn send_clock<P: Policies>(node: &Node<P>, attempt_id: u64) -> Response<ResponseBody> {
    event!(Event::ClockDiffers, "port=peer");
    let refusal = Refusal::not_run(Reason::NotAuthentic);
    let mut response = refusal_response(refusal, "the clocks of the nodes differ");
    let value = HeaderValue::from(node.timer.steady_unix_ms());
    let parts = [value.as_bytes(), &attempt_id.to_le_bytes()];
    let proof = node.auth.sign(&parts);
    response.headers_mut().insert(CLOCK, value);
    response.headers_mut().insert(ANSWER_AUTH, proof);
    response
}

fn refuse_forged(method: &Method) -> Response<ResponseBody> {
    event!(Event::ContextForged, "port=peer method={method}");
    let refusal = Refusal::not_run(Reason::NotAuthentic);
    refusal_response(refusal, "only nodes of the fleet may use this port")
}

fn matches_digest(outbound: &OutboundRequest, content: ContentDigest) -> bool {
    let idempotency_key = outbound.headers.get(IDEMPOTENCY_KEY);
    ContentDigest::of_segments(idempotency_key, &outbound.body) == content
}

async fn read_request<P: Policies>(
    node: &Node<P>,
    request: Request<Incoming>,
) -> Result<(OutboundRequest, HeldBody), Refusal> {
    let (mut parts, mut body) = request.into_parts();
    // The sender has checked the size by its configuration, which may be newer.
    let limit_bytes = node.settings.max_held_body_bytes;
    let (body, held) = match collect_held(&mut body, limit_bytes, &node.body_room).await {
        Ok(HeldCollected::Complete(bytes, held)) => (bytes, held),
        Ok(HeldCollected::TooLarge) => return Err(Refusal::not_run(Reason::TooLarge)),
        Ok(HeldCollected::NoRoom) => return Err(no_room_for_body()),
        Err(_) => return Err(Refusal::not_run(Reason::BadRequest)),
    };
    strip_internal(&mut parts.headers);
    strip_hop_by_hop(&mut parts.headers);
    let uri = parts.uri.into_parts();
    let path = uri.path_and_query;
    let own_address = SocketAddr::new(node.settings.reachable_ip(), node.settings.peer_port);
    let outbound = OutboundRequest {
        method: parts.method,
        // The sender fills in this node's address if the caller's host is not forwarded.
        host: uri
            .authority
            .map(|authority| authority.to_string())
            .filter(|host| *host != own_address.to_string()),
        path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        headers: parts.headers,
        body,
    };
    Ok((outbound, held))
}
