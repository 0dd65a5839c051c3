//! Ingress: checks requests of callers, admits them by quota and dispatches them to targets.

mod checks;
mod serve;

pub use {
    checks::{
        Rejection, check_head_size, check_idempotency_key, discard_body, no_room_for_body,
        parse_deadline_ms, read_body, split_path, strip_request_headers,
    },
    serve::serve_callers,
};
