//! A fake object API inside the test process, with faults.

#![allow(dead_code)]

pub mod ctl;
pub mod node;

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Faults, active until they are cleared or used up.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// The server closes each connection at once.
    pub down: bool,
    /// Status of every response.
    pub status: Option<u16>,
    /// Delay before each response.
    pub delay_ms: u64,
    /// Plain reads and watches return the version before the newest one.
    pub stale: bool,
    /// Number of writes that take effect but lose their response. Version polls don't count.
    pub lost_response_count: usize,
    /// Every write takes effect and loses its response, and so does every version poll.
    pub all_responses_lost: bool,
    /// Number of writes that are lost before they take effect. Version polls don't
    /// count.
    pub lost_write_count: usize,
    /// Responses have no version.
    pub no_version: bool,
    /// Content that another operator writes just after a write that loses its response,
    /// or just before one that does not.
    pub concurrent_write: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    objects: HashMap<String, Vec<Vec<u8>>>,
    faults: Faults,
    call_count: usize,
    peers: Vec<SocketAddr>,
}

/// Fake object API.
#[derive(Debug, Clone)]
pub struct FakePlatform {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
}

/// `None` if the response is lost.
type ServerResponse = Option<Response<Full<Bytes>>>;

impl FakePlatform {
    pub async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let platform = Self {
            address: listener.local_addr().expect("bound"),
            state: Arc::default(),
            changed: Arc::new(watch::channel(0).0),
        };
        tokio::spawn(platform.clone().accept(listener));
        platform
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    pub fn call_count(&self) -> usize {
        self.state().call_count
    }

    pub fn peers(&self) -> Vec<SocketAddr> {
        self.state().peers.clone()
    }

    /// Writes as another operator; returns the new version.
    pub fn put(&self, name: &str, content: &[u8]) -> u64 {
        let version = self.append(name, content.to_vec());
        self.changed.send_modify(|count| *count += 1);
        version
    }

    pub fn get(&self, name: &str) -> (u64, Vec<u8>) {
        let state = self.state();
        let versions = state.objects.get(name).map_or(&[][..], Vec::as_slice);
        let content = versions.last().cloned().unwrap_or_default();
        (versions.len() as u64, content)
    }

    fn append(&self, name: &str, content: Vec<u8>) -> u64 {
        let mut state = self.state();
        let versions = state.objects.entry(name.to_owned()).or_default();
        versions.push(content);
        versions.len() as u64
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let (stream, peer) = listener.accept().await.expect("accepts");
            self.state().peers.push(peer);
            if self.state().faults.down {
                continue;
            }
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, stream: TcpStream) {
        let service = service_fn(|request| {
            let platform = self.clone();
            async move {
                let response = platform.respond(request).await;
                response.ok_or_else(|| io::Error::other("response lost"))
            }
        });
        let connection = hyper::server::conn::http1::Builder::new();
        let _ = connection
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn respond(&self, request: Request<Incoming>) -> ServerResponse {
        self.state().call_count += 1;
        let faults = self.state().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if let Some(status) = faults.status {
            return Some(response(status, None, Vec::new()));
        }
        let name = request
            .uri()
            .path()
            .trim_start_matches("/objects/")
            .to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        if request.method() == Method::PUT {
            return self.respond_to_put(&name, request).await;
        }
        if query.contains("watch=1") {
            return self.respond_to_watch(&name, &query).await;
        }
        Some(self.respond_to_get(&name))
    }

    fn respond_to_get(&self, name: &str) -> Response<Full<Bytes>> {
        let (version, content) = self.visible(name);
        let status = if version == 0 { 404 } else { 200 };
        response(status, self.version_header(version), content)
    }

    fn visible(&self, name: &str) -> (u64, Vec<u8>) {
        let state = self.state();
        let versions = state.objects.get(name).map_or(&[][..], Vec::as_slice);
        let count = versions.len() - usize::from(state.faults.stale && !versions.is_empty());
        let content = versions[..count].last().cloned().unwrap_or_default();
        (count as u64, content)
    }

    fn version_header(&self, version: u64) -> Option<u64> {
        (!self.state().faults.no_version).then_some(version)
    }

    async fn respond_to_watch(&self, name: &str, query: &str) -> ServerResponse {
        let number = |field: &str| {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(field));
            value
                .and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (above, wait_ms) = (number("above="), number("wait_ms="));
        let mut changed = self.changed.subscribe();
        let wait = changed.wait_for(|_| self.visible(name).0 > above);
        let is_changed = tokio::time::timeout(Duration::from_millis(wait_ms), wait)
            .await
            .is_ok();
        let (version, content) = self.visible(name);
        if is_changed {
            return Some(response(200, self.version_header(version), content));
        }
        Some(response(304, self.version_header(version), Vec::new()))
    }

    async fn respond_to_put(&self, name: &str, request: Request<Incoming>) -> ServerResponse {
        let if_version = request.headers().get("if-version")?.to_str().ok()?;
        let if_version: u64 = if_version.parse().ok()?;
        let content = request
            .into_body()
            .collect()
            .await
            .ok()?
            .to_bytes()
            .to_vec();
        let is_version_poll = if_version == i64::MAX as u64;
        let mut faults = self.state().faults.clone();
        if !is_version_poll && faults.lost_write_count > 0 {
            self.state().faults.lost_write_count -= 1;
            return None;
        }
        let is_response_lost = !is_version_poll && faults.lost_response_count > 0;
        if !is_version_poll && !is_response_lost {
            self.write_concurrently(name, &mut faults);
        }
        let current = self.get(name).0;
        if current != if_version && faults.all_responses_lost {
            return None;
        }
        if current != if_version {
            return Some(response(409, self.version_header(current), Vec::new()));
        }
        let version = self.put(name, &content);
        if faults.all_responses_lost {
            return None;
        }
        if is_response_lost {
            self.state().faults.lost_response_count -= 1;
            self.write_concurrently(name, &mut faults);
            return None;
        }
        Some(response(200, self.version_header(version), Vec::new()))
    }

    fn write_concurrently(&self, name: &str, faults: &mut Faults) {
        if let Some(content) = faults.concurrent_write.take() {
            self.state().faults.concurrent_write = None;
            self.put(name, &content);
        }
    }
}

fn response(status: u16, version: Option<u64>, content: Vec<u8>) -> Response<Full<Bytes>> {
    let status = StatusCode::from_u16(status).expect("a valid status");
    let mut response = Response::builder().status(status);
    if let Some(version) = version {
        response = response.header("object-version", version);
    }
    response
        .body(Full::new(Bytes::from(content)))
        .expect("a valid response")
}
