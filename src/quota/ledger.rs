//! Tokens that a pool has lent to one borrower process.

/// Batch that the borrower has not reported on yet.
#[derives::key]
struct OpenBatch {
    batch_number: u64,
    token_count: u32,
    expires_us: u64,
}

/// Batches lent to one borrower process.
///
/// A report "of the batches up to number N, h tokens are unspent" remains a
/// valid upper bound, since spending only lowers the count. Delayed and
/// duplicate reports are therefore harmless.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    settled_batch_number: u64,
    settled_count: u32,
    settled_expires_us: u64,
    open_batches: Vec<OpenBatch>,
    last_request_us: u64,
}

/// Time after its last request for which a borrower counts as active.
const ACTIVE_US: u64 = 1_000_000;

impl Ledger {
    /// Drops expired batches.
    pub fn expire(&mut self, now_us: u64) {
        self.open_batches.retain(|batch| batch.expires_us > now_us);
        if self.settled_expires_us <= now_us {
            self.settled_count = 0;
        }
    }

    /// Tokens that the borrower may still spend.
    pub fn outstanding_count(&self) -> u32 {
        let open_batches = self.open_batches.iter().map(|batch| batch.token_count);
        self.settled_count + open_batches.sum::<u32>()
    }

    /// Whether the ledger holds nothing and its borrower is no longer active.
    pub fn is_finished(&self, now_us: u64) -> bool {
        let is_settled = self.settled_count == 0 && self.open_batches.is_empty();
        is_settled && now_us >= self.last_request_us + ACTIVE_US
    }

    /// Records a request of the borrower.
    pub const fn record_request(&mut self, now_us: u64) {
        self.last_request_us = now_us;
    }

    /// Records a new batch.
    pub fn record_batch(&mut self, batch_number: u64, token_count: u32, expires_us: u64) {
        self.open_batches.push(OpenBatch {
            batch_number,
            token_count,
            expires_us,
        });
    }

    /// Applies the borrower's report that `held_count` tokens of the batches up to
    /// `last_batch_number` are unspent; returns the number of the others.
    pub fn settle(&mut self, last_batch_number: u64, held_count: u32) -> u32 {
        if last_batch_number < self.settled_batch_number {
            return 0;
        }
        for batch in self
            .open_batches
            .extract_if(.., |batch| batch.batch_number <= last_batch_number)
        {
            self.settled_count += batch.token_count;
            self.settled_expires_us = self.settled_expires_us.max(batch.expires_us);
        }
        self.settled_batch_number = last_batch_number;
        let freed_count = self.settled_count.saturating_sub(held_count);
        self.settled_count -= freed_count;
        freed_count
    }
}
