//! Bodies of answers: whole ones and streamed ones.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// Chunks of a streamed answer that wait for a slow reader.
const STREAM_CHUNK_COUNT: usize = 8;
/// What is read at most of a body that nobody wants.
const DISCARD_BYTES: usize = 4 << 20;
/// Time that this may take.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// A streamed answer ended before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer was cut short")]
pub struct BodyCut;

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// Held whole in memory.
    Whole(Option<Bytes>),
    /// Passed on while it arrives; an error resets the receiver's stream, so
    /// that a truncated answer never looks whole.
    Streamed(mpsc::Receiver<Result<Bytes, BodyCut>>),
}

impl AnswerBody {
    /// A body that is held whole.
    #[must_use]
    pub const fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }

    /// Whether the body is passed on while it arrives.
    #[must_use]
    pub const fn is_streamed(&self) -> bool {
        matches!(self, Self::Streamed(_))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Streamed(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// A body read up to a limit.
#[derive(Debug)]
pub enum Collected {
    /// It ended within the limit.
    Whole(Bytes),
    /// It is larger; this was read so far.
    Larger(Bytes),
}

/// Reads a body until its end or until it exceeds the limit.
pub async fn collect(body: &mut Incoming, limit_bytes: usize) -> Result<Collected, hyper::Error> {
    let mut first = Bytes::new();
    let mut more = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if first.is_empty() {
            first = data;
        } else {
            if more.is_empty() {
                more.extend_from_slice(&first);
            }
            more.extend_from_slice(&data);
        }
        if first.len().max(more.len()) > limit_bytes {
            return Ok(Collected::Larger(joined(first, more)));
        }
    }
    Ok(Collected::Whole(joined(first, more)))
}

/// Reads what is left of the body of a request that is refused.
///
/// Closed with unread bytes, a connection is reset by the system, and the
/// caller may see the reset instead of the refusal while it still sends.
pub async fn discard(body: &mut Incoming) {
    let reading = async {
        let mut left_bytes = DISCARD_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let read_bytes = frame.data_ref().map_or(0, Bytes::len);
            match left_bytes.checked_sub(read_bytes) {
                Some(left) => left_bytes = left,
                None => return,
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIME, reading).await;
}

fn joined(first: Bytes, more: BytesMut) -> Bytes {
    if more.is_empty() {
        first
    } else {
        more.freeze()
    }
}

/// Passes on the rest of a large body until its end, its deadline or the
/// reader's departure; `guard` is dropped afterwards, with whether the whole
/// body arrived.
pub fn pump<G: Send + 'static>(
    head: Bytes,
    mut rest: Incoming,
    limit: Duration,
    guard: G,
    done: fn(G, bool),
) -> AnswerBody {
    let (sender, receiver) = mpsc::channel(STREAM_CHUNK_COUNT);
    tokio::spawn(async move {
        let passing = tokio::time::timeout(limit, pass_on(head, &mut rest, &sender));
        let is_whole = passing.await.unwrap_or(false);
        done(guard, is_whole);
        if !is_whole {
            // Without this error the closed channel would look like the
            // regular end of the answer, and a truncated one like a whole.
            let _ = sender.send(Err(BodyCut)).await;
        }
    });
    AnswerBody::Streamed(receiver)
}

async fn pass_on(
    head: Bytes,
    rest: &mut Incoming,
    sender: &mpsc::Sender<Result<Bytes, BodyCut>>,
) -> bool {
    if sender.send(Ok(head)).await.is_err() {
        return false;
    }
    loop {
        let frame = tokio::select! {
            () = sender.closed() => return false,
            frame = rest.frame() => frame,
        };
        match frame {
            None => return true,
            Some(Err(_)) => return false,
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if sender.send(Ok(data)).await.is_err() {
                    return false;
                }
            }
        }
    }
}
