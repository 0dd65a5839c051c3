//! HTTP calls of the contract tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Request},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{future::Future, net::SocketAddr, time::Duration},
    tokio::net::TcpListener,
};

/// Far above what any condition needs; reached only when a test fails.
pub const LIMIT: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

pub async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

/// Sends on a connection of its own; `None` if no whole answer comes.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body))).ok()?;
    let response = client.request(request).await.ok()?;
    Some(Answer {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        body: response.into_body().collect().await.ok()?.to_bytes(),
    })
}

/// Waits until the condition gives a value.
pub async fn wait_until<T, F: Future<Output = Option<T>>>(mut condition: impl FnMut() -> F) -> T {
    let poll = async {
        loop {
            if let Some(value) = condition().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, poll)
        .await
        .expect("the condition holds within the limit")
}
