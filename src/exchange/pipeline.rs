//! HTTP/1 pipelining: requests sent before the response to the previous one.
//!
//! The HTTP library starts a request only after the previous response, so a pipelined
//! request is delayed, possibly beyond its route's deadline, while targets are idle.
//! Repeatable requests are therefore started as soon as they are read; the library
//! still sends the responses in order.

use {
    super::{
        ResponseBody,
        read_ahead::{ReadAheadPart, ReadAheadRoom},
    },
    bytes::{Buf, BytesMut},
    hyper::{
        HeaderMap, Method, Request, Response, Uri, Version,
        header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE},
        http::request::Parts,
    },
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard},
    },
    tokio_util::task::AbortOnDropHandle,
};

/// Response of a pipelined request that was started early; dropping it cancels the request.
pub type EarlyResponse = AbortOnDropHandle<Response<ResponseBody>>;

/// Most requests of a connection that are started early at a time.
const MAX_EARLY_REQUESTS: usize = 4;
/// Longest request head that is parsed early.
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;
/// Headers of requests that have a body or change the state of the connection.
const UNSUPPORTED_HEADERS: [hyper::header::HeaderName; 5] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// A request that was started early.
#[derive(Debug)]
struct EarlyRequest {
    /// Index among the requests of the connection.
    index: u64,
    uri: Uri,
    headers: HeaderMap,
    response: EarlyResponse,
}

#[derive(Debug, Default)]
struct State {
    unparsed: BytesMut,
    room: ReadAheadPart,
    /// No further requests are started early, for example after one with a body.
    is_stopped: bool,
    read_count: u64,
    taken_count: u64,
    response_count: u64,
    early_requests: VecDeque<EarlyRequest>,
}

/// The requests of one connection, in order; clones share the state.
#[derive(Debug, Clone, Default)]
pub struct Pipeline {
    state: Arc<Mutex<State>>,
}

impl Pipeline {
    /// Creates the state of a connection without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes room for the bytes of heads that are not complete.
    #[must_use]
    pub fn with_room(self, room: &ReadAheadRoom) -> Self {
        self.locked().room = room.part();
        self
    }

    /// Parses bytes from the caller. `start_early` starts a waiting request, or declines with
    /// `None`.
    pub fn record_bytes(
        &self,
        bytes: &[u8],
        start_early: impl Fn(&Parts) -> Option<EarlyResponse>,
    ) {
        let mut state = self.locked();
        if state.is_stopped {
            return;
        }
        state.unparsed.extend_from_slice(bytes);
        while !state.unparsed.is_empty() {
            match parse_head(&state.unparsed) {
                Head::Complete(parts, length) => {
                    state.unparsed.advance(length);
                    state.add_request(&parts, &start_early);
                }
                Head::Partial if state.may_hold_unparsed() => return,
                Head::Partial | Head::Unsupported => {
                    state.is_stopped = true;
                    break;
                }
            }
        }
        // Frees the memory: most connections are idle.
        state.unparsed = BytesMut::new();
        state.room.try_resize(0);
    }

    /// Response of the request that the library starts next, if it was started early.
    #[must_use]
    pub fn take_response<B>(&self, request: &Request<B>) -> Option<EarlyResponse> {
        let mut state = self.locked();
        let index = state.taken_count;
        state.taken_count += 1;
        while state
            .early_requests
            .front()
            .is_some_and(|early| early.index < index)
        {
            state.early_requests.pop_front();
        }
        if state.early_requests.front()?.index != index {
            return None;
        }
        let early = state.early_requests.pop_front()?;
        // A request that the library parsed differently must not get this response.
        let is_same = early.uri == *request.uri() && early.headers == *request.headers();
        state.is_stopped |= !is_same;
        is_same.then_some(early.response)
    }

    /// Records that the response to the current request is ready.
    pub fn record_response(&self) {
        self.locked().response_count += 1;
    }

    /// Whether requests that were started early wait for their turn. The connection must
    /// not be closed before their responses are sent.
    #[must_use]
    pub fn has_early_requests(&self) -> bool {
        !self.locked().early_requests.is_empty()
    }

    /// Starts no further requests early.
    pub fn stop(&self) {
        self.locked().is_stopped = true;
    }

    fn locked(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

impl State {
    fn may_hold_unparsed(&mut self) -> bool {
        let byte_count = self.unparsed.len();
        byte_count <= MAX_HEAD_BYTES && self.room.try_resize(byte_count)
    }

    fn add_request(
        &mut self,
        parts: &Parts,
        start_early: &impl Fn(&Parts) -> Option<EarlyResponse>,
    ) {
        let index = self.read_count;
        self.read_count += 1;
        // The library starts it immediately.
        let is_next = index <= self.response_count;
        if is_next || self.early_requests.len() >= MAX_EARLY_REQUESTS {
            return;
        }
        if let Some(response) = start_early(parts) {
            self.early_requests.push_back(EarlyRequest {
                index,
                uri: parts.uri.clone(),
                headers: parts.headers.clone(),
                response,
            });
        }
    }
}

enum Head {
    /// The head and its length in bytes.
    Complete(Box<Parts>, usize),
    Partial,
    /// A request with a body, another protocol or malformed.
    Unsupported,
}

fn parse_head(bytes: &[u8]) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Head::Partial,
        Err(_) => return Head::Unsupported,
    };
    match supported_parts(&parsed) {
        Some(parts) => Head::Complete(Box::new(parts), length),
        None => Head::Unsupported,
    }
}

fn supported_parts(parsed: &httparse::Request<'_, '_>) -> Option<Parts> {
    let is_supported = parsed.method == Some(Method::GET.as_str()) && parsed.version == Some(1);
    if !is_supported {
        return None;
    }
    let mut request = Request::builder()
        .uri(parsed.path?)
        .version(Version::HTTP_11);
    for header in parsed.headers.iter() {
        request = request.header(header.name, header.value);
    }
    let (parts, ()) = request.body(()).ok()?.into_parts();
    let is_unsupported = UNSUPPORTED_HEADERS
        .iter()
        .any(|name| parts.headers.contains_key(name));
    (!is_unsupported).then_some(parts)
}
