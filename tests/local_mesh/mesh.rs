//! Nodes with fixed configuration and membership, without gossip or a platform.

use {
    super::{
        standalone::{LocalGuard, LocalQuota},
        target::Target,
    },
    clap::Parser,
    dogwoodbridge::{
        admission::AdmitAll,
        conf::{CompiledConfiguration, Evacuations, RouteRules, ServiceRules, WorkspaceRules},
        dialect::Native,
        freshness::{Freshness, Snapshot},
        keys::KeyDigest,
        membership::{Member, MemberPorts, MemberProbes, MemberQuery, MemberState, OwnState, View},
        model::{Class, Names, RegionSet},
        node::{Node, NodeInputs, PolicySet, start},
        quota::Rate,
        retry::ChainBudget,
        routing::ZoneRouter,
        settings::{Settings, ports},
        timer::Timer,
    },
    sha2::{Digest, Sha256},
    std::{
        collections::{HashMap, HashSet},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{
            Arc, LazyLock, Mutex,
            atomic::{AtomicU16, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

pub const KEY: &str = "tally-key-1";
pub const REVOKED_KEY: &str = "tally-key-0";
pub const SECRET: &str = "fleet-secret-of-the-tests";

/// Freshness of nodes that are never cut off.
pub const ALWAYS_FRESH: Snapshot = Snapshot {
    freshness: Freshness::Fresh,
    valid_until_ms: u64::MAX,
    quota_until_ms: u64::MAX,
};

pub type TestNode = Node<PolicySet<AdmitAll, ZoneRouter, ChainBudget, LocalQuota, LocalGuard>>;

/// A node with its target.
pub struct Instance {
    pub node: Arc<TestNode>,
    pub target: Arc<Target>,
    pub running: watch::Sender<Arc<CompiledConfiguration>>,
    pub evacuations: watch::Sender<Arc<Evacuations>>,
    pub freshness: watch::Sender<Snapshot>,
    pub tasks: TaskTracker,
    view: watch::Sender<Arc<View>>,
}

impl Instance {
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.node.settings.ip, ports::CALLER)
    }

    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.node.settings.ip, ports::PEER)
    }

    pub fn egress_address(&self) -> SocketAddr {
        SocketAddr::new(self.node.settings.ip, ports::EGRESS)
    }

    pub fn admin_address(&self) -> SocketAddr {
        SocketAddr::new(self.node.settings.ip, ports::ADMIN)
    }
}

/// Nodes that know each other as members.
pub struct Mesh {
    pub instances: Arc<Vec<Instance>>,
    /// Members without a node.
    pub fake_members: FakeMembers,
}

type FakeMembers = Arc<Mutex<Vec<Member>>>;

impl Mesh {
    /// Starts a node with a target for each of these services.
    pub async fn start(services: &[&str]) -> Self {
        Self::start_with_flags(services, &[]).await
    }

    /// Like [`Mesh::start`], with additional flags of `dogwoodd`.
    pub async fn start_with_flags(services: &[&str], flags: &[&str]) -> Self {
        let mut instances = Vec::new();
        let ips: Vec<IpAddr> = services.iter().map(|_| next_ip()).collect();
        // Each node is the home of a share of the idempotency keys.
        let homes: Vec<String> = ips.iter().map(|ip| format!("node-{ip}")).collect();
        let mut ips = ips.into_iter();
        for service in services {
            instances.push(
                start_instance(service, services, flags, ips.next().unwrap(), homes.clone()).await,
            );
        }
        let mesh = Self {
            instances: Arc::new(instances),
            fake_members: FakeMembers::default(),
        };
        for instance in mesh.instances.iter() {
            instance.target.announce(false).await;
            tokio::spawn(Arc::clone(&instance.target).keep_announcing());
        }
        mesh.publish_membership();
        let fake_members = Arc::clone(&mesh.fake_members);
        tokio::spawn(publish_periodically(
            Arc::clone(&mesh.instances),
            fake_members,
        ));
        mesh.wait_until_routed(services).await;
        mesh
    }

    /// Waits until every node routes to all targets. A node that knows its own target
    /// only has no other to try.
    async fn wait_until_routed(&self, services: &[&str]) {
        for instance in self.instances.iter() {
            let node = &instance.node;
            for service in services {
                let key = node.names.service(service);
                let expected_count = services.iter().filter(|other| *other == service).count();
                while node.routes().target_count(key) < expected_count {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    pub fn publish_membership(&self) {
        publish_membership(&self.instances, &self.fake_members);
    }

    /// Adds a member that claims to have a target of this service at this address.
    pub async fn add_fake_member(&self, node_id: &str, service: &str, address: SocketAddr) {
        let mut member = member_of(&self.instances[0]);
        member.node_id = node_id.to_owned();
        member.ip = address.ip();
        member.ports.peer = address.port();
        member.target.as_mut().unwrap().service = service.to_owned();
        self.fake_members.lock().unwrap().push(member);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

impl std::ops::Index<usize> for Mesh {
    type Output = Instance;

    fn index(&self, index: usize) -> &Instance {
        &self.instances[index]
    }
}

/// Replaces gossip: publishes the members every 20 ms.
async fn publish_periodically(instances: Arc<Vec<Instance>>, fake_members: FakeMembers) {
    loop {
        tokio::time::sleep(Duration::from_millis(20)).await;
        publish_membership(&instances, &fake_members);
    }
}

fn publish_membership(instances: &[Instance], fake_members: &FakeMembers) {
    let mut members: Vec<Member> = instances.iter().map(member_of).collect();
    members.extend(fake_members.lock().unwrap().iter().cloned());
    members.sort_by(|a, b| a.node_id.cmp(&b.node_id));
    let view = Arc::new(View::new(members));
    for instance in instances {
        instance.view.send_if_modified(|current| {
            let has_changed = *current != view;
            *current = Arc::clone(&view);
            has_changed
        });
    }
}

fn member_of(instance: &Instance) -> Member {
    let settings = &instance.node.settings;
    let own_state = instance.node.own_state.borrow();
    let state = match (own_state.left, own_state.draining) {
        (true, _) => MemberState::Left,
        (false, true) => MemberState::Draining,
        (false, false) => MemberState::Alive,
    };
    Member {
        node_id: settings.node_id.clone(),
        ip: settings.ip,
        ports: MemberPorts {
            peer: settings.peer_port,
            gossip: settings.gossip_port,
            rpc: settings.rpc_port,
            control: settings.control_port,
        },
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        started_unix_ms: 1,
        incarnation: 0,
        state,
        target: own_state.target.clone(),
    }
}

fn next_ip() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = u8::try_from(std::process::id() % 100).unwrap();
    IpAddr::V4(Ipv4Addr::new(127, 100 + process, high, low))
}

async fn start_instance(
    service: &str,
    services: &[&str],
    flags: &[&str],
    ip: IpAddr,
    homes: Vec<String>,
) -> Instance {
    let node_id = format!("node-{ip}");
    let ip_text = ip.to_string();
    let mut arguments = vec![
        "dogwoodd",
        "--node-id",
        &node_id,
        "--ip",
        &ip_text,
        "--region",
        "r1",
        "--zone",
        "a",
        "--platform",
        "127.0.0.1:1",
        "--fleet-secret",
        SECRET,
        "--operator-secret",
        "operator-secret-of-the-tests",
    ];
    arguments.extend_from_slice(flags);
    let settings = Arc::new(Settings::parse_from(arguments));
    settings.check().unwrap();
    let names = Names::new();
    let timer = Timer::new(CancellationToken::new());
    let (running, running_receiver) = watch::channel(Arc::new(configuration(&names, services)));
    let (evacuations, evacuations_receiver) = watch::channel(Arc::default());
    let (view, view_receiver) = watch::channel(Arc::new(View::default()));
    let (freshness, freshness_receiver) = watch::channel(ALWAYS_FRESH);
    let (own_state, _) = watch::channel(OwnState::default());
    let node = TestNode::new(NodeInputs {
        guard: LocalGuard::new(&settings.node_id, homes),
        dialect: Native,
        settings,
        names,
        quota: LocalQuota::new(timer.clone()),
        timer,
        running: running_receiver,
        evacuations: evacuations_receiver,
        view: view_receiver,
        probes: mesh_probes(&node_id),
        own_state,
        freshness: freshness_receiver,
    });
    let tasks = start(&node).unwrap();
    let egress = SocketAddr::new(ip, ports::EGRESS);
    let target = Target::start(service, ip, egress).await;
    Instance {
        node,
        target,
        running,
        evacuations,
        freshness,
        tasks,
        view,
    }
}

/// Probes of all nodes of this process, by node id.
static PROBES: LazyLock<Mutex<HashMap<String, MemberProbes>>> = LazyLock::new(Mutex::default);

/// Members that do not respond to probes.
static UNRESPONSIVE: LazyLock<Mutex<HashSet<String>>> = LazyLock::new(Mutex::default);

/// Sets whether a member responds to probes.
pub fn set_responsive(node_id: &str, is_responsive: bool) {
    let mut unresponsive = UNRESPONSIVE.lock().unwrap();
    if is_responsive {
        unresponsive.remove(node_id);
    } else {
        unresponsive.insert(node_id.to_owned());
    }
}

fn is_responsive(node_id: &str) -> bool {
    !UNRESPONSIVE.lock().unwrap().contains(node_id)
}

/// Probes to which responsive members respond immediately; reports reach the other nodes.
fn mesh_probes(own_id: &str) -> MemberProbes {
    let (probes, mut questions) = MemberProbes::new();
    let responder = probes.clone();
    PROBES
        .lock()
        .unwrap()
        .insert(own_id.to_owned(), probes.clone());
    tokio::spawn(async move {
        while let Some(question) = questions.recv().await {
            match question {
                MemberQuery::Liveness(node_id) if is_responsive(&node_id) => {
                    responder.record_response(node_id);
                }
                MemberQuery::Liveness(_) => {}
                MemberQuery::Reports(node_id, packet) => {
                    if let Some(receiver) = PROBES.lock().unwrap().get(&node_id) {
                        receiver.record_reports(packet);
                    }
                }
                MemberQuery::Stamp(_) => {}
            }
        }
    });
    probes
}

fn configuration(names: &Names, services: &[&str]) -> CompiledConfiguration {
    let mut running = CompiledConfiguration {
        revision: 1,
        ..CompiledConfiguration::default()
    };
    // "x" is a service that only fake members claim to have.
    for service in services.iter().chain(&["x"]) {
        let key = names.service(service);
        running.service_names.insert((*service).to_owned(), key);
        let route = |path: &str, class, repeatable| RouteRules {
            methods: Vec::new(),
            path: path.split('/').map(str::to_owned).collect(),
            class,
            repeatable,
            deadline_ms: 3000,
        };
        let routes = vec![
            route("once/**", Class::Critical, false),
            route("**", Class::Browse, true),
        ];
        let rules = ServiceRules {
            service: key,
            retry_limit: 3,
            routes,
        };
        running.services.insert(key, rules);
    }
    for (workspace, keys, rate) in [
        ("tally", [KEY, REVOKED_KEY].as_slice(), 100_000),
        ("tiny", &["tiny-key"], 2),
    ] {
        let key = names.workspace(workspace);
        let rules = WorkspaceRules {
            workspace: key,
            class: None,
            regions: RegionSet::ANY,
            rate: Rate {
                rate_per_s: rate,
                burst_count: rate,
            },
            key_lease_ms: 100,
        };
        running.workspaces.insert(key, rules);
        for presented in keys {
            running.granted.insert(digest(presented), key);
        }
    }
    running.revoked.insert(digest(REVOKED_KEY));
    running
}

pub fn digest(key: &str) -> KeyDigest {
    KeyDigest(Sha256::digest(key.as_bytes()).into())
}
