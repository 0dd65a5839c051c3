//! Reads a caller's connection ahead of the HTTP library.
//!
//! While a request is served and another one waits in its buffer, the library reads
//! nothing. It would not notice that the caller disconnected, and targets would do wasted
//! work. Callers also abandon a request that stays unread for a second.

use {
    super::read_ahead::{ReadAheadPart, ReadAheadRoom},
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

/// Most bytes that are read ahead; a caller that sends more waits for its previous requests.
const MAX_AHEAD_BYTES: usize = 64 << 10;
/// Buffer space for one read.
const READ_CHUNK_BYTES: usize = 4 << 10;

#[derive(Debug)]
struct State {
    ahead: BytesMut,
    room: ReadAheadPart,
    is_closed: bool,
    error: Option<io::ErrorKind>,
    waker: Option<Waker>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    has_room: Notify,
}

impl State {
    /// Whether the connection may read on; takes room for it.
    fn has_room(&mut self) -> bool {
        let byte_count = self.ahead.len() + READ_CHUNK_BYTES;
        byte_count <= MAX_AHEAD_BYTES && self.room.try_resize(byte_count)
    }
}

impl Shared {
    fn locked(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

/// The stream that is given to the HTTP library.
#[derive(Debug)]
pub struct Prefetched {
    shared: Arc<Shared>,
    writer: OwnedWriteHalf,
}

/// Reader that reads ahead.
#[derive(Debug)]
pub struct Prefetch {
    shared: Arc<Shared>,
    reader: Arc<OwnedReadHalf>,
}

/// Checks for bytes that the library has not read yet.
#[derive(Debug, Clone)]
pub struct Unread {
    shared: Arc<Shared>,
    reader: Arc<OwnedReadHalf>,
}

impl Unread {
    /// Whether the caller sent bytes that the library has not read.
    ///
    /// Checks the socket itself, since the runtime is notified of new bytes later.
    #[must_use]
    pub fn has_bytes(&self) -> bool {
        if !self.shared.locked().ahead.is_empty() {
            return true;
        }
        let stream: &TcpStream = (*self.reader).as_ref();
        let mut byte = [MaybeUninit::uninit()];
        // The socket is non-blocking: peeking fails if there are no bytes.
        SockRef::from(stream)
            .peek(&mut byte)
            .is_ok_and(|length| length > 0)
    }
}

/// Splits a connection into the stream for the library and its reader.
#[must_use]
pub fn prefetch(stream: TcpStream, room: &ReadAheadRoom) -> (Prefetched, Prefetch) {
    let (reader, writer) = stream.into_split();
    let shared = Arc::new(Shared {
        state: Mutex::new(State {
            ahead: BytesMut::new(),
            room: room.part(),
            is_closed: false,
            error: None,
            waker: None,
        }),
        has_room: Notify::new(),
    });
    let prefetched = Prefetched {
        shared: Arc::clone(&shared),
        writer,
    };
    let reader = Arc::new(reader);
    (prefetched, Prefetch { shared, reader })
}

impl Prefetch {
    /// Returns a check for unread bytes of this connection.
    #[must_use]
    pub fn unread(&self) -> Unread {
        Unread {
            shared: Arc::clone(&self.shared),
            reader: Arc::clone(&self.reader),
        }
    }

    /// Reads until the caller closes its side or an error; `on_read` gets the bytes.
    pub async fn run(self, on_read: impl Fn(&[u8])) {
        loop {
            self.wait_for_room().await;
            let result = self.reader.readable().await;
            let result = result.and_then(|()| self.read(&on_read));
            match result {
                Ok(0) => return self.close(None),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return self.close(Some(error.kind())),
            }
        }
    }

    async fn wait_for_room(&self) {
        while !self.shared.locked().has_room() {
            self.shared.has_room.notified().await;
        }
    }

    fn read(&self, on_read: &impl Fn(&[u8])) -> io::Result<usize> {
        let mut state = self.shared.locked();
        state.ahead.reserve(READ_CHUNK_BYTES);
        let previous_bytes = state.ahead.len();
        let read_bytes = self.reader.try_read_buf(&mut state.ahead)?;
        on_read(&state.ahead[previous_bytes..]);
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
        Ok(read_bytes)
    }

    fn close(&self, error: Option<io::ErrorKind>) {
        let mut state = self.shared.locked();
        state.is_closed = true;
        state.error = error;
        if let Some(waker) = state.waker.take() {
            waker.wake();
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
                // Frees the memory: most connections are idle.
                state.ahead = BytesMut::new();
                state.room.try_resize(0);
            }
            self.shared.has_room.notify_one();
            return Poll::Ready(Ok(()));
        }
        if let Some(kind) = state.error {
            return Poll::Ready(Err(kind.into()));
        }
        if state.is_closed {
            return Poll::Ready(Ok(()));
        }
        state.waker = Some(context.waker().clone());
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
