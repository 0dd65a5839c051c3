//! What a node knows about requests that crash targets.

use {
    super::{
        Crash, CrashKey, CrashWatch, ReportPacket, ReportQueue, RequestDigest, SuspectTable,
        Verdict,
    },
    crate::{event, events::Event},
    std::sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    tokio::sync::{Notify, Semaphore, SemaphorePermit},
};

/// Requests sent to members that may have missed reports, at most.
const SUMMARY_COUNT: usize = 24;

#[derive(Debug, Default)]
struct State {
    watch: CrashWatch,
    suspects: SuspectTable,
    queue: ReportQueue,
}

/// Suspected requests as shared by the tasks of a node.
#[derive(Debug)]
pub struct Quarantine {
    state: Mutex<State>,
    /// Whether any request is suspected; requests are not identified otherwise.
    has_suspects: AtomicBool,
    /// Held by the request that runs alone among suspects at the local target.
    isolation: Semaphore,
    /// Notifies the exchange of a report by this node.
    own_report_queued: Notify,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new()
    }
}

impl Quarantine {
    /// Creates the state of a node that knows no suspects.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Mutex::new(State {
                suspects: SuspectTable::new().with_extension_seed(rand::random()),
                ..State::default()
            }),
            has_suspects: AtomicBool::new(false),
            isolation: Semaphore::new(1),
            own_report_queued: Notify::new(),
        }
    }

    /// Whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.has_suspects.load(Ordering::Relaxed)
    }

    /// What may be done with a request.
    #[must_use]
    pub fn verdict(&self, digest: RequestDigest, now_ms: u64) -> Verdict {
        self.lock().suspects.verdict(digest, now_ms)
    }

    /// Waits until no other strongly suspected request runs at the local target.
    pub async fn isolate(&self) -> Option<SemaphorePermit<'_>> {
        self.isolation.acquire().await.ok()
    }

    /// Records that the connection to the local target broke under a request; returns
    /// whether the target is known to have crashed.
    pub fn record_loss(&self, digest: RequestDigest, now_us: u64) -> bool {
        self.lock().watch.record_loss(digest, now_us)
    }

    /// Records a response of the local target to a request that was sent at `sent_us`.
    pub fn record_response(&self, sent_us: u64) {
        self.lock().watch.record_response(sent_us);
    }

    /// Records that the local target crashed; its requests are charged once all losses are
    /// noticed.
    pub fn record_crash(&self, now_us: u64) {
        let key = CrashKey(rand::random());
        self.lock().watch.record_crash(key, now_us);
    }

    /// Records the start of a new process of the local target.
    pub fn replace_process(&self, was_planned: bool, now_us: u64) {
        let key = CrashKey(rand::random());
        let mut state = self.lock();
        let crash = state.watch.replace_process(was_planned, key, now_us);
        self.charge(&mut state, crash, now_us / 1000);
    }

    /// Charges the requests of a crash whose losses are complete; called on every tick.
    pub fn tick(&self, now_us: u64) {
        let mut state = self.lock();
        let crash = state.watch.take_crash(now_us);
        self.charge(&mut state, crash, now_us / 1000);
    }

    /// Crashes at which a request ran since it last completed.
    #[must_use]
    pub fn crash_count(&self, digest: RequestDigest) -> usize {
        self.lock().suspects.crash_count(digest)
    }

    /// Records that the local target completed a request.
    pub fn record_completion(&self, digest: RequestDigest, now_ms: u64) {
        let mut state = self.lock();
        if let Some(completion) = state.suspects.record_completion(digest, now_ms) {
            event!(Event::RequestCleared, "digest={digest}");
            state.queue.push_completion(completion, now_ms);
            self.own_report_queued.notify_one();
        }
    }

    /// Merges a packet of another node; what is new is forwarded.
    pub fn merge(&self, packet: &ReportPacket, now_ms: u64) {
        let mut state = self.lock();
        for report in &packet.crashes {
            if let Some(new_part) = state.suspects.merge_crash(report, now_ms) {
                log_quarantined(&state.suspects, &new_part.digests, now_ms);
                state.queue.push_crash(new_part, now_ms);
            }
        }
        for completion in &packet.completions {
            if state.suspects.merge_completion(*completion, now_ms) {
                state.queue.push_completion(*completion, now_ms);
            }
        }
        self.update(&state);
    }

    /// Waits until a report by this node is queued.
    pub async fn wait_for_own_report(&self) {
        self.own_report_queued.notified().await;
    }

    /// Whether reports wait to be sent.
    #[must_use]
    pub fn has_queued(&self) -> bool {
        !self.lock().queue.is_empty()
    }

    /// Packets of the next round, for `receiver_count` members.
    #[must_use]
    pub fn next_round(&self, receiver_count: usize, now_ms: u64) -> Vec<ReportPacket> {
        self.lock().queue.next_round(receiver_count, now_ms)
    }

    /// Packets with the most important reports, within the limit on traffic.
    #[must_use]
    pub fn summary(&self, now_ms: u64) -> Vec<ReportPacket> {
        let mut state = self.lock();
        state.suspects.forget_old(now_ms);
        self.update(&state);
        let (crashes, completions) = state.suspects.summary(SUMMARY_COUNT, now_ms);
        let mut packets = ReportPacket::split(crashes, completions);
        packets.retain(|packet| state.queue.try_spend(packet, 1, now_ms));
        packets
    }

    fn charge(&self, state: &mut State, crash: Option<Crash>, now_ms: u64) {
        let Some(crash) = crash else {
            return;
        };
        let report = state.suspects.record_crash(&crash, now_ms);
        let (lost_count, charged_count) = (crash.digests.len(), report.digests.len());
        let key = crash.key.0;
        event!(
            Event::TargetCrashed,
            "crash={key:016x} lost={lost_count} charged={charged_count}"
        );
        log_quarantined(&state.suspects, &report.digests, now_ms);
        state.queue.push_crash(report, now_ms);
        self.own_report_queued.notify_one();
        self.update(state);
    }

    fn update(&self, state: &State) {
        let has_suspects = !state.suspects.is_empty();
        self.has_suspects.store(has_suspects, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

fn log_quarantined(suspects: &SuspectTable, digests: &[RequestDigest], now_ms: u64) {
    for digest in digests {
        if let Verdict::Quarantined { left_ms } = suspects.verdict(*digest, now_ms) {
            let crash_count = suspects.crash_count(*digest);
            event!(
                Event::RequestQuarantined,
                "digest={digest} crashes={crash_count} left_ms={left_ms}"
            );
        }
    }
}
