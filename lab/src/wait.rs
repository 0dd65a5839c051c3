//! Waiting for conditions.

use {
    crate::LabError,
    std::{future::Future, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Limit that only a failure reaches, also on a busy machine.
pub const GENEROUS_LIMIT: Duration = Duration::from_secs(60);

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Polls until the condition gives a value.
pub async fn wait_until<T, F>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> F,
) -> Result<T, LabError>
where
    F: Future<Output = Option<T>>,
{
    let started_at = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if started_at.elapsed() > limit {
            return Err(LabError::Timeout {
                what: what.to_owned(),
                limit,
            });
        }
        sleep(POLL_PERIOD).await;
    }
}
