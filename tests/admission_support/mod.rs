//! A discrete-event model of a target behind an admission policy.
//!
//! The target processes as many requests as it has slots, queues the rest in order of arrival and
//! honours cancellation. Service times are exponentially distributed. Time is simulated; seeds are
//! fixed.

// Each test program uses only part of the model.
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
/// Delay before a client retries.
const CLIENT_RETRY_DELAY_US: u64 = 10_000;

/// Requests of one workspace and class.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub class: Class,
    pub workspace: u16,
    pub rate_per_s: f64,
    /// Factor on the rate during the slowdown of the scenario.
    pub surge: f64,
    pub deadline_ms: u64,
}

/// Load reports of the target.
#[derive(Debug, Clone, Copy)]
pub enum Report {
    None,
    /// The same busy ratio on every tick.
    Always(f64),
}

/// Target, load and duration of one simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub real_slots: usize,
    pub announced_slots: u32,
    pub service_ms: f64,
    /// Factor on the service time during the slowdown.
    pub slowdown: f64,
    pub slow_from_s: u64,
    pub slow_until_s: u64,
    pub until_s: u64,
    pub streams: Vec<Stream>,
    pub report: Report,
    /// Retries of a client after a refusal or timeout, with a short delay and regardless of the
    /// retry time it was sent.
    pub client_retry_count: u8,
    pub seed: u64,
}

/// Counts requests by second of arrival, and completed requests by second of completion.
#[derive(Debug, Default)]
pub struct Recorder {
    pub offered: HashMap<(u64, Class, u16), u32>,
    pub completed: HashMap<(u64, Class, u16), u32>,
    /// Number of requests queued inside the target, sampled on every tick.
    pub target_waiting: Vec<(u64, usize)>,
    pub running: Vec<(u64, usize)>,
    pub decision_count: u64,
}

impl Recorder {
    pub fn completed_in(
        &self,
        from_s: u64,
        until_s: u64,
        filter: impl Fn(Class, u16) -> bool,
    ) -> u32 {
        count(&self.completed, from_s, until_s, filter)
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
    let values: Vec<usize> = samples
        .iter()
        .filter(|(time_us, _)| range.contains(time_us))
        .map(|(_, value)| *value)
        .collect();
    values.iter().sum::<usize>() as f64 / values.len().max(1) as f64
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    /// A client retries, with this number of retries left.
    Retry(usize, u8),
    Finish(usize),
    Expire(usize),
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    InTargetQueue,
    InSlot,
    Finished,
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

/// State of a running simulation.
pub struct Simulation<P> {
    scenario: Scenario,
    policy: P,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    index_by_ticket: HashMap<TicketKey, usize>,
    target_queue: VecDeque<usize>,
    busy_slots: usize,
    recorder: Recorder,
    decisions: Vec<Decision>,
}

/// Runs the scenario with policy `P`.
pub fn run<P: AdmissionPolicy>(scenario: Scenario) -> (Recorder, P) {
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
        index_by_ticket: HashMap::new(),
        target_queue: VecDeque::new(),
        busy_slots: 0,
        recorder: Recorder::default(),
        decisions: Vec::new(),
        scenario,
    };
    simulation.run();
    (simulation.recorder, simulation.policy)
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
                Event::Retry(stream, retries_left) => self.send(stream, retries_left, now_us),
                Event::Finish(request) => self.finish(request, now_us),
                Event::Expire(request) => self.expire(request, now_us),
                Event::Tick => self.tick(now_us),
            }
            self.execute_decisions(now_us);
        }
    }

    fn schedule(&mut self, time_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time_us, self.sequence, event)));
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
            .recorder
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
            objective_us: None,
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
        self.index_by_ticket.insert(ticket, index);
        self.schedule(deadline_us, Event::Expire(index));
    }

    fn schedule_retry(&mut self, index: usize, now_us: u64) {
        let request = self.requests[index];
        if request.retries_left > 0 {
            let retry = Event::Retry(request.stream, request.retries_left - 1);
            self.schedule(now_us + CLIENT_RETRY_DELAY_US, retry);
        }
    }

    fn execute_decisions(&mut self, now_us: u64) {
        for decision in std::mem::take(&mut self.decisions) {
            self.recorder.decision_count += 1;
            match decision {
                Decision::Start(ticket) => {
                    let index = self.index_by_ticket[&ticket];
                    assert_eq!(self.requests[index].state, State::Waiting);
                    self.requests[index].state = State::InTargetQueue;
                    self.target_queue.push_back(index);
                }
                Decision::Refuse(ticket, _) => {
                    let index = self.index_by_ticket[&ticket];
                    assert_eq!(self.requests[index].state, State::Waiting);
                    self.requests[index].state = State::Finished;
                    self.schedule_retry(index, now_us);
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
        self.requests[index].state = State::Finished;
        self.busy_slots -= 1;
        *self
            .recorder
            .completed
            .entry((now_us / SECOND_US, request.class, request.workspace))
            .or_default() += 1;
        self.policy.end(
            request.ticket,
            TargetResult::Completed,
            now_us,
            &mut self.decisions,
        );
    }

    fn expire(&mut self, index: usize, now_us: u64) {
        let request = self.requests[index];
        match request.state {
            State::Finished => return,
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
        self.requests[index].state = State::Finished;
        self.schedule_retry(index, now_us);
    }

    fn tick(&mut self, now_us: u64) {
        self.schedule(now_us + TICK_US, Event::Tick);
        if let Report::Always(busy_ratio) = self.scenario.report {
            self.policy.record_load_report(LoadReport {
                waiting_count: 0,
                work_time_percent: None,
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
        self.recorder.target_waiting.push((now_us, waiting));
        self.recorder
            .running
            .push((now_us, self.policy.running_count()));
    }
}
