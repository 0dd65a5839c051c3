//! Counters of control messages by kind.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of kinds, for tables indexed by kind.
const CALL_KIND_COUNT: usize = 5;

/// Bytes of a word in Cap'n Proto messages.
const WORD_BYTES: u64 = 8;

/// Kind of a call between nodes.
#[derives::key]
pub enum CallKind {
    /// A document from a neighbour.
    Document = 0,
    /// A bank asks an owner.
    Lease = 1,
    /// A node asks a bank.
    Borrow = 2,
    /// Keys of a slice that moves.
    HandOver = 3,
    /// A bank asks its predecessor.
    TakeOver = 4,
}

impl CallKind {
    /// All kinds in the order of their index.
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

/// Calls of a kind that this node has begun.
#[derives::key]
pub struct CallCount {
    /// Calls.
    pub call_count: u64,
    /// Bytes of requests and answers, without framing.
    pub byte_count: u64,
}

/// Calls that this node has begun, by kind.
#[derive(Debug, Default)]
pub struct RpcCounters {
    calls: [AtomicU64; CALL_KIND_COUNT],
    bytes: [AtomicU64; CALL_KIND_COUNT],
}

impl RpcCounters {
    /// Counts so far.
    #[must_use]
    pub fn of(&self, kind: CallKind) -> CallCount {
        CallCount {
            call_count: self.calls[kind as usize].load(Ordering::Relaxed),
            byte_count: self.bytes[kind as usize].load(Ordering::Relaxed),
        }
    }

    pub(super) fn call(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn words(&self, kind: CallKind, word_count: u64) {
        self.bytes[kind as usize].fetch_add(word_count * WORD_BYTES, Ordering::Relaxed);
    }
}
