//! What callers and targets speak.
//!
//! A node decides on decoded types. The dialect turns the headers, paths and
//! statuses of a deployment into them and back, once at each edge, and decides
//! nothing itself.

mod asked;
mod native;
mod target;

pub use {
    asked::{CallerRequest, Tenant},
    native::Native,
    target::{Heartbeat, NoticeError, TargetCall, TargetNotice, TargetSignal, TargetState},
};

use {
    crate::{
        conf::Running,
        exchange::{Answer, AnswerBody},
        ingress::Rejection,
        model::{Refusal, RequestId},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{HeaderMap, Method, Request, Response, body::Incoming, http::request::Parts},
};

/// Translates between HTTP as a deployment speaks it and the node's own types.
pub trait Dialect: Send + Sync + 'static {
    /// Whether targets send their downstream calls to the port for callers,
    /// like any caller, instead of to a port of their own with a handle.
    const CALLS_LIKE_CALLERS: bool;
    /// Whether targets work on just as many requests as they announce slots.
    const SLOTS_ARE_EXACT: bool;

    /// Identity that the caller gave its request, readable also where the
    /// request itself is not.
    fn request_id(&self, headers: &HeaderMap) -> Option<RequestId>;

    /// Reads what a caller asks for.
    fn read_request(&self, running: &Running, head: &Parts) -> Result<CallerRequest, Rejection>;

    /// Turns a caller's headers into those for the target: removes the key,
    /// what only nodes may set and what concerns one connection; adds who
    /// called.
    fn clean(&self, headers: &mut HeaderMap, workspace: Option<&str>);

    /// Response for a caller from a target's answer.
    fn response(&self, answer: Answer) -> Response<AnswerBody>;

    /// Response for a caller whose request is refused or given up; `detail`
    /// says what is wrong with it.
    fn refusal(&self, refusal: Refusal, detail: &str, request: &HeaderMap) -> Response<AnswerBody>;

    /// Completes a request for the target.
    fn address(&self, request: &mut Request<Full<Bytes>>, call: &TargetCall<'_>);

    /// Tells what the head of an answer means for the request that was sent.
    fn judge(
        &self,
        method: &Method,
        call: &TargetCall<'_>,
        response: &Response<Incoming>,
    ) -> TargetSignal;

    /// Reads what the own target tells about itself.
    fn read_notice(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<TargetNotice, NoticeError>;

    /// Response to a notice of the own target.
    fn notice_response(&self, result: Result<(), NoticeError>) -> Response<AnswerBody>;

    /// Whether a request for this path asks if the node is ready.
    fn asks_readiness(&self, path: &str) -> bool;
}
