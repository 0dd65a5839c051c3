//! Requests and responses whose memory is counted.

use {
    super::{ResponseBody, TruncatedBody, connection_table::TrackedRequest},
    bytes::Bytes,
    hyper::{
        Response,
        body::{Body, Frame, SizeHint},
        http::request::Parts,
    },
    std::{
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard},
        task::{Context, Poll},
    },
};

/// Memory of a request in progress without its head and body.
const REQUEST_BYTES: usize = 4 << 10;
/// Memory of a request's head, as a multiple of its bytes: it is parsed, and copied for each attempt.
const HEAD_COPIES: usize = 4;
/// Memory of each header beside its bytes.
const HEADER_BYTES: usize = 64;
/// Memory of a response that is forwarded while it arrives: what is buffered on its way.
const STREAM_BYTES: usize = 320 << 10;

/// Memory that a request takes without its body, in bytes.
#[must_use]
pub fn request_bytes(head: &Parts) -> usize {
    let headers = head.headers.iter();
    let header_bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES)
        .sum();
    let path_bytes = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    REQUEST_BYTES + HEAD_COPIES * (header_bytes + path_bytes)
}

/// Follows a request from its head to the end of its response. Clones share it.
#[derive(Debug, Clone)]
pub struct RequestProgress(Arc<Mutex<TrackedRequest>>);

impl RequestProgress {
    /// Follows this request.
    #[must_use]
    pub fn new(request: TrackedRequest) -> Self {
        Self(Arc::new(Mutex::new(request)))
    }

    /// Records that the request was received completely.
    pub fn receive(&self) {
        self.locked().receive();
    }

    /// Records the response to a request that was started early, and follows it until its turn.
    #[must_use]
    pub fn hold_response(self, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
        self.locked().respond(held_bytes(response.body()));
        response.extensions_mut().insert(self);
        response
    }

    /// Records the response and follows its body until it is sent.
    #[must_use]
    pub fn respond(self, body: ResponseBody) -> TrackedBody {
        self.locked().respond(held_bytes(&body));
        TrackedBody {
            body,
            _progress: Some(self),
        }
    }

    fn locked(&self) -> MutexGuard<'_, TrackedRequest> {
        self.0.lock().expect("lock is not poisoned")
    }
}

fn held_bytes(body: &ResponseBody) -> usize {
    match body {
        ResponseBody::Buffered(body) => body.len(),
        ResponseBody::Streamed(_) => STREAM_BYTES,
    }
}

/// Body of a response; its request ends when it is dropped.
#[derive(Debug)]
pub struct TrackedBody {
    body: ResponseBody,
    _progress: Option<RequestProgress>,
}

impl TrackedBody {
    /// Body of a response to a request that is not followed.
    #[must_use]
    pub const fn untracked(body: ResponseBody) -> Self {
        Self {
            body,
            _progress: None,
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
