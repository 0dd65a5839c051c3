//! Lifetimes of leases and loans.

/// Lifetime of a bank's lease. A bank that is gone keeps its owners' shares
/// idle for this long.
pub const LEASE_TTL_MS: u32 = 2000;

/// Age at which a bank renews a lease.
pub const LEASE_RENEW_MS: u32 = 500;

/// Least time between two asks of a bank to the same owner.
pub const LEASE_RETRY_MS: u32 = 100;

/// Time that a bank which begins to ask its owners gives them to answer.
///
/// Only an owner that does not answer makes a borrower wait so long. With 8 ms
/// a busy owner's answer came later, and its part of a burst was refused.
pub const FIRST_LEASE_MS: u32 = 30;

/// Lifetime of lent tokens. A bank lends only on leases that last longer.
pub const LOAN_TTL_MS: u32 = 1000;

/// Unspent tokens go back when less than this is left.
pub const LOAN_RETURN_MS: u32 = 300;

/// Allowance of a giver for clocks that run at different speeds.
pub const QUOTA_MARGIN_MS: u32 = 100;

/// A bank that nobody asked for so long lets its leases lapse.
pub const BANK_IDLE_MS: u32 = 5000;

/// Demand ahead of which a borrower asks for tokens.
pub const EXTRA_MS: u32 = 400;

/// A borrower whose bank is empty asks again after this at the earliest.
pub const MIN_EMPTY_MS: u32 = 5;

/// And after this at the latest.
pub const MAX_EMPTY_MS: u32 = 50;

/// Microseconds of a number of milliseconds.
#[must_use]
pub const fn us(time_ms: u32) -> u64 {
    time_ms as u64 * 1000
}
