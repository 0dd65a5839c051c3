//! Timer service: tasks subscribe to ticks instead of reading clocks.

use {
    nix::time::{ClockId, clock_gettime},
    std::{
        pin::pin,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::time::{Interval, MissedTickBehavior, error::Elapsed, timeout, timeout_at},
    tokio_util::sync::CancellationToken,
};

/// Period of the tasks that process the tables while requests run or wait.
pub const TICK_MS: u64 = 10;

/// Period of these tasks while the node is idle.
pub const IDLE_TICK_MS: u64 = 100;

/// Delay from which a time limit counts as noticed late, several times the delay of a
/// thread on a shared core.
const LATE_AFTER: Duration = Duration::from_millis(20);
/// Time for responses that arrived before a time limit that was noticed late.
const LATE_GRACE: Duration = Duration::from_millis(50);

/// Monotonic time of this process, in microseconds since its timer started.
#[derives::key]
pub struct Tick {
    /// Time of the tick.
    pub now_us: u64,
}

impl Tick {
    /// Time of the tick in milliseconds.
    #[must_use]
    pub const fn now_ms(self) -> u64 {
        self.now_us / 1000
    }
}

/// Provides ticks and the time.
///
/// Each subscription waits on the runtime's timers. All count from the start of
/// this timer, so that tasks with different periods wake up together: an
/// idle node spends most of its CPU time on wake-ups.
#[derive(Debug, Clone)]
pub struct Timer {
    started: Instant,
    started_unix_ms: u64,
    started_since_boot: Duration,
    shutdown: CancellationToken,
}

impl Timer {
    /// Starts the timer; it stops with `shutdown`.
    #[must_use]
    pub fn new(shutdown: CancellationToken) -> Self {
        Self {
            started: Instant::now(),
            started_unix_ms: unix_ms(),
            started_since_boot: since_boot(),
            shutdown,
        }
    }

    /// Current time, more precise than the last tick.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        let elapsed = since_boot().saturating_sub(self.started_since_boot);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    /// Current time in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_us() / 1000
    }

    /// Time since the Unix epoch in milliseconds, based on the wall clock at the
    /// start of this process. A step of the wall clock does not change it.
    #[must_use]
    pub fn steady_unix_ms(&self) -> u64 {
        self.started_unix_ms + self.now_ms()
    }

    /// Subscribes to ticks that are `period_ms` apart; the first one is
    /// immediate.
    #[must_use]
    pub fn subscribe(&self, period_ms: u64) -> Subscription {
        let period = Duration::from_millis(period_ms);
        let started = tokio::time::Instant::from_std(self.started);
        let mut interval = tokio::time::interval_at(started, period);
        // A task that was busy gets one tick instead of all that it missed, and
        // its later ticks stay aligned with those of the other tasks.
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        Subscription {
            timer: self.clone(),
            interval,
        }
    }
}

/// Sequence of ticks of one task.
#[derive(Debug)]
pub struct Subscription {
    timer: Timer,
    interval: Interval,
}

impl Subscription {
    /// Waits for the next tick; `None` once the timer has stopped.
    pub async fn next(&mut self) -> Option<Tick> {
        tokio::select! {
            biased;
            () = self.timer.shutdown.cancelled() => None,
            _ = self.interval.tick() => Some(Tick { now_us: self.timer.now_us() }),
        }
    }
}

/// Time since the instance booted, including suspended time.
///
/// `CLOCK_MONOTONIC` stops while an instance is suspended. A lease measured with
/// it would last too long: after a resume, the node would still accept a key that
/// was revoked meanwhile.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Only for timestamps that are compared across processes with a margin, never
/// for measuring durations.
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Awaits a response for at most `limit`.
///
/// A process that was suspended finds the elapsed limit and the response that arrived
/// before it at the same time. It reads the response before it gives up.
pub async fn timeout_unless_suspended<F: Future>(
    limit: Duration,
    response: F,
) -> Result<F::Output, Elapsed> {
    let deadline = tokio::time::Instant::now() + limit;
    let mut response = pin!(response);
    let elapsed = match timeout_at(deadline, response.as_mut()).await {
        Ok(response) => return Ok(response),
        Err(elapsed) => elapsed,
    };
    if deadline.elapsed() < LATE_AFTER {
        return Err(elapsed);
    }
    timeout(LATE_GRACE, response).await
}
