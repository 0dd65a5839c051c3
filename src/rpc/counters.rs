//! Counters of calls to other nodes, by kind.

use std::sync::atomic::{AtomicU64, Ordering};

/// Length of tables indexed by kind.
const CALL_KIND_COUNT: usize = 5;

/// Size of a Cap'n Proto word in bytes.
const WORD_BYTES: u64 = 8;

/// Kind of call between nodes.
#[derives::key]
pub enum CallKind {
    /// Fetches a document from a peer.
    Document = 0,
    /// A pool node leases quota slices from their owner.
    Lease = 1,
    /// A node borrows tokens from a pool node.
    Borrow = 2,
    /// Hands over the idempotency keys of a slice that moves.
    HandOver = 3,
    /// A pool node takes over the token pool of its predecessor.
    TakeOver = 4,
}

impl CallKind {
    /// All kinds in order of their index.
    pub const ALL: [Self; CALL_KIND_COUNT] = [
        Self::Document,
        Self::Lease,
        Self::Borrow,
        Self::HandOver,
        Self::TakeOver,
    ];

    /// Value of the metric label.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Document => "document",
            Self::Lease => "lease",
            Self::Borrow => "borrow",
            Self::HandOver => "hand-over",
            Self::TakeOver => "take-over",
        }
    }
}

/// Calls of a kind that this node has started.
#[derives::key]
pub struct CallCount {
    /// Number of calls.
    pub call_count: u64,
    /// Bytes of requests and responses, without framing.
    pub byte_count: u64,
}

/// Counters of the calls that this node has started, by kind.
#[derive(Debug, Default)]
pub struct RpcCounters {
    calls: [AtomicU64; CALL_KIND_COUNT],
    bytes: [AtomicU64; CALL_KIND_COUNT],
}

impl RpcCounters {
    /// Counters of a kind.
    #[must_use]
    pub fn for_kind(&self, kind: CallKind) -> CallCount {
        CallCount {
            call_count: self.calls[kind as usize].load(Ordering::Relaxed),
            byte_count: self.bytes[kind as usize].load(Ordering::Relaxed),
        }
    }

    pub(super) fn record_call(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn record_words(&self, kind: CallKind, word_count: u64) {
        self.bytes[kind as usize].fetch_add(word_count * WORD_BYTES, Ordering::Relaxed);
    }
}
