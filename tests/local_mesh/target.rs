//! A target whose paths say what it does.

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

/// One execution as the target saw it.
#[derive(Debug, Clone)]
pub struct Execution {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    pub ended: bool,
}

type Journal = Arc<Mutex<Vec<Execution>>>;
type Body = BoxBody<Bytes, std::io::Error>;

/// A running target.
pub struct Target {
    pub service: String,
    pub port: u16,
    pub journal: Journal,
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
            journal: Journal::default(),
            stop: CancellationToken::new(),
            draining: AtomicBool::new(false),
            egress,
        });
        tokio::spawn(Arc::clone(&target).accept(listener));
        target
    }

    /// Repeats what it announced last, as targets do, until it stops.
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
        let seen = client::send(self.egress, request).await;
        assert_eq!(seen.status, StatusCode::NO_CONTENT, "{}", seen.text());
    }

    pub fn executions(&self) -> Vec<Execution> {
        self.journal.lock().unwrap().clone()
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
            let mut journal = self.journal.lock().unwrap();
            journal.push(Execution {
                path: path.clone(),
                headers,
                body,
                ended: false,
            });
            journal.len() - 1
        };
        let handle = parts.headers.get("dogwood-call").cloned();
        let mut response = self.respond(&path, handle.as_ref()).await;
        if path != "/crossed"
            && let Some(handle) = handle
        {
            response.headers_mut().insert("dogwood-call", handle);
        }
        self.journal.lock().unwrap()[index].ended = true;
        response
    }

    async fn respond(&self, path: &str, handle: Option<&HeaderValue>) -> Response<Body> {
        let mut segments = path.trim_start_matches('/').splitn(3, '/');
        let (verb, first) = (segments.next().unwrap(), segments.next());
        let rest = segments.next();
        match (verb, first) {
            ("chain", Some(next)) => self.call_next(next, rest, handle).await,
            ("slow", Some(ms)) => {
                tokio::time::sleep(Duration::from_millis(ms.parse().unwrap())).await;
                whole(200, "slow")
            }
            ("big", Some(bytes)) => whole(200, &"x".repeat(bytes.parse().unwrap())),
            ("cut", Some(bytes)) => cut(bytes.parse().unwrap()),
            ("shed", _) => shed(),
            ("cut-then-shed", Some(bytes)) if self.executions().len() <= 1 => {
                cut(bytes.parse().unwrap())
            }
            ("cut-then-shed", _) => shed(),
            ("fail", _) => whole(503, "failed"),
            _ => whole(200, &format!("{} ran", self.service)),
        }
    }

    async fn call_next(
        &self,
        next: &str,
        rest: Option<&str>,
        handle: Option<&HeaderValue>,
    ) -> Response<Body> {
        let path = match rest {
            Some(rest) if rest.starts_with("slow/") || rest.starts_with("cut/") => {
                format!("/{next}/{rest}")
            }
            Some(rest) => format!("/{next}/chain/{rest}"),
            None => format!("/{next}/echo"),
        };
        let handle = handle.map_or("", |handle| handle.to_str().unwrap());
        let request = client::request("GET", &path, &[("dogwood-call", handle)], b"");
        let seen = client::send(self.egress, request).await;
        whole(
            seen.status.as_u16(),
            &format!("{} > {}", self.service, seen.text()),
        )
    }
}

fn whole(status: u16, text: &str) -> Response<Body> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes()));
    let body = body.map_err(|never| match never {}).boxed();
    Response::builder().status(status).body(body).unwrap()
}

/// Refuses before beginning.
fn shed() -> Response<Body> {
    let mut response = whole(503, "shed");
    let not_run = HeaderValue::from_static("not-run");
    response.headers_mut().insert("dogwood-shed", not_run);
    response
}

/// States a length, sends half of it and breaks the connection.
fn cut(bytes: usize) -> Response<Body> {
    let half = Bytes::from(vec![b'x'; bytes / 2]);
    let frames = stream::unfold(Some(half), |half| async move {
        match half {
            Some(half) => Some((Ok(Frame::data(half)), None)),
            None => {
                // The half gets out before the break.
                tokio::time::sleep(Duration::from_millis(50)).await;
                Some((Err(std::io::Error::other("cut")), None))
            }
        }
    });
    Response::builder()
        .header("content-length", bytes)
        .body(BoxBody::new(StreamBody::new(Box::pin(frames)
            as std::pin::Pin<
                Box<dyn futures::Stream<Item = Result<Frame<Bytes>, std::io::Error>> + Send + Sync>,
            >)))
        .unwrap()
}
