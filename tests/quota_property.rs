//! Property test: fleet-wide rate and burst hold in every window under faults,
//! and the available rate can be used.
//!
//! Nodes are state machines around the pure quota types. Messages are lost,
//! duplicated, delayed and reordered; processes are paused, so that their
//! clocks jump, and restarted; views split, so that there are two pools; slices
//! move.

use {
    dogwoodbridge::{
        model::WorkspaceKey,
        quota::{
            BorrowRequest, BorrowResponse, BorrowedTokens, LeaseRequest, LeaseResponse,
            PoolHandover, PoolRef, Process, QuotaOwner, Rate, TokenPool,
            limits::{CLOCK_MARGIN_MS, LEASE_TTL_MS},
            window_violations,
        },
        slices::{SLICE_COUNT, SliceIndex},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::HashMap,
};

const WORKSPACE: WorkspaceKey = WorkspaceKey::new(0);
const STEP_US: u64 = 1000;
const BORROW_TIMEOUT_US: u64 = 20_000;
const OWNER_COUNT: usize = 4;
/// Shares are full after the quarantine and burst / rate.
const WARM_UP_MS: u64 = (LEASE_TTL_MS + CLOCK_MARGIN_MS) as u64 + 4000;

#[derive(Clone)]
enum Message {
    LeaseRequest { request: LeaseRequest, call: u64 },
    LeaseResponse { call: u64, response: LeaseResponse },
    TakeOver { call: u64 },
    Handover { call: u64, handover: PoolHandover },
    BorrowRequest { request: BorrowRequest, call: u64 },
    BorrowResponse { call: u64, response: BorrowResponse },
}

#[derive(Clone)]
struct QueuedMessage {
    from: usize,
    to: usize,
    due_us: u64,
    message: Message,
}

struct Call {
    number: u64,
    sent_us: u64,
    is_abandoned: bool,
}

struct Node {
    clock_offset_us: u64,
    paused_until_us: u64,
    owner: QuotaOwner,
    pool: TokenPool,
    tokens: BorrowedTokens,
    calls: Vec<Call>,
    /// Send times of the pool's calls to owners and previous pools.
    pool_calls: HashMap<u64, u64>,
    wait_count: u32,
    group: usize,
}

/// Rates of the injected faults.
#[derive(Clone, Copy)]
struct Faults {
    loss_percent: u32,
    duplicate_percent: u32,
    max_delay_us: u64,
    slow_percent: u32,
    pause_permille: u32,
    restart_permille: u32,
    split_permille: u32,
    slice_move_permille: u32,
    pool_move_permille: u32,
}

const NO_FAULTS: Faults = Faults {
    loss_percent: 0,
    duplicate_percent: 0,
    max_delay_us: 1000,
    slow_percent: 0,
    pause_permille: 0,
    restart_permille: 0,
    split_permille: 0,
    slice_move_permille: 0,
    pool_move_permille: 0,
};

struct Simulation {
    random: StdRng,
    faults: Faults,
    rate: Rate,
    now_us: u64,
    nodes: Vec<Node>,
    owners: Vec<(usize, u64)>,
    queue: Vec<QueuedMessage>,
    admissions: Vec<u64>,
    refused_count: u64,
    message_count: u64,
    next_number: u64,
    epoch: u64,
    pool_shift: usize,
}

impl Simulation {
    fn new(seed: u64, node_count: usize, rate: Rate, faults: Faults) -> Self {
        let mut simulation = Self {
            random: StdRng::seed_from_u64(seed),
            faults,
            rate,
            now_us: 1_000_000,
            nodes: vec![],
            owners: (0..SLICE_COUNT)
                .map(|slice| (slice % OWNER_COUNT, 1))
                .collect(),
            queue: vec![],
            admissions: vec![],
            refused_count: 0,
            message_count: 0,
            next_number: 1,
            epoch: 1,
            pool_shift: node_count - 1,
        };
        for index in 0..node_count {
            let node = simulation.new_process(index);
            simulation.nodes.push(node);
            simulation.observe_table(index);
        }
        simulation
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn new_process(&mut self, index: usize) -> Node {
        let process = self.number();
        let clock_offset_us = self.random.random_range(0..10_000_000);
        let now_us = self.now_us + clock_offset_us;
        let name = Process {
            node_id: index.to_string(),
            started_unix_ms: process,
        };
        Node {
            clock_offset_us,
            paused_until_us: 0,
            owner: QuotaOwner::new(),
            pool: TokenPool::new(self.random.random(), now_us),
            tokens: BorrowedTokens::new(WORKSPACE, name),
            calls: vec![],
            pool_calls: HashMap::new(),
            wait_count: 0,
            group: 0,
        }
    }

    fn clock_us(&self, node: usize) -> u64 {
        self.now_us + self.nodes[node].clock_offset_us
    }

    fn observe_table(&mut self, node: usize) {
        let owned = self.owners.iter().enumerate();
        let owned = owned.filter(|(_, (owner, _))| *owner == node);
        let slice = |index| SliceIndex::new(u16::try_from(index).expect("few"));
        let owned: Vec<_> = owned
            .map(|(index, (_, epoch))| (slice(index), *epoch))
            .collect();
        let (rate, now_us) = (self.rate, self.clock_us(node));
        self.nodes[node].owner.set_slices(owned, |_| rate, now_us);
    }

    /// All nodes of a group agree on the pool's node; it changes with the
    /// members.
    fn pool_node_of(&self, node: usize) -> usize {
        let group = self.nodes[node].group;
        let count = self.nodes.len();
        let candidates = (0..count).map(|index| (index + self.pool_shift) % count);
        let mut group_members = candidates.filter(|other| self.nodes[*other].group == group);
        group_members.next().expect("a node is in its own group")
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        self.message_count += 1;
        let copies = if self.chance_percent(self.faults.duplicate_percent) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_local = from == to;
            if !is_local && self.chance_percent(self.faults.loss_percent) {
                continue;
            }
            let is_slow = self.chance_percent(self.faults.slow_percent);
            let max_us = if is_slow {
                3_000_000
            } else {
                self.faults.max_delay_us
            };
            let delay_us = if is_local {
                0
            } else {
                self.random.random_range(0..=max_us)
            };
            self.queue.push(QueuedMessage {
                from,
                to,
                due_us: self.now_us + delay_us,
                message: message.clone(),
            });
        }
    }

    fn chance_percent(&mut self, percent: u32) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }

    fn chance_permille(&mut self, permille: u32) -> bool {
        permille > 0 && self.random.random_range(0..1000) < permille
    }

    fn is_paused(&self, node: usize) -> bool {
        self.nodes[node].paused_until_us > self.now_us
    }

    fn deliver(&mut self) {
        let queue = std::mem::take(&mut self.queue);
        for queued in queue {
            let crosses_partition = self.nodes[queued.from].group != self.nodes[queued.to].group;
            if queued.due_us > self.now_us || self.is_paused(queued.to) {
                self.queue.push(queued);
            } else if !crosses_partition {
                self.handle(queued);
            }
        }
    }

    fn handle(&mut self, queued: QueuedMessage) {
        let QueuedMessage { from, to, .. } = queued;
        let (rate, now_us) = (self.rate, self.clock_us(to));
        let node = &mut self.nodes[to];
        match queued.message {
            Message::LeaseRequest { request, call } => {
                let response = node.owner.lease(&request, rate, now_us);
                self.send(to, from, &Message::LeaseResponse { call, response });
            }
            Message::LeaseResponse { call, response } => {
                if let Some(sent_us) = node.pool_calls.remove(&call) {
                    let owner = from.to_string();
                    let holder = node
                        .pool
                        .apply_lease(&owner, sent_us, response, rate, now_us);
                    self.request_handover(to, holder);
                }
            }
            Message::TakeOver { call } => {
                if self.pool_node_of(to) != to {
                    let next_id = self.random.random();
                    let handover = self.nodes[to].pool.hand_over(next_id, rate, now_us);
                    self.send(to, from, &Message::Handover { call, handover });
                }
            }
            Message::Handover { call, handover } => {
                if let Some(sent_us) = node.pool_calls.remove(&call) {
                    node.pool.accept_handover(sent_us, handover, rate, now_us);
                    self.query_owners(to);
                }
            }
            Message::BorrowRequest { request, call } => {
                node.pool.mark_active(now_us);
                self.query_owners(to);
                if self.nodes[to].pool.is_waiting_for_owners(now_us) {
                    let due_us = self.now_us + STEP_US;
                    let message = Message::BorrowRequest { request, call };
                    self.queue.push(QueuedMessage {
                        due_us,
                        message,
                        ..queued
                    });
                    return;
                }
                let node = &mut self.nodes[to];
                let response = node.pool.borrow(&request, rate, now_us);
                self.send(to, from, &Message::BorrowResponse { call, response });
            }
            Message::BorrowResponse { call, response } => {
                let index = node.calls.iter().position(|pending| pending.number == call);
                let Some(index) = index else {
                    return;
                };
                let call = node.calls.swap_remove(index);
                node.tokens.apply_response(call.sent_us, response, now_us);
                self.serve_waiting(to);
            }
        }
    }

    fn request_handover(&mut self, node: usize, holder: Option<PoolRef>) {
        let Some(holder) = holder else {
            return;
        };
        let holder = holder.node_id.parse().expect("a number");
        if holder != node {
            let call = self.record_pool_call(node);
            self.send(node, holder, &Message::TakeOver { call });
        }
    }

    fn record_pool_call(&mut self, node: usize) -> u64 {
        let (call, now_us) = (self.number(), self.clock_us(node));
        self.nodes[node].pool_calls.insert(call, now_us);
        call
    }

    fn serve_waiting(&mut self, node: usize) {
        let now_us = self.clock_us(node);
        let state = &mut self.nodes[node];
        while state.wait_count > 0 && state.tokens.take(now_us) {
            state.wait_count -= 1;
            self.admissions.push(self.now_us);
        }
        let is_empty = now_us < state.tokens.empty_until_us();
        if is_empty {
            self.refused_count += u64::from(state.wait_count);
            state.wait_count = 0;
        }
    }

    fn admit_or_wait(&mut self, node: usize) {
        if self.is_paused(node) {
            return;
        }
        let now_us = self.clock_us(node);
        let state = &mut self.nodes[node];
        state.tokens.record_demand(now_us);
        if state.tokens.take(now_us) {
            self.admissions.push(self.now_us);
        } else if now_us < state.tokens.empty_until_us() {
            self.refused_count += 1;
        } else {
            state.wait_count += 1;
        }
    }

    fn tick(&mut self, node: usize) {
        let now_us = self.clock_us(node);
        let has_returns = self.nodes[node].tokens.collect_returns(now_us);
        let state = &mut self.nodes[node];
        let mut timed_out = false;
        for call in &mut state.calls {
            let is_late = !call.is_abandoned && now_us >= call.sent_us + BORROW_TIMEOUT_US;
            call.is_abandoned |= is_late;
            timed_out |= is_late;
        }
        if timed_out {
            self.refused_count += u64::from(state.wait_count);
            state.wait_count = 0;
        }
        let is_borrowing = state.calls.iter().any(|call| !call.is_abandoned);
        if !is_borrowing && (state.wait_count > 0 || has_returns) {
            let request = state.tokens.build_request(state.wait_count, now_us);
            let number = self.number();
            self.nodes[node].calls.push(Call {
                number,
                sent_us: now_us,
                is_abandoned: false,
            });
            let pool = self.pool_node_of(node);
            self.send(
                node,
                pool,
                &Message::BorrowRequest {
                    request,
                    call: number,
                },
            );
        }
        self.query_owners(node);
        let (rate, state) = (self.rate, &mut self.nodes[node]);
        state.owner.track([(WORKSPACE, rate)], now_us);
    }

    fn query_owners(&mut self, node: usize) {
        if self.pool_node_of(node) != node {
            return;
        }
        let now_us = self.clock_us(node);
        let names: Vec<String> = (0..OWNER_COUNT).map(|owner| owner.to_string()).collect();
        let pool = &mut self.nodes[node].pool;
        let queries = pool.owners_to_query(names.iter().map(String::as_str), now_us);
        let pool = PoolRef {
            node_id: node.to_string(),
            pool_id: pool.pool_id(),
        };
        for query in queries {
            let request = LeaseRequest {
                workspace: WORKSPACE,
                pool: pool.clone(),
                predecessor_id: query.predecessor_id,
            };
            let owner = query.owner.parse().expect("a number");
            let call = self.record_pool_call(node);
            self.send(node, owner, &Message::LeaseRequest { request, call });
        }
    }

    fn inject_faults(&mut self) {
        let node = self.random.random_range(0..self.nodes.len());
        if self.chance_permille(self.faults.pause_permille) {
            let pause_us = self.random.random_range(0..5_000_000);
            self.nodes[node].paused_until_us = self.now_us + pause_us;
        }
        if self.chance_permille(self.faults.restart_permille) {
            let group = self.nodes[node].group;
            self.nodes[node] = self.new_process(node);
            self.nodes[node].group = group;
            self.observe_table(node);
        }
        if self.chance_permille(self.faults.split_permille) {
            for node in 0..self.nodes.len() {
                self.nodes[node].group = self.random.random_range(0..2);
            }
        }
        if self.chance_permille(self.faults.split_permille * 2) {
            self.nodes.iter_mut().for_each(|node| node.group = 0);
        }
        if self.chance_permille(self.faults.pool_move_permille) {
            self.pool_shift = self.random.random_range(0..self.nodes.len());
        }
        if self.chance_permille(self.faults.slice_move_permille) {
            self.move_slices();
        }
    }

    /// An owner gives slices up before the table is written.
    fn move_slices(&mut self) {
        let (from, to) = (
            self.random.random_range(0..OWNER_COUNT),
            self.random.random_range(0..OWNER_COUNT),
        );
        if self.is_paused(from) || self.is_paused(to) {
            return;
        }
        self.epoch += 1;
        let epoch = self.epoch;
        let owned = self.owners.iter_mut().filter(|(owner, _)| *owner == from);
        for owner in owned.take(100) {
            *owner = (to, epoch);
        }
        self.observe_table(from);
        self.observe_table(to);
    }

    fn run(&mut self, time_ms: u64, load: impl Fn(&mut StdRng, u64) -> Vec<usize>) {
        for _ in 0..time_ms {
            self.now_us += STEP_US;
            self.inject_faults();
            self.deliver();
            for node in load(&mut self.random, self.now_us) {
                self.admit_or_wait(node);
            }
            for node in 0..self.nodes.len() {
                if !self.is_paused(node) {
                    self.tick(node);
                }
            }
            self.deliver();
        }
    }
}

struct Case {
    name: &'static str,
    faults: Faults,
    rate: Rate,
}

const fn rate(rate_per_s: u32, burst_count: u32) -> Rate {
    Rate {
        rate_per_s,
        burst_count,
    }
}

/// A node's demand grows, so that it borrows ahead; it goes idle while the
/// shares fill up; then every node requests as much as it can get.
fn adversarial_load(random: &mut StdRng, now_us: u64, rate: Rate) -> Vec<usize> {
    let period = now_us / 2_500_000;
    let phase_ms = now_us / 1000 % 2500;
    let silence_ms = 100 + period * 397 % 900;
    let busy = usize::try_from(period % 8).expect("small");
    if phase_ms < 900 {
        let is_due = random.random_range(0..1000) < rate.rate_per_s;
        return if is_due { vec![busy] } else { vec![] };
    }
    let is_flood = (900 + silence_ms..1300 + silence_ms).contains(&phase_ms);
    if is_flood { (0..8).collect() } else { vec![] }
}

/// Faults can let two pools or borrowers hold the same tokens. Both would spend
/// them, and the fleet would exceed rate and burst.
#[test]
fn no_window_exceeds_rate_and_burst() {
    let cases = [
        Case {
            name: "lossy network",
            faults: Faults {
                loss_percent: 20,
                duplicate_percent: 20,
                slow_percent: 10,
                ..NO_FAULTS
            },
            rate: rate(200, 100),
        },
        Case {
            name: "slow and lossy network",
            faults: Faults {
                loss_percent: 40,
                duplicate_percent: 20,
                slow_percent: 50,
                ..NO_FAULTS
            },
            rate: rate(400, 200),
        },
        Case {
            name: "paused processes",
            faults: Faults {
                pause_permille: 5,
                ..NO_FAULTS
            },
            rate: rate(200, 400),
        },
        Case {
            name: "restarts in place",
            faults: Faults {
                restart_permille: 5,
                slow_percent: 5,
                ..NO_FAULTS
            },
            rate: rate(300, 300),
        },
        Case {
            name: "split views",
            faults: Faults {
                split_permille: 2,
                ..NO_FAULTS
            },
            rate: rate(500, 200),
        },
        Case {
            name: "pools change",
            faults: Faults {
                pool_move_permille: 5,
                ..NO_FAULTS
            },
            rate: rate(500, 200),
        },
        Case {
            name: "pools change on a lossy network",
            faults: Faults {
                pool_move_permille: 3,
                loss_percent: 10,
                duplicate_percent: 10,
                slow_percent: 10,
                pause_permille: 1,
                ..NO_FAULTS
            },
            rate: rate(500, 200),
        },
        Case {
            name: "slices move",
            faults: Faults {
                slice_move_permille: 5,
                ..NO_FAULTS
            },
            rate: rate(500, 500),
        },
        Case {
            name: "all faults",
            faults: Faults {
                loss_percent: 10,
                duplicate_percent: 10,
                max_delay_us: 5000,
                slow_percent: 5,
                pause_permille: 1,
                restart_permille: 1,
                split_permille: 1,
                slice_move_permille: 2,
                pool_move_permille: 2,
            },
            rate: rate(300, 300),
        },
    ];
    for case in cases {
        let mut admitted_count = 0;
        for seed in 0..6 {
            let mut simulation = Simulation::new(seed, 8, case.rate, case.faults);
            simulation.run(20_000, |random, now_us| {
                adversarial_load(random, now_us, case.rate)
            });
            let violations = window_violations(&simulation.admissions, case.rate);
            assert_eq!(violations.first(), None, "{} seed {seed}", case.name);
            admitted_count += simulation.admissions.len();
        }
        println!("{}: {admitted_count} admitted", case.name);
        assert!(admitted_count > 1000, "{}", case.name);
    }
}

/// A whole burst arrives at one node. A pool that reaches only a part of the
/// shares would refuse the rest.
#[test]
fn a_full_burst_at_one_node_is_admitted() {
    for rate in [rate(100, 50), rate(1000, 2000), rate(1, 7), rate(50, 4)] {
        let mut simulation = Simulation::new(1, 48, rate, NO_FAULTS);
        let fill_ms = u64::from(rate.burst_count) * 1000 / u64::from(rate.rate_per_s);
        simulation.run(WARM_UP_MS + fill_ms, |_, _| vec![]);
        let burst = usize::try_from(rate.burst_count).expect("small");
        let start_us = simulation.now_us + 1;
        simulation.run(100, move |_, now_us| {
            if now_us < start_us + STEP_US {
                vec![17; burst]
            } else {
                vec![]
            }
        });
        assert_eq!(simulation.admissions.len(), burst, "{rate:?}");
        assert_eq!(simulation.refused_count, 0, "{rate:?}");
    }
}

/// A workspace within its rate moves its load from node to node. If tokens
/// stayed behind at nodes, requests would be wrongly refused.
#[test]
fn moving_load_is_rarely_refused() {
    for node_count in [16, 48] {
        let rate = rate(500, 250);
        let mut simulation = Simulation::new(2, node_count, rate, NO_FAULTS);
        simulation.run(WARM_UP_MS, |_, _| vec![]);
        simulation.message_count = 0;
        simulation.run(30_000, move |random, now_us| {
            let index = usize::try_from(now_us / 2_000_000).expect("small") * 5;
            let node = (index + random.random_range(0..4)) % node_count;
            if random.random_range(0..100) < 45 {
                vec![node]
            } else {
                vec![]
            }
        });
        let (admitted_count, refused_count) =
            (simulation.admissions.len(), simulation.refused_count);
        let per_node_s = simulation.message_count as f64 / 30.0 / node_count as f64;
        println!(
            "{node_count} nodes: {admitted_count} admitted, {refused_count} refused, {per_node_s:.2} messages/s per node"
        );
        assert!((refused_count as f64) < 0.005 * admitted_count as f64);
    }
}

/// Nodes are replaced one after the other, including the one that holds the
/// pool. Requests within the rate must not be refused because of it.
#[test]
fn a_pool_change_causes_few_refusals() {
    let rate = rate(500, 250);
    let mut simulation = Simulation::new(4, 16, rate, NO_FAULTS);
    simulation.run(WARM_UP_MS, |_, _| vec![]);
    for shift in 0..10 {
        simulation.pool_shift = shift;
        simulation.run(3000, |random, _| {
            let node = random.random_range(0..16);
            if random.random_range(0..100) < 40 {
                vec![node]
            } else {
                vec![]
            }
        });
    }
    let (admitted_count, refused_count) = (simulation.admissions.len(), simulation.refused_count);
    println!("10 pool changes: {admitted_count} admitted, {refused_count} refused");
    assert_eq!(window_violations(&simulation.admissions, rate), []);
    assert!((refused_count as f64) < 0.005 * admitted_count as f64);
}

/// A workspace sends six times its rate at all nodes. It must get its rate and
/// burst, no more and hardly less, and its refusals must cost few messages.
#[test]
fn an_overloading_workspace_gets_its_rate_at_low_cost() {
    for node_count in [16, 48] {
        let rate = rate(500, 500);
        let mut simulation = Simulation::new(3, node_count, rate, NO_FAULTS);
        simulation.run(WARM_UP_MS, |_, _| vec![]);
        simulation.message_count = 0;
        simulation.run(10_000, move |random, _| {
            (0..3).map(|_| random.random_range(0..node_count)).collect()
        });
        assert_eq!(window_violations(&simulation.admissions, rate), []);
        let admitted_count = simulation.admissions.len();
        let per_node_s = simulation.message_count as f64 / 10.0 / node_count as f64;
        println!(
            "{node_count} nodes: {admitted_count} of 5500 admitted, {per_node_s:.2} messages/s per node"
        );
        assert!(admitted_count > 5500 * 95 / 100);
    }
}

/// A check that misses an exceeded window would let the other tests pass.
#[test]
fn window_violations_finds_exceeded_windows() {
    let cases = [
        ("burst alone", vec![0, 0, 0], rate(1, 3), 0),
        ("one above the burst", vec![0, 0, 0, 0], rate(1, 3), 1),
        (
            "refilled after a second",
            vec![0, 0, 0, 1_000_000],
            rate(1, 3),
            0,
        ),
        (
            "one microsecond too early",
            vec![0, 0, 0, 999_999],
            rate(1, 3),
            1,
        ),
        (
            "late window",
            vec![0, 9_000_000, 9_000_000, 9_000_001],
            rate(1, 2),
            1,
        ),
    ];
    for (name, times, rate, expected) in cases {
        assert_eq!(window_violations(&times, rate).len(), expected, "{name}");
    }
}
