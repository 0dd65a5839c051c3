//! A caller that opens a connection per request.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Request, StatusCode, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::net::SocketAddr,
    tokio::net::TcpStream,
};

/// Response as received by a caller.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The complete body, or `None` if it was truncated.
    pub body: Option<Bytes>,
}

impl CallerResponse {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    pub fn text(&self) -> String {
        String::from_utf8(self.body.clone().unwrap_or_default().to_vec()).unwrap()
    }

    /// Status, outcome and reason; empty texts for missing headers.
    pub fn summary(&self) -> (u16, &str, &str) {
        let status = self.status.as_u16();
        (
            status,
            self.header("dogwood-outcome"),
            self.header("dogwood-reason"),
        )
    }
}

pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "node");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request
        .body(Full::new(Bytes::copy_from_slice(body)))
        .unwrap()
}

pub async fn connect(address: SocketAddr) -> http1::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

pub async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> CallerResponse {
    sender.ready().await.unwrap();
    let response = sender.send_request(request).await.unwrap();
    let (parts, body) = response.into_parts();
    CallerResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.collect().await.ok().map(|body| body.to_bytes()),
    }
}

pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> CallerResponse {
    exchange(&mut connect(address).await, request).await
}
