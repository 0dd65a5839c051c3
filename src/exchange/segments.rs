//! Bodies in segments.
//!
//! A buffer that grows is copied when it is full, and stands beside its copy for a while; a slice
//! of a read buffer keeps all of that buffer. Segments hold what is counted and are never copied.

use {
    bytes::{Bytes, BytesMut},
    hyper::body::{Body, Frame, SizeHint},
    std::{
        collections::VecDeque,
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Size of the segments of large bodies.
const SEGMENT_BYTES: usize = 16 << 10;
/// Size of the first segment of a body of unknown length; each further one is twice as large.
const FIRST_SEGMENT_BYTES: usize = 1 << 10;
/// Memory of a segment beside its bytes.
const SEGMENT_OVERHEAD_BYTES: usize = 64;

/// A complete body. Clones share the segments.
#[derive(Debug, Clone, Default)]
pub struct Segments {
    segments: VecDeque<Bytes>,
    byte_count: usize,
}

impl Segments {
    /// A body without bytes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.byte_count
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.byte_count == 0
    }

    /// The segments in order.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.segments.iter()
    }

    /// Takes the first segment.
    pub fn pop_front(&mut self) -> Option<Bytes> {
        let segment = self.segments.pop_front()?;
        self.byte_count -= segment.len();
        Some(segment)
    }

    /// All bytes in one piece, copied if there are several segments.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.front().cloned().unwrap_or_default();
        }
        let mut bytes = BytesMut::with_capacity(self.byte_count);
        for segment in &self.segments {
            bytes.extend_from_slice(segment);
        }
        bytes.freeze()
    }

    fn push(&mut self, segment: Bytes) {
        self.byte_count += segment.len();
        self.segments.push_back(segment);
    }
}

impl From<Bytes> for Segments {
    fn from(bytes: Bytes) -> Self {
        let mut segments = Self::new();
        if !bytes.is_empty() {
            segments.push(bytes);
        }
        segments
    }
}

impl Body for Segments {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.pop_front().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.byte_count as u64)
    }
}

/// Copies a body that arrives into segments.
#[derive(Debug, Default)]
pub struct SegmentWriter {
    complete: Segments,
    last: BytesMut,
    /// Bytes that are still announced.
    announced_bytes: usize,
}

impl SegmentWriter {
    /// Creates a writer for a body of which at least so many bytes are announced.
    #[must_use]
    pub fn new(announced_bytes: usize) -> Self {
        Self {
            announced_bytes,
            ..Self::default()
        }
    }

    /// Number of bytes so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.complete.len() + self.last.len()
    }

    /// Whether there are no bytes yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory that the next segment needs; 0 while there is space in the last one.
    #[must_use]
    pub fn missing_bytes(&self) -> usize {
        match self.free_bytes() {
            0 => self.next_capacity() + SEGMENT_OVERHEAD_BYTES,
            _ => 0,
        }
    }

    /// Copies the bytes that fit into the last segment, or begins a new one if it is full; returns
    /// the rest.
    #[must_use]
    pub fn write<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        if self.free_bytes() == 0 {
            let next = BytesMut::with_capacity(self.next_capacity());
            let full = std::mem::replace(&mut self.last, next);
            if !full.is_empty() {
                self.complete.push(full.freeze());
            }
        }
        let (fitting, rest) = bytes.split_at(bytes.len().min(self.free_bytes()));
        self.last.extend_from_slice(fitting);
        self.announced_bytes = self.announced_bytes.saturating_sub(fitting.len());
        rest
    }

    /// Ends the body.
    #[must_use]
    pub fn finish(mut self) -> Segments {
        if !self.last.is_empty() {
            self.complete.push(self.last.freeze());
        }
        self.complete
    }

    fn free_bytes(&self) -> usize {
        self.last.capacity() - self.last.len()
    }

    fn next_capacity(&self) -> usize {
        let doubled = match self.last.capacity() {
            0 => FIRST_SEGMENT_BYTES,
            capacity => capacity * 2,
        };
        self.announced_bytes.max(doubled).min(SEGMENT_BYTES)
    }
}
