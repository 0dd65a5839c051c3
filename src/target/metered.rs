//! Bounds what is read from a target without a part of an answer in it.
//!
//! The HTTP library skips some bytes, such as interim responses and zeros before a chunk size,
//! in a loop for as long as there are more. A target that sends them without end would occupy
//! the thread of the node.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        io::{Error, ErrorKind, Result},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Most bytes read without progress; larger than any head that is accepted.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 512 << 10;
/// Bytes read in a row before other tasks get their turn.
const TURN_BYTES: usize = 64 << 10;

/// Counts the bytes read since a connection last made progress. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// Records that a request was sent or that a part of its answer arrived.
    pub fn record(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, byte_count: usize) -> Result<()> {
        let earlier_count = self.0.fetch_add(byte_count, Ordering::Relaxed);
        match earlier_count + byte_count > MAX_BYTES_WITHOUT_PROGRESS {
            true => Err(Error::new(
                ErrorKind::InvalidData,
                "the target sends bytes that are no answer",
            )),
            false => Ok(()),
        }
    }
}

/// A connection that fails if it makes no progress, and that yields to other tasks.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    progress: Progress,
    turn_bytes_left: usize,
}

impl MeteredStream {
    /// Wraps a connection to a target.
    #[must_use]
    pub const fn new(stream: TcpStream, progress: Progress) -> Self {
        Self {
            stream,
            progress,
            turn_bytes_left: TURN_BYTES,
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.turn_bytes_left == 0 {
            self.turn_bytes_left = TURN_BYTES;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let limit = buffer.remaining().min(self.turn_bytes_left);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
        if read.is_pending() {
            self.turn_bytes_left = TURN_BYTES;
        }
        ready!(read)?;
        let byte_count = part.filled().len();
        self.turn_bytes_left -= byte_count;
        buffer.advance(byte_count);
        Poll::Ready(self.progress.add(byte_count))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}

/// Body of a target's answer; each part of it is progress.
#[derive(Debug)]
pub struct MeteredBody {
    body: Incoming,
    progress: Progress,
}

impl MeteredBody {
    /// Wraps the body of an answer that begins to arrive.
    #[must_use]
    pub fn new(body: Incoming, progress: Progress) -> Self {
        progress.record();
        Self { body, progress }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(_))) = &frame {
            self.progress.record();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
