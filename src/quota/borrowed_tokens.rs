//! Tokens that a node has borrowed for one workspace.

use {
    super::{
        BorrowRequest, BorrowResponse, Process,
        limits::{BATCH_RETURN_MS, BATCH_TTL_MS, EXTRA_DEMAND_MS, ms_to_us},
    },
    crate::model::WorkspaceKey,
    std::collections::VecDeque,
};

/// Length of the window in which demand is counted.
const DEMAND_WINDOW_US: u64 = 1_000_000;

/// Maximum number of doublings of the back-off from an empty pool.
const MAX_DOUBLINGS: u32 = 4;

/// Longest back-off from an empty pool.
const MAX_BACK_OFF_MS: u32 = 200;

#[derives::value]
struct TokenBatch {
    /// Pool that lent it.
    pool_id: u64,
    token_count: u32,
    ends_us: u64,
}

/// Pool that this node borrowed from earlier.
///
/// It must be remembered: the pool could still respond to an old request, and
/// this node would accept a batch that it has already reported to that pool as
/// spent.
#[derives::key]
struct EarlierPool {
    pool_id: u64,
    last_batch_number: u64,
    forget_us: u64,
}

/// Borrowed tokens of one workspace. Pure state: performs no I/O and reads no
/// clock.
#[derive(Debug)]
pub struct BorrowedTokens {
    workspace: WorkspaceKey,
    borrower: Process,
    batches: VecDeque<TokenBatch>,
    pool_id: u64,
    last_batch_number: u64,
    /// Latest batch numbers of earlier pools.
    earlier_pools: Vec<EarlierPool>,
    returned_count: u32,
    empty_until_us: u64,
    /// Consecutive requests that the pool could not serve in full.
    shortage_count: u32,
    window_start_us: u64,
    window_count: u32,
    last_window_count: u32,
}

impl BorrowedTokens {
    /// Creates the state of a borrower process without tokens.
    #[must_use]
    pub const fn new(workspace: WorkspaceKey, borrower: Process) -> Self {
        Self {
            workspace,
            borrower,
            batches: VecDeque::new(),
            pool_id: 0,
            last_batch_number: 0,
            earlier_pools: Vec::new(),
            returned_count: 0,
            empty_until_us: 0,
            shortage_count: 0,
            window_start_us: 0,
            window_count: 0,
            last_window_count: 0,
        }
    }

    /// Counts a request as demand, whether or not it gets a token.
    pub const fn record_demand(&mut self, now_us: u64) {
        if now_us >= self.window_start_us + DEMAND_WINDOW_US {
            let is_next = now_us < self.window_start_us + 2 * DEMAND_WINDOW_US;
            self.last_window_count = if is_next { self.window_count } else { 0 };
            self.window_start_us = now_us;
            self.window_count = 0;
        }
        self.window_count = self.window_count.saturating_add(1);
    }

    /// Spends a token, if one is left that has not expired.
    pub fn take(&mut self, now_us: u64) -> bool {
        self.expire(now_us);
        let Some(batch) = self.batches.front_mut() else {
            return false;
        };
        batch.token_count -= 1;
        if batch.token_count == 0 {
            self.batches.pop_front();
        }
        true
    }

    /// Time until which the pool is known to be empty.
    #[must_use]
    pub const fn empty_until_us(&self) -> u64 {
        self.empty_until_us
    }

    /// Number of tokens left.
    #[must_use]
    pub fn token_count(&self) -> u32 {
        self.batches.iter().map(|batch| batch.token_count).sum()
    }

    /// Builds the borrow request for `need_count` waiting requests. Tokens set
    /// aside for return go out with it.
    pub fn build_request(&mut self, need_count: u32, now_us: u64) -> BorrowRequest {
        self.expire(now_us);
        let returned_count = std::mem::take(&mut self.returned_count);
        let held = self
            .batches
            .iter()
            .filter(|batch| self.is_from_current_pool(batch));
        let held_count = held.map(|batch| batch.token_count).sum();
        let demand_count = u64::from(self.window_count.max(self.last_window_count));
        let ahead_count = demand_count * ms_to_us(EXTRA_DEMAND_MS) / DEMAND_WINDOW_US;
        let ahead_count = u32::try_from(ahead_count).unwrap_or(u32::MAX);
        let extra_count = if need_count == 0 { 0 } else { ahead_count };
        BorrowRequest {
            workspace: self.workspace,
            borrower: self.borrower.clone(),
            pool_id: self.pool_id,
            last_batch_number: self.last_batch_number,
            held_count,
            // Sent only once: tokens returned twice would be spent twice.
            returned_count,
            need_count,
            extra_count,
        }
    }

    /// Applies the response to the request that was sent at `sent_us`.
    pub fn apply_response(&mut self, sent_us: u64, response: BorrowResponse, now_us: u64) {
        if response.pool_id != self.pool_id {
            self.change_pool(response.pool_id, now_us);
        }
        self.back_off(response.empty_for_ms, now_us);
        // A late or duplicate response: this node has already reported the
        // batch as spent, and the pool may have lent its tokens to others.
        if response.granted_count == 0 || response.batch_number <= self.last_batch_number {
            return;
        }
        self.last_batch_number = response.batch_number;
        let ends_us = sent_us + ms_to_us(response.ttl_ms.min(BATCH_TTL_MS));
        self.batches.push_back(TokenBatch {
            pool_id: response.pool_id,
            token_count: response.granted_count,
            ends_us,
        });
        self.expire(now_us);
    }

    /// Sets tokens aside that are unlikely to be spent before they expire.
    /// Returns whether there are any to return.
    pub fn collect_returns(&mut self, now_us: u64) -> bool {
        self.expire(now_us + ms_to_us(BATCH_RETURN_MS));
        self.returned_count > 0
    }

    /// Backs off from an empty pool. A workspace far above its rate would
    /// otherwise keep requesting tokens that go to others; the longer it lasts,
    /// the rarer the requests.
    fn back_off(&mut self, empty_for_ms: u32, now_us: u64) {
        if empty_for_ms == 0 {
            self.shortage_count = 0;
            return;
        }
        let wait_ms = empty_for_ms << self.shortage_count.min(MAX_DOUBLINGS);
        self.empty_until_us = now_us + ms_to_us(wait_ms.min(MAX_BACK_OFF_MS));
        self.shortage_count += 1;
    }

    fn change_pool(&mut self, pool_id: u64, now_us: u64) {
        self.earlier_pools.retain(|pool| pool.forget_us > now_us);
        self.earlier_pools.push(EarlierPool {
            pool_id: self.pool_id,
            last_batch_number: self.last_batch_number,
            // Batches lent by earlier calls have expired by then.
            forget_us: now_us + 2 * ms_to_us(BATCH_TTL_MS),
        });
        let mut earlier = self.earlier_pools.iter().rev();
        let remembered = earlier.find(|pool| pool.pool_id == pool_id);
        self.last_batch_number = remembered.map_or(0, |pool| pool.last_batch_number);
        self.pool_id = pool_id;
        self.returned_count = 0;
    }

    fn expire(&mut self, now_us: u64) {
        let pool_id = self.pool_id;
        let mut returned_count = 0;
        self.batches.retain(|batch| {
            let is_alive = batch.ends_us > now_us;
            if !is_alive && batch.pool_id == pool_id {
                returned_count += batch.token_count;
            }
            is_alive
        });
        self.returned_count += returned_count;
    }

    const fn is_from_current_pool(&self, batch: &TokenBatch) -> bool {
        batch.pool_id == self.pool_id
    }
}
