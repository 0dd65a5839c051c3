//! One request of a caller, from its key to its answer.

use {
    super::{
        Rejection, check_idempotency_key, check_size, discard_body, parse_deadline_ms, read_body,
        split_path, strip,
    },
    crate::{
        conf::{Running, WorkspaceRules},
        control::RequestLabels,
        egress::Call,
        event,
        events::Event,
        exchange::{
            Answer, AnswerBody, DEADLINE, KEY, ListenerLimits, Outbound, refusal_response,
            response_of, serve,
        },
        keys::{KeyDigest, KeyState},
        model::{Class, Outcome, Reason, Refusal},
        node::{Node, Policies, dispatch},
        quota::QuotaGate,
        retry::{CallKey, RetryPolicy},
    },
    hyper::{
        HeaderMap, Method, Request, Response, Version,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        http::request::Parts,
    },
    sha2::{Digest, Sha256},
    std::{sync::Arc, time::Duration},
    tokio::net::TcpListener,
    uuid::Uuid,
};

const STREAM_COUNT: u32 = 256;

/// Serves callers until the node's drain closes their connections.
pub async fn serve_callers<P: Policies>(node: Arc<Node<P>>, listener: TcpListener) {
    let limits = ListenerLimits {
        connection_count: node.settings.max_connections,
        header_bytes: node.settings.max_header_bytes,
        header_timeout: Duration::from_millis(node.settings.caller_read_timeout_ms),
        stream_count: STREAM_COUNT,
    };
    let (closing, stopped) = (node.closing.clone(), node.stopped.clone());
    let open_count = Arc::clone(&node.caller_connection_count);
    let handle = move |request| handle(Arc::clone(&node), request);
    serve(listener, limits, closing, stopped, open_count, handle).await;
}

async fn handle<P: Policies>(
    node: Arc<Node<P>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let _in_flight = node.begin();
    let is_http1 = request.version() <= Version::HTTP_11;
    let started_us = node.timer.now_us();
    let mut class = None;
    let (mut head, mut body) = request.into_parts();
    let result = answer(&node, &mut head, &mut body, &mut class).await;
    let ended = match &result {
        Ok(_) => None,
        Err(rejection) => Some(rejection.refusal),
    };
    let latency_us = node.timer.now_us().saturating_sub(started_us);
    count(&node, class, ended, latency_us);
    let mut response = match result {
        Ok(answer) => response_of(Ok(answer)),
        Err(rejection) => {
            discard_body(&head.headers, &mut body).await;
            refusal_response(rejection.refusal, &rejection.detail)
        }
    };
    if is_http1 && node.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn count<P: Policies>(
    node: &Node<P>,
    class: Option<Class>,
    ended: Option<Refusal>,
    latency_us: u64,
) {
    let labels = RequestLabels {
        class: class.map_or("none", Class::name),
        outcome: ended
            .map_or(Outcome::Whole, |refusal| refusal.outcome)
            .name(),
        reason: ended.map_or("none", |refusal| refusal.reason.name()),
    };
    if let Some(refusal) = ended {
        let (outcome, reason) = (refusal.outcome.name(), refusal.reason);
        event!(
            Event::RequestRefused,
            "port=caller outcome={outcome} reason={reason}"
        );
    }
    node.metrics.count_request(&labels, latency_us);
}

async fn answer<P: Policies>(
    node: &Arc<Node<P>>,
    head: &mut Parts,
    body: &mut Incoming,
    class: &mut Option<Class>,
) -> Result<Answer, Rejection> {
    let running = node.running();
    if running.revision == 0 {
        let refusal = Refusal::not_run(Reason::NotReady);
        return Err(Rejection::new(
            refusal,
            "this node has no configuration yet",
        ));
    }
    let (presented, workspace) = workspace_of(node, &running, &head.headers)?;
    check_size(head, node.settings.max_header_bytes)?;
    if head.method == Method::CONNECT {
        let refusal = Refusal::not_run(Reason::BadRequest);
        return Err(Rejection::new(refusal, "the method CONNECT is not served"));
    }
    let (service, path) = split_path(&running, &head.uri)?;
    let route = running
        .route(service, head.method.as_str(), path.path())
        .ok_or_else(|| Rejection::new(Refusal::not_run(Reason::NoRoute), "no route matches"))?;
    *class = Some(route.class);
    let deadline_us = deadline_us(node, &head.headers, route.deadline_ms)?;
    let key = check_idempotency_key(&head.headers)?;
    let body = read_body(&node.settings, &head.headers, body).await?;
    let quota = node.quota.admit(workspace.workspace, workspace.rate).await;
    quota.map_err(|refusal| Rejection::new(refusal, "the workspace is over its rate"))?;
    confirm_key(node, &head.headers)?;
    strip(&mut head.headers, None);
    let allotment = running
        .services
        .get(&service)
        .map_or(0, |rules| rules.retry_limit);
    let budget = Budget::new(node, allotment);
    let call = Call {
        request_id: Uuid::new_v4(),
        workspace: workspace.workspace,
        key: presented,
        service,
        class: route.class,
        deadline_us,
        depth: 0,
        repeatable: route.repeatable,
        retry: budget.call,
    };
    let outbound = Outbound {
        method: head.method.clone(),
        path,
        headers: std::mem::take(&mut head.headers),
        body,
    };
    let result = dispatch(node, &call, &outbound, key.as_deref()).await;
    drop(budget);
    result.map_err(|refusal| Rejection::new(refusal, ""))
}

fn deadline_us<P: Policies>(
    node: &Node<P>,
    headers: &HeaderMap,
    route_ms: u32,
) -> Result<u64, Rejection> {
    let asked_ms = headers.get(DEADLINE).map(parse_deadline_ms).transpose()?;
    let wait_ms = asked_ms.map_or(u64::from(route_ms), |ms| ms.min(u64::from(route_ms)));
    Ok(node.timer.now_us() + wait_ms * 1000)
}

/// Digest of the key that the request carries, and rules of its workspace.
fn workspace_of<'a, P: Policies>(
    node: &Node<P>,
    running: &'a Running,
    headers: &HeaderMap,
) -> Result<(KeyDigest, &'a WorkspaceRules), Rejection> {
    let reject = |reason, detail| Rejection::new(Refusal::not_run(reason), detail);
    let mut values = headers.get_all(KEY).iter();
    let Some(key) = values.next() else {
        return Err(reject(
            Reason::MissingKey,
            "the header dogwood-key is missing",
        ));
    };
    if values.next().is_some() {
        return Err(reject(Reason::BadRequest, "dogwood-key must be given once"));
    }
    // The table is searched by the key's digest. How long that takes tells at
    // most about digests, which cannot be turned back into keys, so a search
    // in constant time would protect nothing.
    let digest = KeyDigest(Sha256::digest(key.as_bytes()).into());
    let workspace = match running.key_state(&digest) {
        KeyState::Granted(workspace) => workspace,
        KeyState::Revoked => return Err(reject(Reason::RevokedKey, "the key was revoked")),
        KeyState::Unknown => return Err(reject(Reason::UnknownKey, "the key is unknown")),
    };
    let Some(rules) = running.workspaces.get(&workspace) else {
        return Err(reject(
            Reason::UnknownKey,
            "the key's workspace is not configured",
        ));
    };
    let cut_off_ms = node.timer.now_ms().saturating_sub(node.cut_off_since_ms());
    if cut_off_ms > rules.key_lease_ms {
        let detail = "this zone is cut off and could not confirm the key for too long";
        return Err(reject(Reason::KeyLeaseExpired, detail));
    }
    Ok((digest, rules))
}

/// Looks at the key again after waiting for body and quota: it may have been
/// revoked in the meantime.
fn confirm_key<P: Policies>(node: &Node<P>, headers: &HeaderMap) -> Result<(), Rejection> {
    workspace_of(node, &node.running(), headers).map(|_| ())
}

/// The retry allotment of an original request while it lives.
struct Budget<P: Policies> {
    node: Arc<Node<P>>,
    call: CallKey,
}

impl<P: Policies> Budget<P> {
    fn new(node: &Arc<Node<P>>, allotment: u8) -> Self {
        let call = node.retries().open(allotment);
        Self {
            node: Arc::clone(node),
            call,
        }
    }
}

impl<P: Policies> Drop for Budget<P> {
    fn drop(&mut self) {
        self.node.retries().close(self.call);
    }
}
