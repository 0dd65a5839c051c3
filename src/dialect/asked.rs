//! A caller's request in the node's own terms.

use {
    crate::{
        conf::WorkspaceRules,
        keys::KeyDigest,
        model::{Class, RegionSet, RequestId, ServiceKey},
    },
    hyper::http::uri::PathAndQuery,
};

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Identity of the request.
    pub request_id: RequestId,
    /// Who asks; `None` on routes that are open to everyone.
    pub tenant: Option<Tenant>,
    /// Service that is called.
    pub service: ServiceKey,
    /// Host that the caller addressed, where targets are told of it.
    pub host: Option<String>,
    /// Path for the target, with the query.
    pub path: PathAndQuery,
    /// Importance.
    pub class: Class,
    /// Whether it may be executed again after an unknown outcome.
    pub repeatable: bool,
    /// Regions in which it may run.
    pub regions: RegionSet,
    /// Retries of the whole chain.
    pub retry_limit: u8,
    /// Time until the caller, or its route, stops waiting.
    pub deadline_ms: u64,
    /// Identity under which it must not be executed twice.
    pub idempotency_key: Option<String>,
}

/// A workspace that presented a key.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Digest of the key.
    pub key: KeyDigest,
    /// Rules of the workspace.
    pub rules: WorkspaceRules,
}
