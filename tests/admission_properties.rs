//! Invariants of admission under random arrivals, ends and withdrawals.

#[path = "admission_support/generated.rs"]
mod generated;

use {
    dogwoodbridge::{
        admission::{
            Adaptive, AdmissionPolicy, Arrival, Decision, LoadReport, MIN_LIMIT, StaticLimit,
            TargetResult, TargetSize, TicketKey,
        },
        model::{Class, Outcome, Reason, WorkspaceKey},
    },
    generated::for_each_case,
    std::collections::HashMap,
};

const SIZE: TargetSize = TargetSize {
    slot_count: 8,
    connection_count: 80,
    is_exact: false,
};
/// One operation: its kind, a choice of its subject, and the gap since the previous operation, in
/// units of 200 us.
type Step = (u8, u8, u8);

const STEP_COUNT: usize = 200;
const CASE_COUNT: usize = 2000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting(Arrival),
    Running(Arrival),
}

/// Executes the decisions of a policy and checks each of them.
struct Harness<P> {
    policy: P,
    tickets: HashMap<TicketKey, State>,
    arrival_order: Vec<TicketKey>,
    decisions: Vec<Decision>,
    now_us: u64,
    is_strict: bool,
    start_count: usize,
}

impl<P: AdmissionPolicy> Harness<P> {
    fn new(is_strict: bool) -> Self {
        Self {
            policy: P::new(SIZE),
            tickets: HashMap::new(),
            arrival_order: Vec::new(),
            decisions: Vec::new(),
            now_us: 0,
            is_strict,
            start_count: 0,
        }
    }

    fn step(&mut self, (kind, choice, gap): Step) {
        self.now_us += u64::from(gap) * 200;
        match kind % 8 {
            0..=3 => self.arrive(choice),
            4 | 5 => self.end(choice),
            6 => self.withdraw(choice),
            _ => self.tick(choice),
        }
        self.check_counts();
    }

    fn arrive(&mut self, choice: u8) {
        let class = Class::ALL[usize::from(choice) % 3];
        let arrival = Arrival {
            class,
            workspace: WorkspaceKey::new(u16::from(choice / 3 % 4)),
            deadline_us: self.now_us + u64::from(choice) * 2000,
            objective_us: None,
        };
        let mut decisions = Vec::new();
        let ticket = self.policy.arrive(arrival, self.now_us, &mut decisions);
        assert!(
            self.tickets
                .insert(ticket, State::Waiting(arrival))
                .is_none(),
            "a ticket key is issued only once"
        );
        self.arrival_order.push(ticket);
        self.decisions = decisions;
        self.execute_decisions();
    }

    fn end(&mut self, choice: u8) {
        let running = self.tickets_in_state(|state| matches!(state, State::Running(_)));
        let Some(ticket) = pick(&running, choice) else {
            return;
        };
        let result = [
            TargetResult::Completed,
            TargetResult::Shed,
            TargetResult::Failed,
            TargetResult::Cancelled,
        ][usize::from(choice) % 4];
        self.tickets.remove(&ticket);
        self.policy
            .end(ticket, result, self.now_us, &mut self.decisions);
        self.execute_decisions();
        // A second end has no effect.
        self.policy
            .end(ticket, result, self.now_us, &mut self.decisions);
        self.execute_decisions();
    }

    fn withdraw(&mut self, choice: u8) {
        let waiting = self.tickets_in_state(|state| matches!(state, State::Waiting(_)));
        if let Some(ticket) = pick(&waiting, choice) {
            self.tickets.remove(&ticket);
            self.policy
                .withdraw(ticket, self.now_us, &mut self.decisions);
            self.execute_decisions();
        }
    }

    fn tick(&mut self, choice: u8) {
        self.policy.record_load_report(LoadReport {
            waiting_count: 0,
            work_time_percent: None,
            busy_ratio: f64::from(choice) / 255.0,
            received_us: self.now_us,
        });
        self.policy.tick(self.now_us, &mut self.decisions);
        self.execute_decisions();
    }

    fn tickets_in_state(&self, filter: impl Fn(State) -> bool) -> Vec<TicketKey> {
        self.arrival_order
            .iter()
            .copied()
            .filter(|ticket| self.tickets.get(ticket).is_some_and(|state| filter(*state)))
            .collect()
    }

    /// Each decision must be about a waiting request. No request may start while one of a higher
    /// class waits.
    fn execute_decisions(&mut self) {
        for decision in std::mem::take(&mut self.decisions) {
            match decision {
                Decision::Start(ticket) => {
                    let Some(State::Waiting(arrival)) = self.tickets.get(&ticket).copied() else {
                        panic!("{ticket:?} was started but was not waiting");
                    };
                    self.tickets.insert(ticket, State::Running(arrival));
                    self.start_count += 1;
                    self.check_order(arrival);
                }
                Decision::Refuse(ticket, refusal) => {
                    let state = self.tickets.remove(&ticket);
                    let Some(State::Waiting(arrival)) = state else {
                        panic!("{ticket:?} was refused in state {state:?}");
                    };
                    assert_eq!(refusal.outcome, Outcome::NotRun);
                    assert!(refusal.retry_after_ms > 0 || !self.is_strict);
                    self.check_refusal(arrival, refusal.reason);
                }
            }
        }
    }

    fn check_order(&self, started: Arrival) {
        if !self.is_strict {
            return;
        }
        let overtaken = self.tickets.values().find(
            |state| matches!(state, State::Waiting(arrival) if arrival.class > started.class),
        );
        assert_eq!(overtaken, None, "{started:?} started before a higher class");
    }

    /// No critical request is refused as overloaded while a slot is free; the limit is never below
    /// [`MIN_LIMIT`].
    fn check_refusal(&self, refused: Arrival, reason: Reason) {
        if !self.is_strict || refused.class != Class::Critical || reason != Reason::Overloaded {
            return;
        }
        let has_free_slot = self.policy.running_count() < MIN_LIMIT as usize;
        assert!(
            !has_free_slot,
            "critical request refused although a slot is free"
        );
    }

    fn check_counts(&self) {
        let running = self.tickets_in_state(|state| matches!(state, State::Running(_)));
        let waiting = self.tickets_in_state(|state| matches!(state, State::Waiting(_)));
        assert_eq!(
            self.policy.running_count(),
            running.len(),
            "a running request was lost or counted twice"
        );
        assert_eq!(
            self.policy.waiting_count(),
            waiting.len(),
            "a waiting request was lost or counted twice"
        );
        assert!(running.len() <= SIZE.slot_count as usize);
        if self.is_strict {
            let lower_class_count = running
                .iter()
                .filter(|ticket| {
                    !matches!(self.tickets[ticket], State::Running(arrival) if arrival.class == Class::Critical)
                })
                .count();
            assert!(
                lower_class_count < SIZE.slot_count as usize,
                "lower classes use the reserved slots"
            );
        }
    }

    /// Every waiting request is decided in the end, and all slots are released.
    fn finish(&mut self) {
        self.policy.drain();
        self.policy.refuse_waiting(self.now_us, &mut self.decisions);
        self.execute_decisions();
        while !self.tickets.is_empty() {
            self.end(0);
        }
        assert_eq!(self.policy.running_count(), 0);
        assert_eq!(self.policy.waiting_count(), 0);
        assert!(self.policy.level(Class::Browse, self.now_us).draining);
        self.arrive(255);
        assert!(
            self.tickets.is_empty(),
            "a draining target accepted a request"
        );
    }
}

fn pick(tickets: &[TicketKey], choice: u8) -> Option<TicketKey> {
    tickets
        .get(usize::from(choice) % tickets.len().max(1))
        .copied()
}

fn check<P: AdmissionPolicy>(is_strict: bool) {
    let mut start_count = 0;
    for_each_case(CASE_COUNT, |steps: [Step; STEP_COUNT]| {
        let mut harness = Harness::<P>::new(is_strict);
        for step in steps {
            harness.step(step);
        }
        harness.finish();
        start_count += harness.start_count;
    });
    println!("{CASE_COUNT} cases, {start_count} starts");
    assert!(
        start_count > CASE_COUNT,
        "too few requests started in the generated cases"
    );
}

#[test]
fn adaptive_decides_each_request_once_and_in_order_of_class() {
    check::<Adaptive>(true);
}

#[test]
fn static_limit_decides_each_request_once() {
    check::<StaticLimit>(false);
}
