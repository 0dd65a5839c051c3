//! A caller's request, decoded.

use {
    crate::{
        conf::WorkspaceRules,
        keys::KeyDigest,
        model::{Class, RegionSet, RequestId, ServiceKey},
    },
    hyper::http::uri::PathAndQuery,
};

/// A decoded request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Request id.
    pub request_id: RequestId,
    /// Workspace of the caller; `None` on routes that need no tenant key.
    pub tenant: Option<Tenant>,
    /// Requested service.
    pub service: ServiceKey,
    /// Host that the caller addressed, if it is passed on to targets.
    pub host: Option<String>,
    /// Path and query for the target.
    pub path: PathAndQuery,
    /// Class of the request.
    pub class: Class,
    /// Whether the request may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Regions in which the request may run.
    pub regions: RegionSet,
    /// Maximum retries of the whole call chain.
    pub retry_limit: u8,
    /// Time until the deadline of the caller or the route, in milliseconds.
    pub deadline_ms: u64,
    /// Time up to which the response has its full value, in milliseconds, if the route names a
    /// latency objective.
    pub latency_objective_ms: Option<u64>,
    /// Key under which the request must not be executed twice.
    pub idempotency_key: Option<String>,
}

/// The workspace of a tenant key.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Digest of the tenant key.
    pub key: KeyDigest,
    /// Rules of the workspace.
    pub rules: WorkspaceRules,
}
