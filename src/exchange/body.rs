//! Bodies of responses, buffered or streamed, and reading of request bodies.

use {
    super::segments::{SegmentWriter, Segments},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// Chunks of a streamed response that are buffered for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 4;
/// Most bytes read of a discarded body.
const MAX_DISCARD_BYTES: usize = 4 << 20;
/// Longest time spent reading a discarded body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// A streamed response ended before its body was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response ended before its body was complete")]
pub struct TruncatedBody;

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// Completely buffered in memory.
    Buffered(Segments),
    /// Forwarded while it arrives; an error resets the receiver's stream, so that a
    /// truncated response never looks complete.
    Streamed(mpsc::Receiver<Result<Bytes, TruncatedBody>>),
}

impl ResponseBody {
    /// Creates a buffered body.
    #[must_use]
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(bytes.into())
    }

    /// Whether the body is forwarded while it arrives.
    #[must_use]
    pub const fn is_streamed(&self) -> bool {
        matches!(self, Self::Streamed(_))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match self.get_mut() {
            Self::Buffered(body) => {
                let segment = body.pop_front();
                Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
            }
            Self::Streamed(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_empty(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// A body that was read up to a size limit.
#[derive(Debug)]
pub enum Collected {
    /// The complete body, within the limit.
    Complete(Segments),
    /// The body exceeds the limit; the bytes read so far.
    TooLarge(Segments),
}

/// Reads a body until its end or until it exceeds the limit.
pub async fn collect<B>(body: &mut B, limit_bytes: usize) -> Result<Collected, hyper::Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut writer = SegmentWriter::new(announced_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let mut rest: &[u8] = &data;
        while !rest.is_empty() {
            rest = writer.write(rest);
        }
        if writer.len() > limit_bytes {
            return Ok(Collected::TooLarge(writer.finish()));
        }
    }
    Ok(Collected::Complete(writer.finish()))
}

/// Reads and drops the rest of a refused request's body.
///
/// The system resets a connection that is closed with unread bytes. A caller that is
/// still sending may then see the reset instead of the refusal.
pub async fn discard(body: &mut Incoming) {
    let reading = async {
        let mut remaining_bytes = MAX_DISCARD_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let read_bytes = frame.data_ref().map_or(0, Bytes::len);
            match remaining_bytes.checked_sub(read_bytes) {
                Some(remaining) => remaining_bytes = remaining,
                None => return,
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

/// Forwards `head` and `rest` until the end, the time limit or a closed receiver; then calls
/// `done` with `guard` and whether the body is complete.
pub fn stream_body<B, G>(
    head: Segments,
    mut rest: B,
    limit: Duration,
    guard: G,
    done: fn(G, bool),
) -> ResponseBody
where
    B: Body<Data = Bytes, Error = hyper::Error> + Send + Unpin + 'static,
    G: Send + 'static,
{
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    tokio::spawn(async move {
        let forwarding = tokio::time::timeout(limit, forward(head, &mut rest, &sender));
        let is_complete = forwarding.await.unwrap_or(false);
        // The receiver may not read for long; unread bytes of the rest would hold up the others of
        // its connection.
        drop(rest);
        done(guard, is_complete);
        if !is_complete {
            // Without this error the closed channel would look like the regular end of
            // the body, and a truncated response would look complete.
            let _ = sender.send(Err(TruncatedBody)).await;
        }
    });
    ResponseBody::Streamed(receiver)
}

async fn forward<B>(
    mut head: Segments,
    rest: &mut B,
    sender: &mpsc::Sender<Result<Bytes, TruncatedBody>>,
) -> bool
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    while let Some(segment) = head.pop_front() {
        if sender.send(Ok(segment)).await.is_err() {
            return false;
        }
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
