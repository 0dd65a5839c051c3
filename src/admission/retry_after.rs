//! Retry time sent to refused callers.

/// Bounds of the retry time before the spread.
const RETRY_AFTER_BOUNDS_MS: (u32, u32) = (50, 10_000);
/// Steps over which the retry time is spread, up to twice its base.
const SPREAD_STEP_COUNT: u32 = 64;

/// Milliseconds until the backlog is served, spread by `spread_step` so that callers do not all
/// retry at once.
pub fn retry_after_ms(backlog_ms: f64, spread_step: u32) -> u32 {
    let (min_ms, max_ms) = RETRY_AFTER_BOUNDS_MS;
    let base_ms = (backlog_ms as u32).clamp(min_ms, max_ms);
    let spread_ms = base_ms * (spread_step % SPREAD_STEP_COUNT) / SPREAD_STEP_COUNT;
    base_ms + spread_ms
}
