//! Downstream calls through the instance's own node.

use {
    super::{CALL_HANDLE, CallResult, DownstreamCall, TEST_ID, WholeAnswer},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, Response, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::net::SocketAddr,
};

/// HTTP/1.1 client with a pool of connections.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client without idle connections yet.
#[must_use]
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// The request on whose behalf calls are made.
#[derive(Debug, Clone)]
pub(super) struct Parent {
    pub(super) method: Method,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Makes one call and says how it ended. Dropping it closes its connection.
pub(super) async fn call(
    client: &HttpClient,
    egress: SocketAddr,
    call: &DownstreamCall,
    parent: &Parent,
) -> CallResult {
    let method = call.method.as_deref().unwrap_or(parent.method.as_str());
    let mut result = CallResult {
        call: format!("{method} {}", call.path),
        ..CallResult::default()
    };
    let Ok(request) = request(egress, method, &call.path, parent) else {
        return result;
    };
    let Ok(response) = client.request(request).await else {
        return result;
    };
    fill(&mut result, response, parent).await;
    result
}

fn request(
    egress: SocketAddr,
    method: &str,
    path: &str,
    parent: &Parent,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{egress}{path}"));
    for name in [CALL_HANDLE, TEST_ID] {
        if let Some(value) = parent.headers.get(name) {
            request = request.header(name, value);
        }
    }
    let body = if method == Method::GET.as_str() {
        Bytes::new()
    } else {
        parent.body.clone()
    };
    request.body(Full::new(body))
}

async fn fill(result: &mut CallResult, response: Response<Incoming>, parent: &Parent) {
    let text_of = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    result.status = response.status().as_u16();
    result.outcome = text_of("dogwood-outcome");
    result.reason = text_of("dogwood-reason");
    let test_id = parent.headers.get(TEST_ID).and_then(|id| id.to_str().ok());
    let Ok(body) = response.into_body().collect().await else {
        return;
    };
    result.whole = match test_id {
        Some(test_id) => WholeAnswer::check(&body.to_bytes(), test_id).is_ok(),
        None => result.status < 300,
    };
}
