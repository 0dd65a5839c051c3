//! Reports that still have to be sent, within a limit on traffic.

use super::{Completion, CrashReport, ReportPacket};

/// Rounds in which each report is sent to a few members.
const ROUND_COUNT: u32 = 3;
/// Maximum number of reports that wait; the oldest are dropped.
const MAX_PENDING_COUNT: usize = 128;
/// Sustained traffic for reports.
pub const TRAFFIC_BYTES_PER_S: u64 = 1000;
/// Traffic after a quiet period. A few crashes of busy targets are reported without delay.
const TRAFFIC_BURST_BYTES: u64 = 64_000;

#[derive(Debug, Clone)]
enum Report {
    Crash(CrashReport),
    Completion(Completion),
}

#[derive(Debug, Clone)]
struct Pending {
    report: Report,
    queued_ms: u64,
    rounds_left: u32,
}

/// Queue of reports to send.
#[derive(Debug)]
pub struct ReportQueue {
    /// Oldest first.
    pending: Vec<Pending>,
    budget_bytes: u64,
    refilled_ms: u64,
}

impl Default for ReportQueue {
    fn default() -> Self {
        Self::new()
    }
}

impl ReportQueue {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            pending: Vec::new(),
            budget_bytes: TRAFFIC_BURST_BYTES,
            refilled_ms: 0,
        }
    }

    /// Whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Queues the report of a crash.
    pub fn push_crash(&mut self, report: CrashReport, now_ms: u64) {
        self.push(Report::Crash(report), now_ms);
    }

    /// Queues the report of a completed request.
    pub fn push_completion(&mut self, completion: Completion, now_ms: u64) {
        self.push(Report::Completion(completion), now_ms);
    }

    /// Packets of the next round, for `receiver_count` members. Newer reports go first, and
    /// what exceeds the limit on traffic waits.
    pub fn next_round(&mut self, receiver_count: usize, now_ms: u64) -> Vec<ReportPacket> {
        self.refill(now_ms);
        let mut crashes = Vec::new();
        let mut completions = Vec::new();
        for pending in self.pending.iter_mut().rev() {
            let size_bytes = pending.report.size_bytes() * receiver_count as u64;
            if size_bytes > self.budget_bytes {
                continue;
            }
            self.budget_bytes -= size_bytes;
            pending.rounds_left -= 1;
            let waited_ms = now_ms.saturating_sub(pending.queued_ms);
            match &pending.report {
                Report::Crash(report) => crashes.push(CrashReport {
                    age_ms: report.age_ms + waited_ms,
                    ..report.clone()
                }),
                Report::Completion(completion) => completions.push(Completion {
                    age_ms: completion.age_ms + waited_ms,
                    ..*completion
                }),
            }
        }
        self.pending.retain(|pending| pending.rounds_left > 0);
        ReportPacket::split(crashes, completions)
    }

    /// Takes the cost of a packet to `receiver_count` members from the limit on traffic;
    /// returns whether it may be sent.
    pub fn try_spend(&mut self, packet: &ReportPacket, receiver_count: usize, now_ms: u64) -> bool {
        self.refill(now_ms);
        let size_bytes = packet.size_bytes() as u64 * receiver_count as u64;
        let is_allowed = size_bytes <= self.budget_bytes;
        if is_allowed {
            self.budget_bytes -= size_bytes;
        }
        is_allowed
    }

    fn push(&mut self, report: Report, now_ms: u64) {
        if self.pending.len() >= MAX_PENDING_COUNT {
            self.pending.remove(0);
        }
        self.pending.push(Pending {
            report,
            queued_ms: now_ms,
            rounds_left: ROUND_COUNT,
        });
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let added_bytes = elapsed_ms * TRAFFIC_BYTES_PER_S / 1000;
        if added_bytes > 0 {
            self.budget_bytes = (self.budget_bytes + added_bytes).min(TRAFFIC_BURST_BYTES);
            self.refilled_ms = now_ms;
        }
    }
}

impl Report {
    fn size_bytes(&self) -> u64 {
        let packets = match self {
            Self::Crash(report) => ReportPacket::split(vec![report.clone()], Vec::new()),
            Self::Completion(completion) => ReportPacket::split(Vec::new(), vec![*completion]),
        };
        let size_bytes: usize = packets.iter().map(ReportPacket::size_bytes).sum();
        size_bytes as u64
    }
}
