//! Typed calls of the platform's object API.

use {
    super::{
        Object, PlatformError, Watched, Write,
        exchange::{Answer, exchange},
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

/// Largest object that the platform holds.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Time limit of a call that does not wait for a change.
const CALL_LIMIT_MS: u64 = 2_000;
/// How much longer than its wait a watch may take. Generous, since a platform
/// that is slow for long still tells changes through its watches.
const WATCH_GRACE_MS: u64 = 10_000;
/// Tries to read at least a version that the platform is known to have.
const READ_ATTEMPTS: usize = 5;
/// Wait of the watch that follows a stale read.
const CATCH_UP_MS: u64 = 300;
const FIRST_BACKOFF_MS: u64 = 50;
const LONGEST_BACKOFF_MS: u64 = 400;
/// Condition that no object ever meets. It fits a signed 64-bit number, so
/// that every server can read it.
const IMPOSSIBLE_VERSION: u64 = i64::MAX as u64;

/// Calls made so far, each one counted by the platform as well.
#[derives::key]
#[derive(Default)]
pub struct CallCounts {
    /// Plain reads.
    pub read_count: u64,
    /// Conditional writes, looks included.
    pub write_count: u64,
    /// Waits for a change.
    pub watch_count: u64,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    /// Bytes on the connections, both ways.
    traffic: Arc<Traffic>,
}

/// Client of the object API. Clones share counters and state.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    local_ip: Option<IpAddr>,
    call_limit_ms: u64,
    counters: Arc<Counters>,
    is_lost: Arc<AtomicBool>,
}

impl Platform {
    /// A client of the object API at this address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            local_ip: None,
            call_limit_ms: CALL_LIMIT_MS,
            counters: Arc::default(),
            is_lost: Arc::default(),
        }
    }

    /// Makes connections from this address, so that a network that tells
    /// instances apart by their address sees the right one.
    #[must_use]
    pub const fn with_local_ip(mut self, ip: IpAddr) -> Self {
        self.local_ip = Some(ip);
        self
    }

    /// Sets the time limit of calls that do not wait for a change.
    #[must_use]
    pub const fn with_call_limit_ms(mut self, limit_ms: u64) -> Self {
        self.call_limit_ms = limit_ms;
        self
    }

    /// Reads an object; the answer may be older than an earlier one.
    pub async fn read(&self, name: &str) -> Result<Object, PlatformError> {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let request = Request::get(object_path(name)).body(Full::default())?;
        let answer = self.call(request, self.call_limit_ms).await?;
        match answer.status {
            StatusCode::OK => object(answer),
            StatusCode::NOT_FOUND => Ok(Object {
                version: 0,
                content: Vec::new(),
            }),
            status => Err(bad_status(status)),
        }
    }

    /// Reads an object that is known to have this version or a higher one.
    // A plain read may be older. A watch above the version before answers only
    // with what was asked for, if the platform has it at hand; taking the
    // older content would build the next write on withdrawn rules.
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
                .watch(name, version.saturating_sub(1), CATCH_UP_MS)
                .await;
            if let Ok(Watched::Changed(object)) = watched
                && object.version >= version
            {
                return Ok(object);
            }
            backoff.wait().await;
        }
        Err(failure)
    }

    /// Waits until an object has a version above this one.
    pub async fn watch(
        &self,
        name: &str,
        above_version: u64,
        wait_ms: u64,
    ) -> Result<Watched, PlatformError> {
        self.counters.watches.fetch_add(1, Ordering::Relaxed);
        let path = object_path(name);
        let path = format!("{path}?watch=1&above={above_version}&wait_ms={wait_ms}");
        let request = Request::get(path).body(Full::default())?;
        let answer = self.call(request, wait_ms + WATCH_GRACE_MS).await?;
        match answer.status {
            StatusCode::OK => object(answer).map(Watched::Changed),
            StatusCode::NOT_MODIFIED => Ok(Watched::Unchanged),
            status => Err(bad_status(status)),
        }
    }

    /// Replaces an object that has this version; 0 when it must not exist.
    pub async fn write(&self, name: &str, if_version: u64, content: Vec<u8>) -> Write {
        let byte_count = content.len();
        if byte_count > MAX_OBJECT_BYTES {
            return Write::Refused(PlatformError::TooLarge { byte_count });
        }
        let answer = match self.put(name, if_version, content).await {
            Ok(answer) => answer,
            Err(error @ (PlatformError::Unreachable(_) | PlatformError::BadRequest(_))) => {
                return Write::Refused(error);
            }
            Err(error) => return Write::Unknown(error),
        };
        match (answer.status, answer.version()) {
            (StatusCode::OK, Ok(version)) => Write::Written(version),
            (StatusCode::CONFLICT, Ok(version)) => Write::Conflict(version),
            (StatusCode::PAYLOAD_TOO_LARGE, _) => {
                Write::Refused(PlatformError::TooLarge { byte_count })
            }
            (StatusCode::OK | StatusCode::CONFLICT, Err(error)) => Write::Unknown(error),
            (status, _) if status.is_client_error() => Write::Refused(bad_status(status)),
            (status, _) => Write::Unknown(bad_status(status)),
        }
    }

    /// Current version of an object, as of some time during the call.
    // Plain reads may be stale: a node that took one for a confirmation would
    // call itself fresh while a revocation or a moved slice stands in the
    // platform unseen. A write has to be decided on the current version, so
    // one whose condition can't hold is refused with that version and changes
    // nothing.
    pub async fn current_version(&self, name: &str) -> Result<u64, PlatformError> {
        let answer = self.put(name, IMPOSSIBLE_VERSION, Vec::new()).await?;
        match answer.status {
            StatusCode::CONFLICT => answer.version(),
            status => Err(bad_status(status)),
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

    /// Bytes of all calls so far, both ways.
    #[must_use]
    pub fn byte_count(&self) -> u64 {
        self.counters.traffic.byte_count()
    }

    async fn put(
        &self,
        name: &str,
        if_version: u64,
        content: Vec<u8>,
    ) -> Result<Answer, PlatformError> {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let request = Request::builder()
            .method(Method::PUT)
            .uri(object_path(name))
            .header("if-version", if_version)
            .body(Full::new(Bytes::from(content)))?;
        self.call(request, self.call_limit_ms).await
    }

    async fn call(
        &self,
        mut request: Request<Full<Bytes>>,
        limit_ms: u64,
    ) -> Result<Answer, PlatformError> {
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
        self.note(&result);
        result
    }

    fn note(&self, result: &Result<Answer, PlatformError>) {
        let failed_status = match result {
            Ok(answer) if answer.status.is_server_error() => Some(bad_status(answer.status)),
            _ => None,
        };
        let error = failed_status.as_ref().or(result.as_ref().err());
        let was_lost = self.is_lost.swap(error.is_some(), Ordering::Relaxed);
        match error {
            Some(error) if !was_lost => {
                event!(
                    Event::PlatformLost,
                    "platform={} error={error}",
                    self.address
                );
            }
            None if was_lost => event!(Event::PlatformReached, "platform={}", self.address),
            _ => {}
        }
    }
}

impl DocumentWriter for Platform {
    async fn write(&self, kind: DocumentKind, if_version: u64, content: Vec<u8>) -> WriteResult {
        match Self::write(self, kind.name(), if_version, content).await {
            Write::Written(version) => WriteResult::Written(version),
            Write::Conflict(version) => WriteResult::Conflict(version),
            Write::Refused(error) | Write::Unknown(error) => {
                log::debug!(target: "dogwood", "write of {} failed: {error}", kind.name());
                WriteResult::Unknown
            }
        }
    }
}

fn object_path(name: &str) -> String {
    format!("/objects/{name}")
}

fn object(answer: Answer) -> Result<Object, PlatformError> {
    Ok(Object {
        version: answer.version()?,
        content: answer.content,
    })
}

const fn bad_status(status: StatusCode) -> PlatformError {
    PlatformError::Status {
        status: status.as_u16(),
    }
}
