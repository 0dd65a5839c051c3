//! Callers: checks, quota, and the way to the target.

mod checks;
mod serve;

pub use {
    checks::{
        Rejection, check_idempotency_key, check_size, discard_body, parse_deadline_ms, read_body,
        split_path, strip,
    },
    serve::serve_callers,
};
