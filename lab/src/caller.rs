//! A caller that records what it sees.

use {
    crate::LabError,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Request, Response, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    standins::target::{DEADLINE_MS, TEST_ID, WholeAnswer},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    uuid::Uuid,
};

/// Header with the tenant key.
pub const KEY: &str = "dogwood-key";
/// Header with the key under which a request may be sent again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the outcome of a refused request.
pub const OUTCOME: &str = "dogwood-outcome";
/// Header with the reason of a refusal.
pub const REASON: &str = "dogwood-reason";
/// Header that says when to come back, in milliseconds.
pub const RETRY_AFTER_MS: &str = "dogwood-retry-after-ms";
/// Longest wait of a caller without a deadline.
pub const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// A request to a node, or to a target directly.
#[derives::value]
#[derive(Eq)]
pub struct CallRequest {
    /// HTTP method.
    pub method: String,
    /// Path, which begins with the service at a node.
    pub path: String,
    /// Tenant key.
    pub key: Option<String>,
    /// Deadline as told to the node.
    pub deadline_ms: Option<u64>,
    /// Under which the request may be sent again.
    pub idempotency_key: Option<String>,
    /// Further headers.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Bytes,
    /// Name of the request, which the whole answer repeats.
    pub test_id: String,
    /// After this the caller gives up.
    pub timeout_ms: u64,
}

impl CallRequest {
    /// A request with a fresh test id.
    #[must_use]
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            key: None,
            deadline_ms: None,
            idempotency_key: None,
            headers: BTreeMap::new(),
            body: Bytes::new(),
            test_id: Uuid::now_v7().to_string(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
        }
    }

    /// Presents a tenant key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Tells a deadline.
    #[must_use]
    pub const fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }

    /// Gives up after this time.
    #[must_use]
    pub const fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// May be sent again under this key.
    #[must_use]
    pub fn with_idempotency_key(mut self, key: &str) -> Self {
        self.idempotency_key = Some(key.to_owned());
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.insert(name.to_owned(), value.to_owned());
        self
    }

    /// Carries a body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    fn to_http(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, LabError> {
        let mut request = Request::builder()
            .method(self.method.as_str())
            .uri(format!("http://{address}{}", self.path))
            .header(TEST_ID, &self.test_id);
        let deadline = self.deadline_ms.map(|deadline_ms| deadline_ms.to_string());
        let optional = [
            (KEY, &self.key),
            (IDEMPOTENCY_KEY, &self.idempotency_key),
            (DEADLINE_MS, &deadline),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                request = request.header(name, value);
            }
        }
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        Ok(request.body(Full::new(self.body.clone()))?)
    }
}

/// What the caller may conclude.
#[derives::key]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Judgement {
    /// The whole answer to this request with a status below 400.
    Whole,
    /// A whole answer of the target that tells of a failure.
    TargetFailed,
    /// Refused with the promise that nothing ran.
    NotRun,
    /// Refused or given up; it may have run.
    Unknown,
    /// An answer with status 200 that is cut or someone else's. Never right.
    Wrong,
    /// No answer: the connection failed, broke or the caller gave up.
    NoAnswer,
}

/// What a caller saw of one request.
#[derives::record]
#[derive(Eq)]
pub struct CallRecord {
    /// Name of the request.
    pub test_id: String,
    /// When it was sent, since the Unix epoch.
    pub sent_unix_ms: u64,
    /// From the send to the end.
    pub latency_us: u64,
    /// Status, if an answer began.
    pub status: Option<u16>,
    /// Conclusion.
    pub judgement: Judgement,
    /// Outcome as told.
    pub outcome: Option<String>,
    /// Reason as told.
    pub reason: Option<String>,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// `retry-after` as told, in seconds.
    pub retry_after_s: Option<u64>,
    /// The answer, if it is whole and belongs to the request.
    pub answer: Option<WholeAnswer>,
    /// Why there was no answer, or what is wrong with it.
    pub error: Option<String>,
}

/// A caller with its own pool of connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// A caller without connections yet.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends one request and waits for its end.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &CallRequest,
    ) -> Result<CallRecord, LabError> {
        let http_request = request.to_http(address)?;
        let mut record = CallRecord {
            test_id: request.test_id.clone(),
            sent_unix_ms: unix_ms(),
            latency_us: 0,
            status: None,
            judgement: Judgement::NoAnswer,
            outcome: None,
            reason: None,
            retry_after_ms: None,
            retry_after_s: None,
            answer: None,
            error: None,
        };
        let sent_at = Instant::now();
        let limit = Duration::from_millis(request.timeout_ms);
        let exchange = self.exchange(http_request, &mut record);
        let exchanged = tokio::time::timeout(limit, exchange).await;
        record.latency_us = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        match exchanged {
            Ok(Ok(body)) => record.judge(&body, &request.test_id),
            Ok(Err(error)) => record.error = Some(error),
            Err(_) => record.error = Some("gave up waiting".to_owned()),
        }
        Ok(record)
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        record: &mut CallRecord,
    ) -> Result<Bytes, String> {
        let response = self.client.request(request).await;
        let response = response.map_err(|error| with_sources(&error))?;
        record.read_head(&response);
        let body = response.into_body().collect().await;
        Ok(body.map_err(|error| with_sources(&error))?.to_bytes())
    }
}

impl CallRecord {
    fn read_head(&mut self, response: &Response<Incoming>) {
        let headers = response.headers();
        self.status = Some(response.status().as_u16());
        self.outcome = text(headers, OUTCOME);
        self.reason = text(headers, REASON);
        self.retry_after_ms = text(headers, RETRY_AFTER_MS).and_then(|text| text.parse().ok());
        self.retry_after_s = text(headers, "retry-after").and_then(|text| text.parse().ok());
    }

    fn judge(&mut self, body: &[u8], test_id: &str) {
        let checked = WholeAnswer::check(body, test_id);
        let is_success = self.status.is_some_and(|status| status < 400);
        self.judgement = match (self.outcome.as_deref(), &checked) {
            (Some("not-run"), _) => Judgement::NotRun,
            (Some("unknown"), _) => Judgement::Unknown,
            (_, Ok(_)) if is_success => Judgement::Whole,
            (_, Ok(_)) => Judgement::TargetFailed,
            (_, Err(_)) if is_success => Judgement::Wrong,
            (_, Err(_)) => Judgement::Unknown,
        };
        match checked {
            Ok(answer) => self.answer = Some(answer),
            Err(error) if is_success => self.error = Some(error.to_string()),
            Err(_) => {}
        }
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// Milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
