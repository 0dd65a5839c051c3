//! Translates between the HTTP conventions of a deployment and the node's types.
//!
//! A dialect converts the headers, paths and statuses that callers and targets
//! use, once where a request enters the node and once where it leaves. It makes
//! no decisions: those are made on the decoded types.

mod caller_request;
mod load;
mod native;
mod target;

pub use {
    caller_request::{CallerRequest, Tenant},
    load::{TargetLoad, WorkTime},
    native::Native,
    target::{
        ClaimDoubt, Heartbeat, LimitSignal, NoticeError, TargetCall, TargetNotice, TargetSignal,
        TargetState,
    },
};

use {
    crate::{
        conf::CompiledConfiguration,
        exchange::{ForwardedResponse, ResponseBody, Segments},
        ingress::Rejection,
        model::{Refusal, RequestId},
        target::HealthReport,
    },
    hyper::{HeaderMap, Method, Request, Response, body::Incoming, http::request::Parts},
};

/// Converts between the HTTP conventions of a deployment and the node's types.
pub trait Dialect: Send + Sync + 'static {
    /// Whether targets send their downstream calls to the caller port, like any
    /// caller, instead of to the egress port with a call handle.
    const CALLS_USE_CALLER_PORT: bool;
    /// Whether a response names the attempt that it answers. Otherwise it names the request, and
    /// late copies of the response to an earlier attempt look the same.
    const RESPONSES_NAME_ATTEMPTS: bool;
    /// Whether a target processes exactly as many requests at a time as it
    /// announces slots.
    const SLOTS_ARE_EXACT: bool;
    /// Whether a heartbeat may arrive seconds after it was sent, also after a leave that was sent
    /// later. A target is then asked for its health where only its heartbeat says that it stays.
    const HEARTBEATS_MAY_BE_LATE: bool;

    /// Request id set by the caller; available even if the rest of the request
    /// is malformed.
    fn request_id(&self, headers: &HeaderMap) -> Option<RequestId>;

    /// Decodes a caller's request.
    fn read_request(
        &self,
        running: &CompiledConfiguration,
        head: &Parts,
    ) -> Result<CallerRequest, Rejection>;

    /// Converts a caller's headers to those for the target: removes the tenant
    /// key, headers that only nodes may set and hop-by-hop headers; adds the
    /// identity of the caller.
    fn rewrite_headers(&self, headers: &mut HeaderMap, workspace: Option<&str>);

    /// Converts a target's response to the response for the caller.
    fn response(&self, answer: ForwardedResponse) -> Response<ResponseBody>;

    /// Response for a caller whose request is refused or cancelled; `detail`
    /// describes the cause.
    fn refusal(
        &self,
        refusal: Refusal,
        detail: &str,
        request: &HeaderMap,
    ) -> Response<ResponseBody>;

    /// Adds the headers that the target needs to a request.
    fn complete_request(&self, request: &mut Request<Segments>, call: &TargetCall<'_>);

    /// Interprets the head of a target's response to a request.
    fn classify_response(
        &self,
        method: &Method,
        call: &TargetCall<'_>,
        response: &Response<Incoming>,
    ) -> TargetSignal;

    /// What a target's response to a health check says about this process.
    fn read_health(&self, response: &Response<Incoming>, instance_id: &str) -> HealthReport;

    /// Decodes a notice of the local target.
    fn read_notice(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<TargetNotice, NoticeError>;

    /// Response to a notice of the local target.
    fn notice_response(&self, result: Result<(), NoticeError>) -> Response<ResponseBody>;

    /// Whether this is the path of the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;
}
