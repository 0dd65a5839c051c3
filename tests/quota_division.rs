//! Division of a rate over a fleet whose demand moves, whose zones are
//! partitioned and whose nodes restart.
//!
//! Load: sixteen nodes in four zones, one workspace of 200 requests per second
//! with a burst of 200.

use {
    dogwoodbridge::{
        model::Class,
        quota::{
            Division, LEASE_US, Rate, RefillBucket, Reporter, TokenGrant, TokenHoldings, TokenNeed,
        },
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
/// Window in which admissions are counted; its limit allows an excess of a
/// tenth and a slack of 20 requests.
const WINDOW_US: u64 = 5 * SECOND_US;
const WINDOW_LIMIT: f64 = (200.0 * 5.0 + 200.0) * 1.1 + 20.0;

struct Node {
    process_id: u64,
    is_new: bool,
    holdings: TokenHoldings,
    even_share: RefillBucket,
    lent_until_us: u64,
    division: Division,
}

impl Node {
    fn new(process_id: u64, now_us: u64) -> Self {
        Self {
            process_id,
            is_new: true,
            holdings: TokenHoldings::default(),
            even_share: RefillBucket::new(now_us),
            lent_until_us: 0,
            division: Division::new(),
        }
    }
}

/// Fleet in which every node reports to the first node that it reaches.
struct Fleet {
    nodes: Vec<Node>,
    process_count: u64,
    /// Preferred divider; the nodes after it follow.
    first_index: usize,
    rng: StdRng,
    now_us: u64,
    admitted_us: VecDeque<u64>,
    max_in_window: usize,
    request_count: usize,
    admitted_count: usize,
    class: Class,
}

impl Fleet {
    fn new() -> Self {
        Self {
            nodes: (0..NODE_COUNT)
                .map(|index| Node::new(index as u64, 0))
                .collect(),
            process_count: NODE_COUNT as u64,
            first_index: 0,
            rng: StdRng::seed_from_u64(11),
            now_us: 0,
            admitted_us: VecDeque::new(),
            max_in_window: 0,
            request_count: 0,
            admitted_count: 0,
            class: Class::Critical,
        }
    }

    fn restart(&mut self, index: usize) {
        self.process_count += 1;
        self.nodes[index] = Node::new(self.process_count, self.now_us);
    }

    /// Runs for `seconds`. `demand` returns each node's requests per second,
    /// `group` the partition that a node is in.
    fn run(&mut self, seconds: u64, demand: impl Fn(usize) -> f64, group: impl Fn(usize) -> usize) {
        self.run_ms(seconds * 1000, demand, group);
    }

    fn run_ms(&mut self, ms: u64, demand: impl Fn(usize) -> f64, group: impl Fn(usize) -> usize) {
        let until_us = self.now_us + ms * 1000;
        while self.now_us < until_us {
            self.now_us += STEP_US;
            if self.now_us.is_multiple_of(PERIOD_US) {
                for index in 0..NODE_COUNT {
                    self.nodes[index].holdings.end_period(PERIOD_US / 1000);
                    self.report(index, &group);
                }
            }
            for index in 0..NODE_COUNT {
                let expected_count = demand(index) * STEP_US as f64 / SECOND_US as f64;
                let whole_count = expected_count.floor();
                let extra_count = f64::from(u8::from(
                    self.rng.random::<f64>() < expected_count - whole_count,
                ));
                for _ in 0..(whole_count + extra_count) as usize {
                    self.request(index, &group);
                }
            }
        }
    }

    fn request(&mut self, index: usize, group: &impl Fn(usize) -> usize) {
        self.request_count += 1;
        if !self.is_admitted(index, group) {
            return;
        }
        let now_us = self.now_us;
        self.admitted_count += 1;
        self.admitted_us.push_back(now_us);
        while self
            .admitted_us
            .front()
            .is_some_and(|time_us| time_us + WINDOW_US <= now_us)
        {
            self.admitted_us.pop_front();
        }
        self.max_in_window = self.max_in_window.max(self.admitted_us.len());
    }

    fn is_admitted(&mut self, index: usize, group: &impl Fn(usize) -> usize) -> bool {
        let (now_us, class) = (self.now_us, self.class);
        let node = &mut self.nodes[index];
        node.holdings.record_demand(class);
        node.even_share
            .advance(RATE, 1.0 / NODE_COUNT as f64, now_us);
        if now_us >= node.lent_until_us {
            node.holdings.clear();
            return node.even_share.take(1, 0.0) == 1;
        }
        node.even_share.clear();
        if node.holdings.take(class) {
            return true;
        }
        if node.holdings.empty_for_ms(class, now_us).is_some() {
            return false;
        }
        let mut receiver = node.holdings.add_waiter(class);
        self.report(index, group);
        receiver.try_recv().is_ok_and(|decision| decision.is_ok())
    }

    fn report(&mut self, index: usize, group: &impl Fn(usize) -> usize) {
        let now_us = self.now_us;
        let divider = (0..NODE_COUNT)
            .map(|rank| (self.first_index + rank) % NODE_COUNT)
            .find(|other| group(*other) == group(index))
            .expect("a node reaches itself");
        let node_id = index.to_string();
        let node = &mut self.nodes[index];
        let need = node.holdings.take_need();
        let reporter = Reporter {
            node_id: &node_id,
            process_id: node.process_id,
            is_new: std::mem::replace(&mut node.is_new, false),
        };
        let division = &mut self.nodes[divider].division;
        let needs = HashMap::from([(WORKSPACE.to_owned(), need.clone())]);
        division.record_report(reporter, &needs, now_us);
        let grant = division.grant(reporter, WORKSPACE, RATE, &need, NODE_COUNT, now_us);
        let node = &mut self.nodes[index];
        node.lent_until_us = now_us + LEASE_US;
        node.holdings.apply_grant(&grant, now_us);
    }

    /// Makes another node the divider; returns the tokens of the previous one.
    fn change_divider(&mut self, index: usize) -> Vec<(String, f64)> {
        let previous = &mut self.nodes[self.first_index].division;
        self.first_index = index;
        previous.hand_over([(WORKSPACE, RATE)], NODE_COUNT, self.now_us)
    }

    fn served_ratio(&self) -> f64 {
        self.admitted_count as f64 / self.request_count.max(1) as f64
    }
}

const fn one_group(_: usize) -> usize {
    0
}

/// Zones of four nodes; the last one is partitioned off.
const fn last_zone_partitioned(index: usize) -> usize {
    if index >= 12 { 1 } else { 0 }
}

/// A workspace stays within its rate, but its callers are on few nodes, or
/// move. With fixed shares most of their requests would be refused although the
/// fleet as a whole has tokens.
#[test]
fn demand_within_the_rate_is_served_on_any_nodes() {
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
            demand: |index| if index < 3 { 125.0 / 3.0 } else { 0.0 },
        },
        Case {
            name: "uneven",
            demand: |index| 125.0 * (index as f64 + 1.0) / 136.0,
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
            fleet.run(2, case.demand, one_group);
            (fleet.request_count, fleet.admitted_count) = (0, 0);
            fleet.run(30, case.demand, one_group);
            let served_ratio = fleet.served_ratio();
            assert!(
                served_ratio > 0.995,
                "{} {}: {served_ratio}",
                class.name(),
                case.name
            );
        }
    }
}

/// A workspace sends a quarter more than its rate. Its whole rate must be
/// admitted; separate buckets per node would lose a seventh of it.
#[test]
fn a_workspace_over_its_rate_gets_all_of_its_rate() {
    let mut fleet = Fleet::new();
    fleet.class = Class::Browse;
    fleet.run(30, |_| 250.0 / 16.0, one_group);
    let possible_count = 200.0 * 30.0;
    let admitted_count = fleet.admitted_count as f64;
    assert!(
        admitted_count > 0.98 * possible_count,
        "{admitted_count} of {possible_count}"
    );
}

/// A workspace sends eight times its rate while a zone is partitioned off,
/// while nodes restart, or both. Admitted beyond its rate, it would use the
/// capacity of all other workspaces.
#[test]
fn no_window_exceeds_the_rate() {
    let overload = |_| 100.0;
    let mut fleet = Fleet::new();
    fleet.run(10, overload, one_group);
    fleet.run(8, overload, last_zone_partitioned);
    fleet.run(6, overload, one_group);
    fleet.run(8, overload, |index| index);
    for index in (0..NODE_COUNT).step_by(3) {
        fleet.restart(index);
    }
    fleet.run(10, overload, one_group);
    let max_count = fleet.max_in_window as f64;
    assert!(max_count <= WINDOW_LIMIT, "{max_count} of {WINDOW_LIMIT}");
    // The fleet also uses the rate that it may admit.
    let possible_count = 200.0 * 42.0;
    let admitted_count = fleet.admitted_count as f64;
    assert!(
        admitted_count > 0.9 * possible_count,
        "{admitted_count} of {possible_count}"
    );
}

/// All processes are killed at once and restart with the initial tokens of a
/// new process.
#[test]
fn a_restart_of_the_whole_fleet_grants_no_second_burst() {
    let overload = |_| 100.0;
    let mut fleet = Fleet::new();
    fleet.run(10, overload, one_group);
    for index in 0..NODE_COUNT {
        fleet.restart(index);
    }
    fleet.run(6, overload, |index| index);
    for index in 0..NODE_COUNT {
        fleet.restart(index);
    }
    fleet.run(6, overload, one_group);
    let max_count = fleet.max_in_window as f64;
    assert!(max_count <= WINDOW_LIMIT, "{max_count} of {WINDOW_LIMIT}");
}

/// A workspace's first requests arrive seconds after the fleet has started, or
/// after a pause. If its bucket started empty then, callers far within their
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
        for index in 0..NODE_COUNT {
            let reporter = Reporter {
                node_id: &index.to_string(),
                process_id: index as u64,
                is_new: true,
            };
            division.record_report(reporter, &HashMap::new(), fleet.now_us);
        }
        for index in 0..NODE_COUNT {
            fleet.nodes[index].is_new = false;
            fleet.nodes[index].lent_until_us = LEASE_US;
        }
        fleet.nodes[0].division = division;
        fleet.run(case.pause_s, |_| 0.0, one_group);
        for number in 0..200 {
            fleet.request(number % NODE_COUNT, &one_group);
        }
        let (name, count) = (case.name, fleet.admitted_count);
        assert!(count >= case.least_count, "{name}: {count}");
        assert!(count <= 200, "{name}: {count}");
    }
}

/// A workspace sends eight times its rate while the divider changes several times
/// a second and some handovers are lost. Tokens that count at two dividers would
/// admit more than the rate.
#[test]
fn handovers_grant_no_token_twice() {
    let overload = |_| 100.0;
    let mut fleet = Fleet::new();
    fleet.run(10, overload, one_group);
    for number in 1..=60 {
        let tokens = fleet.change_divider(number * 5 % NODE_COUNT);
        let is_lost = number % 7 == 0;
        if !is_lost {
            let division = &mut fleet.nodes[fleet.first_index].division;
            division.accept_handover(&tokens, fleet.now_us);
        }
        fleet.run_ms(300, overload, one_group);
    }
    let max_count = fleet.max_in_window as f64;
    assert!(max_count <= WINDOW_LIMIT, "{max_count} of {WINDOW_LIMIT}");
}

/// The divider changes while a workspace is far within its rate and its bucket is
/// full. An empty bucket at the new divider would refuse its next requests.
#[test]
fn a_handover_keeps_a_full_bucket() {
    for class in Class::ALL {
        let mut fleet = Fleet::new();
        fleet.class = class;
        fleet.run(6, |_| 1.0, one_group);
        let tokens = fleet.change_divider(1);
        let division = &mut fleet.nodes[1].division;
        division.accept_handover(&tokens, fleet.now_us);
        (fleet.request_count, fleet.admitted_count) = (0, 0);
        fleet.run(2, |_| 5.0, one_group);
        assert_eq!(
            fleet.admitted_count,
            fleet.request_count,
            "{}",
            class.name()
        );
    }
}

/// A report of a node: when it arrives and what it requests ahead.
struct TimedReport {
    node_id: &'static str,
    arrives_us: u64,
    ahead_count: u32,
}

/// The grant to the last reporter.
fn grant_after(reports: &[TimedReport]) -> TokenGrant {
    let mut division = Division::new();
    let mut grant = TokenGrant::default();
    for report in reports {
        let reporter = Reporter {
            node_id: report.node_id,
            process_id: 1,
            is_new: false,
        };
        let need = TokenNeed {
            ahead_counts: [0, report.ahead_count, 0],
            ..TokenNeed::default()
        };
        let needs = HashMap::from([(WORKSPACE.to_owned(), need.clone())]);
        let now_us = report.arrives_us;
        division.record_report(reporter, &needs, now_us);
        grant = division.grant(reporter, WORKSPACE, RATE, &need, 2, now_us);
    }
    grant
}

/// A divider of a thousand nodes keeps the sum of their demand instead of adding
/// it up for each grant. If demand of a replaced report or of an expired lease
/// stayed in the sum, other nodes would get too few tokens.
#[test]
fn demand_of_replaced_and_expired_reports_does_not_count() {
    struct Case {
        name: &'static str,
        earlier: TimedReport,
    }
    let cases = [
        Case {
            name: "replaced by a report without demand",
            earlier: TimedReport {
                node_id: "b",
                arrives_us: 2 * SECOND_US,
                ahead_count: 50,
            },
        },
        Case {
            name: "lease is over",
            earlier: TimedReport {
                node_id: "c",
                arrives_us: 2 * SECOND_US - LEASE_US,
                ahead_count: 50,
            },
        },
    ];
    for case in cases {
        let without_demand = TimedReport {
            ahead_count: 0,
            ..case.earlier
        };
        let grants = [case.earlier, without_demand].map(|earlier| {
            let later = [("b", 2 * SECOND_US, 0), ("a", 2 * SECOND_US + 500_000, 60)];
            let later = later.map(|(node_id, arrives_us, ahead_count)| TimedReport {
                node_id,
                arrives_us,
                ahead_count,
            });
            let [b, a] = later;
            grant_after(&[earlier, b, a])
        });
        assert_eq!(grants[0].counts, grants[1].counts, "{}", case.name);
        assert!(grants[0].counts[1] > 0, "{}", case.name);
    }
}
