//! Downstream calls of the own target.

use {
    super::Call,
    crate::{
        event,
        events::Event,
        exchange::{AnswerBody, CALL, DEADLINE, Outbound, refusal_response, response_of},
        ingress::{
            Rejection, check_idempotency_key, check_size, discard_body, read_body, split_path,
            strip,
        },
        model::{MAX_DEPTH, Reason, Refusal},
        node::{InFlightCall, Node, Policies, dispatch},
        retry::{CallKey, ChildAllotmentKey, RetryPolicy},
    },
    hyper::{HeaderMap, Request, Response, body::Incoming, http::request::Parts},
    std::sync::Arc,
};

/// Answers a downstream call.
pub async fn handle<P: Policies>(
    node: &Arc<Node<P>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
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
) -> Result<Response<AnswerBody>, Rejection> {
    let (handle, parent) = parent_of(node, &head.headers)?;
    let over = parent.ended.clone();
    let calling = call(node, handle, &parent, head, body);
    tokio::select! {
        result = calling => result,
        // The parent's caller has its answer or is gone: nobody would read
        // what the child brings, and its work would be wasted.
        () = over.cancelled() => Err(Rejection::new(
            Refusal::unknown(Reason::Cancelled).with_exhausted(),
            "the call that this one belongs to is over",
        )),
    }
}

fn parent_of<P: Policies>(
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
        event!(Event::ContextForged, "port=egress handle unknown or over");
        Rejection::new(
            Refusal::not_run(Reason::BadHandle),
            "dogwood-call must be the handle of a call in progress",
        )
    })
}

async fn call<P: Policies>(
    node: &Arc<Node<P>>,
    handle: u128,
    parent: &InFlightCall,
    head: &mut Parts,
    body: &mut Incoming,
) -> Result<Response<AnswerBody>, Rejection> {
    if parent.depth >= MAX_DEPTH {
        let detail = format!("chains of calls end at {MAX_DEPTH} hops");
        return Err(Rejection::new(Refusal::not_run(Reason::TooDeep), &detail));
    }
    check_size(head, node.settings.max_header_bytes)?;
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
    let key = check_idempotency_key(&head.headers)?;
    let body = read_body(&node.settings, &head.headers, body).await?;
    let deadline_us = own_deadline_us(node, &head.headers, parent.deadline_us)?;
    strip(&mut head.headers, Some(&CALL));
    let share = Share::new(node, parent.retry);
    let call = Call {
        request_id: parent.request_id,
        workspace: parent.workspace,
        key: parent.key,
        service,
        class: parent.class,
        deadline_us,
        depth: parent.depth + 1,
        regions: running.regions_of(parent.workspace, None, path.path()),
        repeatable: route.repeatable,
        retry: share.own,
    };
    let outbound = Outbound {
        method: head.method.clone(),
        host: None,
        path,
        headers: std::mem::take(&mut head.headers),
        body,
    };
    let result = dispatch(node, &call, &outbound, key.as_deref()).await;
    drop(share);
    if matches!(&result, Err(refusal) if refusal.exhausted) {
        node.calls().mark_exhausted(handle);
    }
    Ok(response_of(result))
}

/// A target may wait less for a child than its own caller waits for it.
fn own_deadline_us<P: Policies>(
    node: &Node<P>,
    headers: &HeaderMap,
    parent_us: u64,
) -> Result<u64, Rejection> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(parent_us);
    };
    let wait_ms = crate::ingress::parse_deadline_ms(value)?;
    Ok(parent_us.min(node.timer.now_us() + wait_ms * 1000))
}

/// Retry allotment that a child call holds on this node while it lives.
struct Share<P: Policies> {
    node: Arc<Node<P>>,
    loan: ChildAllotmentKey,
    own: CallKey,
}

impl<P: Policies> Share<P> {
    fn new(node: &Arc<Node<P>>, parent: CallKey) -> Self {
        let mut retries = node.retries();
        let loan = retries.allot_to_child(parent);
        let own = retries.open(loan.allotment);
        drop(retries);
        Self {
            node: Arc::clone(node),
            loan: loan.key,
            own,
        }
    }
}

impl<P: Policies> Drop for Share<P> {
    fn drop(&mut self) {
        let mut retries = self.node.retries();
        let unspent = retries.close(self.own);
        retries.return_unspent(self.loan, unspent);
    }
}
