//! A discrete-event model of two root services and a middle one above a deepest service.
//!
//! Each target has a node with the real admission policy and the real downstream control. A tree
//! begins at a root, which calls the middle service in two parallel branches; each branch calls the
//! deepest service four times in series. Levels travel only in responses. Time is simulated.

// The scenarios read only some of the counters.
#![allow(dead_code)]

mod calls;
mod figures;
pub mod scenario;

use {
    calls::TREE_DEADLINE_US,
    dogwoodbridge::{
        admission::{Adaptive, AdmissionPolicy, DownstreamControl, TargetSize, TicketKey},
        model::{AdmissionLevel, CLASS_COUNT, Class},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    scenario::{BOUND_STEP_US, FigureFault, Kind, Layer, Scenario},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap, VecDeque},
    },
};

const TICK_US: u64 = 10_000;
const HOP_US: u64 = 1_500;
/// Requests are being refused if one was within this time.
const REFUSING_US: u64 = 100_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    NewRequest(usize),
    Arrive(usize),
    Finish(usize),
    Respond(usize, bool, Option<AdmissionLevel>),
    Expire(usize),
    Tick,
}

/// One request at one target.
struct Call {
    kind: usize,
    parent: Option<usize>,
    children: Vec<usize>,
    layer: usize,
    node: usize,
    ticket: Option<TicketKey>,
    started_us: Option<u64>,
    deadline_us: u64,
    left_count: u8,
    has_ended: bool,
    /// Slot time of the deepest service used below the root.
    slot_us: u64,
}

struct ModelNode {
    layer: usize,
    policy: Adaptive,
    control: DownstreamControl,
    calls: HashMap<TicketKey, usize>,
    outstanding_count: u32,
    has_left: bool,
    /// Supply figures by time, for those that arrive late.
    figures: VecDeque<(u64, u16)>,
    response_count: u64,
}

/// Requests of one kind, by time of arrival.
#[derive(Debug, Default, Clone)]
pub struct KindCount {
    /// Offered in each step of the bound.
    pub offered_counts: Vec<u32>,
    pub admitted: u32,
    pub completed: u32,
    /// Completed in the counted time, whenever they began.
    pub ended: u32,
}

impl KindCount {
    pub fn offered(&self) -> f64 {
        f64::from(self.offered_counts.iter().sum::<u32>())
    }
}

/// Results of one run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub kinds: Vec<KindCount>,
    /// Slot time at the deepest service, and of it that of trees that failed.
    pub slot_us: u64,
    pub wasted_us: u64,
    /// Slot time within the usable slots that was idle while requests were refused, and all of
    /// the usable slot time at these moments.
    pub idle_us: f64,
    pub refusing_us: f64,
    /// Time, running and waiting calls at the deepest service, shares of a root of each kind.
    pub trace: Vec<(u64, usize, usize, [f64; CLASS_COUNT], u16)>,
}

pub struct Model<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    nodes: Vec<ModelNode>,
    layers: Vec<Vec<usize>>,
    calls: Vec<Call>,
    last_refusal_us: Option<u64>,
    outcome: Outcome,
}

impl<'a> Model<'a> {
    pub fn run(scenario: &'a Scenario) -> Outcome {
        let mut model = Self {
            scenario,
            rng: StdRng::seed_from_u64(scenario.seed),
            now_us: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            nodes: Vec::new(),
            layers: Vec::new(),
            calls: Vec::new(),
            last_refusal_us: None,
            outcome: Outcome::default(),
        };
        model.start();
        while let Some(Reverse((now_us, _, event))) = model.events.pop() {
            if now_us > scenario.until_us {
                break;
            }
            model.now_us = now_us;
            model.handle(event);
        }
        model.outcome
    }

    fn start(&mut self) {
        for (
            layer,
            Layer {
                target_count,
                slot_count,
            },
        ) in self.scenario.layers.into_iter().enumerate()
        {
            let size = TargetSize {
                slot_count,
                connection_count: slot_count * 2,
                is_exact: true,
            };
            let first = self.nodes.len();
            self.nodes.extend((0..target_count).map(|_| ModelNode {
                layer,
                policy: Adaptive::new(size),
                control: DownstreamControl::new(self.scenario.choice),
                calls: HashMap::new(),
                outstanding_count: 0,
                has_left: false,
                figures: VecDeque::new(),
                response_count: 0,
            }));
            self.layers.push((first..first + target_count).collect());
        }
        let offered_counts = vec![0; self.scenario.bound_step_count()];
        let kind_count = KindCount {
            offered_counts,
            ..KindCount::default()
        };
        self.outcome.kinds = vec![kind_count; self.scenario.kinds.len()];
        for kind in 0..self.scenario.kinds.len() {
            self.schedule_new_request(kind);
        }
        self.schedule(0, Event::Tick);
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.event_count += 1;
        let entry = (self.now_us + delay_us, self.event_count, event);
        self.events.push(Reverse(entry));
    }

    /// Arrivals are a Poisson process whose rate changes with time: candidates at the highest rate
    /// are thinned.
    fn schedule_new_request(&mut self, kind: usize) {
        let max_rate_per_s = self.scenario.max_rate_per_s(kind);
        let gap_s = -self.rng.random::<f64>().max(1e-12).ln() / max_rate_per_s;
        self.schedule((gap_s * 1e6) as u64, Event::NewRequest(kind));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NewRequest(kind) => self.begin_tree(kind),
            Event::Arrive(call) => self.arrive(call),
            Event::Finish(call) if !self.calls[call].has_ended => self.end(call, true),
            Event::Finish(_) => {}
            Event::Respond(call, is_ok, level) => self.receive(call, is_ok, level),
            Event::Expire(call) if !self.calls[call].has_ended => {
                self.cancel(call);
                self.receive(call, false, None);
            }
            Event::Expire(_) => {}
            Event::Tick => self.tick(),
        }
    }

    fn begin_tree(&mut self, kind: usize) {
        self.schedule_new_request(kind);
        let rate_per_s = self.scenario.rate_per_s(kind, self.now_us);
        if self.rng.random::<f64>() * self.scenario.max_rate_per_s(kind) >= rate_per_s {
            return;
        }
        let Kind { class, layer, .. } = self.scenario.kinds[kind];
        let call = self.new_call(kind, None, layer, self.now_us + TREE_DEADLINE_US);
        let is_counted = self.is_counted();
        if is_counted {
            let step = (self.now_us - self.scenario.counted_us.0) / BOUND_STEP_US;
            self.outcome.kinds[kind].offered_counts[step as usize] += 1;
        }
        let draw = self.rng.random();
        let control = &mut self.nodes[self.calls[call].node].control;
        if layer != Layer::DEEPEST {
            control.record_arrival(Some(class), self.now_us);
            if !control.admits(class, class, draw, self.now_us) {
                self.calls[call].has_ended = true;
                self.last_refusal_us = Some(self.now_us);
                return;
            }
        }
        self.outcome.kinds[kind].admitted += u32::from(is_counted);
        self.schedule(TREE_DEADLINE_US, Event::Expire(call));
        self.arrive(call);
    }

    const fn is_counted(&self) -> bool {
        let Scenario {
            counted_us: (from_us, until_us),
            ..
        } = self.scenario;
        *from_us <= self.now_us && self.now_us < *until_us
    }

    fn new_call(
        &mut self,
        kind: usize,
        parent: Option<usize>,
        layer: usize,
        deadline_us: u64,
    ) -> usize {
        let node = self.pick(layer);
        self.nodes[node].outstanding_count += 1;
        self.calls.push(Call {
            kind,
            parent,
            children: Vec::new(),
            layer,
            node,
            ticket: None,
            started_us: None,
            deadline_us,
            left_count: 0,
            has_ended: false,
            slot_us: 0,
        });
        self.calls.len() - 1
    }

    /// The less loaded of two targets drawn at random.
    fn pick(&mut self, layer: usize) -> usize {
        let usable: Vec<usize> = self.layers[layer]
            .iter()
            .copied()
            .filter(|node| !self.nodes[*node].has_left)
            .collect();
        let first = usable[self.rng.random_range(0..usable.len())];
        let second = usable[self.rng.random_range(0..usable.len())];
        match self.nodes[first].outstanding_count <= self.nodes[second].outstanding_count {
            true => first,
            false => second,
        }
    }

    fn tick(&mut self) {
        for node in 0..self.nodes.len() {
            let mut decisions = Vec::new();
            self.nodes[node].policy.tick(self.now_us, &mut decisions);
            self.apply(node, decisions);
        }
        self.remove_targets();
        let usable_count = self.scenario.usable_slot_count(self.now_us);
        let deepest = self.layers[Layer::DEEPEST]
            .iter()
            .map(|node| &self.nodes[*node]);
        let running_count: usize = deepest
            .clone()
            .map(|node| node.policy.running_count())
            .sum();
        let waiting_count: usize = deepest.map(|node| node.policy.waiting_count()).sum();
        let is_refusing = self
            .last_refusal_us
            .is_some_and(|refused_us| self.now_us - refused_us <= REFUSING_US);
        if is_refusing && self.is_counted() {
            let idle_count = (usable_count - running_count as f64).max(0.0);
            self.outcome.idle_us += idle_count * TICK_US as f64;
            self.outcome.refusing_us += usable_count * TICK_US as f64;
        }
        if self.now_us.is_multiple_of(100_000) {
            let root = &self.nodes[self.layers[0][0]].control;
            let shares = Class::ALL.map(|class| root.share(class));
            let supply_percent = root.supply_percent(self.now_us);
            let entry = (
                self.now_us,
                running_count,
                waiting_count,
                shares,
                supply_percent,
            );
            self.outcome.trace.push(entry);
        }
        self.schedule(TICK_US, Event::Tick);
    }

    fn remove_targets(&mut self) {
        let left_count = self.scenario.left_target_count(self.now_us);
        for index in 0..left_count {
            let node = self.layers[Layer::DEEPEST][index];
            if std::mem::replace(&mut self.nodes[node].has_left, true) {
                continue;
            }
            let mut lost: Vec<usize> = self.nodes[node].calls.values().copied().collect();
            lost.sort_unstable();
            for call in lost {
                if !self.calls[call].has_ended {
                    self.cancel(call);
                    self.receive(call, false, None);
                }
            }
        }
    }
}
