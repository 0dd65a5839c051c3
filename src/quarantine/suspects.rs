//! Requests that ran when targets crashed, with the verdict on each.

use {
    super::{Completion, Crash, CrashKey, CrashReport, RequestDigest},
    std::collections::{BTreeMap, HashMap},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 3;
/// Crashes from which a request runs alone among suspects at a target.
const ISOLATION_COUNT: usize = CRASH_LIMIT - 1;
/// Duration of the first quarantine, in milliseconds; it doubles with each further crash.
pub const QUARANTINE_MS: u64 = 120_000;
/// Maximum number of doublings.
const MAX_DOUBLINGS: usize = 5;
/// Maximum extension of a quarantine at one node, as a part of its duration.
const MAX_EXTENSION_RATIO: f64 = 0.5;
/// Time after its last crash for which a request below the limit stays suspected.
pub const SUSPICION_MS: u64 = 600_000;
/// Crashes that are remembered for each request.
const MAX_CRASH_COUNT: usize = CRASH_LIMIT + MAX_DOUBLINGS;
/// Maximum number of requests in the table. Those with the fewest crashes are dropped first: an
/// entry that lasts costs an attacker as many targets as it has crashes.
pub const MAX_SUSPECT_COUNT: usize = 4096;

/// What may be done with a request.
#[derives::key]
pub enum Verdict {
    /// Nothing is known against it.
    Clear,
    /// It ran at a few crashes, or its quarantine has ended.
    Suspected {
        /// Whether it may run at a target only without other such requests, so that the
        /// next crash shows which of them is the cause.
        runs_alone: bool,
    },
    /// It must not reach a target.
    Quarantined {
        /// Time until the quarantine ends, in milliseconds.
        left_ms: u64,
    },
}

#[derive(Debug, Default)]
struct Suspect {
    /// Crashes at which it ran, oldest first, with their times.
    crashes: Vec<(CrashKey, u64)>,
    /// When a target last completed it.
    completed_ms: Option<u64>,
}

impl Suspect {
    /// Crashes since it last completed. A crash does not harm what completes elsewhere.
    fn counted(&self) -> impl DoubleEndedIterator<Item = &(CrashKey, u64)> {
        let completed_ms = self.completed_ms;
        self.crashes
            .iter()
            .filter(move |(_, at_ms)| completed_ms.is_none_or(|completed_ms| *at_ms > completed_ms))
    }

    fn crash_count(&self) -> usize {
        self.counted().count()
    }

    fn last_event_ms(&self) -> u64 {
        let last_crash_ms = self.crashes.iter().map(|(_, at_ms)| *at_ms).max();
        last_crash_ms.max(self.completed_ms).unwrap_or(0)
    }

    /// Until when it is refused, with an extension of 0 to 1 of the longest one; `None` below
    /// the limit.
    fn quarantined_until_ms(&self, extension: f64) -> Option<u64> {
        let crash_count = self.crash_count();
        let doublings = crash_count.checked_sub(CRASH_LIMIT)?.min(MAX_DOUBLINGS);
        let last_ms = self.counted().next_back().map_or(0, |(_, at_ms)| *at_ms);
        let duration_ms = QUARANTINE_MS << doublings;
        let extension_ms = duration_ms as f64 * MAX_EXTENSION_RATIO * extension;
        Some(last_ms + duration_ms + extension_ms as u64)
    }

    fn forgotten_at_ms(&self) -> u64 {
        let until_ms = self.quarantined_until_ms(1.0).unwrap_or(0);
        until_ms.max(self.last_event_ms()) + SUSPICION_MS
    }

    fn record_crash(&mut self, crash: CrashKey, at_ms: u64) -> bool {
        if self.crashes.iter().any(|(known, _)| *known == crash) {
            return false;
        }
        self.crashes.push((crash, at_ms));
        self.crashes.sort_unstable_by_key(|(_, at_ms)| *at_ms);
        if self.crashes.len() > MAX_CRASH_COUNT {
            self.crashes.remove(0);
        }
        true
    }
}

/// Suspected requests of the whole fleet, as far as this node knows.
///
/// Reports arrive in any order and more than once: the table is the same for any order.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<RequestDigest, Suspect>,
    extension_seed: Option<u64>,
}

impl SuspectTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Extends each quarantine by a part that depends on this seed, which differs between
    /// nodes. Otherwise they would all try a request again at the same moment, and it could
    /// crash as many targets.
    #[must_use]
    pub const fn with_extension_seed(mut self, seed: u64) -> Self {
        self.extension_seed = Some(seed);
        self
    }

    /// Number of requests in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// What may be done with a request.
    #[must_use]
    pub fn verdict(&self, digest: RequestDigest, now_ms: u64) -> Verdict {
        let Some(suspect) = self.suspects.get(&digest) else {
            return Verdict::Clear;
        };
        let crash_count = suspect.crash_count();
        if crash_count == 0 || now_ms >= suspect.forgotten_at_ms() {
            return Verdict::Clear;
        }
        match suspect.quarantined_until_ms(self.extension(digest)) {
            Some(until_ms) if now_ms < until_ms => Verdict::Quarantined {
                left_ms: until_ms - now_ms,
            },
            _ => Verdict::Suspected {
                runs_alone: crash_count >= ISOLATION_COUNT,
            },
        }
    }

    /// Crashes of a request since it last completed.
    #[must_use]
    pub fn crash_count(&self, digest: RequestDigest) -> usize {
        let suspect = self.suspects.get(&digest);
        suspect.map_or(0, Suspect::crash_count)
    }

    /// Records a crash of the local target; returns the report for other nodes.
    ///
    /// If some of its requests are strongly suspected, only those with the most crashes are
    /// charged: they explain the crash, and the others ran beside them by chance.
    pub fn record_crash(&mut self, crash: &Crash, now_ms: u64) -> CrashReport {
        let counts = crash.digests.iter().map(|digest| self.crash_count(*digest));
        let max_count = counts.max().unwrap_or(0);
        let min_charged_count = match max_count >= ISOLATION_COUNT {
            true => max_count,
            false => 0,
        };
        let digests = crash.digests.iter().copied();
        let report = CrashReport {
            crash: crash.key,
            age_ms: 0,
            digests: digests
                .filter(|digest| self.crash_count(*digest) >= min_charged_count)
                .collect(),
        };
        self.merge_crash(&report, now_ms);
        report
    }

    /// Merges another node's report; returns the part that was new.
    pub fn merge_crash(&mut self, report: &CrashReport, now_ms: u64) -> Option<CrashReport> {
        if report.age_ms > SUSPICION_MS + 2 * (QUARANTINE_MS << MAX_DOUBLINGS) {
            return None;
        }
        let at_ms = now_ms.saturating_sub(report.age_ms);
        let digests: Vec<RequestDigest> = report
            .digests
            .iter()
            .copied()
            .filter(|digest| {
                let suspect = self.suspects.entry(*digest).or_default();
                suspect.record_crash(report.crash, at_ms)
            })
            .collect();
        self.drop_surplus(now_ms);
        (!digests.is_empty()).then(|| CrashReport {
            digests,
            ..report.clone()
        })
    }

    /// Records that a target completed a request; returns the report for other nodes if the
    /// request was suspected.
    pub fn record_completion(&mut self, digest: RequestDigest, now_ms: u64) -> Option<Completion> {
        if self.crash_count(digest) == 0 {
            return None;
        }
        let completion = Completion { digest, age_ms: 0 };
        self.merge_completion(completion, now_ms)
            .then_some(completion)
    }

    /// Merges another node's report; returns whether it was new.
    pub fn merge_completion(&mut self, completion: Completion, now_ms: u64) -> bool {
        if completion.age_ms > SUSPICION_MS {
            return false;
        }
        let completed_ms = now_ms.saturating_sub(completion.age_ms);
        // Kept for an unknown request, too: the report of an earlier crash may follow.
        let suspect = self.suspects.entry(completion.digest).or_default();
        let is_unknown = suspect.last_event_ms() == 0;
        let is_cleared = suspect.counted().any(|(_, at_ms)| *at_ms <= completed_ms);
        suspect.completed_ms = suspect.completed_ms.max(Some(completed_ms));
        self.drop_surplus(now_ms);
        is_unknown || is_cleared
    }

    /// Drops entries that are old enough.
    pub fn forget_old(&mut self, now_ms: u64) {
        self.suspects
            .retain(|_, suspect| now_ms < suspect.forgotten_at_ms());
    }

    /// Reports of the requests with the most crashes, at most `max_count` requests, for nodes
    /// that may have missed them.
    #[must_use]
    pub fn summary(&self, max_count: usize, now_ms: u64) -> (Vec<CrashReport>, Vec<Completion>) {
        let mut ranked: Vec<(&RequestDigest, &Suspect)> = self.suspects.iter().collect();
        ranked.sort_unstable_by_key(|(digest, suspect)| {
            std::cmp::Reverse((suspect.crash_count(), suspect.last_event_ms(), **digest))
        });
        ranked.truncate(max_count);
        let mut crashes: BTreeMap<CrashKey, CrashReport> = BTreeMap::new();
        let mut completions = Vec::new();
        for (digest, suspect) in ranked {
            for (crash, at_ms) in suspect.counted() {
                let report = crashes.entry(*crash).or_insert_with(|| CrashReport {
                    crash: *crash,
                    age_ms: now_ms.saturating_sub(*at_ms),
                    digests: Vec::new(),
                });
                report.digests.push(*digest);
            }
            if let Some(completed_ms) = suspect.completed_ms {
                completions.push(Completion {
                    digest: *digest,
                    age_ms: now_ms.saturating_sub(completed_ms),
                });
            }
        }
        (crashes.into_values().collect(), completions)
    }

    fn extension(&self, digest: RequestDigest) -> f64 {
        self.extension_seed.map_or(0.0, |seed| {
            let hash = xxh3_64_with_seed(&digest.0.to_le_bytes(), seed);
            hash as f64 / u64::MAX as f64
        })
    }

    fn drop_surplus(&mut self, now_ms: u64) {
        if self.suspects.len() <= MAX_SUSPECT_COUNT {
            return;
        }
        self.forget_old(now_ms);
        let mut ranks: Vec<_> = self
            .suspects
            .iter()
            .map(|(digest, suspect)| (suspect.crash_count(), suspect.last_event_ms(), *digest))
            .collect();
        ranks.sort_unstable();
        let surplus_count = ranks.len().saturating_sub(MAX_SUSPECT_COUNT);
        for (_, _, digest) in &ranks[..surplus_count] {
            self.suspects.remove(digest);
        }
    }
}
