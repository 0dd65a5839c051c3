//! Decides whether the local target crashed and which requests ran at that time.

use super::{CrashKey, RequestDigest};

/// Lost requests that are remembered; a target that loses more has that many connections.
pub const MAX_LOST_COUNT: usize = 256;
/// Time for which a lost request is remembered without a sign of a crash.
const LOSS_RETENTION_US: u64 = 10_000_000;

/// Time in which the losses of a crash are noticed, one connection after another.
const SETTLING_US: u64 = 30_000;

/// A crash of the target and requests that ran at that time.
#[derives::value]
#[derive(Eq)]
pub struct Crash {
    /// The crash.
    pub key: CrashKey,
    /// The requests.
    pub digests: Vec<RequestDigest>,
}

#[derives::key]
struct LostRequest {
    digest: RequestDigest,
    lost_us: u64,
}

#[derives::key]
struct KnownCrash {
    key: CrashKey,
    /// When the losses of the crash have been recorded.
    settled_us: u64,
}

/// Requests whose connection to the target broke, until it is known whether it crashed.
///
/// A broken connection alone proves nothing: targets also close connections while they live on.
#[derive(Debug, Default)]
pub struct CrashWatch {
    lost: Vec<LostRequest>,
    /// Crash of the current process, once it is known.
    crash: Option<KnownCrash>,
}

impl CrashWatch {
    /// Creates the watch of a target whose state is unknown.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            lost: Vec::new(),
            crash: None,
        }
    }

    /// Records that the connection broke under a request; returns whether the process is
    /// known to have crashed.
    pub fn record_loss(&mut self, digest: RequestDigest, now_us: u64) -> bool {
        self.forget_old(now_us);
        if self.lost.len() < MAX_LOST_COUNT {
            self.lost.push(LostRequest {
                digest,
                lost_us: now_us,
            });
        }
        self.crash.is_some()
    }

    /// Records a response to a request that was sent at `sent_us`: the process was alive then,
    /// so earlier losses have another cause.
    pub fn record_response(&mut self, sent_us: u64) {
        if !self.lost.is_empty() && self.crash.is_none() {
            self.lost.retain(|lost| lost.lost_us >= sent_us);
        }
    }

    /// Records that the process ended without notice. `new_key` is used if the crash has no
    /// key yet.
    pub fn record_crash(&mut self, new_key: CrashKey, now_us: u64) {
        self.crash.get_or_insert(KnownCrash {
            key: new_key,
            settled_us: now_us + SETTLING_US,
        });
    }

    /// Returns the crash once its losses are complete; later ones are returned with the next
    /// call, under the same key.
    pub fn take_crash(&mut self, now_us: u64) -> Option<Crash> {
        let crash = self.crash.filter(|crash| now_us >= crash.settled_us)?;
        self.forget_old(now_us);
        if self.lost.is_empty() {
            return None;
        }
        let mut digests: Vec<_> = self.lost.drain(..).map(|lost| lost.digest).collect();
        digests.sort_unstable();
        digests.dedup();
        Some(Crash {
            key: crash.key,
            digests,
        })
    }

    /// Records the start of a new process. Returns the crash of the previous one unless its
    /// end was planned.
    pub fn replace_process(
        &mut self,
        was_planned: bool,
        new_key: CrashKey,
        now_us: u64,
    ) -> Option<Crash> {
        let mut previous = std::mem::take(self);
        if was_planned {
            return None;
        }
        previous.record_crash(new_key, now_us);
        previous.take_crash(now_us + SETTLING_US)
    }

    fn forget_old(&mut self, now_us: u64) {
        self.lost
            .retain(|lost| now_us.saturating_sub(lost.lost_us) < LOSS_RETENTION_US);
    }
}
