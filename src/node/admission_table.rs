//! Admission at the own target: the policy and those who wait for it.

use {
    super::{Node, Policies},
    crate::{
        admission::{
            AdmissionPolicy, Arrival, Decision, LoadReport, TargetResult, TargetSize, TicketKey,
        },
        model::{AdmissionLevel, Class, Reason, Refusal},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::sync::oneshot,
};

/// Time from the start of a drain in which arriving work is still admitted,
/// while others learn of it.
///
/// Refusing at once would spend the retries of every request that others have
/// already sent here, and callers would see refusals in a planned stop.
pub const DRAIN_ANNOUNCE_US: u64 = 1_000_000;
/// Time from the start of a drain in which queued work may still start. A
/// departing target may get no new work after 2 s; what still waits is refused
/// as not run and sent elsewhere.
const DRAIN_QUEUE_US: u64 = 1_500_000;

type Verdict = Result<(), Refusal>;

/// The admission policy with the requests that wait for its decision.
pub struct AdmissionTable<A> {
    policy: Option<A>,
    // Tells tickets of a policy from those of its predecessor: after a restart
    // of the target, a late end would otherwise free a stranger's place.
    epoch: u64,
    waiting: HashMap<TicketKey, oneshot::Sender<Verdict>>,
    decisions: Vec<Decision>,
    drain: Option<Drain>,
}

/// How far a drain has come.
#[derive(Debug, Clone, Copy)]
struct Drain {
    begun_us: u64,
    refuses_arrivals: bool,
    refused_waiting: bool,
}

enum Arrived {
    Started(TicketKey),
    Waits(TicketKey, oneshot::Receiver<Verdict>),
}

impl<A: AdmissionPolicy> Default for AdmissionTable<A> {
    fn default() -> Self {
        Self::new()
    }
}

impl<A: AdmissionPolicy> AdmissionTable<A> {
    /// A table without a target.
    #[must_use]
    pub fn new() -> Self {
        Self {
            policy: None,
            epoch: 0,
            waiting: HashMap::new(),
            decisions: Vec::new(),
            drain: None,
        }
    }

    /// The target announced itself.
    pub fn set_size(&mut self, size: TargetSize, restarted: bool, now_us: u64) {
        // A policy that has drained stays so; a target that works again needs
        // a new one.
        if self.policy.is_none() || (restarted && self.drain.is_some()) {
            self.epoch += 1;
            self.waiting.clear();
            self.drain = None;
            self.policy = Some(A::new(size));
        } else if let Some(policy) = &mut self.policy {
            policy.set_size(size, restarted, now_us);
        }
    }

    /// The target reported its load.
    pub fn report(&mut self, report: LoadReport) {
        if let Some(policy) = &mut self.policy {
            policy.report(report);
        }
    }

    /// Begins to drain: told upstream at once; a little later what arrives is
    /// refused, and at last what still waits.
    pub fn drain(&mut self, now_us: u64) {
        self.drain.get_or_insert(Drain {
            begun_us: now_us,
            refuses_arrivals: false,
            refused_waiting: false,
        });
    }

    /// Refuses all that waits, as not run; what arrives later is admitted.
    pub fn refuse_waiting(&mut self, now_us: u64) {
        self.with_policy(|policy, decisions| policy.refuse_waiting(now_us, decisions));
    }

    /// Regular look at queues and limits.
    pub fn tick(&mut self, now_us: u64) {
        self.go_on_draining(now_us);
        self.with_policy(|policy, decisions| policy.tick(now_us, decisions));
    }

    /// Level that answers to requests of this class carry upstream.
    #[must_use]
    pub fn level(&self, class: Class, now_us: u64) -> AdmissionLevel {
        let policy = self.policy.as_ref();
        let level = policy.map(|policy| policy.level(class, now_us));
        let mut level = level.unwrap_or_else(AdmissionLevel::idle);
        level.draining |= self.drain.is_some();
        level
    }

    /// Requests that run and that wait.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        self.policy.as_ref().map_or((0, 0), |policy| {
            (policy.running_count(), policy.waiting_count())
        })
    }

    fn go_on_draining(&mut self, now_us: u64) {
        let Some(drain) = &mut self.drain else {
            return;
        };
        let passed_us = now_us.saturating_sub(drain.begun_us);
        let begins_refusing = passed_us >= DRAIN_ANNOUNCE_US && !drain.refuses_arrivals;
        let ends_queue = passed_us >= DRAIN_QUEUE_US && !drain.refused_waiting;
        drain.refuses_arrivals |= begins_refusing;
        drain.refused_waiting |= ends_queue;
        if begins_refusing {
            self.with_policy(|policy, _| policy.drain());
        }
        if ends_queue {
            self.with_policy(|policy, decisions| policy.refuse_waiting(now_us, decisions));
        }
    }

    fn arrive(&mut self, arrival: Arrival, now_us: u64) -> Result<Arrived, Refusal> {
        self.go_on_draining(now_us);
        let Some(policy) = &mut self.policy else {
            return Err(Refusal::not_run(Reason::NoTarget));
        };
        let ticket = policy.arrive(arrival, now_us, &mut self.decisions);
        let mut own = None;
        for decision in self.decisions.drain(..) {
            let (key, verdict) = verdict_of(decision);
            if key == ticket {
                own = Some(verdict);
            } else if let Some(waiter) = self.waiting.remove(&key) {
                let _ = waiter.send(verdict);
            }
        }
        match own {
            Some(Ok(())) => Ok(Arrived::Started(ticket)),
            Some(Err(refusal)) => Err(refusal),
            None => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(ticket, sender);
                Ok(Arrived::Waits(ticket, receiver))
            }
        }
    }

    fn end(&mut self, ticket: TicketKey, result: TargetResult, now_us: u64) {
        // After a suspension an end may come before the next tick; it would
        // start work at a target that left long ago.
        self.go_on_draining(now_us);
        self.with_policy(|policy, decisions| policy.end(ticket, result, now_us, decisions));
    }

    /// Whether the ticket was still waiting.
    fn withdraw(&mut self, ticket: TicketKey, now_us: u64) -> bool {
        if self.waiting.remove(&ticket).is_none() {
            return false;
        }
        self.with_policy(|policy, decisions| policy.withdraw(ticket, now_us, decisions));
        true
    }

    fn with_policy(&mut self, step: impl FnOnce(&mut A, &mut Vec<Decision>)) {
        let Some(policy) = &mut self.policy else {
            return;
        };
        step(policy, &mut self.decisions);
        for decision in self.decisions.drain(..) {
            let (key, verdict) = verdict_of(decision);
            if let Some(waiter) = self.waiting.remove(&key) {
                let _ = waiter.send(verdict);
            }
        }
    }
}

fn verdict_of(decision: Decision) -> (TicketKey, Verdict) {
    match decision {
        Decision::Start(key) => (key, Ok(())),
        Decision::Refuse(key, refusal) => (key, Err(refusal)),
    }
}

/// A request at the own target, from its arrival to its end.
///
/// Dropping it withdraws a request that waits and ends one that runs as
/// cancelled.
pub struct Ticket<P: Policies> {
    node: Arc<Node<P>>,
    key: TicketKey,
    epoch: u64,
    waiting: Option<oneshot::Receiver<Verdict>>,
    ended: bool,
}

impl<P: Policies> Ticket<P> {
    /// The started request ended.
    pub fn end(mut self, result: TargetResult) {
        self.finish(result);
    }

    fn finish(&mut self, result: TargetResult) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now_us = self.node.timer.now_us();
        let mut table = self.node.admission();
        if table.epoch == self.epoch {
            table.end(self.key, result, now_us);
        }
    }

    fn give_up(&mut self, mut verdict: oneshot::Receiver<Verdict>) {
        self.ended = true;
        let now_us = self.node.timer.now_us();
        let mut table = self.node.admission();
        if table.epoch != self.epoch || table.withdraw(self.key, now_us) {
            return;
        }
        // Decided in the meantime. A start that nobody takes up would hold
        // its slot for good.
        if verdict.try_recv() == Ok(Ok(())) {
            table.end(self.key, TargetResult::Cancelled, now_us);
        }
    }
}

impl<P: Policies> Drop for Ticket<P> {
    fn drop(&mut self) {
        match self.waiting.take() {
            Some(verdict) => self.give_up(verdict),
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
    let (arrived, epoch) = {
        let mut table = node.admission();
        (table.arrive(arrival, now_us)?, table.epoch)
    };
    let (key, waiting) = match arrived {
        Arrived::Started(key) => (key, None),
        Arrived::Waits(key, receiver) => (key, Some(receiver)),
    };
    let mut ticket = Ticket {
        node: Arc::clone(node),
        key,
        epoch,
        waiting,
        ended: false,
    };
    let Some(verdict) = &mut ticket.waiting else {
        return Ok(ticket);
    };
    let limit = Duration::from_micros(arrival.deadline_us.saturating_sub(now_us));
    let verdict = tokio::time::timeout(limit, verdict).await;
    match verdict {
        Err(_) => Err(Refusal::not_run(Reason::TooLate)),
        Ok(decided) => {
            ticket.waiting = None;
            match decided.unwrap_or(Err(Refusal::not_run(Reason::Draining))) {
                Ok(()) => Ok(ticket),
                Err(refusal) => {
                    ticket.ended = true;
                    Err(refusal)
                }
            }
        }
    }
}
