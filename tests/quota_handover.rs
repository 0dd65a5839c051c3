//! Tokens at a change of divider, over real sockets.
//!
//! Load: a workspace far within its rate, with requests at every node, while the
//! node that divides its rate is replaced.

use {
    dogwoodbridge::{
        membership::{Member, MemberPorts, MemberState, View},
        model::{Class, Names, WorkspaceKey},
        peer::FleetAuth,
        quota::{DividedQuota, QuotaGate, Rate, Rates, SharingInputs, spawn_sharing},
        timer::Timer,
    },
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep},
    tokio_util::sync::{CancellationToken, DropGuard},
    xxhash_rust::xxh3::xxh3_64,
};

const RATE: Rate = Rate {
    rate_per_s: 1000,
    burst_count: 1000,
};
const WORKSPACE: &str = "dealers";
const PORT: u16 = 7004;
/// Time in which the buckets fill.
const FILL_TIME: Duration = Duration::from_millis(1500);
/// Time until other nodes learn of a change.
const GOSSIP_DELAY: Duration = Duration::from_millis(4);
const LOAD_TIME: Duration = Duration::from_millis(1200);
const LOAD_PAUSE: Duration = Duration::from_millis(10);

struct TestNode {
    quota: DividedQuota,
    workspace: WorkspaceKey,
    view: watch::Sender<Arc<View>>,
    rates: watch::Sender<Arc<Rates>>,
    _expected_count: watch::Sender<Option<usize>>,
    _stop: DropGuard,
}

impl TestNode {
    async fn start(member: &Member, view: &View) -> Self {
        let shutdown = CancellationToken::new();
        let timer = Timer::new(shutdown.clone());
        let names = Names::new();
        let workspace = names.workspace(WORKSPACE);
        let (view, view_receiver) = watch::channel(Arc::new(view.clone()));
        let (rates, rates_receiver) = watch::channel(Arc::default());
        let (expected_count, expected_count_receiver) = watch::channel(None);
        let quota = DividedQuota::new(timer.clone());
        let inputs = SharingInputs {
            node_id: member.node_id.clone(),
            address: SocketAddr::new(member.ip, PORT),
            port: PORT,
            auth: FleetAuth::new("the fleet of these tests"),
            timer,
            names,
            view: view_receiver,
            expected_count: expected_count_receiver,
            rates: rates_receiver,
        };
        spawn_sharing(inputs, quota.clone(), shutdown.clone())
            .await
            .expect("the port is free");
        Self {
            quota,
            workspace,
            view,
            rates,
            _expected_count: expected_count,
            _stop: shutdown.drop_guard(),
        }
    }

    fn configure(&self) {
        let rates = HashMap::from([(self.workspace, RATE)]);
        self.rates.send_replace(Arc::new(rates));
    }

    fn callers(&self) -> Callers {
        Callers {
            quota: self.quota.clone(),
            workspace: self.workspace,
        }
    }
}

/// Callers at one node.
struct Callers {
    quota: DividedQuota,
    workspace: WorkspaceKey,
}

impl Callers {
    /// Sends requests one after the other; returns how many were sent and the
    /// refusals.
    async fn run(self, class: Class) -> (usize, Vec<String>) {
        let begun = Instant::now();
        let mut refusals = Vec::new();
        let mut count = 0;
        while begun.elapsed() < LOAD_TIME {
            count += 1;
            if let Err(refusal) = self.quota.admit(self.workspace, RATE, class).await {
                let at_ms = begun.elapsed().as_millis();
                refusals.push(format!("{} after {at_ms} ms", refusal.reason));
            }
            sleep(LOAD_PAUSE).await;
        }
        (count, refusals)
    }
}

/// Members in the order in which they are preferred as dividers.
fn members(case_index: u8) -> Vec<Member> {
    let mut members: Vec<Member> = (1..=3)
        .map(|index| Member {
            node_id: format!("n{index}"),
            ip: IpAddr::from([127, 94, case_index, index]),
            ports: MemberPorts {
                peer: 7001,
                gossip: 7003,
                rpc: PORT,
                control: 7005,
            },
            region: "r".to_owned(),
            zone: "z".to_owned(),
            started_unix_ms: 1,
            incarnation: 0,
            state: MemberState::Alive,
            target: None,
        })
        .collect();
    members.sort_by_key(|member| xxh3_64(member.node_id.as_bytes()));
    members
}

fn view_of(members: &[Member]) -> View {
    let mut members = members.to_vec();
    members.sort_by(|left, right| left.node_id.cmp(&right.node_id));
    View::new(members)
}

/// How the divider changes.
#[derive(Clone, Copy)]
enum Change {
    /// The divider drains and its node learns of it first.
    Drains,
    /// A node joins that is preferred as divider.
    Joins { configured_after: Duration },
}

struct ChangeCase {
    name: &'static str,
    change: Change,
    class: Class,
}

const CHANGE_CASES: [ChangeCase; 4] = [
    ChangeCase {
        name: "the divider drains, browse requests",
        change: Change::Drains,
        class: Class::Browse,
    },
    ChangeCase {
        name: "the divider drains, critical requests",
        change: Change::Drains,
        class: Class::Critical,
    },
    ChangeCase {
        name: "a node joins and has its configuration",
        change: Change::Joins {
            configured_after: Duration::ZERO,
        },
        class: Class::Browse,
    },
    ChangeCase {
        name: "a node joins and waits for its configuration",
        change: Change::Joins {
            configured_after: Duration::from_millis(400),
        },
        class: Class::Browse,
    },
];

async fn change_divider(nodes: &mut Vec<TestNode>, members: &[Member], change: Change) {
    match change {
        Change::Drains => {
            let mut members = members.to_vec();
            members[0].state = MemberState::Draining;
            let view = Arc::new(view_of(&members));
            for node in nodes {
                node.view.send_replace(Arc::clone(&view));
                sleep(GOSSIP_DELAY).await;
            }
        }
        Change::Joins { configured_after } => {
            let view = view_of(members);
            let joined = TestNode::start(&members[0], &view).await;
            for node in nodes.iter() {
                node.view.send_replace(Arc::new(view.clone()));
                sleep(GOSSIP_DELAY).await;
            }
            sleep(configured_after).await;
            joined.configure();
            nodes.push(joined);
        }
    }
}

/// Guards against a change of divider that loses the tokens: callers within
/// their rate were refused as over it until the new buckets had filled.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_divider_refuses_nobody_within_the_rate() {
    for (index, case) in CHANGE_CASES.iter().enumerate() {
        let members = members(index as u8);
        let first_count = match case.change {
            Change::Drains => 0,
            Change::Joins { .. } => 1,
        };
        let present = &members[first_count..];
        let mut nodes = Vec::new();
        for member in present {
            let node = TestNode::start(member, &view_of(present)).await;
            node.configure();
            nodes.push(node);
        }
        sleep(FILL_TIME).await;
        let loads: Vec<_> = nodes
            .iter()
            .map(|node| tokio::spawn(node.callers().run(case.class)))
            .collect();
        sleep(LOAD_TIME / 4).await;
        change_divider(&mut nodes, &members, case.change).await;
        for load in loads {
            let (count, refusals) = load.await.expect("the load ends");
            assert!(count > 10, "{}: {count} requests", case.name);
            assert_eq!(refusals, Vec::<String>::new(), "{}", case.name);
        }
    }
}
