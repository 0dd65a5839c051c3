//! Typed calls to the platform's object API.

use {
    super::{
        Object, PlatformError, WatchResult, WriteOutcome,
        exchange::{PlatformResponse, exchange},
    },
    crate::{
        backoff::Backoff,
        control::Traffic,
        documents::{DocumentKind, DocumentWriter, WriteResult},
        event,
        events::Event,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request, StatusCode},
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::timeout,
};

/// Largest object that the platform accepts, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Timeout of a call that does not wait for a change.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// Time that a watch may take beyond its wait. Long, since a platform that is slow
/// for long still reports changes through watches.
const WATCH_GRACE_MS: u64 = 10_000;
/// Attempts to read at least a version that the platform is known to have.
const READ_ATTEMPTS: usize = 5;
/// Wait of the watch that follows a stale read.
const CATCH_UP_WATCH_MS: u64 = 300;
const FIRST_BACKOFF_MS: u64 = 50;
const LONGEST_BACKOFF_MS: u64 = 400;
/// `if-version` that no object ever has. It fits a signed 64-bit integer, so that
/// every server can parse it.
const IMPOSSIBLE_VERSION: u64 = i64::MAX as u64;

/// Calls made so far; the platform counts the same ones.
#[derives::key]
#[derive(Default)]
pub struct CallCounts {
    /// Plain reads.
    pub read_count: u64,
    /// Conditional writes, including polls of the current version.
    pub write_count: u64,
    /// Watches.
    pub watch_count: u64,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    /// Bytes sent and received.
    traffic: Arc<Traffic>,
}

/// Client of the object API. Clones share counters and state.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    local_ip: Option<IpAddr>,
    call_timeout_ms: u64,
    counters: Arc<Counters>,
    is_down: Arc<AtomicBool>,
}

impl Platform {
    /// Creates a client of the object API at this address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            local_ip: None,
            call_timeout_ms: CALL_TIMEOUT_MS,
            counters: Arc::default(),
            is_down: Arc::default(),
        }
    }

    /// Connects from this local address, for networks that identify instances by
    /// their address.
    #[must_use]
    pub const fn with_local_ip(mut self, ip: IpAddr) -> Self {
        self.local_ip = Some(ip);
        self
    }

    /// Sets the timeout of calls that do not wait for a change.
    #[must_use]
    pub const fn with_call_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.call_timeout_ms = timeout_ms;
        self
    }

    /// Reads an object. The result may be older than that of an earlier read.
    pub async fn read(&self, name: &str) -> Result<Object, PlatformError> {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let request = Request::get(object_path(name)).body(Full::default())?;
        let response = self.call(request, self.call_timeout_ms).await?;
        match response.status {
            StatusCode::OK => object(response),
            StatusCode::NOT_FOUND => Ok(Object {
                version: 0,
                content: Vec::new(),
            }),
            status => Err(status_error(status)),
        }
    }

    /// Reads an object that is known to have at least this version.
    // A plain read may be older, and the next write would be based on withdrawn rules.
    // A watch above the preceding version returns only the requested version or a
    // newer one, if the platform can serve it.
    pub async fn read_at_least(&self, name: &str, version: u64) -> Result<Object, PlatformError> {
        let mut backoff = Backoff::new(FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS);
        let mut failure = PlatformError::Stale { version };
        for _ in 0..READ_ATTEMPTS {
            match self.read(name).await {
                Ok(object) if object.version >= version => return Ok(object),
                Ok(_) => {}
                Err(error) => failure = error,
            }
            let watched = self
                .watch(name, version.saturating_sub(1), CATCH_UP_WATCH_MS)
                .await;
            if let Ok(WatchResult::Changed(object)) = watched
                && object.version >= version
            {
                return Ok(object);
            }
            backoff.wait().await;
        }
        Err(failure)
    }

    /// Waits up to `wait_ms` until an object has a version above this one.
    pub async fn watch(
        &self,
        name: &str,
        above_version: u64,
        wait_ms: u64,
    ) -> Result<WatchResult, PlatformError> {
        self.counters.watches.fetch_add(1, Ordering::Relaxed);
        let path = object_path(name);
        let path = format!("{path}?watch=1&above={above_version}&wait_ms={wait_ms}");
        let request = Request::get(path).body(Full::default())?;
        let response = self.call(request, wait_ms + WATCH_GRACE_MS).await?;
        match response.status {
            StatusCode::OK => object(response).map(WatchResult::Changed),
            StatusCode::NOT_MODIFIED => Ok(WatchResult::Unchanged),
            status => Err(status_error(status)),
        }
    }

    /// Replaces an object that has version `if_version`; 0 if it must not exist.
    pub async fn write(&self, name: &str, if_version: u64, content: Vec<u8>) -> WriteOutcome {
        let byte_count = content.len();
        if byte_count > MAX_OBJECT_BYTES {
            return WriteOutcome::Refused(PlatformError::TooLarge { byte_count });
        }
        let response = match self.put(name, if_version, content).await {
            Ok(response) => response,
            Err(error @ (PlatformError::Unreachable(_) | PlatformError::BadRequest(_))) => {
                return WriteOutcome::Refused(error);
            }
            Err(error) => return WriteOutcome::Unknown(error),
        };
        match (response.status, response.version()) {
            (StatusCode::OK, Ok(version)) => WriteOutcome::Written(version),
            (StatusCode::CONFLICT, Ok(version)) => WriteOutcome::Conflict(version),
            (StatusCode::PAYLOAD_TOO_LARGE, _) => {
                WriteOutcome::Refused(PlatformError::TooLarge { byte_count })
            }
            (StatusCode::OK | StatusCode::CONFLICT, Err(error)) => WriteOutcome::Unknown(error),
            (status, _) if status.is_client_error() => WriteOutcome::Refused(status_error(status)),
            (status, _) => WriteOutcome::Unknown(status_error(status)),
        }
    }

    /// Current version of an object, at some time during the call.
    // Plain reads may be stale: a node that used one as a confirmation would report
    // itself as fresh while it misses a revocation or a moved slice. The platform
    // must decide a write on the current version, so a write whose condition can't
    // hold is refused with that version and changes nothing.
    pub async fn current_version(&self, name: &str) -> Result<u64, PlatformError> {
        let response = self.put(name, IMPOSSIBLE_VERSION, Vec::new()).await?;
        match response.status {
            StatusCode::CONFLICT => response.version(),
            status => Err(status_error(status)),
        }
    }

    /// Calls made so far.
    #[must_use]
    pub fn call_counts(&self) -> CallCounts {
        CallCounts {
            read_count: self.counters.reads.load(Ordering::Relaxed),
            write_count: self.counters.writes.load(Ordering::Relaxed),
            watch_count: self.counters.watches.load(Ordering::Relaxed),
        }
    }

    /// Bytes sent and received by all calls so far.
    #[must_use]
    pub fn byte_count(&self) -> u64 {
        self.counters.traffic.byte_count()
    }

    async fn put(
        &self,
        name: &str,
        if_version: u64,
        content: Vec<u8>,
    ) -> Result<PlatformResponse, PlatformError> {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let request = Request::builder()
            .method(Method::PUT)
            .uri(object_path(name))
            .header("if-version", if_version)
            .body(Full::new(Bytes::from(content)))?;
        self.call(request, self.call_timeout_ms).await
    }

    async fn call(
        &self,
        mut request: Request<Full<Bytes>>,
        limit_ms: u64,
    ) -> Result<PlatformResponse, PlatformError> {
        let host = self.address.to_string().parse();
        if let Ok(host) = host {
            request.headers_mut().insert(hyper::header::HOST, host);
        }
        let exchange = exchange(
            self.address,
            self.local_ip,
            request,
            self.counters.traffic.clone(),
        );
        let result = timeout(Duration::from_millis(limit_ms), exchange).await;
        let result = result.unwrap_or(Err(PlatformError::TimedOut { limit_ms }));
        self.record_result(&result);
        result
    }

    fn record_result(&self, result: &Result<PlatformResponse, PlatformError>) {
        let failed_status = match result {
            Ok(response) if response.status.is_server_error() => {
                Some(status_error(response.status))
            }
            _ => None,
        };
        let error = failed_status.as_ref().or(result.as_ref().err());
        let was_down = self.is_down.swap(error.is_some(), Ordering::Relaxed);
        match error {
            Some(error) if !was_down => {
                event!(
                    Event::PlatformLost,
                    "platform={} error={error}",
                    self.address
                );
            }
            None if was_down => event!(Event::PlatformReached, "platform={}", self.address),
            _ => {}
        }
    }
}

impl DocumentWriter for Platform {
    async fn write(&self, kind: DocumentKind, if_version: u64, content: Vec<u8>) -> WriteResult {
        match Self::write(self, kind.name(), if_version, content).await {
            WriteOutcome::Written(version) => WriteResult::Written(version),
            WriteOutcome::Conflict(version) => WriteResult::Conflict(version),
            WriteOutcome::Refused(error) | WriteOutcome::Unknown(error) => {
                log::debug!(target: "dogwood", "write of {} failed: {error}", kind.name());
                WriteResult::Unknown
            }
        }
    }
}

fn object_path(name: &str) -> String {
    format!("/objects/{name}")
}

fn object(response: PlatformResponse) -> Result<Object, PlatformError> {
    Ok(Object {
        version: response.version()?,
        content: response.content,
    })
}

const fn status_error(status: StatusCode) -> PlatformError {
    PlatformError::Status {
        status: status.as_u16(),
    }
}
