//! Requests that must not be executed twice, by the home of their key.

use {
    super::{Node, Policies},
    crate::{
        egress::{Call, context_of, run_attempts, send},
        event,
        events::Event,
        exchange::{Answer, AnswerBody, Outbound},
        guard::{Begin, Finish, GuardKey, KeyedRequest, StoredAnswer},
        ingress::check_idempotency_key,
        model::{Names, Outcome, Reason, Refusal, RequestContext, ServiceKey, WorkspaceKey},
        peer::{Attempt, HopResult},
        retry::RetryPolicy,
    },
    hyper::{
        HeaderMap, StatusCode,
        header::{HeaderName, HeaderValue},
    },
    std::{sync::Arc, time::Duration},
    xxhash_rust::xxh3::Xxh3,
};

/// When to come back if the key's home cannot be reached.
const NO_HOME_RETRY_MS: u32 = 1000;

/// Where a key's history is kept.
#[derives::value]
#[derive(Eq)]
pub enum Home {
    /// On this node.
    Own,
    /// On the node of this name.
    Node(String),
}

/// At most one execution for each idempotency key.
pub trait KeyGuard: Send + Sync + 'static {
    /// The key's home.
    fn home(&self, key: GuardKey) -> Result<Home, Refusal>;

    /// Decides on a request at its home; refuses if this node is not it.
    fn begin(&self, call: KeyedRequest) -> Begin;

    /// An execution that `begin` allowed has ended.
    fn finish(&self, key: GuardKey, finish: Finish);
}

/// Sends a call on its way: unrepeatable ones with a key by the key's home,
/// all others straight to a target.
pub async fn dispatch<P: Policies>(
    node: &Arc<Node<P>>,
    call: &Call,
    outbound: &Outbound,
    idempotency_key: Option<&str>,
) -> Result<Answer, Refusal> {
    let Some(text) = idempotency_key.filter(|_| !call.repeatable) else {
        return run_attempts(node, call, outbound).await;
    };
    let keyed = keyed_request(&node.names, (call.workspace, call.service), text, outbound);
    let home = node.guard.home(keyed.key)?;
    let remaining_us = call.deadline_us.saturating_sub(node.timer.now_us());
    let loan = node.retries().allot_to_child(call.retry);
    let context = context_of(call, remaining_us, loan.allotment);
    let end = match home {
        Home::Own => {
            let (result, unspent) = execute(node, &context, outbound.clone(), text).await;
            HopResult {
                result,
                unspent,
                level: None,
            }
        }
        Home::Node(home) => send_home(node, &home, &context, outbound, remaining_us).await,
    };
    node.retries().return_unspent(loan.key, end.unspent);
    end.result
}

/// Serves a request that another node sent to this one as its key's home.
pub async fn serve_at_home<P: Policies>(
    node: &Arc<Node<P>>,
    context: &RequestContext,
    outbound: Outbound,
) -> (Result<Answer, Refusal>, u8) {
    match check_idempotency_key(&outbound.headers) {
        Ok(Some(text)) => execute(node, context, outbound, &text).await,
        Ok(None) | Err(_) => {
            let refusal = Refusal::not_run(Reason::BadRequest);
            (Err(refusal), context.retry_allotment)
        }
    }
}

async fn send_home<P: Policies>(
    node: &Node<P>,
    home: &str,
    context: &RequestContext,
    outbound: &Outbound,
    remaining_us: u64,
) -> HopResult {
    let no_home = Refusal::not_run(Reason::NoHome).with_retry_after_ms(NO_HOME_RETRY_MS);
    let link = node.routes().link(home);
    let Some(link) = link else {
        return HopResult::failed(no_home, context.retry_allotment);
    };
    let attempt = Attempt {
        context,
        is_guarded: true,
        outbound,
        buffered_bytes: node.settings.buffered_answer_bytes,
        limit: Duration::from_micros(remaining_us),
        now_unix_ms: node.timer.steady_unix_ms(),
    };
    let end = send(node, &link, attempt).await;
    // Without a word from the home, nothing was sent: it could not be reached.
    let is_unsent = matches!(&end.result, Err(refusal) if refusal.outcome == Outcome::NotRun);
    if is_unsent && end.level.is_none() {
        return HopResult::failed(no_home, end.unspent);
    }
    end
}

/// Executes at the home what the guard has not seen before.
///
/// The execution is a task of its own: a caller that goes away in the middle
/// would leave an unknown outcome behind, and its resend could only be
/// refused. This way the resend gets the answer.
async fn execute<P: Policies>(
    node: &Arc<Node<P>>,
    context: &RequestContext,
    outbound: Outbound,
    text: &str,
) -> (Result<Answer, Refusal>, u8) {
    let scope = (context.workspace, context.service);
    let keyed = keyed_request(&node.names, scope, text, &outbound);
    let key = keyed.key;
    match node.guard.begin(keyed) {
        Begin::Replay(answer) => return (Ok(replayed(answer)), context.retry_allotment),
        Begin::Refuse(refusal) => {
            let (id, reason) = (context.request_id, refusal.reason);
            if reason == Reason::NoHome {
                event!(Event::GuardUnsure, "request={id} reason={reason}");
            }
            return (Err(refusal), context.retry_allotment);
        }
        Begin::Execute => {}
    }
    let task = tokio::spawn(run(Arc::clone(node), *context, outbound, key));
    let lost = (Err(Refusal::unknown(Reason::ConnectionLost)), 0);
    task.await.unwrap_or(lost)
}

async fn run<P: Policies>(
    node: Arc<Node<P>>,
    context: RequestContext,
    outbound: Outbound,
    key: GuardKey,
) -> (Result<Answer, Refusal>, u8) {
    let _in_flight = node.begin();
    let retry = node.retries().open(context.retry_allotment);
    let call = Call {
        request_id: context.request_id,
        workspace: context.workspace,
        key: context.key,
        service: context.service,
        class: context.class,
        deadline_us: node.timer.now_us() + context.remaining_us,
        depth: context.depth,
        regions: node.regions_of(context.workspace, &outbound),
        repeatable: false,
        retry,
    };
    let result = run_attempts(&node, &call, &outbound).await;
    let unspent = node.retries().close(retry);
    node.guard.finish(key, finish_of(&result));
    (result, unspent)
}

fn finish_of(result: &Result<Answer, Refusal>) -> Finish {
    match result {
        Ok(answer) => stored(answer).map_or(Finish::Unknown, Finish::Answered),
        Err(refusal) if refusal.outcome == Outcome::NotRun => Finish::NotRun,
        Err(_) => Finish::Unknown,
    }
}

/// The answer for resends, if it is held whole.
fn stored(answer: &Answer) -> Option<StoredAnswer> {
    let AnswerBody::Whole(Some(body)) = &answer.body else {
        return None;
    };
    let headers = answer
        .headers
        .iter()
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())));
    Some(StoredAnswer {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: body.clone(),
    })
}

fn replayed(stored: StoredAnswer) -> Answer {
    let mut headers = HeaderMap::new();
    for (name, value) in &stored.headers {
        let name = HeaderName::try_from(name.as_str());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value.as_str())) {
            headers.append(name, value);
        }
    }
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    Answer::new(status, headers, AnswerBody::whole(stored.body))
}

/// A request by its key. Names are hashed instead of local keys, so that all
/// nodes agree. The service is part of it, so that a target may pass the key
/// that it was given on to its own calls. Whoever finds two texts of the same
/// hash hurts its own workspace only.
fn keyed_request(
    names: &Names,
    (workspace, service): (WorkspaceKey, ServiceKey),
    text: &str,
    outbound: &Outbound,
) -> KeyedRequest {
    let workspace_name = names.workspace_name(workspace);
    let service_name = names.service_name(service);
    let scope = format!("{workspace_name}\0{service_name}");
    KeyedRequest::new(workspace, &scope, text, fingerprint(outbound))
}

fn fingerprint(outbound: &Outbound) -> u64 {
    let mut hash = Xxh3::new();
    let method = outbound.method.as_str().as_bytes();
    let path = outbound.path.as_str().as_bytes();
    for part in [method, path, outbound.body.as_ref()] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
