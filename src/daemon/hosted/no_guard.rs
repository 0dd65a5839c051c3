//! No guard of idempotency keys, where callers have none.

use crate::{
    guard::{BeginDecision, ExecutionResult, GuardKey, KeyedRequest},
    model::{Reason, Refusal},
    node::{Home, KeyGuard},
};

/// Refuses every idempotency key; none is ever read.
#[derive(Debug, Clone, Copy)]
pub struct NoGuard;

impl KeyGuard for NoGuard {
    fn home(&self, _key: GuardKey) -> Result<Home, Refusal> {
        Err(Refusal::not_run(Reason::NoHome))
    }

    fn begin(&self, _request: KeyedRequest) -> BeginDecision {
        BeginDecision::Refuse(Refusal::not_run(Reason::NoHome))
    }

    fn finish(&self, _key: GuardKey, _finish: ExecutionResult) {}
}
