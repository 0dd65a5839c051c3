//! Admission at the local target: the policy and the requests that wait for it.

use {
    super::{Node, Policies},
    crate::{
        admission::{
            AdmissionPolicy, Arrival, Decision, Drain, LoadReport, ReportedLoad, TargetResult,
            TargetSize, TicketKey,
        },
        model::{AdmissionLevel, Class, Reason, Refusal},
        settings::QueueOrder,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::sync::oneshot,
};

type AdmissionResult = Result<(), Refusal>;

/// The admission policy and the requests that wait for its decision.
pub struct AdmissionTable<A> {
    policy: Option<A>,
    queue_order: QueueOrder,
    // Late starts of earlier policies.
    past_late_start_count: u64,
    reported_load: ReportedLoad,
    // Distinguishes tickets of this policy from those of the previous one: after a
    // restart of the target, a late end would otherwise free another request's slot.
    epoch: u64,
    waiting: HashMap<TicketKey, oneshot::Sender<AdmissionResult>>,
    decisions: Vec<Decision>,
    drain: Option<DrainProgress>,
    announced_us: Option<u64>,
    work_time_reported_us: Option<u64>,
}

/// Progress of a drain.
#[derive(Debug, Clone, Copy)]
struct DrainProgress {
    drain: Drain,
    refuses_arrivals: bool,
    has_refused_waiting: bool,
}

enum ArrivalState {
    Started(TicketKey),
    Queued(TicketKey, oneshot::Receiver<AdmissionResult>),
}

impl<A: AdmissionPolicy> Default for AdmissionTable<A> {
    fn default() -> Self {
        Self::new()
    }
}

impl<A: AdmissionPolicy> AdmissionTable<A> {
    /// Creates a table without a target.
    #[must_use]
    pub fn new() -> Self {
        Self {
            policy: None,
            queue_order: QueueOrder::default(),
            past_late_start_count: 0,
            reported_load: ReportedLoad::new(),
            epoch: 0,
            waiting: HashMap::new(),
            decisions: Vec::new(),
            drain: None,
            announced_us: None,
            work_time_reported_us: None,
        }
    }

    /// The table with this order of waiting requests.
    #[must_use]
    pub const fn with_queue_order(mut self, order: QueueOrder) -> Self {
        self.queue_order = order;
        self
    }

    /// Records the size that the target announced.
    pub fn set_size(&mut self, size: TargetSize, restarted: bool, now_us: u64) {
        self.announced_us = Some(now_us);
        // Draining a policy is final; a target that restarts after a drain needs a
        // new one.
        if self.policy.is_none() || (restarted && self.drain.is_some()) {
            self.epoch += 1;
            self.waiting.clear();
            self.drain = None;
            self.past_late_start_count = self.late_start_count();
            self.policy = Some(A::new(size).with_queue_order(self.queue_order));
        } else if let Some(policy) = &mut self.policy {
            policy.set_size(size, restarted, now_us);
        }
    }

    /// Records a load report of the target.
    pub fn record_load_report(&mut self, report: LoadReport) {
        if report.work_time_percent.is_some() {
            self.work_time_reported_us = Some(report.received_us);
        }
        self.reported_load.record(report);
        if let Some(policy) = &mut self.policy {
            policy.record_load_report(report);
        }
    }

    /// Load that the target reported last.
    #[must_use]
    pub const fn reported_load(&self) -> &ReportedLoad {
        &self.reported_load
    }

    /// Drains, which is propagated upstream at once. Of several drains, the limits that end first
    /// count.
    pub fn drain(&mut self, drain: Drain) {
        let progress = self.drain.get_or_insert(DrainProgress {
            drain,
            refuses_arrivals: false,
            has_refused_waiting: false,
        });
        progress.drain = progress.drain.earliest(drain);
    }

    /// The drain in progress.
    #[must_use]
    pub fn drain_in_progress(&self) -> Option<Drain> {
        self.drain.as_ref().map(|progress| progress.drain)
    }

    /// Refuses all queued requests as not run; later arrivals are still admitted.
    pub fn refuse_waiting(&mut self, now_us: u64) {
        self.with_policy(|policy, decisions| policy.refuse_waiting(now_us, decisions));
    }

    /// Updates queues and limits; called on every tick.
    pub fn tick(&mut self, now_us: u64) {
        self.advance_drain(now_us);
        self.with_policy(|policy, decisions| policy.tick(now_us, decisions));
    }

    /// Admission level propagated upstream in responses to requests of this class.
    #[must_use]
    pub fn level(&self, class: Class, now_us: u64) -> AdmissionLevel {
        let policy = self.policy.as_ref();
        let level = policy.map(|policy| policy.level(class, now_us));
        let mut level = level.unwrap_or_else(AdmissionLevel::idle);
        level.draining |= self.drain.is_some();
        level
    }

    /// Numbers of running and of queued requests.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        self.policy.as_ref().map_or((0, 0), |policy| {
            (policy.running_count(), policy.waiting_count())
        })
    }

    /// Requests started so far when their latency objective could no longer be expected to be
    /// met.
    #[must_use]
    pub fn late_start_count(&self) -> u64 {
        let policy = self.policy.as_ref();
        self.past_late_start_count + policy.map_or(0, AdmissionPolicy::late_start_count)
    }

    /// Time of the target's last announcement.
    #[must_use]
    pub const fn announced_us(&self) -> Option<u64> {
        self.announced_us
    }

    /// Time of the target's last report of how long its work takes.
    #[must_use]
    pub const fn work_time_reported_us(&self) -> Option<u64> {
        self.work_time_reported_us
    }

    fn advance_drain(&mut self, now_us: u64) {
        let Some(progress) = &mut self.drain else {
            return;
        };
        let starts_refusing =
            !progress.drain.accepts_arrivals(now_us) && !progress.refuses_arrivals;
        let ends_queue = !progress.drain.allows_starts(now_us) && !progress.has_refused_waiting;
        progress.refuses_arrivals |= starts_refusing;
        progress.has_refused_waiting |= ends_queue;
        if starts_refusing {
            self.with_policy(|policy, _| policy.drain());
        }
        if ends_queue {
            self.with_policy(|policy, decisions| policy.refuse_waiting(now_us, decisions));
        }
    }

    fn arrive(&mut self, arrival: Arrival, now_us: u64) -> Result<ArrivalState, Refusal> {
        self.advance_drain(now_us);
        let Some(policy) = &mut self.policy else {
            return Err(Refusal::not_run(Reason::NoTarget));
        };
        let ticket = policy.arrive(arrival, now_us, &mut self.decisions);
        let mut own_result = None;
        for decision in self.decisions.drain(..) {
            let (key, admission_result) = split_decision(decision);
            if key == ticket {
                own_result = Some(admission_result);
            } else if let Some(waiter) = self.waiting.remove(&key) {
                let _ = waiter.send(admission_result);
            }
        }
        match own_result {
            Some(Ok(())) => Ok(ArrivalState::Started(ticket)),
            Some(Err(refusal)) => Err(refusal),
            None => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(ticket, sender);
                Ok(ArrivalState::Queued(ticket, receiver))
            }
        }
    }

    fn end(&mut self, ticket: TicketKey, result: TargetResult, now_us: u64) {
        // After the process was suspended, an end may come before the next tick. It
        // would start queued work at a target that departed long ago.
        self.advance_drain(now_us);
        self.with_policy(|policy, decisions| policy.end(ticket, result, now_us, decisions));
    }

    /// Removes a queued request; returns whether it was still queued.
    fn withdraw(&mut self, ticket: TicketKey, now_us: u64) -> bool {
        if self.waiting.remove(&ticket).is_none() {
            return false;
        }
        self.with_policy(|policy, decisions| policy.withdraw(ticket, now_us, decisions));
        true
    }

    fn with_policy(&mut self, update: impl FnOnce(&mut A, &mut Vec<Decision>)) {
        let Some(policy) = &mut self.policy else {
            return;
        };
        update(policy, &mut self.decisions);
        for decision in self.decisions.drain(..) {
            let (key, admission_result) = split_decision(decision);
            if let Some(waiter) = self.waiting.remove(&key) {
                let _ = waiter.send(admission_result);
            }
        }
    }
}

fn split_decision(decision: Decision) -> (TicketKey, AdmissionResult) {
    match decision {
        Decision::Start(key) => (key, Ok(())),
        Decision::Refuse(key, refusal) => (key, Err(refusal)),
    }
}

/// A request at the local target, from its arrival to its end.
///
/// Dropping it withdraws a queued request and ends a running one as cancelled.
pub struct Ticket<P: Policies> {
    node: Arc<Node<P>>,
    key: TicketKey,
    epoch: u64,
    pending_result: Option<oneshot::Receiver<AdmissionResult>>,
    is_finished: bool,
}

impl<P: Policies> Ticket<P> {
    /// Records that the running request ended.
    pub fn end(mut self, result: TargetResult) {
        self.finish(result);
    }

    fn finish(&mut self, result: TargetResult) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let now_us = self.node.timer.now_us();
        let mut table = self.node.admission();
        if table.epoch == self.epoch {
            table.end(self.key, result, now_us);
        }
    }

    fn withdraw_or_cancel(&mut self, mut pending_result: oneshot::Receiver<AdmissionResult>) {
        self.is_finished = true;
        let now_us = self.node.timer.now_us();
        let mut table = self.node.admission();
        if table.epoch != self.epoch || table.withdraw(self.key, now_us) {
            return;
        }
        // Decided in the meantime. A start that is not used would occupy its slot
        // forever.
        if pending_result.try_recv() == Ok(Ok(())) {
            table.end(self.key, TargetResult::Cancelled, now_us);
        }
    }
}

impl<P: Policies> Drop for Ticket<P> {
    fn drop(&mut self) {
        match self.pending_result.take() {
            Some(pending_result) => self.withdraw_or_cancel(pending_result),
            None => self.finish(TargetResult::Cancelled),
        }
    }
}

/// Waits for admission, at most until the deadline.
pub async fn admit<P: Policies>(
    node: &Arc<Node<P>>,
    arrival: Arrival,
) -> Result<Ticket<P>, Refusal> {
    let now_us = node.timer.now_us();
    let (arrival_state, epoch) = {
        let mut table = node.admission();
        (table.arrive(arrival, now_us)?, table.epoch)
    };
    let (key, pending_result) = match arrival_state {
        ArrivalState::Started(key) => (key, None),
        ArrivalState::Queued(key, receiver) => (key, Some(receiver)),
    };
    let mut ticket = Ticket {
        node: Arc::clone(node),
        key,
        epoch,
        pending_result,
        is_finished: false,
    };
    let Some(pending_result) = &mut ticket.pending_result else {
        return Ok(ticket);
    };
    let limit = Duration::from_micros(arrival.deadline_us.saturating_sub(now_us));
    let admission_result = tokio::time::timeout(limit, pending_result).await;
    match admission_result {
        Err(_) => Err(Refusal::not_run(Reason::TooLate)),
        Ok(decision) => {
            ticket.pending_result = None;
            match decision.unwrap_or(Err(Refusal::not_run(Reason::Draining))) {
                Ok(()) => Ok(ticket),
                Err(refusal) => {
                    ticket.is_finished = true;
                    Err(refusal)
                }
            }
        }
    }
}
