//! Shares of a rate over a fleet whose demand moves, whose zones are cut off
//! and whose nodes restart.
//!
//! Load: sixteen nodes in four zones, one workspace of 200 requests a second
//! with a burst of as many, which are the proportions of the users' sites.

use {
    dogwoodbridge::{
        model::Class,
        quota::{Division, LEASE_US, Rate, RefillBucket, Reporter, TokenHoldings},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::{HashMap, VecDeque},
};

const WORKSPACE: &str = "dealers";
const RATE: Rate = Rate {
    rate_per_s: 200,
    burst_count: 200,
};
const NODE_COUNT: usize = 16;
const STEP_US: u64 = 1000;
const PERIOD_US: u64 = 200_000;
const SECOND_US: u64 = 1_000_000;
/// Window, excess and slack by which the users judge.
const WINDOW_US: u64 = 5 * SECOND_US;
const WINDOW_LIMIT: f64 = (200.0 * 5.0 + 200.0) * 1.1 + 20.0;

struct Node {
    process_id: u64,
    is_new: bool,
    holding: TokenHoldings,
    even: RefillBucket,
    lent_until_us: u64,
    division: Division,
}

impl Node {
    fn new(process_id: u64, now_us: u64) -> Self {
        Self {
            process_id,
            is_new: true,
            holding: TokenHoldings::default(),
            even: RefillBucket::new(now_us),
            lent_until_us: 0,
            division: Division::new(),
        }
    }
}

/// A fleet in which every node reports to the first node that it reaches.
struct Fleet {
    nodes: Vec<Node>,
    process_count: u64,
    rng: StdRng,
    now_us: u64,
    admitted_us: VecDeque<u64>,
    most_in_window: usize,
    asked_count: usize,
    admitted_count: usize,
    class: Class,
}

impl Fleet {
    fn new() -> Self {
        Self {
            nodes: (0..NODE_COUNT)
                .map(|place| Node::new(place as u64, 0))
                .collect(),
            process_count: NODE_COUNT as u64,
            rng: StdRng::seed_from_u64(11),
            now_us: 0,
            admitted_us: VecDeque::new(),
            most_in_window: 0,
            asked_count: 0,
            admitted_count: 0,
            class: Class::Critical,
        }
    }

    fn restart(&mut self, place: usize) {
        self.process_count += 1;
        self.nodes[place] = Node::new(self.process_count, self.now_us);
    }

    /// Runs for a time; `demand` gives each node's requests a second, `group`
    /// tells who reaches whom.
    fn run(&mut self, seconds: u64, demand: impl Fn(usize) -> f64, group: impl Fn(usize) -> usize) {
        let until_us = self.now_us + seconds * SECOND_US;
        while self.now_us < until_us {
            self.now_us += STEP_US;
            if self.now_us.is_multiple_of(PERIOD_US) {
                for place in 0..NODE_COUNT {
                    self.nodes[place].holding.end_period(PERIOD_US / 1000);
                    self.report(place, &group);
                }
            }
            for place in 0..NODE_COUNT {
                let chance = demand(place) * STEP_US as f64 / SECOND_US as f64;
                let whole = chance.floor();
                let extra = f64::from(u8::from(self.rng.random::<f64>() < chance - whole));
                for _ in 0..(whole + extra) as usize {
                    self.ask(place, &group);
                }
            }
        }
    }

    fn ask(&mut self, place: usize, group: &impl Fn(usize) -> usize) {
        self.asked_count += 1;
        if !self.is_admitted(place, group) {
            return;
        }
        let now_us = self.now_us;
        self.admitted_count += 1;
        self.admitted_us.push_back(now_us);
        while self
            .admitted_us
            .front()
            .is_some_and(|at_us| at_us + WINDOW_US <= now_us)
        {
            self.admitted_us.pop_front();
        }
        self.most_in_window = self.most_in_window.max(self.admitted_us.len());
    }

    fn is_admitted(&mut self, place: usize, group: &impl Fn(usize) -> usize) -> bool {
        let (now_us, class) = (self.now_us, self.class);
        let node = &mut self.nodes[place];
        node.holding.count_demand(class);
        node.even.advance(RATE, 1.0 / NODE_COUNT as f64, now_us);
        if now_us >= node.lent_until_us {
            node.holding.clear();
            return node.even.take(1, 0.0) == 1;
        }
        node.even.clear();
        if node.holding.take(class) {
            return true;
        }
        if node.holding.empty_for_ms(class, now_us).is_some() {
            return false;
        }
        let mut waits = node.holding.wait(class);
        self.report(place, group);
        waits.try_recv().is_ok_and(|verdict| verdict.is_ok())
    }

    fn report(&mut self, place: usize, group: &impl Fn(usize) -> usize) {
        let now_us = self.now_us;
        let divider = (0..NODE_COUNT)
            .find(|other| group(*other) == group(place))
            .expect("a node reaches itself");
        let node_id = place.to_string();
        let node = &mut self.nodes[place];
        let need = node.holding.need();
        let from = Reporter {
            node_id: &node_id,
            process_id: node.process_id,
            is_new: std::mem::replace(&mut node.is_new, false),
        };
        let division = &mut self.nodes[divider].division;
        let needs = HashMap::from([(WORKSPACE.to_owned(), need.clone())]);
        division.report(from, &needs, now_us);
        let grant = division.grant(from, WORKSPACE, RATE, &need, NODE_COUNT, now_us);
        let node = &mut self.nodes[place];
        node.lent_until_us = now_us + LEASE_US;
        node.holding.granted(&grant, now_us);
    }

    fn served_ratio(&self) -> f64 {
        self.admitted_count as f64 / self.asked_count.max(1) as f64
    }
}

const fn together(_: usize) -> usize {
    0
}

/// Zones of four nodes; the last one is cut off.
const fn last_zone_cut(place: usize) -> usize {
    if place >= 12 { 1 } else { 0 }
}

/// A workspace stays within its rate, but its callers sit on few machines, or
/// move. With fixed shares most of their requests would be refused although
/// the fleet as a whole has room.
#[test]
fn demand_within_the_rate_is_served_wherever_it_comes_up() {
    struct Case {
        name: &'static str,
        demand: fn(usize) -> f64,
    }
    let cases = [
        Case {
            name: "even",
            demand: |_| 125.0 / 16.0,
        },
        Case {
            name: "on three nodes",
            demand: |place| if place < 3 { 125.0 / 3.0 } else { 0.0 },
        },
        Case {
            name: "uneven",
            demand: |place| 125.0 * (place as f64 + 1.0) / 136.0,
        },
        Case {
            name: "nearly the whole rate",
            demand: |_| 190.0 / 16.0,
        },
    ];
    for class in Class::ALL {
        for case in &cases {
            let mut fleet = Fleet::new();
            fleet.class = class;
            fleet.run(2, case.demand, together);
            (fleet.asked_count, fleet.admitted_count) = (0, 0);
            fleet.run(30, case.demand, together);
            let served = fleet.served_ratio();
            assert!(served > 0.995, "{} {}: {served}", class.name(), case.name);
        }
    }
}

/// A workspace sends a quarter more than it may. What it may is used to the
/// full; buckets at the nodes let a seventh of it go by.
#[test]
fn a_workspace_over_its_rate_gets_all_of_its_rate() {
    let mut fleet = Fleet::new();
    fleet.class = Class::Browse;
    fleet.run(30, |_| 250.0 / 16.0, together);
    let possible = 200.0 * 30.0;
    let admitted = fleet.admitted_count as f64;
    assert!(admitted > 0.98 * possible, "{admitted} of {possible}");
}

/// A workspace sends eight times what it may while a zone is cut off, while
/// nodes restart, or both. Admitted beyond its rate, it would take the room of
/// all others.
#[test]
fn no_window_holds_more_than_the_rate_allows() {
    let flood = |_| 100.0;
    let mut fleet = Fleet::new();
    fleet.run(10, flood, together);
    fleet.run(8, flood, last_zone_cut);
    fleet.run(6, flood, together);
    fleet.run(8, flood, |place| place);
    for place in (0..NODE_COUNT).step_by(3) {
        fleet.restart(place);
    }
    fleet.run(10, flood, together);
    let most = fleet.most_in_window as f64;
    assert!(most <= WINDOW_LIMIT, "{most} of {WINDOW_LIMIT}");
    // And what the fleet may admit is used.
    let possible = 200.0 * 42.0;
    let admitted = fleet.admitted_count as f64;
    assert!(admitted > 0.9 * possible, "{admitted} of {possible}");
}

/// All processes are killed at once and start anew with what a fresh node may
/// admit.
#[test]
fn a_restart_of_the_whole_fleet_grants_no_second_burst() {
    let flood = |_| 100.0;
    let mut fleet = Fleet::new();
    fleet.run(10, flood, together);
    for place in 0..NODE_COUNT {
        fleet.restart(place);
    }
    fleet.run(6, flood, |place| place);
    for place in 0..NODE_COUNT {
        fleet.restart(place);
    }
    fleet.run(6, flood, together);
    let most = fleet.most_in_window as f64;
    assert!(most <= WINDOW_LIMIT, "{most} of {WINDOW_LIMIT}");
}

/// A workspace's first requests come seconds after the fleet has started, or
/// after a pause. Its bucket must not begin empty then: callers far inside their
/// rate would be refused.
#[test]
fn the_first_requests_after_a_pause_are_served() {
    struct Case {
        name: &'static str,
        pause_s: u64,
        least_count: usize,
    }
    let cases = [
        Case {
            name: "as the fleet starts",
            pause_s: 0,
            least_count: 60,
        },
        Case {
            name: "after half a second of its rate",
            pause_s: 1,
            least_count: 150,
        },
        Case {
            name: "when the bucket has filled",
            pause_s: 10,
            least_count: 195,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new();
        let mut division = Division::new();
        for place in 0..NODE_COUNT {
            let from = Reporter {
                node_id: &place.to_string(),
                process_id: place as u64,
                is_new: true,
            };
            division.report(from, &HashMap::new(), fleet.now_us);
        }
        for place in 0..NODE_COUNT {
            fleet.nodes[place].is_new = false;
            fleet.nodes[place].lent_until_us = LEASE_US;
        }
        fleet.nodes[0].division = division;
        fleet.run(case.pause_s, |_| 0.0, together);
        for request in 0..200 {
            fleet.ask(request % NODE_COUNT, &together);
        }
        let (name, count) = (case.name, fleet.admitted_count);
        assert!(count >= case.least_count, "{name}: {count}");
        assert!(count <= 200, "{name}: {count}");
    }
}
