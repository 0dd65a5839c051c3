//! No interleaving of requests, losses, restarts, pauses and slice table changes
//! executes an idempotency key twice.
//!
//! Three nodes compete for one slice. A request may pause for any time between
//! the home's decision and the target; meanwhile the slice is taken over or
//! transferred, and handovers of keys arrive late, twice or never. A second
//! execution would be, for example, an order that has to be paid twice.

use {
    bolero::{TypeGenerator, check},
    dogwoodbridge::{
        freshness::{DRIFT_MARGIN_MS, FRESH_LIMIT_MS, Freshness},
        guard::{
            BeginDecision, ExecutionResult, GuardKey, GuardTable, GuardTime, Handover,
            KeyedRequest, SliceHistory, StoredResponse,
        },
        model::WorkspaceKey,
    },
    std::collections::HashMap,
};

const NODE_COUNT: usize = 3;
const SCHEDULE_COUNT: usize = 20_000;
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// Offsets of the nodes' wall clocks; they differ by less than the guard's
/// `CLOCK_MARGIN_MS`.
const NODE_CLOCK_OFFSET_MS: [u64; NODE_COUNT] = [0, 900, 1900];

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    /// By this many times 8 ms.
    AdvanceClock(u8),
    AdvanceClockFar,
    CreateKey {
        opaque: bool,
        clock: u8,
    },
    SendRequest {
        node: u8,
        key: u8,
    },
    EndExecution {
        execution: u8,
        result: u8,
    },
    PollPlatform {
        node: u8,
    },
    SuspectOwner,
    TakeOver {
        node: u8,
    },
    Transfer {
        to: u8,
        takes_effect: bool,
    },
    DeliverHandover {
        handover: u8,
    },
    Restart {
        node: u8,
    },
}

struct Node {
    guard: GuardTable,
    polled_ms: Option<u64>,
    polled_version: u64,
    process: u32,
}

impl Node {
    fn new(process: u32) -> Self {
        Self {
            guard: GuardTable::new(process.into()),
            polled_ms: None,
            polled_version: 0,
            process,
        }
    }
}

/// Simulated nodes, slice table, running executions and handovers in transit.
struct Fixture {
    now_ms: u64,
    nodes: [Node; NODE_COUNT],
    version: u64,
    since_version: u64,
    owner: usize,
    suspected_ms: Option<u64>,
    keys: Vec<KeyedRequest>,
    /// Node, process of the node, and key.
    executions: Vec<(usize, u32, GuardKey)>,
    process_count: u32,
    execution_counts: HashMap<GuardKey, u32>,
    handovers: Vec<Handover>,
}

const fn key(index: usize) -> GuardKey {
    GuardKey {
        workspace: WorkspaceKey::new(0),
        key_hash: 4096 * index as u128,
    }
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self {
            now_ms: 20_000,
            nodes: [Node::new(0), Node::new(1), Node::new(2)],
            version: 1,
            since_version: 1,
            owner: 0,
            suspected_ms: None,
            keys: vec![],
            executions: vec![],
            process_count: 2,
            execution_counts: HashMap::new(),
            handovers: vec![],
        };
        let history = SliceHistory {
            since_epoch: 1,
            known_since_unix_ms: 0,
        };
        fixture.nodes[0].guard.hold(key(0).slice(), history);
        fixture.poll_platform(0);
        fixture
    }

    fn time(&self, node: usize) -> GuardTime {
        GuardTime {
            now_ms: self.now_ms,
            unix_ms: START_UNIX_MS + self.now_ms + NODE_CLOCK_OFFSET_MS[node],
        }
    }

    fn freshness(&self, node: usize) -> Freshness {
        let node = &self.nodes[node];
        let is_fresh = node
            .polled_ms
            .is_some_and(|polled_ms| self.now_ms < polled_ms + FRESH_LIMIT_MS);
        if is_fresh {
            Freshness::Fresh
        } else {
            Freshness::CutOff
        }
    }

    /// A node polls the platform; a suspected owner clears its suspicion.
    fn poll_platform(&mut self, node: usize) {
        if self.owner == node && self.suspected_ms.take().is_some() {
            self.version += 1;
        }
        let time = self.time(node);
        let state = &mut self.nodes[node];
        state.polled_ms = Some(self.now_ms);
        state.polled_version = self.version;
        let slice = key(0).slice();
        if self.owner != node {
            state.guard.release(slice, time);
            return;
        }
        let history = state.guard.history(slice);
        if history.is_some_and(|history| history.since_epoch == self.since_version) {
            return;
        }
        state.guard.release(slice, time);
        let history = SliceHistory {
            since_epoch: self.since_version,
            known_since_unix_ms: time.unix_ms,
        };
        state.guard.hold(slice, history);
    }

    fn move_to(&mut self, node: usize) {
        self.version += 1;
        self.since_version = self.version;
        self.owner = node;
        self.suspected_ms = None;
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::AdvanceClock(count) => self.now_ms += u64::from(count) * 8,
            Step::AdvanceClockFar => self.now_ms += FRESH_LIMIT_MS + DRIFT_MARGIN_MS,
            Step::CreateKey { opaque, clock } => self.create_key(opaque, clock),
            Step::SendRequest { node, key } => self.send(usize::from(node) % NODE_COUNT, key),
            Step::EndExecution { execution, result } => self.end_execution(execution, result),
            Step::PollPlatform { node } => self.poll_platform(usize::from(node) % NODE_COUNT),
            Step::SuspectOwner => {
                self.version += 1;
                self.suspected_ms = self.suspected_ms.or(Some(self.now_ms));
            }
            Step::TakeOver { node } => self.take_over(usize::from(node) % NODE_COUNT),
            Step::Transfer { to, takes_effect } => {
                self.transfer(usize::from(to) % NODE_COUNT, takes_effect);
            }
            Step::DeliverHandover { handover } => self.deliver_handover(handover),
            Step::Restart { node } => self.restart(usize::from(node) % NODE_COUNT),
        }
    }

    fn restart(&mut self, node: usize) {
        self.process_count += 1;
        self.nodes[node] = Node::new(self.process_count);
    }

    fn create_key(&mut self, opaque: bool, clock: u8) {
        // Callers' clocks are up to 2 s ahead of the nodes' and 8 s behind.
        let created_ms = START_UNIX_MS + self.now_ms + 2000 - u64::from(clock) * 40;
        let request = KeyedRequest {
            key: key(self.keys.len()),
            created_unix_ms: (!opaque).then_some(created_ms),
            fingerprint: 1,
        };
        self.keys.push(request);
    }

    fn send(&mut self, node: usize, key: u8) {
        let Some(request) = pick(&self.keys, key).copied() else {
            return;
        };
        let (time, freshness) = (self.time(node), self.freshness(node));
        if self.nodes[node].guard.begin(&request, time, freshness) == BeginDecision::Execute {
            let process = self.nodes[node].process;
            self.executions.push((node, process, request.key));
        }
    }

    fn end_execution(&mut self, execution: u8, result: u8) {
        if self.executions.is_empty() {
            return;
        }
        let index = usize::from(execution) % self.executions.len();
        let (node, process, key) = self.executions.swap_remove(index);
        let response = StoredResponse {
            status: 200,
            headers: vec![],
            body: "done".into(),
        };
        let finish = match result % 3 {
            0 => ExecutionResult::NotRun,
            1 => ExecutionResult::Unknown,
            _ => ExecutionResult::Responded(response),
        };
        if finish != ExecutionResult::NotRun {
            *self.execution_counts.entry(key).or_default() += 1;
        }
        let time = self.time(node);
        // A restarted process does not know results of its predecessor.
        if self.nodes[node].process == process {
            self.nodes[node].guard.finish(key, finish, time);
        }
    }

    fn take_over(&mut self, node: usize) {
        let wait_ms = FRESH_LIMIT_MS + DRIFT_MARGIN_MS;
        if self
            .suspected_ms
            .is_some_and(|since_ms| self.now_ms >= since_ms + wait_ms)
        {
            self.move_to(node);
        }
    }

    fn transfer(&mut self, to: usize, takes_effect: bool) {
        let owner = self.owner;
        let is_current = self.nodes[owner].polled_version == self.version;
        if !is_current || self.freshness(owner) == Freshness::CutOff {
            return;
        }
        let time = self.time(owner);
        let Some(export) = self.nodes[owner].guard.release(key(0).slice(), time) else {
            return;
        };
        let to_started_unix_ms = self.nodes[to].process.into();
        if takes_effect {
            self.move_to(to);
            self.handovers.push(Handover {
                export,
                moved_by_epoch: self.version,
                to_started_unix_ms,
            });
        }
    }

    fn deliver_handover(&mut self, handover: u8) {
        if let Some(handover) = pick(&self.handovers, handover).cloned() {
            let (owner, time) = (self.owner, self.time(self.owner));
            self.nodes[owner].guard.import(handover, time);
        }
    }
}

fn pick<T>(items: &[T], index: u8) -> Option<&T> {
    items.get(usize::from(index).checked_rem(items.len())?)
}

#[test]
fn no_interleaving_runs_a_key_twice() {
    check!()
        .with_iterations(20_000)
        .with_max_len(4096)
        .with_type::<Vec<Step>>()
        .for_each(|steps| {
            let mut fixture = Fixture::new();
            for step in steps {
                fixture.apply(*step);
                assert!(
                    fixture.execution_counts.values().all(|count| *count <= 1),
                    "{:?}",
                    fixture.execution_counts
                );
            }
        });
}

/// Guards against a property test that passes only because its schedules reach
/// hardly any execution or move of the slice.
#[test]
fn the_property_reaches_executions_after_takeovers_and_handovers() {
    use rand::{Rng, SeedableRng, rngs::StdRng};
    let mut random = StdRng::seed_from_u64(4);
    let (mut execution_count, mut moved_count) = (0, 0);
    for _ in 0..SCHEDULE_COUNT {
        let mut fixture = Fixture::new();
        for _ in 0..400 {
            let (a, b) = (random.random::<u8>(), random.random::<u8>());
            fixture.apply(match random.random_range(0..30) {
                0..4 => Step::AdvanceClock(a),
                4 => Step::AdvanceClockFar,
                5..8 => Step::CreateKey {
                    opaque: a < 64,
                    clock: b,
                },
                8..14 => Step::SendRequest { node: a, key: b },
                14..17 => Step::EndExecution {
                    execution: a,
                    result: b,
                },
                17..24 => Step::PollPlatform { node: a },
                24 => Step::SuspectOwner,
                25 => Step::TakeOver { node: a },
                26 => Step::Transfer {
                    to: a,
                    takes_effect: b < 200,
                },
                27..29 => Step::DeliverHandover { handover: a },
                _ if b < 64 => Step::Restart { node: a },
                _ => Step::AdvanceClock(b),
            });
            assert!(
                fixture.execution_counts.values().all(|count| *count <= 1),
                "{:?}",
                fixture.execution_counts
            );
        }
        execution_count += fixture.execution_counts.len();
        moved_count += usize::from(fixture.since_version > 1);
    }
    println!(
        "{execution_count} keys executed, slice moved in {moved_count} of {SCHEDULE_COUNT} schedules"
    );
    assert!(execution_count > SCHEDULE_COUNT && moved_count > SCHEDULE_COUNT / 4);
}
