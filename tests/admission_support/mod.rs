//! A discrete-event model of a target behind an admission policy.
//!
//! The target works on as many requests as it has slots, queues the rest in
//! order of arrival and honours cancellation. Service times are exponentially
//! distributed. Time is simulated; seeds are fixed.

// Each test program uses its own part of the model.
#![allow(dead_code)]

use {
    dogwoodbridge::{
        admission::{
            AdmissionPolicy, Arrival, Decision, LoadReport, TargetResult, TargetSize, TicketKey,
        },
        model::{Class, WorkspaceKey},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap, VecDeque},
    },
};

pub const SECOND_US: u64 = 1_000_000;
const TICK_US: u64 = 10_000;
/// Pause of a client before it sends again.
const CLIENT_PAUSE_US: u64 = 10_000;

/// Requests of one workspace and class.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub class: Class,
    pub workspace: u16,
    pub rate_per_s: f64,
    /// Factor on the rate while the scenario's slow spell lasts.
    pub surge: f64,
    pub deadline_ms: u64,
}

/// What the target tells about itself.
#[derive(Debug, Clone, Copy)]
pub enum Report {
    None,
    Always(f64),
}

#[derive(Debug, Clone)]
pub struct Scenario {
    pub real_slots: usize,
    pub announced_slots: u32,
    pub service_ms: f64,
    /// Factor on the service time during the slow spell.
    pub slowdown: f64,
    pub slow_from_s: u64,
    pub slow_until_s: u64,
    pub until_s: u64,
    pub streams: Vec<Stream>,
    pub report: Report,
    /// Times that a client sends again what was refused or timed out, after a
    /// short pause and whatever it is told.
    pub client_retry_count: u8,
    pub seed: u64,
}

/// Requests by second of arrival, or of the answer for those answered.
#[derive(Debug, Default)]
pub struct Journal {
    pub offered: HashMap<(u64, Class, u16), u32>,
    pub whole: HashMap<(u64, Class, u16), u32>,
    /// Requests queued inside the target, sampled each tick.
    pub target_waiting: Vec<(u64, usize)>,
    pub running: Vec<(u64, usize)>,
    pub decision_count: u64,
}

impl Journal {
    pub fn whole_in(&self, from_s: u64, until_s: u64, filter: impl Fn(Class, u16) -> bool) -> u32 {
        count(&self.whole, from_s, until_s, filter)
    }

    pub fn offered_in(
        &self,
        from_s: u64,
        until_s: u64,
        filter: impl Fn(Class, u16) -> bool,
    ) -> u32 {
        count(&self.offered, from_s, until_s, filter)
    }

    pub fn mean_target_waiting(&self, from_s: u64, until_s: u64) -> f64 {
        mean(&self.target_waiting, from_s, until_s)
    }

    pub fn mean_running(&self, from_s: u64, until_s: u64) -> f64 {
        mean(&self.running, from_s, until_s)
    }
}

fn count(
    table: &HashMap<(u64, Class, u16), u32>,
    from_s: u64,
    until_s: u64,
    filter: impl Fn(Class, u16) -> bool,
) -> u32 {
    table
        .iter()
        .filter(|((second, class, workspace), _)| {
            (from_s..until_s).contains(second) && filter(*class, *workspace)
        })
        .map(|(_, count)| *count)
        .sum()
}

fn mean(samples: &[(u64, usize)], from_s: u64, until_s: u64) -> f64 {
    let range = from_s * SECOND_US..until_s * SECOND_US;
    let chosen: Vec<usize> = samples
        .iter()
        .filter(|(at_us, _)| range.contains(at_us))
        .map(|(_, value)| *value)
        .collect();
    chosen.iter().sum::<usize>() as f64 / chosen.len().max(1) as f64
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    /// A client sends again; with the retries that it has left.
    Again(usize, u8),
    Finish(usize),
    Expire(usize),
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    InTargetQueue,
    InSlot,
    Over,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    ticket: TicketKey,
    stream: usize,
    retries_left: u8,
    class: Class,
    workspace: u16,
    state: State,
}

/// The model while it runs.
pub struct Simulation<P> {
    scenario: Scenario,
    policy: P,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    by_ticket: HashMap<TicketKey, usize>,
    target_queue: VecDeque<usize>,
    busy_slots: usize,
    journal: Journal,
    decisions: Vec<Decision>,
}

/// Runs the scenario with this policy.
pub fn run<P: AdmissionPolicy>(scenario: Scenario) -> (Journal, P) {
    let size = TargetSize {
        slot_count: scenario.announced_slots,
        connection_count: scenario.announced_slots * 10,
        is_exact: false,
    };
    let mut simulation = Simulation {
        policy: P::new(size),
        rng: StdRng::seed_from_u64(scenario.seed),
        events: BinaryHeap::new(),
        sequence: 0,
        requests: Vec::new(),
        by_ticket: HashMap::new(),
        target_queue: VecDeque::new(),
        busy_slots: 0,
        journal: Journal::default(),
        decisions: Vec::new(),
        scenario,
    };
    simulation.run();
    (simulation.journal, simulation.policy)
}

impl<P: AdmissionPolicy> Simulation<P> {
    fn run(&mut self) {
        for stream in 0..self.scenario.streams.len() {
            self.schedule_arrival(stream, 0);
        }
        self.schedule(TICK_US, Event::Tick);
        let until_us = self.scenario.until_s * SECOND_US;
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            if now_us >= until_us {
                return;
            }
            match event {
                Event::Arrive(stream) => self.arrive(stream, now_us),
                Event::Again(stream, left) => self.send(stream, left, now_us),
                Event::Finish(request) => self.finish(request, now_us),
                Event::Expire(request) => self.expire(request, now_us),
                Event::Tick => self.tick(now_us),
            }
            self.carry_out(now_us);
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn is_slow(&self, now_us: u64) -> bool {
        (self.scenario.slow_from_s..self.scenario.slow_until_s).contains(&(now_us / SECOND_US))
    }

    fn schedule_arrival(&mut self, stream: usize, now_us: u64) {
        let Stream {
            rate_per_s, surge, ..
        } = self.scenario.streams[stream];
        let factor = if self.is_slow(now_us) { surge } else { 1.0 };
        let gap_us = self.exponential(SECOND_US as f64 / (rate_per_s * factor));
        self.schedule(now_us + gap_us, Event::Arrive(stream));
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() * mean_us) as u64 + 1
    }

    fn arrive(&mut self, stream: usize, now_us: u64) {
        self.schedule_arrival(stream, now_us);
        let Stream {
            class, workspace, ..
        } = self.scenario.streams[stream];
        let second = now_us / SECOND_US;
        *self
            .journal
            .offered
            .entry((second, class, workspace))
            .or_default() += 1;
        self.send(stream, self.scenario.client_retry_count, now_us);
    }

    fn send(&mut self, stream: usize, retries_left: u8, now_us: u64) {
        let Stream {
            class,
            workspace,
            deadline_ms,
            ..
        } = self.scenario.streams[stream];
        let deadline_us = now_us + deadline_ms * 1000;
        let arrival = Arrival {
            class,
            workspace: WorkspaceKey::new(workspace),
            deadline_us,
        };
        let ticket = self.policy.arrive(arrival, now_us, &mut self.decisions);
        let index = self.requests.len();
        self.requests.push(Request {
            ticket,
            stream,
            retries_left,
            class,
            workspace,
            state: State::Waiting,
        });
        self.by_ticket.insert(ticket, index);
        self.schedule(deadline_us, Event::Expire(index));
    }

    fn send_again(&mut self, index: usize, now_us: u64) {
        let request = self.requests[index];
        if request.retries_left > 0 {
            let again = Event::Again(request.stream, request.retries_left - 1);
            self.schedule(now_us + CLIENT_PAUSE_US, again);
        }
    }

    fn carry_out(&mut self, now_us: u64) {
        for decision in std::mem::take(&mut self.decisions) {
            self.journal.decision_count += 1;
            match decision {
                Decision::Start(ticket) => {
                    let index = self.by_ticket[&ticket];
                    assert_eq!(self.requests[index].state, State::Waiting);
                    self.requests[index].state = State::InTargetQueue;
                    self.target_queue.push_back(index);
                }
                Decision::Refuse(ticket, _) => {
                    let index = self.by_ticket[&ticket];
                    assert_eq!(self.requests[index].state, State::Waiting);
                    self.requests[index].state = State::Over;
                    self.send_again(index, now_us);
                }
            }
        }
        self.fill_slots(now_us);
    }

    fn fill_slots(&mut self, now_us: u64) {
        while self.busy_slots < self.scenario.real_slots {
            let Some(index) = self.target_queue.pop_front() else {
                return;
            };
            if self.requests[index].state != State::InTargetQueue {
                continue;
            }
            self.requests[index].state = State::InSlot;
            self.busy_slots += 1;
            let factor = if self.is_slow(now_us) {
                self.scenario.slowdown
            } else {
                1.0
            };
            let service_us = self.exponential(self.scenario.service_ms * 1000.0 * factor);
            self.schedule(now_us + service_us, Event::Finish(index));
        }
    }

    fn finish(&mut self, index: usize, now_us: u64) {
        let request = self.requests[index];
        if request.state != State::InSlot {
            return;
        }
        self.requests[index].state = State::Over;
        self.busy_slots -= 1;
        *self
            .journal
            .whole
            .entry((now_us / SECOND_US, request.class, request.workspace))
            .or_default() += 1;
        self.policy.end(
            request.ticket,
            TargetResult::Answered,
            now_us,
            &mut self.decisions,
        );
    }

    fn expire(&mut self, index: usize, now_us: u64) {
        let request = self.requests[index];
        match request.state {
            State::Over => return,
            State::Waiting => {
                self.policy
                    .withdraw(request.ticket, now_us, &mut self.decisions);
            }
            State::InTargetQueue | State::InSlot => {
                if request.state == State::InSlot {
                    self.busy_slots -= 1;
                }
                self.policy.end(
                    request.ticket,
                    TargetResult::Cancelled,
                    now_us,
                    &mut self.decisions,
                );
            }
        }
        self.requests[index].state = State::Over;
        self.send_again(index, now_us);
    }

    fn tick(&mut self, now_us: u64) {
        self.schedule(now_us + TICK_US, Event::Tick);
        if let Report::Always(busy_ratio) = self.scenario.report {
            self.policy.report(LoadReport {
                busy_ratio,
                received_us: now_us,
            });
        }
        self.policy.tick(now_us, &mut self.decisions);
        let waiting = self
            .target_queue
            .iter()
            .filter(|index| self.requests[**index].state == State::InTargetQueue)
            .count();
        self.journal.target_waiting.push((now_us, waiting));
        self.journal
            .running
            .push((now_us, self.policy.running_count()));
    }
}
