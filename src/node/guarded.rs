//! Executes keyed requests at most once, at the home of their idempotency key.

use {
    super::{Node, Policies},
    crate::{
        egress::{Call, request_context, run_attempts, send},
        event,
        events::Event,
        exchange::{ForwardedResponse, OutboundRequest, ResponseBody},
        guard::{BeginDecision, ExecutionResult, GuardKey, KeyedRequest, StoredResponse},
        ingress::check_idempotency_key,
        model::{Names, Outcome, Reason, Refusal, RequestContext, ServiceKey, WorkspaceKey},
        peer::{Attempt, HopResult},
        retry::RetryPolicy,
        target::UNKNOWN_PROCESS_ID,
    },
    hyper::{
        HeaderMap, StatusCode,
        header::{HeaderName, HeaderValue},
    },
    std::{sync::Arc, time::Duration},
    xxhash_rust::xxh3::Xxh3,
};

/// Retry delay if the key's home is unreachable.
const NO_HOME_RETRY_AFTER_MS: u32 = 1000;

/// Node that keeps the history of an idempotency key.
#[derives::value]
#[derive(Eq)]
pub enum Home {
    /// This node.
    Local,
    /// The node with this name.
    Node(String),
}

/// Allows at most one execution per idempotency key.
pub trait KeyGuard: Send + Sync + 'static {
    /// Returns the home of the key.
    fn home(&self, key: GuardKey) -> Result<Home, Refusal>;

    /// Decides about a request at its home; refuses if this node is not the home.
    fn begin(&self, call: KeyedRequest) -> BeginDecision;

    /// Records the end of an execution that `begin` allowed.
    fn finish(&self, key: GuardKey, finish: ExecutionResult);
}

/// Dispatches a call: unrepeatable calls with an idempotency key go through the home
/// of the key, all others directly to a target.
pub async fn dispatch<P: Policies>(
    node: &Arc<Node<P>>,
    call: &Call,
    outbound: &OutboundRequest,
    idempotency_key: Option<&str>,
) -> Result<ForwardedResponse, Refusal> {
    let Some(key_text) = idempotency_key.filter(|_| !call.repeatable) else {
        return run_attempts(node, call, outbound).await;
    };
    let keyed = keyed_request(
        &node.names,
        (call.workspace, call.service),
        key_text,
        outbound,
    );
    let home = node.guard.home(keyed.key)?;
    let now_us = node.timer.now_us();
    let remaining_us = call.deadline_us.saturating_sub(now_us);
    let child_allotment = node.retries().allot_to_child(call.retry);
    let context = request_context(call, remaining_us, child_allotment.allotment, now_us);
    let hop = match home {
        Home::Local => {
            let (result, unspent) = execute_once(node, &context, outbound.clone(), key_text).await;
            HopResult {
                result,
                unspent,
                level: None,
                leaving_process_id: UNKNOWN_PROCESS_ID,
                reported_limit: None,
            }
        }
        Home::Node(home) => send_to_home(node, &home, &context, outbound, remaining_us).await,
    };
    node.retries()
        .return_unspent(child_allotment.key, hop.unspent);
    hop.result
}

/// Serves a request that another node sent to this one as the home of its key.
pub async fn serve_at_home<P: Policies>(
    node: &Arc<Node<P>>,
    context: &RequestContext,
    outbound: OutboundRequest,
) -> (Result<ForwardedResponse, Refusal>, u8) {
    match check_idempotency_key(&outbound.headers) {
        Ok(Some(key_text)) => execute_once(node, context, outbound, &key_text).await,
        Ok(None) | Err(_) => {
            let refusal = Refusal::not_run(Reason::BadRequest);
            (Err(refusal), context.retry_allotment)
        }
    }
}

async fn send_to_home<P: Policies>(
    node: &Node<P>,
    home: &str,
    context: &RequestContext,
    outbound: &OutboundRequest,
    remaining_us: u64,
) -> HopResult {
    let no_home = Refusal::not_run(Reason::NoHome).with_retry_after_ms(NO_HOME_RETRY_AFTER_MS);
    let link = node.routes().link(home);
    let Some(link) = link else {
        return HopResult::failed(no_home, context.retry_allotment);
    };
    let attempt = Attempt {
        context,
        is_guarded: true,
        outbound,
        buffered_bytes: node.settings.buffered_answer_bytes,
        time_left: Duration::from_micros(remaining_us),
        now_unix_ms: node.timer.steady_unix_ms(),
        remembered_limit: None,
    };
    let hop = send(node, &link, attempt).await;
    // A not-run refusal without an admission level does not come from the home: it
    // was unreachable and nothing was sent.
    let is_unsent = matches!(&hop.result, Err(refusal) if refusal.outcome == Outcome::NotRun);
    if is_unsent && hop.level.is_none() {
        return HopResult::failed(no_home, hop.unspent);
    }
    hop
}

/// Executes a request at the home of its key, unless the guard has seen it before.
///
/// The execution runs in its own task. Otherwise a caller that disconnects would
/// leave an unknown outcome, and its resend could only be refused; now the resend
/// receives the response.
async fn execute_once<P: Policies>(
    node: &Arc<Node<P>>,
    context: &RequestContext,
    outbound: OutboundRequest,
    key_text: &str,
) -> (Result<ForwardedResponse, Refusal>, u8) {
    let scope = (context.workspace, context.service);
    let keyed = keyed_request(&node.names, scope, key_text, &outbound);
    let key = keyed.key;
    match node.guard.begin(keyed) {
        BeginDecision::Replay(answer) => return (Ok(to_answer(answer)), context.retry_allotment),
        BeginDecision::Refuse(refusal) => {
            let (id, reason) = (context.request_id, refusal.reason);
            if reason == Reason::NoHome {
                event!(Event::GuardUnsure, "request={id} reason={reason}");
            }
            return (Err(refusal), context.retry_allotment);
        }
        BeginDecision::Execute => {}
    }
    let task = tokio::spawn(run_execution(Arc::clone(node), *context, outbound, key));
    let connection_lost = (Err(Refusal::unknown(Reason::ConnectionLost)), 0);
    task.await.unwrap_or(connection_lost)
}

async fn run_execution<P: Policies>(
    node: Arc<Node<P>>,
    context: RequestContext,
    outbound: OutboundRequest,
    key: GuardKey,
) -> (Result<ForwardedResponse, Refusal>, u8) {
    let _in_flight = node.begin_request();
    let retry = node.retries().open(context.retry_allotment);
    let now_us = node.timer.now_us();
    let objective_us = match context.objective_remaining_us {
        0 => None,
        remaining_us => Some(now_us + remaining_us),
    };
    let call = Call {
        request_id: context.request_id,
        workspace: context.workspace,
        key: context.key,
        service: context.service,
        class: context.class,
        deadline_us: now_us + context.remaining_us,
        objective_us,
        depth: context.depth,
        regions: node.regions_of(context.workspace, &outbound),
        repeatable: false,
        retry,
    };
    let result = run_attempts(&node, &call, &outbound).await;
    let unspent = node.retries().close(retry);
    node.guard.finish(key, to_finish(&result));
    (result, unspent)
}

fn to_finish(result: &Result<ForwardedResponse, Refusal>) -> ExecutionResult {
    match result {
        Ok(answer) => {
            to_stored_answer(answer).map_or(ExecutionResult::Unknown, ExecutionResult::Responded)
        }
        Err(refusal) if refusal.outcome == Outcome::NotRun => ExecutionResult::NotRun,
        Err(_) => ExecutionResult::Unknown,
    }
}

/// Converts a response for replay to resends, if it is fully buffered.
fn to_stored_answer(answer: &ForwardedResponse) -> Option<StoredResponse> {
    let ResponseBody::Buffered(body) = &answer.body else {
        return None;
    };
    let headers = answer
        .headers
        .iter()
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())));
    Some(StoredResponse {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: body.to_bytes(),
    })
}

fn to_answer(stored: StoredResponse) -> ForwardedResponse {
    let mut headers = HeaderMap::new();
    for (name, value) in &stored.headers {
        let name = HeaderName::try_from(name.as_str());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value.as_str())) {
            headers.append(name, value);
        }
    }
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    ForwardedResponse::new(status, headers, ResponseBody::buffered(stored.body))
}

/// Builds the keyed request. It hashes names, not node-local keys, so that all nodes
/// compute the same hash. The service is included so that a target may reuse the
/// idempotency key for its own calls. A caller that finds two texts with the same
/// hash affects only its own workspace.
fn keyed_request(
    names: &Names,
    (workspace, service): (WorkspaceKey, ServiceKey),
    key_text: &str,
    outbound: &OutboundRequest,
) -> KeyedRequest {
    let workspace_name = names.workspace_name(workspace);
    let service_name = names.service_name(service);
    let scope = format!("{workspace_name}\0{service_name}");
    KeyedRequest::new(workspace, &scope, key_text, fingerprint(outbound))
}

fn fingerprint(outbound: &OutboundRequest) -> u64 {
    let mut hash = Xxh3::new();
    let method = outbound.method.as_str().as_bytes();
    let path = outbound.path.as_str().as_bytes();
    for part in [method, path] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(&(outbound.body.len() as u64).to_le_bytes());
    for segment in outbound.body.iter() {
        hash.update(segment);
    }
    hash.digest()
}
