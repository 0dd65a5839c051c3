//! Lifetimes of leases and token batches.

/// Lifetime of a pool's lease. When a pool is lost, its owners' shares stay
/// unused for this long.
pub const LEASE_TTL_MS: u32 = 2000;

/// Age at which a pool renews a lease.
pub const LEASE_RENEW_MS: u32 = 500;

/// Minimum time between two queries of a pool to the same owner.
pub const LEASE_RETRY_MS: u32 = 100;

/// Time that a pool waits for its owners' first responses.
///
/// A borrower waits this long only if an owner does not respond. With 8 ms,
/// responses of busy owners came too late and their part of a burst was
/// refused.
pub const FIRST_LEASE_WAIT_MS: u32 = 30;

/// Lifetime of lent tokens. A pool lends only on leases that last longer.
pub const BATCH_TTL_MS: u32 = 1000;

/// Remaining lifetime below which unspent tokens are returned.
pub const BATCH_RETURN_MS: u32 = 300;

/// Margin of the lender for clocks that run at different speeds.
pub const CLOCK_MARGIN_MS: u32 = 100;

/// Time without requests after which a pool lets its leases expire.
pub const POOL_IDLE_MS: u32 = 5000;

/// Period of demand for which a borrower requests tokens ahead.
pub const EXTRA_DEMAND_MS: u32 = 400;

/// Minimum wait before a borrower retries an empty pool.
pub const MIN_EMPTY_WAIT_MS: u32 = 5;

/// Maximum wait before a borrower retries an empty pool.
pub const MAX_EMPTY_WAIT_MS: u32 = 50;

/// Converts milliseconds to microseconds.
#[must_use]
pub const fn ms_to_us(duration_ms: u32) -> u64 {
    duration_ms as u64 * 1000
}
