//! Journal, faults and drain for tests, on an address of their own.

use {
    super::Target,
    crate::http::{self, Answer},
    hyper::{Method, Request, StatusCode, body::Incoming},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

const MAX_BODY_BYTES: usize = 64 << 10;

pub(super) async fn serve(target: Target, listener: TcpListener, stop: CancellationToken) {
    http::serve_admin(listener, stop, move |request| {
        answer(target.clone(), request)
    })
    .await;
}

async fn answer(target: Target, request: Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/journal") => {
            let from_sequence = http::query_number(request.uri(), "from").unwrap_or(0);
            let entries = target.journal().entries_from(from_sequence);
            http::json(StatusCode::OK, &entries)
        }
        (&Method::GET, "/-/faults") => http::json(StatusCode::OK, &target.faults()),
        (&Method::PUT, "/-/faults") => put_faults(&target, request).await,
        (&Method::PUT, "/-/drain") => {
            target.drain();
            http::empty(StatusCode::OK)
        }
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}

async fn put_faults(target: &Target, request: Request<Incoming>) -> Answer {
    let Ok(body) = http::read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return http::empty(StatusCode::BAD_REQUEST);
    };
    match http::json_object(&body) {
        Ok(faults) => {
            target.set_faults(faults);
            http::empty(StatusCode::OK)
        }
        Err(error) => http::problem(StatusCode::BAD_REQUEST, error.to_string()),
    }
}
