//! Reads a caller's connection ahead of the HTTP library.
//!
//! The library reads nothing while a request is being answered and another one
//! waits behind it in its buffer. It would not notice that the caller left,
//! and targets would work for nobody; and callers whose next request stays
//! unread for a second give it up.

use {
    bytes::{Buf, BytesMut},
    socket2::SockRef,
    std::{
        io,
        mem::MaybeUninit,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard},
        task::{Context, Poll, Waker},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::Notify,
    },
};

/// Bytes that are read ahead at most. A caller that sends more waits until the
/// requests before are answered.
const AHEAD_BYTES: usize = 64 << 10;
const READ_BYTES: usize = 4 << 10;

#[derive(Debug, Default)]
struct State {
    ahead: BytesMut,
    is_ended: bool,
    error: Option<io::ErrorKind>,
    reader: Option<Waker>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    has_room: Notify,
}

impl Shared {
    fn locked(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

/// The connection as the HTTP library sees it.
#[derive(Debug)]
pub struct Prefetched {
    shared: Arc<Shared>,
    writer: OwnedWriteHalf,
}

/// The side that reads ahead.
#[derive(Debug)]
pub struct Prefetch {
    shared: Arc<Shared>,
    reader: Arc<OwnedReadHalf>,
}

/// Tells of bytes that the library has not read yet.
#[derive(Debug)]
pub struct Unread {
    shared: Arc<Shared>,
    reader: Arc<OwnedReadHalf>,
}

impl Unread {
    /// Whether the caller sent bytes that the library has not read.
    ///
    /// Asks the system: the runtime learns of them later.
    #[must_use]
    pub fn has_bytes(&self) -> bool {
        if !self.shared.locked().ahead.is_empty() {
            return true;
        }
        let stream: &TcpStream = (*self.reader).as_ref();
        let mut byte = [MaybeUninit::uninit()];
        // Without bytes the socket, which does not block, tells an error.
        SockRef::from(stream)
            .peek(&mut byte)
            .is_ok_and(|length| length > 0)
    }
}

/// Splits a connection into the part for the library and the part that reads
/// ahead for it.
#[must_use]
pub fn prefetch(stream: TcpStream) -> (Prefetched, Prefetch) {
    let (reader, writer) = stream.into_split();
    let shared = Arc::new(Shared::default());
    let prefetched = Prefetched {
        shared: Arc::clone(&shared),
        writer,
    };
    let reader = Arc::new(reader);
    (prefetched, Prefetch { shared, reader })
}

impl Prefetch {
    /// Tells of bytes on this connection that the library has not read yet.
    #[must_use]
    pub fn unread(&self) -> Unread {
        Unread {
            shared: Arc::clone(&self.shared),
            reader: Arc::clone(&self.reader),
        }
    }

    /// Reads until the caller has closed its side; `on_read` sees what came.
    pub async fn run(self, on_read: impl Fn(&[u8])) {
        loop {
            self.wait_for_room().await;
            let result = self.reader.readable().await;
            let result = result.and_then(|()| self.read(&on_read));
            match result {
                Ok(0) => return self.end(None),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return self.end(Some(error.kind())),
            }
        }
    }

    async fn wait_for_room(&self) {
        while self.shared.locked().ahead.len() >= AHEAD_BYTES {
            self.shared.has_room.notified().await;
        }
    }

    fn read(&self, on_read: &impl Fn(&[u8])) -> io::Result<usize> {
        let mut state = self.shared.locked();
        state.ahead.reserve(READ_BYTES);
        let before_bytes = state.ahead.len();
        let read_bytes = self.reader.try_read_buf(&mut state.ahead)?;
        on_read(&state.ahead[before_bytes..]);
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
        Ok(read_bytes)
    }

    fn end(&self, error: Option<io::ErrorKind>) {
        let mut state = self.shared.locked();
        state.is_ended = true;
        state.error = error;
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }
}

impl AsyncRead for Prefetched {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.shared.locked();
        if !state.ahead.is_empty() {
            let length = state.ahead.len().min(buffer.remaining());
            buffer.put_slice(&state.ahead[..length]);
            state.ahead.advance(length);
            if state.ahead.is_empty() {
                // Gives the memory back; most connections are idle.
                state.ahead = BytesMut::new();
            }
            self.shared.has_room.notify_one();
            return Poll::Ready(Ok(()));
        }
        if let Some(kind) = state.error {
            return Poll::Ready(Err(kind.into()));
        }
        if state.is_ended {
            return Poll::Ready(Ok(()));
        }
        state.reader = Some(context.waker().clone());
        Poll::Pending
    }
}

impl AsyncWrite for Prefetched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}
