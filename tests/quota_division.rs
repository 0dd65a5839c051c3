//! Shares of a rate over a fleet whose demand moves, whose zones are cut off
//! and whose nodes restart.
//!
//! Load: sixteen nodes in four zones, one workspace of 200 requests a second
//! with a burst of as many, which are the proportions of the users' sites.

use {
    dogwoodbridge::{
        model::{Class, WorkspaceKey},
        quota::{DividedQuota, Division, LEASE_US, QuotaGate, Rate, Share, ShareBucket},
        timer::Timer,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::{HashMap, VecDeque},
    tokio_util::sync::CancellationToken,
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
    bucket: ShareBucket,
    grant_until_us: u64,
    asked_count: u32,
    demand_per_s: f64,
    division: Division,
}

impl Node {
    fn new(now_us: u64) -> Self {
        Self {
            bucket: ShareBucket::new(even(), now_us),
            grant_until_us: 0,
            asked_count: 0,
            demand_per_s: 0.0,
            division: Division::new(),
        }
    }
}

fn even() -> Share {
    Share::of(RATE, 1.0 / NODE_COUNT as f64)
}

/// A fleet in which every node reports to the first node that it reaches.
struct Fleet {
    nodes: Vec<Node>,
    rng: StdRng,
    now_us: u64,
    admitted_us: VecDeque<u64>,
    most_in_window: usize,
    asked_count: usize,
    admitted_count: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            nodes: (0..NODE_COUNT).map(|_| Node::new(0)).collect(),
            rng: StdRng::seed_from_u64(11),
            now_us: 0,
            admitted_us: VecDeque::new(),
            most_in_window: 0,
            asked_count: 0,
            admitted_count: 0,
        }
    }

    /// Runs for a time; `demand` gives each node's requests a second, `group`
    /// tells who reaches whom.
    fn run(&mut self, seconds: u64, demand: impl Fn(usize) -> f64, group: impl Fn(usize) -> usize) {
        let until_us = self.now_us + seconds * SECOND_US;
        while self.now_us < until_us {
            self.now_us += STEP_US;
            if self.now_us.is_multiple_of(PERIOD_US) {
                self.report(&group);
            }
            for place in 0..NODE_COUNT {
                let chance = demand(place) * STEP_US as f64 / SECOND_US as f64;
                let whole = chance.floor();
                let extra = f64::from(u8::from(self.rng.random::<f64>() < chance - whole));
                for _ in 0..(whole + extra) as usize {
                    self.ask(place);
                }
            }
        }
    }

    fn ask(&mut self, place: usize) {
        let now_us = self.now_us;
        let node = &mut self.nodes[place];
        node.asked_count += 1;
        self.asked_count += 1;
        if now_us >= node.grant_until_us {
            node.bucket.set_share(even(), now_us);
        }
        if node.bucket.take(0.0, now_us).is_err() {
            return;
        }
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

    fn report(&mut self, group: &impl Fn(usize) -> usize) {
        let now_us = self.now_us;
        for place in 0..NODE_COUNT {
            let divider = (0..NODE_COUNT)
                .find(|other| group(*other) == group(place))
                .expect("a node reaches itself");
            let node = &mut self.nodes[place];
            let last_per_s = f64::from(node.asked_count) * 5.0;
            node.asked_count = 0;
            node.demand_per_s += (last_per_s - node.demand_per_s) * 0.3;
            let demand = HashMap::from([(WORKSPACE.to_owned(), node.demand_per_s)]);
            let name = place.to_string();
            let division = &mut self.nodes[divider].division;
            division.report(&name, demand, now_us);
            let share = division.grant(&name, WORKSPACE, RATE, NODE_COUNT, now_us);
            let node = &mut self.nodes[place];
            node.bucket.set_share(share, now_us);
            node.grant_until_us = now_us + LEASE_US;
        }
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
    ];
    for case in cases {
        let mut fleet = Fleet::new();
        fleet.run(30, case.demand, together);
        let served = fleet.served_ratio();
        assert!(served > 0.98, "{}: {served}", case.name);
    }
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
    for node in fleet.nodes.iter_mut().step_by(3) {
        *node = Node::new(fleet.now_us);
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
    for node in &mut fleet.nodes {
        *node = Node::new(fleet.now_us);
    }
    fleet.run(6, flood, |place| place);
    let most = fleet.most_in_window as f64;
    assert!(most <= WINDOW_LIMIT, "{most} of {WINDOW_LIMIT}");
}

/// A node is killed and starts anew while the reply to its last report is on the
/// way. That reply counts from a time that the new process has yet to reach;
/// honoured, the node would admit by it for as long as the old one had run,
/// while the same share was granted to others.
#[tokio::test]
async fn a_grant_to_an_earlier_process_is_not_honoured() {
    struct Case {
        name: &'static str,
        sent_us: fn(u64) -> u64,
        is_honoured: bool,
    }
    let cases = [
        Case {
            name: "to this process",
            sent_us: |now_us| now_us,
            is_honoured: true,
        },
        Case {
            name: "to an earlier one",
            sent_us: |now_us| now_us + 60 * SECOND_US,
            is_honoured: false,
        },
    ];
    let workspace = WorkspaceKey::new(0);
    for case in cases {
        let timer = Timer::new(CancellationToken::new());
        let quota = DividedQuota::new(timer.clone());
        quota.set_member_count(NODE_COUNT);
        let admits = || quota.admit(workspace, RATE, Class::Critical);
        // Empties the bucket of the even share.
        while admits().await.is_ok() {}
        let whole = Share::of(
            Rate {
                rate_per_s: 1_000_000,
                ..RATE
            },
            1.0,
        );
        quota.granted(workspace, whole, (case.sent_us)(timer.now_us()));
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        let mut admitted_count = 0;
        while admitted_count < 100 && admits().await.is_ok() {
            admitted_count += 1;
        }
        assert_eq!(admitted_count == 100, case.is_honoured, "{}", case.name);
    }
}
