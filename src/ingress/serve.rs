//! One request of a caller, from its key to its answer.

use {
    super::{Rejection, check_size, discard_body, read_body},
    crate::{
        control::RequestLabels,
        dialect::{CallerRequest, Dialect, Tenant},
        egress::Call,
        event,
        events::Event,
        exchange::{Answer, AnswerBody, BegunAhead, Handler, ListenerLimits, Outbound, serve},
        freshness::Freshness,
        keys::{KeyDigest, KeyState},
        model::{Class, Outcome, Reason, Refusal, RequestId, WorkspaceKey},
        node::{Node, Policies, dispatch},
        quota::QuotaGate,
        retry::{CallKey, RetryPolicy},
    },
    bytes::Bytes,
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

const STREAM_COUNT: u32 = 256;
/// Workspace that requests on open routes are counted for.
const ANONYMOUS: &str = "";
/// Open connections of callers above which refused ones are closed.
///
/// Callers come back on new connections and leave the old ones open until they
/// are idle for long. In a storm of refusals thousands pile up: one would notice
/// memory of four times the usual, and descriptors that run out, so that callers
/// within their rate are not accepted.
const KEPT_CONNECTION_COUNT: usize = 256;
/// When to come back to a node that cannot confirm keys: about the time that a
/// short outage of the platform lasts.
const UNCONFIRMED_RETRY_MS: u32 = 1000;

/// Serves callers until the node's drain closes their connections.
pub async fn serve_callers<P: Policies>(node: Arc<Node<P>>, listener: TcpListener) {
    let limits = ListenerLimits {
        connection_count: node.settings.max_connections,
        header_bytes: node.settings.max_header_bytes,
        header_timeout: Duration::from_millis(node.settings.caller_read_timeout_ms),
        stream_count: STREAM_COUNT,
    };
    let (closing, stopped) = (node.callers_closing.clone(), node.stopped.clone());
    let open_count = Arc::clone(&node.caller_connection_count);
    let handler = CallerHandler(node);
    serve(listener, limits, closing, stopped, open_count, handler).await;
}

/// Answers callers.
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
    ) -> impl Future<Output = Response<AnswerBody>> + Send + 'static {
        let (head, body) = request.into_parts();
        handle(Arc::clone(&self.0), head, Some(body))
    }

    fn begin_ahead(&self, head: &Parts) -> Option<BegunAhead> {
        let node = &self.0;
        let running = node.running();
        let asked = node.dialect.read_request(&running, head).ok()?;
        if !asked.repeatable || node.is_draining() {
            return None;
        }
        let begun = tokio::spawn(handle(Arc::clone(node), head.clone(), None));
        Some(BegunAhead::new(begun))
    }
}

/// What is known of a request for its log line and its counters.
#[derive(Debug, Default)]
struct Seen {
    request_id: Option<RequestId>,
    class: Option<Class>,
}

async fn handle<P: Policies>(
    node: Arc<Node<P>>,
    mut head: Parts,
    mut body: Option<Incoming>,
) -> Response<AnswerBody> {
    let _in_flight = node.begin_request();
    let is_http1 = head.version <= Version::HTTP_11;
    let started_us = node.timer.now_us();
    let mut seen = Seen::default();
    let result = answer(&node, &mut head, &mut body, &mut seen).await;
    let ended = match &result {
        Ok(_) => None,
        Err(rejection) => Some(rejection.refusal),
    };
    let latency_us = node.timer.now_us().saturating_sub(started_us);
    count(&node, &seen, ended, latency_us);
    let mut response = match result {
        Ok(answer) => node.dialect.response(answer),
        Err(rejection) => {
            if let Some(body) = &mut body {
                discard_body(&head.headers, body).await;
            }
            let (refusal, detail) = (rejection.refusal, &rejection.detail);
            node.dialect.refusal(refusal, detail, &head.headers)
        }
    };
    let open_count = node.caller_connection_count.load(Ordering::Relaxed);
    let is_surplus = ended.is_some() && open_count > KEPT_CONNECTION_COUNT;
    if is_http1 && (node.is_draining() || is_surplus) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn count<P: Policies>(node: &Node<P>, seen: &Seen, ended: Option<Refusal>, latency_us: u64) {
    let labels = RequestLabels {
        class: seen.class.map_or("none", Class::name),
        outcome: ended
            .map_or(Outcome::Whole, |refusal| refusal.outcome)
            .name(),
        reason: ended.map_or("none", |refusal| refusal.reason.name()),
    };
    if let Some(refusal) = ended {
        let (outcome, reason) = (refusal.outcome.name(), refusal.reason);
        let id = seen.request_id.as_ref().map_or("", RequestId::as_str);
        let took_ms = latency_us / 1000;
        event!(
            Event::RequestRefused,
            "port=caller request={id} outcome={outcome} reason={reason} took_ms={took_ms}"
        );
    }
    node.metrics.count_request(&labels, latency_us);
}

async fn answer<P: Policies>(
    node: &Arc<Node<P>>,
    head: &mut Parts,
    body: &mut Option<Incoming>,
    seen: &mut Seen,
) -> Result<Answer, Rejection> {
    seen.request_id = node.dialect.request_id(&head.headers);
    let running = node.running();
    if running.revision == 0 {
        let refusal = Refusal::not_run(Reason::NotReady);
        return Err(Rejection::new(
            refusal,
            "this node has no configuration yet",
        ));
    }
    check_size(head, node.settings.max_header_bytes)?;
    let asked = node.dialect.read_request(&running, head)?;
    seen.request_id = Some(asked.request_id);
    seen.class = Some(asked.class);
    let deadline_us = node.timer.now_us() + asked.deadline_ms * 1000;
    if let Some(tenant) = &asked.tenant {
        check_lease(node, tenant)?;
    }
    let body = match body {
        Some(body) => read_body(&node.settings, &head.headers, body).await?,
        None => Bytes::new(),
    };
    let (workspace, key) = admit_tenant(node, &asked).await?;
    let workspace_name = node.names.workspace_name(workspace);
    let known = asked.tenant.as_ref().map(|_| workspace_name.as_str());
    let budget = Budget::new(node, asked.retry_limit);
    let call = Call {
        request_id: asked.request_id,
        workspace,
        key,
        service: asked.service,
        class: asked.class,
        deadline_us,
        depth: 0,
        regions: asked.regions,
        repeatable: asked.repeatable,
        retry: budget.call,
    };
    let mut headers = head.headers.clone();
    node.dialect.clean(&mut headers, known);
    let outbound = Outbound {
        method: head.method.clone(),
        host: asked.host,
        path: asked.path,
        headers,
        body,
    };
    let is_call = asked.tenant.is_none() && P::Dialect::CALLS_LIKE_CALLERS;
    let result = dispatch(node, &call, &outbound, asked.idempotency_key.as_deref()).await;
    drop(budget);
    if asked.tenant.is_some()
        && matches!(&result, Err(refusal) if refusal.outcome == Outcome::NotRun)
    {
        node.quota.refund(workspace, asked.class);
    }
    if is_call {
        note_call(node, &result);
    }
    result.map_err(|refusal| Rejection::new(refusal, ""))
}

/// Notes how a call of the own target ended. One that it gave up by itself is
/// not noted: the future is dropped before.
fn note_call<P: Policies>(node: &Node<P>, result: &Result<Answer, Refusal>) {
    let has_failed = match result {
        Ok(answer) => answer.status.is_server_error(),
        Err(_) => true,
    };
    let now_us = node.timer.now_us();
    node.downstream().record_call(has_failed, now_us);
}

/// Workspace and key that the request runs for, within the workspace's rate.
async fn admit_tenant<P: Policies>(
    node: &Node<P>,
    asked: &CallerRequest,
) -> Result<(WorkspaceKey, KeyDigest), Rejection> {
    let Some(tenant) = &asked.tenant else {
        return Ok((node.names.workspace(ANONYMOUS), KeyDigest::NONE));
    };
    let rules = &tenant.rules;
    let quota = node
        .quota
        .admit(rules.workspace, rules.rate, asked.class)
        .await;
    quota.map_err(|refusal| Rejection::new(refusal, "the workspace is over its rate"))?;
    // Looks at the key again after waiting for body and quota: it may have
    // been revoked in the meantime.
    check_lease(node, tenant)?;
    match node.running().key_state(&tenant.key) {
        KeyState::Granted(workspace) if workspace == rules.workspace => Ok((workspace, tenant.key)),
        KeyState::Granted(_) | KeyState::Revoked | KeyState::Unknown => {
            let refusal = Refusal::not_run(Reason::RevokedKey);
            Err(Rejection::new(refusal, "the key was revoked"))
        }
    }
}

/// Refuses a key that could not be confirmed for too long: it may have been
/// taken away unseen, and its holder would go on being served.
fn check_lease<P: Policies>(node: &Node<P>, tenant: &Tenant) -> Result<(), Rejection> {
    if node.freshness() != Freshness::CutOff {
        return Ok(());
    }
    let cut_off_ms = node.timer.now_ms().saturating_sub(node.cut_off_since_ms());
    let lease_ms = tenant.rules.key_lease_ms;
    if cut_off_ms > lease_ms || lease_ms == 0 {
        let refusal = Refusal::not_run(Reason::KeyLeaseExpired);
        let detail = "this zone is cut off and could not confirm the key for too long";
        return Err(Rejection::new(
            refusal.with_retry_after_ms(UNCONFIRMED_RETRY_MS),
            detail,
        ));
    }
    Ok(())
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
