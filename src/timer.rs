//! Timer service: parts subscribe to ticks instead of reading clocks.

use {
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

/// Period of the systems that run over the tables.
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
///
/// Subscriptions of the same period share one clock, and a part is woken only
/// for its own ticks: an idle node spends most of its time on being woken.
#[derive(Debug, Clone)]
pub struct Timer {
    started: Instant,
    shutdown: CancellationToken,
    clocks: Arc<Mutex<HashMap<u64, watch::Receiver<Tick>>>>,
}

impl Timer {
    /// Starts the timer; it stops with `shutdown`.
    #[must_use]
    pub fn new(shutdown: CancellationToken) -> Self {
        Self {
            started: Instant::now(),
            shutdown,
            clocks: Arc::default(),
        }
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

    /// Subscribes to ticks that are `period_ms` apart.
    #[must_use]
    pub fn subscribe(&self, period_ms: u64) -> Subscription {
        let mut clocks = self.clocks.lock().expect("lock is not poisoned");
        let clock = clocks
            .entry(period_ms)
            .or_insert_with(|| self.start_clock(period_ms));
        Subscription {
            ticks: clock.clone(),
        }
    }

    fn start_clock(&self, period_ms: u64) -> watch::Receiver<Tick> {
        let (sender, receiver) = watch::channel(Tick { now_us: 0 });
        let (started, shutdown) = (self.started, self.shutdown.clone());
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(Duration::from_millis(period_ms));
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    () = shutdown.cancelled() => break,
                    _ = interval.tick() => {}
                }
                sender.send_replace(Tick {
                    now_us: elapsed_us(started),
                });
            }
        });
        receiver
    }
}

/// A part's own sequence of ticks.
#[derive(Debug)]
pub struct Subscription {
    ticks: watch::Receiver<Tick>,
}

impl Subscription {
    /// Waits for the next tick; `None` once the timer has stopped.
    ///
    /// A part that was busy gets one tick, not all that it missed.
    pub async fn next(&mut self) -> Option<Tick> {
        self.ticks.changed().await.ok()?;
        Some(*self.ticks.borrow_and_update())
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
