//! No interleaving of sends, losses, restarts, pauses and table changes runs
//! an idempotency key twice.
//!
//! Three nodes share one slice. A send may stop between the home's decision
//! and the target for any time, tables are taken over or handed on meanwhile,
//! handed-over keys arrive late, twice or never. A user would notice a second
//! execution as an order that has to be paid twice.

use {
    bolero::{TypeGenerator, check},
    dogwoodbridge::{
        freshness::{DRIFT_MARGIN_MS, FRESH_LIMIT_MS, Freshness},
        guard::{
            Begin, Finish, GuardKey, GuardTable, GuardTime, Handover, History, KeyedRequest,
            StoredAnswer,
        },
        model::WorkspaceKey,
    },
    std::collections::HashMap,
};

const NODE_COUNT: usize = 3;
const SCHEDULE_COUNT: usize = 20_000;
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// Wall clocks of the nodes are this far apart at most.
const NODE_CLOCK_MS: [u64; NODE_COUNT] = [0, 900, 1900];

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Wait(u8),
    LongWait,
    NewKey { opaque: bool, clock: u8 },
    Send { node: u8, key: u8 },
    End { execution: u8, how: u8 },
    Look { node: u8 },
    Mark,
    Take { node: u8 },
    Give { to: u8, takes_effect: bool },
    Deliver { handover: u8 },
    Restart { node: u8 },
}

struct Node {
    guard: GuardTable,
    looked_ms: Option<u64>,
    seen_version: u64,
    process: u32,
}

impl Node {
    fn new(process: u32) -> Self {
        Self {
            guard: GuardTable::new(process.into()),
            looked_ms: None,
            seen_version: 0,
            process,
        }
    }
}

struct World {
    now_ms: u64,
    nodes: [Node; NODE_COUNT],
    version: u64,
    since_version: u64,
    owner: usize,
    marked_ms: Option<u64>,
    keys: Vec<KeyedRequest>,
    /// Node, its process and the key.
    executions: Vec<(usize, u32, GuardKey)>,
    process_count: u32,
    runs: HashMap<GuardKey, u32>,
    handovers: Vec<Handover>,
}

const fn key(index: usize) -> GuardKey {
    GuardKey {
        workspace: WorkspaceKey::new(0),
        key_hash: 4096 * index as u128,
    }
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_ms: 20_000,
            nodes: [Node::new(0), Node::new(1), Node::new(2)],
            version: 1,
            since_version: 1,
            owner: 0,
            marked_ms: None,
            keys: vec![],
            executions: vec![],
            process_count: 2,
            runs: HashMap::new(),
            handovers: vec![],
        };
        let history = History {
            since_version: 1,
            known_since_unix_ms: 0,
        };
        world.nodes[0].guard.hold(key(0).slice(), history);
        world.look(0);
        world
    }

    fn time(&self, node: usize) -> GuardTime {
        GuardTime {
            now_ms: self.now_ms,
            unix_ms: START_UNIX_MS + self.now_ms + NODE_CLOCK_MS[node],
        }
    }

    fn freshness(&self, node: usize) -> Freshness {
        let node = &self.nodes[node];
        let is_fresh = node
            .looked_ms
            .is_some_and(|at| self.now_ms < at + FRESH_LIMIT_MS);
        if is_fresh {
            Freshness::Fresh
        } else {
            Freshness::CutOff
        }
    }

    /// A node looks at the platform; a marked owner clears its mark.
    fn look(&mut self, node: usize) {
        if self.owner == node && self.marked_ms.take().is_some() {
            self.version += 1;
        }
        let time = self.time(node);
        let state = &mut self.nodes[node];
        state.looked_ms = Some(self.now_ms);
        state.seen_version = self.version;
        let slice = key(0).slice();
        if self.owner != node {
            state.guard.release(slice, time);
            return;
        }
        let held = state.guard.history(slice);
        if held.is_some_and(|held| held.since_version == self.since_version) {
            return;
        }
        state.guard.release(slice, time);
        let history = History {
            since_version: self.since_version,
            known_since_unix_ms: time.unix_ms,
        };
        state.guard.hold(slice, history);
    }

    fn move_to(&mut self, node: usize) {
        self.version += 1;
        self.since_version = self.version;
        self.owner = node;
        self.marked_ms = None;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.now_ms += u64::from(ms) * 8,
            Step::LongWait => self.now_ms += FRESH_LIMIT_MS + DRIFT_MARGIN_MS,
            Step::NewKey { opaque, clock } => self.new_key(opaque, clock),
            Step::Send { node, key } => self.send(usize::from(node) % NODE_COUNT, key),
            Step::End { execution, how } => self.end(execution, how),
            Step::Look { node } => self.look(usize::from(node) % NODE_COUNT),
            Step::Mark => {
                self.version += 1;
                self.marked_ms = self.marked_ms.or(Some(self.now_ms));
            }
            Step::Take { node } => self.take(usize::from(node) % NODE_COUNT),
            Step::Give { to, takes_effect } => {
                self.give(usize::from(to) % NODE_COUNT, takes_effect);
            }
            Step::Deliver { handover } => self.deliver(handover),
            Step::Restart { node } => self.restart(usize::from(node) % NODE_COUNT),
        }
    }

    fn restart(&mut self, node: usize) {
        self.process_count += 1;
        self.nodes[node] = Node::new(self.process_count);
    }

    fn new_key(&mut self, opaque: bool, clock: u8) {
        // Callers' clocks are up to two seconds ahead and eight behind.
        let made_ms = START_UNIX_MS + self.now_ms + 2000 - u64::from(clock) * 40;
        let request = KeyedRequest {
            key: key(self.keys.len()),
            made_unix_ms: (!opaque).then_some(made_ms),
            fingerprint: 1,
        };
        self.keys.push(request);
    }

    fn send(&mut self, node: usize, key: u8) {
        let Some(request) = pick(&self.keys, key).copied() else {
            return;
        };
        let (time, freshness) = (self.time(node), self.freshness(node));
        if self.nodes[node].guard.begin(&request, time, freshness) == Begin::Execute {
            let process = self.nodes[node].process;
            self.executions.push((node, process, request.key));
        }
    }

    fn end(&mut self, execution: u8, how: u8) {
        if self.executions.is_empty() {
            return;
        }
        let place = usize::from(execution) % self.executions.len();
        let (node, process, key) = self.executions.swap_remove(place);
        let answer = StoredAnswer {
            status: 200,
            headers: vec![],
            body: "done".into(),
        };
        let finish = match how % 3 {
            0 => Finish::NotRun,
            1 => Finish::Unknown,
            _ => Finish::Answered(answer),
        };
        if finish != Finish::NotRun {
            *self.runs.entry(key).or_default() += 1;
        }
        let time = self.time(node);
        // What a process learns of its execution, its successor does not.
        if self.nodes[node].process == process {
            self.nodes[node].guard.finish(key, finish, time);
        }
    }

    fn take(&mut self, node: usize) {
        let wait_ms = FRESH_LIMIT_MS + DRIFT_MARGIN_MS;
        if self.marked_ms.is_some_and(|at| self.now_ms >= at + wait_ms) {
            self.move_to(node);
        }
    }

    fn give(&mut self, to: usize, takes_effect: bool) {
        let owner = self.owner;
        let is_current = self.nodes[owner].seen_version == self.version;
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
                moved_by_version: self.version,
                to_started_unix_ms,
            });
        }
    }

    fn deliver(&mut self, handover: u8) {
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
            let mut world = World::new();
            for step in steps {
                world.step(*step);
                assert!(
                    world.runs.values().all(|runs| *runs <= 1),
                    "{:?}",
                    world.runs
                );
            }
        });
}

#[test]
fn the_property_reaches_executions_after_takeovers_and_handovers() {
    use rand::{Rng, SeedableRng, rngs::StdRng};
    let mut random = StdRng::seed_from_u64(4);
    let (mut run_count, mut moved_count) = (0, 0);
    for _ in 0..SCHEDULE_COUNT {
        let mut world = World::new();
        for _ in 0..400 {
            let (a, b) = (random.random::<u8>(), random.random::<u8>());
            world.step(match random.random_range(0..30) {
                0..4 => Step::Wait(a),
                4 => Step::LongWait,
                5..8 => Step::NewKey {
                    opaque: a < 64,
                    clock: b,
                },
                8..14 => Step::Send { node: a, key: b },
                14..17 => Step::End {
                    execution: a,
                    how: b,
                },
                17..24 => Step::Look { node: a },
                24 => Step::Mark,
                25 => Step::Take { node: a },
                26 => Step::Give {
                    to: a,
                    takes_effect: b < 200,
                },
                27..29 => Step::Deliver { handover: a },
                _ if b < 64 => Step::Restart { node: a },
                _ => Step::Wait(b),
            });
            assert!(
                world.runs.values().all(|runs| *runs <= 1),
                "{:?}",
                world.runs
            );
        }
        run_count += world.runs.len();
        moved_count += usize::from(world.since_version > 1);
    }
    println!("{run_count} keys run, slice moved in {moved_count} of {SCHEDULE_COUNT} schedules");
    assert!(run_count > SCHEDULE_COUNT && moved_count > SCHEDULE_COUNT / 4);
}
