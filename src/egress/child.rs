//! Downstream calls of the local target.

use {
    super::Call,
    crate::{
        event,
        events::Event,
        exchange::{
            CALL, DEADLINE, OutboundRequest, RequestProgress, ResponseBody, refusal_response,
            response_from_result,
        },
        ingress::{
            Rejection, check_head_size, check_idempotency_key, discard_body, read_body, split_path,
            strip_request_headers,
        },
        model::{MAX_DEPTH, Reason, Refusal},
        node::{InFlightCall, Node, Policies, dispatch},
        retry::{CallKey, ChildAllotmentKey, RetryPolicy},
    },
    hyper::{HeaderMap, Request, Response, body::Incoming, http::request::Parts},
    std::sync::Arc,
};

/// Handles a downstream call.
pub async fn handle<P: Policies>(
    node: &Arc<Node<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let _in_flight = node.begin_request();
    let (mut head, mut body) = request.into_parts();
    match serve(node, &mut head, &mut body).await {
        Ok(response) => response,
        Err(rejection) => {
            discard_body(&head.headers, &mut body).await;
            let reason = rejection.refusal.reason;
            event!(Event::RequestRefused, "port=egress reason={reason}");
            refusal_response(rejection.refusal, &rejection.detail)
        }
    }
}

async fn serve<P: Policies>(
    node: &Arc<Node<P>>,
    head: &mut Parts,
    body: &mut Incoming,
) -> Result<Response<ResponseBody>, Rejection> {
    let (handle, parent) = parent_call(node, &head.headers)?;
    let parent_ended = parent.ended.clone();
    let sending = send_child(node, handle, &parent, head, body);
    tokio::select! {
        result = sending => result,
        // The parent call has completed or its caller has disconnected: nobody would read
        // the child's response, and its work would be wasted.
        () = parent_ended.cancelled() => Err(Rejection::new(
            Refusal::unknown(Reason::Cancelled).with_exhausted(),
            "the parent call has ended",
        )),
    }
}

fn parent_call<P: Policies>(
    node: &Node<P>,
    headers: &HeaderMap,
) -> Result<(u128, InFlightCall), Rejection> {
    let mut values = headers.get_all(CALL).iter();
    let handle = values
        .next()
        .filter(|_| values.next().is_none())
        .and_then(|value| value.to_str().ok())
        .filter(|value| value.len() == 32)
        .and_then(|value| u128::from_str_radix(value, 16).ok());
    let parent = handle.and_then(|handle| Some((handle, node.calls().get(handle)?)));
    parent.ok_or_else(|| {
        event!(
            Event::ContextForged,
            "port=egress handle unknown or call ended"
        );
        Rejection::new(
            Refusal::not_run(Reason::BadHandle),
            "dogwood-call must be the handle of a call in progress",
        )
    })
}

async fn send_child<P: Policies>(
    node: &Arc<Node<P>>,
    handle: u128,
    parent: &InFlightCall,
    head: &mut Parts,
    body: &mut Incoming,
) -> Result<Response<ResponseBody>, Rejection> {
    if parent.depth >= MAX_DEPTH {
        let detail = format!("a call chain may have at most {MAX_DEPTH} hops");
        return Err(Rejection::new(Refusal::not_run(Reason::TooDeep), &detail));
    }
    check_head_size(head, node.settings.max_header_bytes)?;
    let running = node.running();
    if running.revision == 0 {
        let refusal = Refusal::not_run(Reason::NotReady);
        return Err(Rejection::new(
            refusal,
            "this node has no configuration yet",
        ));
    }
    let (service, path) = split_path(&running, &head.uri)?;
    let route = running
        .route(service, head.method.as_str(), path.path())
        .ok_or_else(|| Rejection::new(Refusal::not_run(Reason::NoRoute), "no route matches"))?;
    let idempotency_key = check_idempotency_key(&head.headers)?;
    let (body, _held_body) = read_body(node, &head.headers, body).await?;
    if let Some(progress) = head.extensions.get::<RequestProgress>() {
        progress.receive();
    }
    let deadline_us = child_deadline_us(node, &head.headers, parent.deadline_us)?;
    strip_request_headers(&mut head.headers, Some(&CALL));
    let allotment = ChildRetryAllotment::new(node, parent.retry);
    let call = Call {
        request_id: parent.request_id,
        workspace: parent.workspace,
        key: parent.key,
        service,
        class: parent.class,
        deadline_us,
        objective_us: parent.objective_us,
        depth: parent.depth + 1,
        regions: running.allowed_regions(parent.workspace, None, path.path()),
        repeatable: route.repeatable,
        retry: allotment.key,
    };
    let outbound = OutboundRequest {
        method: head.method.clone(),
        host: None,
        path,
        headers: std::mem::take(&mut head.headers),
        body,
    };
    let result = dispatch(node, &call, &outbound, idempotency_key.as_deref()).await;
    drop(allotment);
    if matches!(&result, Err(refusal) if refusal.exhausted) {
        node.calls().mark_exhausted(handle);
    }
    Ok(response_from_result(result))
}

/// Deadline of a child call: the parent's deadline, or an earlier one that the target set.
fn child_deadline_us<P: Policies>(
    node: &Node<P>,
    headers: &HeaderMap,
    parent_deadline_us: u64,
) -> Result<u64, Rejection> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(parent_deadline_us);
    };
    let deadline_ms = crate::ingress::parse_deadline_ms(value)?;
    Ok(parent_deadline_us.min(node.timer.now_us() + deadline_ms * 1000))
}

/// Retry allotment of a child call on this node; returned to the parent when dropped.
struct ChildRetryAllotment<P: Policies> {
    node: Arc<Node<P>>,
    parent_entry: ChildAllotmentKey,
    key: CallKey,
}

impl<P: Policies> ChildRetryAllotment<P> {
    fn new(node: &Arc<Node<P>>, parent: CallKey) -> Self {
        let mut retries = node.retries();
        let child = retries.allot_to_child(parent);
        let key = retries.open(child.allotment);
        drop(retries);
        Self {
            node: Arc::clone(node),
            parent_entry: child.key,
            key,
        }
    }
}

impl<P: Policies> Drop for ChildRetryAllotment<P> {
    fn drop(&mut self) {
        let mut retries = self.node.retries();
        let unspent = retries.close(self.key);
        retries.return_unspent(self.parent_entry, unspent);
    }
}
