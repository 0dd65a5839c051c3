//! Fleet-wide rate and burst hold in every window, whatever happens to
//! messages, processes and views; and what the fleet offers can be used.
//!
//! Nodes are state machines around the pure parts. Messages are lost, doubled,
//! delayed and reordered; processes are stopped, so that their clocks jump, and
//! restarted; views split, so that there are two banks; slices move.

use {
    dogwoodbridge::{
        model::WorkspaceKey,
        quota::{
            BorrowRequest, BorrowResponse, BorrowedTokens, LeaseRequest, LeaseResponse,
            PoolHandover, PoolRef, Process, QuotaOwner, Rate, TokenPool,
            limits::{LEASE_TTL_MS, QUOTA_MARGIN_MS},
            window_violations,
        },
        slices::{SLICE_COUNT, SliceIndex},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::HashMap,
};

const WORKSPACE: WorkspaceKey = WorkspaceKey::new(0);
const STEP_US: u64 = 1000;
const ASK_LIMIT_US: u64 = 20_000;
const OWNER_COUNT: usize = 4;
/// Shares are full after the quarantine and burst / rate.
const WARM_UP_MS: u64 = (LEASE_TTL_MS + QUOTA_MARGIN_MS) as u64 + 4000;

#[derive(Clone)]
enum Message {
    LeaseAsk { ask: LeaseRequest, call: u64 },
    LeaseAnswer { call: u64, answer: LeaseResponse },
    TakeOver { call: u64 },
    Estate { call: u64, estate: PoolHandover },
    BorrowAsk { ask: BorrowRequest, call: u64 },
    BorrowAnswer { call: u64, answer: BorrowResponse },
}

#[derive(Clone)]
struct Envelope {
    from: usize,
    to: usize,
    due_us: u64,
    message: Message,
}

struct Call {
    number: u64,
    sent_us: u64,
    given_up: bool,
}

struct Node {
    clock_offset_us: u64,
    paused_until_us: u64,
    owner: QuotaOwner,
    bank: TokenPool,
    purse: BorrowedTokens,
    calls: Vec<Call>,
    /// When the bank's calls to owners and earlier banks were sent.
    bank_calls: HashMap<u64, u64>,
    wait_count: u32,
    group: usize,
}

/// How unkind the world is.
#[derive(Clone, Copy)]
struct Faults {
    loss_percent: u32,
    double_percent: u32,
    max_delay_us: u64,
    slow_percent: u32,
    pause_permille: u32,
    restart_permille: u32,
    split_permille: u32,
    move_permille: u32,
    bank_permille: u32,
}

const KIND: Faults = Faults {
    loss_percent: 0,
    double_percent: 0,
    max_delay_us: 1000,
    slow_percent: 0,
    pause_permille: 0,
    restart_permille: 0,
    split_permille: 0,
    move_permille: 0,
    bank_permille: 0,
};

struct World {
    random: StdRng,
    faults: Faults,
    rate: Rate,
    now_us: u64,
    nodes: Vec<Node>,
    owners: Vec<(usize, u64)>,
    bag: Vec<Envelope>,
    admissions: Vec<u64>,
    refused_count: u64,
    message_count: u64,
    next_number: u64,
    epoch: u64,
    bank_shift: usize,
}

impl World {
    fn new(seed: u64, node_count: usize, rate: Rate, faults: Faults) -> Self {
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            faults,
            rate,
            now_us: 1_000_000,
            nodes: vec![],
            owners: (0..SLICE_COUNT)
                .map(|slice| (slice % OWNER_COUNT, 1))
                .collect(),
            bag: vec![],
            admissions: vec![],
            refused_count: 0,
            message_count: 0,
            next_number: 1,
            epoch: 1,
            bank_shift: node_count - 1,
        };
        for index in 0..node_count {
            let node = world.new_process(index);
            world.nodes.push(node);
            world.observe_table(index);
        }
        world
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
            bank: TokenPool::new(self.random.random(), now_us),
            purse: BorrowedTokens::new(WORKSPACE, name),
            calls: vec![],
            bank_calls: HashMap::new(),
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

    /// All in a group agree on the bank; it changes with the members.
    fn bank_of(&self, node: usize) -> usize {
        let group = self.nodes[node].group;
        let count = self.nodes.len();
        let candidates = (0..count).map(|place| (place + self.bank_shift) % count);
        let mut mates = candidates.filter(|other| self.nodes[*other].group == group);
        mates.next().expect("the node itself is in it")
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        self.message_count += 1;
        let copies = if self.chance_percent(self.faults.double_percent) {
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
            self.bag.push(Envelope {
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
        let bag = std::mem::take(&mut self.bag);
        for envelope in bag {
            let crosses = self.nodes[envelope.from].group != self.nodes[envelope.to].group;
            if envelope.due_us > self.now_us || self.is_paused(envelope.to) {
                self.bag.push(envelope);
            } else if !crosses {
                self.handle(envelope);
            }
        }
    }

    fn handle(&mut self, envelope: Envelope) {
        let Envelope { from, to, .. } = envelope;
        let (rate, now_us) = (self.rate, self.clock_us(to));
        let node = &mut self.nodes[to];
        match envelope.message {
            Message::LeaseAsk { ask, call } => {
                let answer = node.owner.lease(&ask, rate, now_us);
                self.send(to, from, &Message::LeaseAnswer { call, answer });
            }
            Message::LeaseAnswer { call, answer } => {
                if let Some(sent_us) = node.bank_calls.remove(&call) {
                    let owner = from.to_string();
                    let holder = node.bank.leased(&owner, sent_us, answer, rate, now_us);
                    self.ask_holder(to, holder);
                }
            }
            Message::TakeOver { call } => {
                if self.bank_of(to) != to {
                    let next_id = self.random.random();
                    let estate = self.nodes[to].bank.retire(next_id, rate, now_us);
                    self.send(to, from, &Message::Estate { call, estate });
                }
            }
            Message::Estate { call, estate } => {
                if let Some(sent_us) = node.bank_calls.remove(&call) {
                    node.bank.inherit(sent_us, estate, rate, now_us);
                    self.renew(to);
                }
            }
            Message::BorrowAsk { ask, call } => {
                node.bank.wake(now_us);
                self.renew(to);
                if self.nodes[to].bank.awaits_owners(now_us) {
                    let due_us = self.now_us + STEP_US;
                    let message = Message::BorrowAsk { ask, call };
                    self.bag.push(Envelope {
                        due_us,
                        message,
                        ..envelope
                    });
                    return;
                }
                let node = &mut self.nodes[to];
                let answer = node.bank.borrow(&ask, rate, now_us);
                self.send(to, from, &Message::BorrowAnswer { call, answer });
            }
            Message::BorrowAnswer { call, answer } => {
                let place = node.calls.iter().position(|held| held.number == call);
                let Some(place) = place else {
                    return;
                };
                let call = node.calls.swap_remove(place);
                node.purse.lent(call.sent_us, answer, now_us);
                self.serve_waiting(to);
            }
        }
    }

    fn ask_holder(&mut self, node: usize, holder: Option<PoolRef>) {
        let Some(holder) = holder else {
            return;
        };
        let holder = holder.node_id.parse().expect("a number");
        if holder != node {
            let call = self.bank_call(node);
            self.send(node, holder, &Message::TakeOver { call });
        }
    }

    fn bank_call(&mut self, node: usize) -> u64 {
        let (call, now_us) = (self.number(), self.clock_us(node));
        self.nodes[node].bank_calls.insert(call, now_us);
        call
    }

    fn serve_waiting(&mut self, node: usize) {
        let now_us = self.clock_us(node);
        let state = &mut self.nodes[node];
        while state.wait_count > 0 && state.purse.take(now_us) {
            state.wait_count -= 1;
            self.admissions.push(self.now_us);
        }
        let is_empty = now_us < state.purse.empty_until_us();
        if is_empty {
            self.refused_count += u64::from(state.wait_count);
            state.wait_count = 0;
        }
    }

    fn request(&mut self, node: usize) {
        if self.is_paused(node) {
            return;
        }
        let now_us = self.clock_us(node);
        let state = &mut self.nodes[node];
        state.purse.demand(now_us);
        if state.purse.take(now_us) {
            self.admissions.push(self.now_us);
        } else if now_us < state.purse.empty_until_us() {
            self.refused_count += 1;
        } else {
            state.wait_count += 1;
        }
    }

    fn tick(&mut self, node: usize) {
        let now_us = self.clock_us(node);
        let has_returns = self.nodes[node].purse.collect_returns(now_us);
        let state = &mut self.nodes[node];
        let mut timed_out = false;
        for call in &mut state.calls {
            let is_late = !call.given_up && now_us >= call.sent_us + ASK_LIMIT_US;
            call.given_up |= is_late;
            timed_out |= is_late;
        }
        if timed_out {
            self.refused_count += u64::from(state.wait_count);
            state.wait_count = 0;
        }
        let is_asking = state.calls.iter().any(|call| !call.given_up);
        if !is_asking && (state.wait_count > 0 || has_returns) {
            let ask = state.purse.ask(state.wait_count, now_us);
            let number = self.number();
            self.nodes[node].calls.push(Call {
                number,
                sent_us: now_us,
                given_up: false,
            });
            let bank = self.bank_of(node);
            self.send(node, bank, &Message::BorrowAsk { ask, call: number });
        }
        self.renew(node);
        let (rate, state) = (self.rate, &mut self.nodes[node]);
        state.owner.track([(WORKSPACE, rate)], now_us);
    }

    fn renew(&mut self, node: usize) {
        if self.bank_of(node) != node {
            return;
        }
        let now_us = self.clock_us(node);
        let names: Vec<String> = (0..OWNER_COUNT).map(|owner| owner.to_string()).collect();
        let bank = &mut self.nodes[node].bank;
        let to_ask = bank.owners_to_ask(names.iter().map(String::as_str), now_us);
        let bank = PoolRef {
            node_id: node.to_string(),
            bank_id: bank.bank_id(),
        };
        for to in to_ask {
            let ask = LeaseRequest {
                workspace: WORKSPACE,
                bank: bank.clone(),
                predecessor_id: to.predecessor_id,
            };
            let owner = to.owner.parse().expect("a number");
            let call = self.bank_call(node);
            self.send(node, owner, &Message::LeaseAsk { ask, call });
        }
    }

    fn inject(&mut self) {
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
        if self.chance_permille(self.faults.bank_permille) {
            self.bank_shift = self.random.random_range(0..self.nodes.len());
        }
        if self.chance_permille(self.faults.move_permille) {
            self.move_slices();
        }
    }

    /// An owner gives slices up first and writes the table afterwards.
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
            self.inject();
            self.deliver();
            for node in load(&mut self.random, self.now_us) {
                self.request(node);
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

/// A node's demand grows, so that it borrows ahead; it falls silent while the
/// shares fill up; then every node wants all it can get.
fn hostile_load(random: &mut StdRng, now_us: u64, rate: Rate) -> Vec<usize> {
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

#[test]
fn no_window_exceeds_rate_and_burst() {
    let cases = [
        Case {
            name: "lossy network",
            faults: Faults {
                loss_percent: 20,
                double_percent: 20,
                slow_percent: 10,
                ..KIND
            },
            rate: rate(200, 100),
        },
        Case {
            name: "slow and lossy network",
            faults: Faults {
                loss_percent: 40,
                double_percent: 20,
                slow_percent: 50,
                ..KIND
            },
            rate: rate(400, 200),
        },
        Case {
            name: "pauses",
            faults: Faults {
                pause_permille: 5,
                ..KIND
            },
            rate: rate(200, 400),
        },
        Case {
            name: "restarts in place",
            faults: Faults {
                restart_permille: 5,
                slow_percent: 5,
                ..KIND
            },
            rate: rate(300, 300),
        },
        Case {
            name: "split views",
            faults: Faults {
                split_permille: 2,
                ..KIND
            },
            rate: rate(500, 200),
        },
        Case {
            name: "banks change",
            faults: Faults {
                bank_permille: 5,
                ..KIND
            },
            rate: rate(500, 200),
        },
        Case {
            name: "banks change on a bad network",
            faults: Faults {
                bank_permille: 3,
                loss_percent: 10,
                double_percent: 10,
                slow_percent: 10,
                pause_permille: 1,
                ..KIND
            },
            rate: rate(500, 200),
        },
        Case {
            name: "slices move",
            faults: Faults {
                move_permille: 5,
                ..KIND
            },
            rate: rate(500, 500),
        },
        Case {
            name: "everything",
            faults: Faults {
                loss_percent: 10,
                double_percent: 10,
                max_delay_us: 5000,
                slow_percent: 5,
                pause_permille: 1,
                restart_permille: 1,
                split_permille: 1,
                move_permille: 2,
                bank_permille: 2,
            },
            rate: rate(300, 300),
        },
    ];
    for case in cases {
        let mut admitted_count = 0;
        for seed in 0..6 {
            let mut world = World::new(seed, 8, case.rate, case.faults);
            world.run(20_000, |random, now_us| {
                hostile_load(random, now_us, case.rate)
            });
            let violations = window_violations(&world.admissions, case.rate);
            assert_eq!(violations.first(), None, "{} seed {seed}", case.name);
            admitted_count += world.admissions.len();
        }
        println!("{}: {admitted_count} admitted", case.name);
        assert!(admitted_count > 1000, "{}", case.name);
    }
}

#[test]
fn a_full_burst_at_one_node_is_admitted_as_a_whole() {
    for rate in [rate(100, 50), rate(1000, 2000), rate(1, 7), rate(50, 4)] {
        let mut world = World::new(1, 48, rate, KIND);
        let fill_ms = u64::from(rate.burst_count) * 1000 / u64::from(rate.rate_per_s);
        world.run(WARM_UP_MS + fill_ms, |_, _| vec![]);
        let burst = usize::try_from(rate.burst_count).expect("small");
        let start_us = world.now_us + 1;
        world.run(100, move |_, now_us| {
            if now_us < start_us + STEP_US {
                vec![17; burst]
            } else {
                vec![]
            }
        });
        assert_eq!(world.admissions.len(), burst, "{rate:?}");
        assert_eq!(world.refused_count, 0, "{rate:?}");
    }
}

/// A workspace inside its rate moves its load from node to node. Tokens that
/// stay behind at nodes would be missed, and requests refused wrongly.
#[test]
fn load_that_moves_is_hardly_refused() {
    for node_count in [16, 48] {
        let rate = rate(500, 250);
        let mut world = World::new(2, node_count, rate, KIND);
        world.run(WARM_UP_MS, |_, _| vec![]);
        world.message_count = 0;
        world.run(30_000, move |random, now_us| {
            let place = usize::try_from(now_us / 2_000_000).expect("small") * 5;
            let node = (place + random.random_range(0..4)) % node_count;
            if random.random_range(0..100) < 45 {
                vec![node]
            } else {
                vec![]
            }
        });
        let (admitted, refused) = (world.admissions.len(), world.refused_count);
        let per_node_s = world.message_count as f64 / 30.0 / node_count as f64;
        println!(
            "{node_count} nodes: {admitted} admitted, {refused} refused, {per_node_s:.2} messages/s a node"
        );
        assert!((refused as f64) < 0.005 * admitted as f64);
    }
}

/// Nodes are replaced one after the other, the bank among them. Requests inside
/// the rate must not be refused for it.
#[test]
fn a_change_of_bank_is_hardly_noticed() {
    let rate = rate(500, 250);
    let mut world = World::new(4, 16, rate, KIND);
    world.run(WARM_UP_MS, |_, _| vec![]);
    for shift in 0..10 {
        world.bank_shift = shift;
        world.run(3000, |random, _| {
            let node = random.random_range(0..16);
            if random.random_range(0..100) < 40 {
                vec![node]
            } else {
                vec![]
            }
        });
    }
    let (admitted, refused) = (world.admissions.len(), world.refused_count);
    println!("10 changes of bank: {admitted} admitted, {refused} refused");
    assert_eq!(window_violations(&world.admissions, rate), []);
    assert!((refused as f64) < 0.005 * admitted as f64);
}

/// A workspace sends six times its rate at all nodes. It gets its rate and
/// burst, no more and hardly less, and its refusals cost few messages.
#[test]
fn an_offender_gets_its_rate_at_little_cost() {
    for node_count in [16, 48] {
        let rate = rate(500, 500);
        let mut world = World::new(3, node_count, rate, KIND);
        world.run(WARM_UP_MS, |_, _| vec![]);
        world.message_count = 0;
        world.run(10_000, move |random, _| {
            (0..3).map(|_| random.random_range(0..node_count)).collect()
        });
        assert_eq!(window_violations(&world.admissions, rate), []);
        let admitted_count = world.admissions.len();
        let per_node_s = world.message_count as f64 / 10.0 / node_count as f64;
        println!(
            "{node_count} nodes: {admitted_count} of 5500 admitted, {per_node_s:.2} messages/s a node"
        );
        assert!(admitted_count > 5500 * 95 / 100);
    }
}

#[test]
fn the_check_finds_a_window_that_is_exceeded() {
    let cases = [
        ("burst alone", vec![0, 0, 0], rate(1, 3), 0),
        ("one above the burst", vec![0, 0, 0, 0], rate(1, 3), 1),
        (
            "refilled after a second",
            vec![0, 0, 0, 1_000_000],
            rate(1, 3),
            0,
        ),
        ("a moment too early", vec![0, 0, 0, 999_999], rate(1, 3), 1),
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
