//! The default dialect, with the headers, paths and statuses that dogwoodbridge
//! defines.

use {
    super::{
        CallerRequest, Dialect, Heartbeat, LimitSignal, NoticeError, TargetCall, TargetLoad,
        TargetNotice, TargetSignal, TargetState, Tenant, WorkTime,
    },
    crate::{
        conf::{CompiledConfiguration, WorkspaceRules},
        exchange::{
            CALL, DEADLINE, ForwardedResponse, KEY, LEAVING, LIMIT_PER_S, ResponseBody, SHED,
            Segments, refusal_response, response_from_result,
        },
        ingress::{
            Rejection, check_idempotency_key, parse_deadline_ms, split_path, strip_request_headers,
        },
        keys::{KeyDigest, KeyState},
        model::{Outcome, Reason, Refusal, RequestId},
        target::{Health, HealthReport},
    },
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, Version,
        body::{Body, Incoming},
        header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING},
        http::request::Parts,
    },
    serde::Deserialize,
    sha2::{Digest, Sha256},
};

const SUPPORTED_NOTICES: &str = "POST /-/announce and POST /-/load";

/// The default dialect.
#[derive(Debug, Clone, Copy, Default)]
pub struct Native;

/// A target's announcement, repeated at least every few seconds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnounceBody {
    service: String,
    port: u16,
    slots: u32,
    connections: u32,
    #[serde(default)]
    draining: bool,
    /// Start time of the target's process, 0 if not reported; a new value means
    /// that the target is cold.
    #[serde(default)]
    started_unix_ms: u64,
    /// Remaining time for which the target is cold.
    #[serde(default)]
    cold_left_ms: u64,
}

/// A target's load report.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadBody {
    busy_ratio: f64,
    /// Requests that wait inside the target.
    #[serde(default)]
    waiting_count: u32,
    /// Time that work takes now, in percent of the usual time. Of any JSON type: a target that
    /// misreports it loses this figure only, not the whole report.
    work_time_percent: Option<serde_json::Value>,
}

impl Dialect for Native {
    const CALLS_USE_CALLER_PORT: bool = false;
    const RESPONSES_NAME_ATTEMPTS: bool = true;
    const SLOTS_ARE_EXACT: bool = false;
    const HEARTBEATS_MAY_BE_LATE: bool = false;

    fn request_id(&self, _headers: &HeaderMap) -> Option<RequestId> {
        None
    }

    fn read_request(
        &self,
        running: &CompiledConfiguration,
        head: &Parts,
    ) -> Result<CallerRequest, Rejection> {
        let tenant = authenticate_tenant(running, &head.headers)?;
        if head.method == Method::CONNECT {
            let refusal = Refusal::not_run(Reason::BadRequest);
            return Err(Rejection::new(
                refusal,
                "the method CONNECT is not supported",
            ));
        }
        let (service, path) = split_path(running, &head.uri)?;
        let route = running
            .route(service, head.method.as_str(), path.path())
            .ok_or_else(|| Rejection::new(Refusal::not_run(Reason::NoRoute), "no route matches"))?;
        let route_ms = u64::from(route.deadline_ms);
        let requested_ms = head
            .headers
            .get(DEADLINE)
            .map(parse_deadline_ms)
            .transpose()?;
        let services = &running.services;
        Ok(CallerRequest {
            request_id: RequestId::random(),
            regions: tenant.rules.regions,
            tenant: Some(tenant),
            service,
            host: None,
            path,
            class: route.class,
            repeatable: route.repeatable,
            retry_limit: services.get(&service).map_or(0, |rules| rules.retry_limit),
            deadline_ms: requested_ms.map_or(route_ms, |ms| ms.min(route_ms)),
            latency_objective_ms: None,
            idempotency_key: check_idempotency_key(&head.headers)?,
        })
    }

    fn rewrite_headers(&self, headers: &mut HeaderMap, _workspace: Option<&str>) {
        strip_request_headers(headers, None);
    }

    fn response(&self, answer: ForwardedResponse) -> Response<ResponseBody> {
        response_from_result(Ok(answer))
    }

    fn refusal(&self, refusal: Refusal, detail: &str, _: &HeaderMap) -> Response<ResponseBody> {
        refusal_response(refusal, detail)
    }

    fn complete_request(&self, request: &mut Request<Segments>, call: &TargetCall<'_>) {
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("target"));
        headers.insert(CALL, handle_header_value(call));
        headers.insert(DEADLINE, HeaderValue::from(call.remaining_ms));
    }

    fn classify_response(
        &self,
        method: &Method,
        call: &TargetCall<'_>,
        response: &Response<Incoming>,
    ) -> TargetSignal {
        let is_response_to_call = response.headers().get(CALL) == Some(&handle_header_value(call));
        let refusal = if is_response_to_call && has_verifiable_end(method, response) {
            shed_refusal(response)
        } else {
            Some(Refusal::unknown(Reason::BadAnswer))
        };
        TargetSignal {
            refusal,
            claim_doubt: None,
            is_shed: is_shed(response.status()),
            idle_limit: None,
            load: None,
            limit: LimitSignal::from_header(response.headers().get(LIMIT_PER_S)),
            is_leaving: response
                .headers()
                .get(LEAVING)
                .is_some_and(|value| value == "1"),
        }
    }

    fn read_health(&self, _response: &Response<Incoming>, _instance_id: &str) -> HealthReport {
        HealthReport::new(Health::Unknown)
    }

    fn read_notice(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<TargetNotice, NoticeError> {
        match (method, path) {
            (&Method::POST, "/-/announce") => read_announcement(serde_json::from_slice(body)?),
            (&Method::POST, "/-/load") => read_load(&serde_json::from_slice(body)?),
            _ => Err(NoticeError::Path {
                known: SUPPORTED_NOTICES.to_owned(),
            }),
        }
    }

    fn notice_response(&self, result: Result<(), NoticeError>) -> Response<ResponseBody> {
        match result {
            Ok(()) => {
                let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
                *response.status_mut() = StatusCode::NO_CONTENT;
                response
            }
            Err(error) => {
                refusal_response(Refusal::not_run(Reason::BadRequest), &error.to_string())
            }
        }
    }

    fn is_readiness_path(&self, path: &str) -> bool {
        path == "/readyz"
    }
}

fn handle_header_value(call: &TargetCall<'_>) -> HeaderValue {
    HeaderValue::try_from(format!("{:032x}", call.handle)).expect("hex digits are visible")
}

/// The workspace whose tenant key the request carries.
fn authenticate_tenant(
    running: &CompiledConfiguration,
    headers: &HeaderMap,
) -> Result<Tenant, Rejection> {
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
    // The lookup is by the key's digest. Its duration can reveal only digests,
    // from which keys cannot be derived, so constant time would protect nothing.
    let digest = KeyDigest(Sha256::digest(key.as_bytes()).into());
    let workspace = match running.key_state(&digest) {
        KeyState::Granted(workspace) => workspace,
        KeyState::Revoked => return Err(reject(Reason::RevokedKey, "the key was revoked")),
        KeyState::Unknown => return Err(reject(Reason::UnknownKey, "the key is unknown")),
    };
    let rules: Option<&WorkspaceRules> = running.workspaces.get(&workspace);
    rules
        .map(|rules| Tenant {
            key: digest,
            rules: rules.clone(),
        })
        .ok_or_else(|| reject(Reason::UnknownKey, "the key's workspace is not configured"))
}

/// Whether a complete response can be distinguished from a broken connection.
fn has_verifiable_end(method: &Method, response: &Response<Incoming>) -> bool {
    response.body().is_end_stream()
        || method == Method::HEAD
        || response.headers().contains_key(CONTENT_LENGTH)
        || (response.version() == Version::HTTP_11
            && response.headers().contains_key(TRANSFER_ENCODING))
}

/// The refusal if the response states that the target shed the request without
/// running it. Any other 429 or 503 is an ordinary response.
fn shed_refusal(response: &Response<Incoming>) -> Option<Refusal> {
    let is_not_run = response.headers().get(SHED)?.as_bytes() == Outcome::NotRun.name().as_bytes();
    (is_shed(response.status()) && is_not_run).then_some(Refusal::not_run(Reason::Overloaded))
}

/// Whether the status says that the target sheds load.
const fn is_shed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

fn read_announcement(body: AnnounceBody) -> Result<TargetNotice, NoticeError> {
    if body.slots == 0 || body.connections == 0 || body.port == 0 {
        return Err(field_error(
            "slots, connections and port",
            "must be at least 1",
        ));
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if body.service.is_empty() || !body.service.chars().all(is_allowed) {
        let expected = "must be a name of letters, digits, '-', '_' or '.'";
        return Err(field_error("service", expected));
    }
    Ok(TargetNotice::Alive(Heartbeat {
        instance_id: String::new(),
        service: body.service,
        port: body.port,
        slot_count: body.slots,
        connection_count: body.connections,
        state: match body.draining {
            true => TargetState::Draining,
            false => TargetState::Ready,
        },
        started_unix_ms: body.started_unix_ms,
        sequence: None,
        cold_left_ms: body.cold_left_ms,
    }))
}

fn read_load(body: &LoadBody) -> Result<TargetNotice, NoticeError> {
    if !(0.0..=1.0).contains(&body.busy_ratio) {
        return Err(field_error("busy_ratio", "must be between 0 and 1"));
    }
    let work_time = match &body.work_time_percent {
        None => WorkTime::NotReported,
        Some(figure) => WorkTime::from_figure(figure.as_f64()),
    };
    Ok(TargetNotice::Load(TargetLoad {
        busy_ratio: body.busy_ratio,
        waiting_count: body.waiting_count,
        work_time,
    }))
}

fn field_error(name: &str, expected: &str) -> NoticeError {
    NoticeError::Field {
        field: name.to_owned(),
        expected: expected.to_owned(),
    }
}
