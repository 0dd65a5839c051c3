//! Rules, set by tests.

use {
    super::proxy::Mesh,
    crate::http::{self, Answer},
    hyper::{Method, Request, StatusCode, body::Incoming},
    std::sync::Arc,
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

const MAX_BODY_BYTES: usize = 1 << 20;

pub(super) async fn serve(mesh: Arc<Mesh>, listener: TcpListener, stop: CancellationToken) {
    http::serve_admin(listener, stop, move |request| {
        answer(Arc::clone(&mesh), request)
    })
    .await;
}

async fn answer(mesh: Arc<Mesh>, request: Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/rules") => http::json(StatusCode::OK, &**mesh.rules.borrow()),
        (&Method::PUT, "/-/rules") => put_rules(&mesh, request).await,
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}

async fn put_rules(mesh: &Mesh, request: Request<Incoming>) -> Answer {
    let Ok(body) = http::read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return http::empty(StatusCode::BAD_REQUEST);
    };
    match serde_json::from_slice(&body) {
        Ok(rules) => {
            mesh.rules.send_replace(Arc::new(rules));
            http::empty(StatusCode::OK)
        }
        Err(error) => http::problem(StatusCode::BAD_REQUEST, error.to_string()),
    }
}
