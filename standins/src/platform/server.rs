//! The HTTP side of the object API.

use {
    super::{CallKind, Faults, Object, Store, calls::Calls},
    crate::http::{self, Answer, BodyError, NoAnswer},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming, header::HeaderValue},
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch, time},
    tokio_util::sync::CancellationToken,
};

/// Header that carries an object's version in answers.
pub const OBJECT_VERSION: &str = "object-version";
/// Header that carries the condition of a write.
pub const IF_VERSION: &str = "if-version";
/// Largest value that is stored.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

const OBJECTS_PREFIX: &str = "/objects/";
const DEFAULT_WAIT_MS: u64 = 30_000;
const MAX_WAIT_MS: u64 = 120_000;
const MAX_CONNECTION_COUNT: usize = 10_000;

/// The object API; clones share their state.
#[derive(Debug, Clone)]
pub struct Platform {
    store: Arc<Store>,
    calls: Arc<Calls>,
    faults: watch::Sender<Faults>,
}

impl Default for Platform {
    fn default() -> Self {
        Self::new()
    }
}

impl Platform {
    /// A platform without objects and faults.
    #[must_use]
    pub fn new() -> Self {
        Self {
            store: Arc::new(Store::new()),
            calls: Arc::new(Calls::default()),
            faults: watch::Sender::new(Faults::default()),
        }
    }

    /// Serves until `stop` is cancelled.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        http::serve(listener, MAX_CONNECTION_COUNT, stop, move |request| {
            let platform = self.clone();
            async move { platform.answer(request).await }
        })
        .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, NoAnswer> {
        if request.uri().path().starts_with("/-/") {
            return Ok(self.answer_admin(request).await);
        }
        self.calls.add(kind_of(&request));
        let mut faults = self.faults.subscribe();
        // A platform that goes down also breaks the watches that wait and the
        // calls that are slow, so a node must not believe that it still hears.
        // Biased, since a call that is answered at once would get through at random.
        tokio::select! {
            biased;
            _ = faults.wait_for(|faults| faults.down) => Err(NoAnswer),
            answer = self.answer_object(request) => answer,
        }
    }

    async fn answer_object(&self, request: Request<Incoming>) -> Result<Answer, NoAnswer> {
        let slow_ms = self.faults.borrow().slow_ms;
        if slow_ms > 0 {
            time::sleep(Duration::from_millis(slow_ms)).await;
        }
        let path = request.uri().path();
        let Some(name) = path.strip_prefix(OBJECTS_PREFIX).map(str::to_owned) else {
            return Ok(http::empty(StatusCode::NOT_FOUND));
        };
        match kind_of(&request) {
            CallKind::Read => Ok(self.read(&name)),
            CallKind::Watch => Ok(self.watch(&name, &request).await),
            CallKind::Write => self.write(&name, request).await,
            CallKind::Other => Ok(http::empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    fn read(&self, name: &str) -> Answer {
        if self.faults.borrow().stale_reads {
            object_answer(&self.store.read_previous(name))
        } else {
            object_answer(&self.store.read(name))
        }
    }

    async fn watch(&self, name: &str, request: &Request<Incoming>) -> Answer {
        let above_version = http::query_number(request.uri(), "above").unwrap_or(0);
        let wait_ms = http::query_number(request.uri(), "wait_ms").unwrap_or(DEFAULT_WAIT_MS);
        let wait = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let mut objects = self.store.subscribe(name);
        let newer = objects.wait_for(|object| object.version > above_version);
        match time::timeout(wait, newer).await {
            Ok(Ok(object)) => object_answer(&object),
            _ => with_version(
                http::empty(StatusCode::NOT_MODIFIED),
                self.store.read(name).version,
            ),
        }
    }

    async fn write(&self, name: &str, request: Request<Incoming>) -> Result<Answer, NoAnswer> {
        let Some(if_version) = if_version(request.headers()) else {
            return Ok(http::empty(StatusCode::PRECONDITION_REQUIRED));
        };
        let value = match http::read_body(request.into_body(), MAX_VALUE_BYTES).await {
            Ok(value) => value,
            Err(BodyError::TooLarge) => return Ok(http::empty(StatusCode::PAYLOAD_TOO_LARGE)),
            Err(BodyError::Incomplete) => return Err(NoAnswer),
        };
        let answer = match self.store.write(name, if_version, value) {
            Ok(version) => with_version(http::empty(StatusCode::OK), version),
            Err(conflict) => {
                with_version(http::empty(StatusCode::CONFLICT), conflict.current_version)
            }
        };
        if self.faults.borrow().lose_answers_to_writes {
            return Err(NoAnswer);
        }
        Ok(answer)
    }

    async fn answer_admin(&self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/-/calls") => http::json(StatusCode::OK, &self.calls.counts()),
            (&Method::GET, "/-/faults") => http::json(StatusCode::OK, &*self.faults.borrow()),
            (&Method::PUT, "/-/faults") => self.put_faults(request).await,
            _ => http::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn put_faults(&self, request: Request<Incoming>) -> Answer {
        let Ok(body) = http::read_body(request.into_body(), MAX_VALUE_BYTES).await else {
            return http::empty(StatusCode::BAD_REQUEST);
        };
        match http::json_object(&body) {
            Ok(faults) => {
                self.faults.send_replace(faults);
                http::empty(StatusCode::OK)
            }
            Err(error) => http::problem(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

fn kind_of(request: &Request<Incoming>) -> CallKind {
    let is_watch = http::query_value(request.uri(), "watch") == Some("1");
    match *request.method() {
        Method::GET if is_watch => CallKind::Watch,
        Method::GET => CallKind::Read,
        Method::PUT => CallKind::Write,
        _ => CallKind::Other,
    }
}

fn if_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(IF_VERSION)?.to_str().ok()?.parse().ok()
}

fn object_answer(object: &Object) -> Answer {
    if object.version == 0 {
        return with_version(http::empty(StatusCode::NOT_FOUND), 0);
    }
    let answer = Answer::new(Full::new(Bytes::clone(&object.value)));
    with_version(answer, object.version)
}

fn with_version(mut answer: Answer, version: u64) -> Answer {
    let headers = answer.headers_mut();
    headers.insert(OBJECT_VERSION, HeaderValue::from(version));
    answer
}
