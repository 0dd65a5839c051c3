//! Divides the memory of the machine among what clients can make the process hold.

use super::ListenerMemory;

/// Flow control windows of a stream and of a connection of HTTP/2.
const CALLER_WINDOW_BYTES: (u32, u32) = (64 << 10, 256 << 10);
/// Share of the memory that the process itself may use, and its bounds in bytes.
const OWN_DIVISOR: usize = 6;
const OWN_BYTES: (usize, usize) = (12 << 20, 48 << 20);
/// Largest memory of a connection without what is counted apart: its task, the library's
/// buffers and the first bytes that are read ahead.
const CONNECTION_BYTES: usize = 48 << 10;
/// Parts of the memory that is left, of 32; connections get what remains.
const PART_COUNT: usize = 32;
const BODY_PARTS: usize = 16;
const SMALL_BODY_PARTS: usize = 1;
const REQUEST_PARTS: usize = 2;
const RESPONSE_PARTS: usize = 4;
const READ_AHEAD_PARTS: usize = 1;

/// What clients can make the process hold, in bytes. The parts together with the process itself
/// stay within the memory of the machine.
#[derives::value]
#[derive(Copy)]
pub struct MemoryBudget {
    /// Connections of callers.
    pub connection_count: usize,
    /// Bodies of requests.
    pub body_bytes: usize,
    /// Further room that only small bodies use.
    pub small_body_bytes: usize,
    /// Heads of requests in progress, and their state.
    pub request_bytes: usize,
    /// Responses that callers have not read yet.
    pub response_bytes: usize,
    /// Bytes that are read ahead of the request in progress.
    pub read_ahead_bytes: usize,
}

impl MemoryBudget {
    /// Divides the memory of a machine on which bodies may take at most this size in total.
    #[must_use]
    pub fn new(memory_bytes: usize, max_body_bytes: usize) -> Self {
        let own_bytes = (memory_bytes / OWN_DIVISOR).clamp(OWN_BYTES.0, OWN_BYTES.1);
        let left_bytes = memory_bytes.saturating_sub(own_bytes);
        let part_bytes = left_bytes / PART_COUNT;
        let body_bytes = (part_bytes * BODY_PARTS).min(max_body_bytes);
        let counted_parts = SMALL_BODY_PARTS + REQUEST_PARTS + RESPONSE_PARTS + READ_AHEAD_PARTS;
        let connection_bytes = left_bytes - body_bytes - part_bytes * counted_parts;
        Self {
            connection_count: (connection_bytes / CONNECTION_BYTES).max(1),
            body_bytes,
            small_body_bytes: part_bytes * SMALL_BODY_PARTS,
            request_bytes: part_bytes * REQUEST_PARTS,
            response_bytes: part_bytes * RESPONSE_PARTS,
            read_ahead_bytes: part_bytes * READ_AHEAD_PARTS,
        }
    }

    /// Lowers the number of connections to this one.
    #[must_use]
    pub fn with_max_connections(mut self, connection_count: usize) -> Self {
        self.connection_count = self.connection_count.min(connection_count);
        self
    }

    /// What the connections of a listener may hold together.
    #[must_use]
    pub const fn listener_memory(&self) -> ListenerMemory {
        ListenerMemory {
            request_bytes: self.request_bytes,
            response_bytes: self.response_bytes,
            read_ahead_bytes: self.read_ahead_bytes,
            window_bytes: CALLER_WINDOW_BYTES,
        }
    }
}
