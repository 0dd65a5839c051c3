//! Bounds the bytes that all connections of a listener read ahead together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that each connection may read ahead without room.
const FREE_BYTES: usize = 4 << 10;

/// Room for bytes that are read ahead. Clones share it.
#[derive(Debug, Clone)]
pub struct ReadAheadRoom {
    limit_bytes: usize,
    taken_bytes: Arc<AtomicUsize>,
}

impl Default for ReadAheadRoom {
    /// Room for any number of bytes.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl ReadAheadRoom {
    /// Room for so many bytes beside the first ones of each connection.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            taken_bytes: Arc::default(),
        }
    }

    /// The part of one connection.
    #[must_use]
    pub fn part(&self) -> ReadAheadPart {
        ReadAheadPart {
            room: self.clone(),
            byte_count: 0,
        }
    }

    fn try_take(&self, byte_count: usize) -> bool {
        let update = |taken_bytes: usize| {
            let total_bytes = taken_bytes.saturating_add(byte_count);
            (total_bytes <= self.limit_bytes).then_some(total_bytes)
        };
        let taken = &self.taken_bytes;
        taken
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .is_ok()
    }
}

/// The room that one connection has taken.
#[derive(Debug, Default)]
pub struct ReadAheadPart {
    room: ReadAheadRoom,
    byte_count: usize,
}

impl ReadAheadPart {
    /// Takes room for this many bytes in total; returns whether there is enough. A smaller number
    /// gives room back.
    pub fn try_resize(&mut self, byte_count: usize) -> bool {
        let byte_count = byte_count.saturating_sub(FREE_BYTES);
        if byte_count <= self.byte_count {
            let returned_bytes = self.byte_count - byte_count;
            let taken = &self.room.taken_bytes;
            taken.fetch_sub(returned_bytes, Ordering::Relaxed);
        } else if !self.room.try_take(byte_count - self.byte_count) {
            return false;
        }
        self.byte_count = byte_count;
        true
    }
}

impl Drop for ReadAheadPart {
    fn drop(&mut self) {
        self.try_resize(0);
    }
}
