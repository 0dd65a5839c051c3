//! A discrete-event model of a target at which two kinds of requests wait, and of clients that
//! retry immediately. Time is simulated; seeds are fixed.

use {
    dogwoodbridge::{
        admission::{
            Adaptive, AdmissionPolicy, Arrival, Decision, TargetResult, TargetSize, TicketKey,
        },
        model::{Class, WorkspaceKey},
        settings::QueueOrder,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
    },
};

pub const SECOND_US: u64 = 1_000_000;
pub const SLOT_COUNT: u32 = 102;
pub const WORKSPACE_COUNT: u16 = 80;
const TICK_US: u64 = 10_000;
const RETRY_DELAY_US: u64 = 1_000;
const RETRY_COUNT: u8 = 3;

pub const SIZE: TargetSize = TargetSize {
    slot_count: SLOT_COUNT,
    connection_count: 1000,
    is_exact: true,
};

pub fn policy(size: TargetSize, order: QueueOrder) -> Adaptive {
    Adaptive::new(size).with_queue_order(order)
}

/// Requests of one kind; each is half of the work.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub service_us: f64,
    pub objective_us: Option<u64>,
    pub deadline_us: u64,
    /// Workspaces that send this kind.
    pub workspaces: (u16, u16),
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    pub kinds: [Kind; 2],
    /// Demand over capacity, in slot time.
    pub demand: f64,
    /// Service times are within this share of their mean, evenly distributed.
    pub spread: f64,
}

/// Requests of a kind and workspace: sent, and completed within the objective (or the deadline,
/// where there is none).
pub type Shares = HashMap<(usize, u16), (u32, u32)>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Send(usize, u16),
    Try(usize, u16, u64, u8),
    End(usize),
    Tick,
}

pub struct Model {
    scenario: Scenario,
    policy: Adaptive,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    requests: Vec<(TicketKey, usize, u16, u64, u8)>,
    index_by_ticket: HashMap<TicketKey, usize>,
    decisions: Vec<Decision>,
    shares: Shares,
}

impl Model {
    /// Runs the load for 5 s and returns the shares of the requests sent in it.
    pub fn run(scenario: Scenario, order: QueueOrder, seed: u64) -> (Shares, u64) {
        let mut model = Self {
            scenario,
            policy: policy(SIZE, order),
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            index_by_ticket: HashMap::new(),
            decisions: Vec::new(),
            shares: HashMap::new(),
        };
        for kind in 0..2 {
            let (first, last) = scenario.kinds[kind].workspaces;
            for workspace in first..last {
                let gap_us = model.gap_us(kind, workspace);
                model.schedule(gap_us, Event::Send(kind, workspace));
            }
        }
        model.schedule(TICK_US, Event::Tick);
        while let Some(Reverse((now_us, _, event))) = model.events.pop() {
            if now_us > 7 * SECOND_US {
                break;
            }
            model.handle(event, now_us);
            model.carry_out(now_us);
        }
        (model.shares, model.policy.late_start_count())
    }

    fn schedule(&mut self, time_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time_us, self.sequence, event)));
    }

    /// Time to the next request; three workspaces send 4.7 times as many as the others.
    fn gap_us(&mut self, kind: usize, workspace: u16) -> u64 {
        let weight = |workspace: u16| if is_busy(workspace) { 4.7 } else { 1.0 };
        let Kind {
            service_us,
            workspaces,
            ..
        } = self.scenario.kinds[kind];
        let total: f64 = (workspaces.0..workspaces.1).map(weight).sum();
        let kind_per_us = self.scenario.demand * f64::from(SLOT_COUNT) / 2.0 / service_us;
        let mean_us = total / weight(workspace) / kind_per_us;
        (-(1.0 - self.rng.random::<f64>()).ln() * mean_us) as u64 + 1
    }

    fn handle(&mut self, event: Event, now_us: u64) {
        match event {
            Event::Send(kind, workspace) => {
                if now_us < 5 * SECOND_US {
                    let next_us = now_us + self.gap_us(kind, workspace);
                    self.schedule(next_us, Event::Send(kind, workspace));
                    self.shares.entry((kind, workspace)).or_default().0 += 1;
                    self.try_once(kind, workspace, now_us, RETRY_COUNT, now_us);
                }
            }
            Event::Try(kind, workspace, sent_us, retries) => {
                self.try_once(kind, workspace, sent_us, retries, now_us);
            }
            Event::End(index) => {
                let (ticket, kind, workspace, sent_us, _) = self.requests[index];
                let Kind {
                    objective_us,
                    deadline_us,
                    ..
                } = self.scenario.kinds[kind];
                if now_us - sent_us <= objective_us.unwrap_or(deadline_us) {
                    self.shares.entry((kind, workspace)).or_default().1 += 1;
                }
                let result = TargetResult::Completed;
                self.policy.end(ticket, result, now_us, &mut self.decisions);
            }
            Event::Tick => {
                self.policy.tick(now_us, &mut self.decisions);
                self.schedule(now_us + TICK_US, Event::Tick);
            }
        }
    }

    fn try_once(&mut self, kind: usize, workspace: u16, sent_us: u64, retries: u8, now_us: u64) {
        let Kind {
            objective_us,
            deadline_us,
            ..
        } = self.scenario.kinds[kind];
        let arrival = Arrival {
            class: Class::Standard,
            workspace: WorkspaceKey::new(workspace),
            deadline_us: now_us + deadline_us,
            objective_us: objective_us.map(|objective_us| now_us + objective_us),
        };
        let ticket = self.policy.arrive(arrival, now_us, &mut self.decisions);
        self.index_by_ticket.insert(ticket, self.requests.len());
        self.requests
            .push((ticket, kind, workspace, sent_us, retries));
    }

    fn carry_out(&mut self, now_us: u64) {
        for decision in std::mem::take(&mut self.decisions) {
            match decision {
                Decision::Start(ticket) => {
                    let index = self.index_by_ticket[&ticket];
                    let kind = self.scenario.kinds[self.requests[index].1];
                    let spread = self.scenario.spread;
                    let factor = 1.0 + spread * (2.0 * self.rng.random::<f64>() - 1.0);
                    let end_us = now_us + (kind.service_us * factor) as u64;
                    self.schedule(end_us, Event::End(index));
                }
                Decision::Refuse(ticket, _) => {
                    let index = self.index_by_ticket[&ticket];
                    let (_, kind, workspace, sent_us, retries) = self.requests[index];
                    if retries > 0 {
                        let retry = Event::Try(kind, workspace, sent_us, retries - 1);
                        self.schedule(now_us + RETRY_DELAY_US, retry);
                    }
                }
            }
        }
    }
}

fn share(shares: &Shares, filter: impl Fn(usize, u16) -> bool) -> f64 {
    let (sent, within) = shares
        .iter()
        .filter(|((kind, workspace), _)| filter(*kind, *workspace))
        .fold((0, 0), |sum, (_, (sent, within))| {
            (sum.0 + sent, sum.1 + within)
        });
    f64::from(within) / f64::from(sent.max(1))
}

fn within_count(shares: &Shares, filter: impl Fn(usize, u16) -> bool) -> u32 {
    let matching = shares.iter().filter(|((k, w), _)| filter(*k, *w));
    matching.map(|(_, (_, within))| within).sum()
}

fn is_busy(workspace: u16) -> bool {
    workspace.is_multiple_of(27)
}

/// Shares of one run by kind and by workspace.
#[derive(Debug)]
pub struct Summary {
    pub total: f64,
    pub kinds: [f64; 2],
    /// Least and most of the workspaces that send the usual rate.
    pub usual: (f64, f64),
    pub busy: f64,
    /// Fewest and most requests within the objective of any workspace.
    pub served: (u32, u32),
}

impl Summary {
    pub fn new(shares: &Shares) -> Self {
        let usual = (0..WORKSPACE_COUNT).filter(|workspace| !is_busy(*workspace));
        let usual = usual.map(|workspace| share(shares, |_, other| other == workspace));
        let served = (0..WORKSPACE_COUNT)
            .map(|workspace| within_count(shares, |_, other| other == workspace));
        Self {
            total: share(shares, |_, _| true),
            kinds: [0, 1].map(|kind| share(shares, |other, _| other == kind)),
            usual: (usual.clone().fold(1.0, f64::min), usual.fold(0.0, f64::max)),
            busy: share(shares, |_, workspace| is_busy(workspace)),
            served: (served.clone().min().unwrap(), served.max().unwrap()),
        }
    }
}

const fn calls(workspaces: (u16, u16)) -> Kind {
    Kind {
        service_us: 46_000.0,
        objective_us: Some(300_000),
        deadline_us: 700_000,
        workspaces,
    }
}

const fn requests(workspaces: (u16, u16)) -> Kind {
    Kind {
        service_us: 74_000.0,
        objective_us: Some(250_000),
        deadline_us: 1_000_000,
        workspaces,
    }
}

const ALL: (u16, u16) = (0, WORKSPACE_COUNT);
const FIRST_HALF: (u16, u16) = (0, WORKSPACE_COUNT / 2);
const SECOND_HALF: (u16, u16) = (WORKSPACE_COUNT / 2, WORKSPACE_COUNT);

pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "each workspace sends both kinds",
        kinds: [calls(ALL), requests(ALL)],
        demand: 1.3,
        spread: 0.3,
    },
    Scenario {
        name: "service times between 0.1 and 1.9 of the mean",
        kinds: [calls(ALL), requests(ALL)],
        demand: 1.3,
        spread: 0.9,
    },
    Scenario {
        name: "each workspace sends one kind",
        kinds: [calls(FIRST_HALF), requests(SECOND_HALF)],
        demand: 1.3,
        spread: 0.3,
    },
    Scenario {
        name: "short objectives beside objectives of 2 s",
        kinds: [
            Kind {
                objective_us: Some(2 * SECOND_US),
                deadline_us: 2 * SECOND_US,
                ..calls(ALL)
            },
            requests(ALL),
        ],
        demand: 1.3,
        spread: 0.3,
    },
    Scenario {
        name: "objectives of 2 s in other workspaces",
        kinds: [
            Kind {
                objective_us: Some(2 * SECOND_US),
                deadline_us: 2 * SECOND_US,
                ..calls(FIRST_HALF)
            },
            requests(SECOND_HALF),
        ],
        demand: 1.3,
        spread: 0.3,
    },
    Scenario {
        name: "short objectives beside requests without",
        kinds: [
            Kind {
                objective_us: None,
                ..calls(ALL)
            },
            requests(ALL),
        ],
        demand: 1.3,
        spread: 0.3,
    },
];
