//! A target whose behaviour is selected by the request path.

use {
    super::client,
    bytes::Bytes,
    futures::stream,
    http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
        header::HeaderValue,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

/// A request that the target executed.
#[derive(Debug, Clone)]
pub struct Execution {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    pub is_completed: bool,
}

type Recorder = Arc<Mutex<Vec<Execution>>>;
type Body = BoxBody<Bytes, std::io::Error>;

/// A running target.
pub struct Target {
    pub service: String,
    pub port: u16,
    pub recorder: Recorder,
    pub stop: CancellationToken,
    draining: AtomicBool,
    egress: SocketAddr,
}

impl Target {
    pub async fn start(service: &str, ip: IpAddr, egress: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let target = Arc::new(Self {
            service: service.to_owned(),
            port: listener.local_addr().unwrap().port(),
            recorder: Recorder::default(),
            stop: CancellationToken::new(),
            draining: AtomicBool::new(false),
            egress,
        });
        tokio::spawn(Arc::clone(&target).accept(listener));
        target
    }

    /// Repeats the last announcement every second until the target or its node stops.
    pub async fn keep_announcing(self: Arc<Self>) {
        while !self.stop.is_cancelled() {
            tokio::time::sleep(Duration::from_secs(1)).await;
            if tokio::net::TcpStream::connect(self.egress).await.is_err() {
                return;
            }
            self.announce(self.draining.load(Ordering::Relaxed)).await;
        }
    }

    pub async fn announce(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
        let body = serde_json::json!({
            "service": self.service, "port": self.port,
            "slots": 64, "connections": 128, "draining": draining,
        });
        let request = client::request("POST", "/-/announce", &[], body.to_string().as_bytes());
        let response = client::send(self.egress, request).await;
        assert_eq!(
            response.status,
            StatusCode::NO_CONTENT,
            "{}",
            response.text()
        );
    }

    pub fn executions(&self) -> Vec<Execution> {
        self.recorder.lock().unwrap().clone()
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (stream, _) = accepted.unwrap();
            stream.set_nodelay(true).unwrap();
            let target = Arc::clone(&self);
            tokio::spawn(async move {
                let stop = target.stop.clone();
                let service = service_fn(move |request| {
                    let target = Arc::clone(&target);
                    async move { Ok::<_, hyper::Error>(target.handle(request).await) }
                });
                let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    () = stop.cancelled() => {}
                    _ = serving => {}
                }
            });
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        let path = path.strip_prefix("/once").unwrap_or(path).to_owned();
        let headers = parts.headers.iter();
        let headers =
            headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap().to_owned()));
        let headers = headers.collect();
        let body = body.collect().await.unwrap().to_bytes();
        let index = {
            let mut executions = self.recorder.lock().unwrap();
            executions.push(Execution {
                path: path.clone(),
                headers,
                body,
                is_completed: false,
            });
            executions.len() - 1
        };
        let handle = parts.headers.get("dogwood-call").cloned();
        let mut response = self.respond(&path, handle.as_ref()).await;
        if path != "/crossed"
            && let Some(handle) = handle
        {
            response.headers_mut().insert("dogwood-call", handle);
        }
        self.recorder.lock().unwrap()[index].is_completed = true;
        response
    }

    async fn respond(&self, path: &str, handle: Option<&HeaderValue>) -> Response<Body> {
        let mut segments = path.trim_start_matches('/').splitn(3, '/');
        let (action, argument) = (segments.next().unwrap(), segments.next());
        let rest = segments.next();
        match (action, argument) {
            ("chain", Some(service)) => self.call_downstream(service, rest, handle).await,
            ("slow", Some(ms)) => {
                tokio::time::sleep(Duration::from_millis(ms.parse().unwrap())).await;
                complete_response(200, "slow")
            }
            ("big", Some(bytes)) => complete_response(200, &"x".repeat(bytes.parse().unwrap())),
            ("cut", Some(bytes)) => truncated_response(bytes.parse().unwrap()),
            ("crash", _) => {
                self.stop.cancel();
                std::future::pending().await
            }
            ("shed", _) => shed_response(),
            ("shed-after", Some(ms)) => {
                tokio::time::sleep(Duration::from_millis(ms.parse().unwrap())).await;
                shed_response()
            }
            ("cut-then-shed", Some(bytes)) if self.executions().len() <= 1 => {
                truncated_response(bytes.parse().unwrap())
            }
            ("cut-then-shed", _) => shed_response(),
            ("fail", _) => complete_response(503, "failed"),
            _ => complete_response(200, &format!("{} ran", self.service)),
        }
    }

    async fn call_downstream(
        &self,
        service: &str,
        rest: Option<&str>,
        handle: Option<&HeaderValue>,
    ) -> Response<Body> {
        let path = match rest {
            Some(rest) if rest.starts_with("slow/") || rest.starts_with("cut/") => {
                format!("/{service}/{rest}")
            }
            Some(rest) => format!("/{service}/chain/{rest}"),
            None => format!("/{service}/echo"),
        };
        let handle = handle.map_or("", |handle| handle.to_str().unwrap());
        let request = client::request("GET", &path, &[("dogwood-call", handle)], b"");
        let response = client::send(self.egress, request).await;
        complete_response(
            response.status.as_u16(),
            &format!("{} > {}", self.service, response.text()),
        )
    }
}

fn complete_response(status: u16, text: &str) -> Response<Body> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes()));
    let body = body.map_err(|never| match never {}).boxed();
    Response::builder().status(status).body(body).unwrap()
}

/// Sheds the request without executing it.
fn shed_response() -> Response<Body> {
    let mut response = complete_response(503, "shed");
    let not_run = HeaderValue::from_static("not-run");
    response.headers_mut().insert("dogwood-shed", not_run);
    response
}

/// Announces a content length, sends half of it and breaks the connection.
fn truncated_response(length_bytes: usize) -> Response<Body> {
    let half = Bytes::from(vec![b'x'; length_bytes / 2]);
    let frames = stream::unfold(Some(half), |half| async move {
        match half {
            Some(half) => Some((Ok(Frame::data(half)), None)),
            None => {
                // The sent half must arrive before the connection breaks.
                tokio::time::sleep(Duration::from_millis(50)).await;
                Some((Err(std::io::Error::other("truncated")), None))
            }
        }
    });
    Response::builder()
        .header("content-length", length_bytes)
        .body(BoxBody::new(StreamBody::new(Box::pin(frames)
            as std::pin::Pin<
                Box<dyn futures::Stream<Item = Result<Frame<Bytes>, std::io::Error>> + Send + Sync>,
            >)))
        .unwrap()
}
