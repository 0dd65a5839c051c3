//! Timer service: parts subscribe to ticks instead of reading clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Length of a tick.
pub const TICK_MS: u64 = 10;

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

/// Gives out ticks and the time.
#[derive(Debug, Clone)]
pub struct Timer {
    started: Instant,
    ticks: watch::Receiver<Tick>,
}

impl Timer {
    /// Starts the timer; it stops with `shutdown`.
    #[must_use]
    pub fn new(shutdown: CancellationToken) -> Self {
        let started = Instant::now();
        let (sender, ticks) = watch::channel(Tick { now_us: 0 });
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    () = shutdown.cancelled() => break,
                    _ = interval.tick() => {}
                }
                if sender
                    .send(Tick {
                        now_us: elapsed_us(started),
                    })
                    .is_err()
                {
                    break;
                }
            }
        });
        Self { started, ticks }
    }

    /// Time now, more precise than the last tick.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        elapsed_us(self.started)
    }

    /// Time now in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_us() / 1000
    }

    /// Subscribes to ticks that are at least `period_ms` apart.
    #[must_use]
    pub fn subscribe(&self, period_ms: u64) -> Subscription {
        Subscription {
            ticks: self.ticks.clone(),
            period_us: period_ms * 1000,
            last_us: 0,
        }
    }
}

/// A part's own sequence of ticks.
#[derive(Debug)]
pub struct Subscription {
    ticks: watch::Receiver<Tick>,
    period_us: u64,
    last_us: u64,
}

impl Subscription {
    /// Waits for the next tick; `None` once the timer has stopped.
    ///
    /// A part that was busy gets one tick, not all that it missed.
    pub async fn next(&mut self) -> Option<Tick> {
        loop {
            self.ticks.changed().await.ok()?;
            let tick = *self.ticks.borrow_and_update();
            if tick.now_us >= self.last_us + self.period_us {
                self.last_us = tick.now_us;
                return Some(tick);
            }
        }
    }
}

fn elapsed_us(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Only for stamps that are compared across processes with a margin, never
/// for measuring how long something takes.
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
