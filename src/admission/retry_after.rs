//! When refused callers are told to come back.

/// Bounds of the time after which refused callers are told to come back.
const RETRY_AFTER_MS: (u32, u32) = (50, 10_000);
/// Steps over which that time is spread, up to twice its base.
const RETRY_SPREAD_COUNT: u32 = 64;

/// Milliseconds until the backlog is worked off, spread by steps so that
/// callers do not come back all at once.
pub fn retry_after_ms(backlog_ms: f64, step: u32) -> u32 {
    let (least_ms, most_ms) = RETRY_AFTER_MS;
    let base_ms = (backlog_ms as u32).clamp(least_ms, most_ms);
    let spread_ms = base_ms * (step % RETRY_SPREAD_COUNT) / RETRY_SPREAD_COUNT;
    base_ms + spread_ms
}
