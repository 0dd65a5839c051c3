//! Serves requests of callers: checks key and quota, dispatches, records the result.

use {
    super::{Rejection, check_head_size, discard_body, read_body},
    crate::{
        control::{KindLabel, RequestLabels},
        dialect::{CallerRequest, Dialect, Tenant},
        egress::Call,
        event,
        events::Event,
        exchange::{
            EarlyResponse, ForwardedResponse, Handler, ListenerLimits, OutboundRequest,
            RequestProgress, ResponseBody, Segments, serve,
        },
        freshness::Freshness,
        keys::{KeyDigest, KeyState},
        model::{Class, Outcome, Reason, Refusal, RequestId, WorkspaceKey},
        node::{Node, Policies, dispatch},
        quota::{QuotaGate, TokenOrigin},
        retry::{CallKey, RetryPolicy},
        shutdown::{RequestTiming, check_time_left},
    },
    hyper::{
        Request, Response, Version,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        http::request::Parts,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::net::TcpListener,
};

/// Concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 256;
/// Workspace of requests on routes that need no key.
const ANONYMOUS_WORKSPACE: &str = "";
/// Number of open caller connections above which a refused request's connection is closed.
///
/// Callers retry on new connections and leave the old ones open for long. If many are
/// refused, thousands accumulate: memory grows to four times the usual, file descriptors
/// run out, and callers within their rate cannot connect.
const CLOSE_REFUSED_ABOVE_COUNT: usize = 256;
/// Retry delay if a key cannot be confirmed: about as long as a short platform outage.
const UNCONFIRMED_KEY_RETRY_AFTER_MS: u32 = 1000;

/// Serves callers until the node's drain has closed their connections.
pub async fn serve_callers<P: Policies>(node: Arc<Node<P>>, listener: TcpListener) {
    let budget = node.settings.memory_budget();
    let limits = ListenerLimits {
        max_connections: budget.connection_count,
        memory: budget.listener_memory(),
        max_header_bytes: node.settings.max_header_bytes,
        header_timeout: Duration::from_millis(node.settings.caller_read_timeout_ms),
        max_streams: MAX_STREAMS,
    };
    let (closing, stopped) = (node.callers_closing.clone(), node.stopped.clone());
    let open_count = Arc::clone(&node.caller_connection_count);
    let handler = CallerHandler(node);
    serve(listener, limits, closing, stopped, open_count, handler).await;
}

/// Handles the requests of callers.
struct CallerHandler<P: Policies>(Arc<Node<P>>);

impl<P: Policies> Clone for CallerHandler<P> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<P: Policies> Handler for CallerHandler<P> {
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send + 'static {
        let (head, body) = request.into_parts();
        handle(Arc::clone(&self.0), head, Some(body))
    }

    fn record_closed(&self) {
        let connections = KindLabel { kind: "connection" };
        self.0.metrics.given_up.get_or_create(&connections).inc();
    }

    fn start_early(&self, head: &Parts, progress: RequestProgress) -> Option<EarlyResponse> {
        let node = &self.0;
        let running = node.running();
        let request = node.dialect.read_request(&running, head).ok()?;
        if !request.repeatable || node.is_draining() {
            return None;
        }
        let handling = handle(Arc::clone(node), head.clone(), None);
        let task = tokio::spawn(async move { progress.hold_response(handling.await) });
        Some(EarlyResponse::new(task))
    }
}

/// What was read of a request, for its log line and metrics.
#[derive(Debug, Default)]
struct RequestInfo {
    request_id: Option<RequestId>,
    class: Option<Class>,
    /// Whether it may have reached a target.
    is_dispatched: bool,
}

impl RequestInfo {
    /// End of a request that the node gives up as it stops.
    fn stopped(&self) -> Rejection {
        let detail = "the node stops";
        match self.is_dispatched {
            true => Rejection::new(Refusal::unknown(Reason::ConnectionLost), detail),
            false => Rejection::new(Refusal::not_run(Reason::Draining), detail),
        }
    }
}

async fn handle<P: Policies>(
    node: Arc<Node<P>>,
    mut head: Parts,
    mut body: Option<Incoming>,
) -> Response<ResponseBody> {
    let _in_flight = node.begin_request();
    let is_http1 = head.version <= Version::HTTP_11;
    let started_us = node.timer.now_us();
    let mut request_info = RequestInfo::default();
    let processed = tokio::select! {
        biased;
        result = process(&node, &mut head, &mut body, &mut request_info) => Some(result),
        () = node.answering_rest.cancelled() => None,
    };
    let result = processed.unwrap_or_else(|| Err(request_info.stopped()));
    let refusal = match &result {
        Ok(_) => None,
        Err(rejection) => Some(rejection.refusal),
    };
    let latency_us = node.timer.now_us().saturating_sub(started_us);
    record_result(&node, &request_info, refusal, latency_us);
    let mut response = match result {
        Ok(response) => node.dialect.response(response),
        Err(rejection) => {
            if let Some(body) = &mut body {
                discard_body(&head.headers, body).await;
            }
            let (refusal, detail) = (rejection.refusal, &rejection.detail);
            node.dialect.refusal(refusal, detail, &head.headers)
        }
    };
    let open_count = node.caller_connection_count.load(Ordering::Relaxed);
    let is_surplus = refusal.is_some() && open_count > CLOSE_REFUSED_ABOVE_COUNT;
    if is_http1 && (node.is_draining() || is_surplus) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn record_result<P: Policies>(
    node: &Node<P>,
    request_info: &RequestInfo,
    refusal: Option<Refusal>,
    latency_us: u64,
) {
    let labels = RequestLabels {
        class: request_info.class.map_or("none", Class::name),
        outcome: refusal
            .map_or(Outcome::Whole, |refusal| refusal.outcome)
            .name(),
        reason: refusal.map_or("none", |refusal| refusal.reason.name()),
    };
    if let Some(refusal) = refusal {
        let (outcome, reason) = (refusal.outcome.name(), refusal.reason);
        let id = request_info
            .request_id
            .as_ref()
            .map_or("", RequestId::as_str);
        let took_ms = latency_us / 1000;
        event!(
            Event::RequestRefused,
            "port=caller request={id} outcome={outcome} reason={reason} took_ms={took_ms}"
        );
    }
    node.metrics.count_request(&labels, latency_us);
}

async fn process<P: Policies>(
    node: &Arc<Node<P>>,
    head: &mut Parts,
    body: &mut Option<Incoming>,
    request_info: &mut RequestInfo,
) -> Result<ForwardedResponse, Rejection> {
    request_info.request_id = node.dialect.request_id(&head.headers);
    let running = node.running();
    if running.revision == 0 {
        let refusal = Refusal::not_run(Reason::NotReady);
        return Err(Rejection::new(
            refusal,
            "this node has no configuration yet",
        ));
    }
    check_head_size(head, node.settings.max_header_bytes)?;
    let request = node.dialect.read_request(&running, head)?;
    request_info.request_id = Some(request.request_id);
    request_info.class = Some(request.class);
    let received_us = node.timer.now_us();
    let deadline_us = received_us + request.deadline_ms * 1000;
    let objective_ms = request.latency_objective_ms;
    if let Some(tenant) = &request.tenant {
        check_lease(node, tenant)?;
    }
    let (body, _held_body) = match body {
        Some(body) => read_body(node, &head.headers, body).await?,
        None => (Segments::new(), node.body_room.hold_empty()),
    };
    if let Some(progress) = head.extensions.get::<RequestProgress>() {
        progress.receive();
    }
    let Admitted {
        workspace,
        key,
        token,
    } = admit_tenant(node, &request).await?;
    let workspace_name = node.names.workspace_name(workspace);
    let verified_workspace = request.tenant.as_ref().map(|_| workspace_name.as_str());
    let allotment = RetryAllotment::new(node, request.retry_limit);
    let call = Call {
        request_id: request.request_id,
        workspace,
        key,
        service: request.service,
        class: request.class,
        deadline_us,
        objective_us: objective_ms.map(|objective_ms| received_us + objective_ms * 1000),
        depth: 0,
        regions: request.regions,
        repeatable: request.repeatable,
        retry: allotment.key,
    };
    let mut headers = head.headers.clone();
    node.dialect
        .rewrite_headers(&mut headers, verified_workspace);
    let outbound = OutboundRequest {
        method: head.method.clone(),
        host: request.host,
        path: request.path,
        headers,
        body,
    };
    let is_target_call = request.tenant.is_none() && P::Dialect::CALLS_USE_CALLER_PORT;
    let result = match check_time_left(node, &call) {
        Ok(()) => {
            request_info.is_dispatched = true;
            let _timing = RequestTiming::new(node, &call);
            dispatch(node, &call, &outbound, request.idempotency_key.as_deref()).await
        }
        Err(refusal) => Err(refusal),
    };
    drop(allotment);
    if request.tenant.is_some()
        && matches!(&result, Err(refusal) if refusal.outcome == Outcome::NotRun)
    {
        node.quota.refund(workspace, token);
    }
    if is_target_call {
        record_call(node, &result);
    }
    result.map_err(|refusal| Rejection::new(refusal, ""))
}

/// Records the result of a downstream call of the local target. A call that the target
/// cancelled is not recorded, since the future is dropped before.
fn record_call<P: Policies>(node: &Node<P>, result: &Result<ForwardedResponse, Refusal>) {
    let is_failure = match result {
        Ok(response) => response.status.is_server_error(),
        Err(_) => true,
    };
    let now_us = node.timer.now_us();
    node.downstream().record_call(is_failure, now_us);
}

/// Request within the rate of its workspace.
struct Admitted {
    workspace: WorkspaceKey,
    key: KeyDigest,
    token: TokenOrigin,
}

/// Admits the request by the workspace's rate.
async fn admit_tenant<P: Policies>(
    node: &Node<P>,
    request: &CallerRequest,
) -> Result<Admitted, Rejection> {
    let Some(tenant) = &request.tenant else {
        return Ok(Admitted {
            workspace: node.names.workspace(ANONYMOUS_WORKSPACE),
            key: KeyDigest::NONE,
            token: TokenOrigin::Untracked,
        });
    };
    let rules = &tenant.rules;
    let admitted = node
        .quota
        .admit(rules.workspace, rules.rate, request.class)
        .await;
    let token =
        admitted.map_err(|refusal| Rejection::new(refusal, "the workspace is over its rate"))?;
    // Checks the key again: it may have been revoked during the wait for body and quota.
    check_lease(node, tenant)?;
    match node.running().key_state(&tenant.key) {
        KeyState::Granted(workspace) if workspace == rules.workspace => Ok(Admitted {
            workspace,
            key: tenant.key,
            token,
        }),
        KeyState::Granted(_) | KeyState::Revoked | KeyState::Unknown => {
            let refusal = Refusal::not_run(Reason::RevokedKey);
            Err(Rejection::new(refusal, "the key was revoked"))
        }
    }
}

/// Refuses a key that could not be confirmed for longer than its lease, since it may have
/// been revoked without this node's knowledge and would stay usable.
fn check_lease<P: Policies>(node: &Node<P>, tenant: &Tenant) -> Result<(), Rejection> {
    if node.freshness() != Freshness::CutOff {
        return Ok(());
    }
    let cut_off_ms = node.timer.now_ms().saturating_sub(node.cut_off_since_ms());
    let lease_ms = tenant.rules.key_lease_ms;
    if cut_off_ms > lease_ms || lease_ms == 0 {
        let refusal = Refusal::not_run(Reason::KeyLeaseExpired);
        let detail = "this zone is cut off and could not confirm the key within its lease";
        return Err(Rejection::new(
            refusal.with_retry_after_ms(UNCONFIRMED_KEY_RETRY_AFTER_MS),
            detail,
        ));
    }
    Ok(())
}

/// Holds the retry allotment of an original request; closes it when dropped.
struct RetryAllotment<P: Policies> {
    node: Arc<Node<P>>,
    key: CallKey,
}

impl<P: Policies> RetryAllotment<P> {
    fn new(node: &Arc<Node<P>>, retry_limit: u8) -> Self {
        let key = node.retries().open(retry_limit);
        Self {
            node: Arc::clone(node),
            key,
        }
    }
}

impl<P: Policies> Drop for RetryAllotment<P> {
    fn drop(&mut self) {
        self.node.retries().close(self.key);
    }
}
