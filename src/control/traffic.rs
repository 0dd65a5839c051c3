//! Bytes and messages of one kind of control traffic.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of a kind of control traffic since the start.
#[derive(Debug, Default)]
pub struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
    /// Counts a message.
    pub fn add_message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts bytes, sent or received.
    pub fn add_bytes(&self, byte_count: usize) {
        let byte_count = u64::try_from(byte_count).unwrap_or(u64::MAX);
        self.bytes.fetch_add(byte_count, Ordering::Relaxed);
    }

    /// Messages so far.
    #[must_use]
    pub fn message_count(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    /// Bytes so far.
    #[must_use]
    pub fn byte_count(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
