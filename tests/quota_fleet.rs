//! Quota, slices and guard of several nodes with real RPC, on an in-memory
//! stand-in of the platform's conditional write.

use {
    clap::Parser,
    dogwoodbridge::{
        documents::{Document, DocumentKind, DocumentWriter, WriteResult},
        freshness::{Freshness, Snapshot},
        guard::{BeginDecision, ExecutionResult, GuardHome, KeyedRequest, StoredResponse},
        membership::{Member, MemberPorts, MemberState, View},
        model::{Class, Names, Reason, WorkspaceKey},
        quota::{self, LeasedQuota, QuotaGate, QuotaInputs, Rate, Rates},
        rpc::{self, CallKind, DocumentSource, NodeHandlers, RpcClient, RpcConfig},
        settings::Settings,
        slices::{self, Section, SliceInputs, SliceTable, Slot, VersionedSliceTable},
        timer::Timer,
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

const RATE: Rate = Rate {
    rate_per_s: 200,
    burst_count: 300,
};

/// One object with conditional writes, visible to all nodes at once.
#[derive(Clone)]
struct Store {
    held: Arc<watch::Sender<Option<Document>>>,
    writing: Arc<Mutex<()>>,
    lost_responses: Arc<AtomicU32>,
}

impl Store {
    fn new(lost_response_count: u32) -> Self {
        Self {
            held: Arc::new(watch::channel(None).0),
            writing: Arc::default(),
            lost_responses: Arc::new(AtomicU32::new(lost_response_count)),
        }
    }
}

impl DocumentWriter for Store {
    async fn write(&self, kind: DocumentKind, if_version: u64, content: Vec<u8>) -> WriteResult {
        let _writing = self.writing.lock().expect("no panic");
        let version = self.held.borrow().as_ref().map_or(0, |held| held.version);
        if version != if_version {
            return WriteResult::Conflict(version);
        }
        let document = Document {
            kind,
            version: version + 1,
            content: content.into(),
        };
        self.held.send_replace(Some(document));
        let decrement = |left: u32| (version > 0).then(|| left.checked_sub(1)).flatten();
        match self
            .lost_responses
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
        {
            Ok(_) => WriteResult::Unknown,
            Err(_) => WriteResult::Written(version + 1),
        }
    }
}

impl DocumentSource for Store {
    fn document(&self, _: DocumentKind, above_version: u64) -> Option<Document> {
        let held = self.held.borrow().clone();
        held.filter(|document| document.version > above_version)
    }
}

struct TestNode {
    quota: LeasedQuota,
    guard: Arc<GuardHome>,
    client: RpcClient,
    table: watch::Receiver<Option<Arc<VersionedSliceTable>>>,
    draining: watch::Sender<bool>,
    view: watch::Sender<Arc<View>>,
    workspace: WorkspaceKey,
    shutdown: CancellationToken,
    _rates: watch::Sender<Arc<Rates>>,
    _freshness: watch::Sender<Snapshot>,
}

struct Fleet {
    nodes: Vec<TestNode>,
    view: View,
    _shutdown: tokio_util::sync::DropGuard,
}

fn member(net: u8, index: u8) -> Member {
    Member {
        node_id: format!("n{index}"),
        ip: [127, 92, net, index + 1].into(),
        ports: MemberPorts {
            peer: 7001,
            gossip: 7003,
            rpc: 7004,
            control: 7005,
        },
        region: "r".to_owned(),
        zone: format!("z{}", index % 2),
        started_unix_ms: u64::from(index) + 1,
        incarnation: 0,
        state: MemberState::Alive,
        target: None,
    }
}

fn start_node(
    member: &Member,
    view: &View,
    store: &Store,
    shutdown: CancellationToken,
) -> TestNode {
    let settings = Settings::parse_from([
        "dogwoodd",
        "--region=r",
        "--platform=127.0.0.1:1",
        "--fleet-secret=a secret of the fleet",
        "--operator-secret=not needed in this test",
        &format!("--node-id={}", member.node_id),
        &format!("--zone={}", member.zone),
        &format!("--ip={}", member.ip),
    ]);
    let names = Names::new();
    let workspace = names.workspace("shop");
    let timer = Timer::new(shutdown.clone());
    let (view_sender, view) = watch::channel(Arc::new(view.clone()));
    let always_fresh = Snapshot {
        freshness: Freshness::Fresh,
        valid_until_ms: u64::MAX,
        quota_until_ms: u64::MAX,
    };
    let (freshness_sender, freshness) = watch::channel(always_fresh);
    let rates = Arc::new(Rates::from([(workspace, RATE)]));
    let (rates_sender, rates) = watch::channel(rates);
    let (draining_sender, draining) = watch::channel(false);
    let (client, calls) = rpc::channel();
    let own = Slot::new(member);
    let quota = quota::spawn(QuotaInputs {
        own: own.clone(),
        region: "r".to_owned(),
        started_unix_ms: member.started_unix_ms,
        timer: timer.clone(),
        names: names.clone(),
        view: view.clone(),
        freshness: freshness.clone(),
        rates,
        client: client.clone(),
    });
    let guard = GuardHome::new(
        own.clone(),
        member.started_unix_ms,
        timer.clone(),
        freshness.clone(),
    );
    let guard = Arc::new(guard);
    let handlers = NodeHandlers::new(store.clone(), quota.clone(), guard.clone());
    let config = RpcConfig::new(&settings, names);
    rpc::spawn(config, calls, Arc::new(handlers), shutdown.clone()).expect("the address is free");
    let table = slices::spawn(SliceInputs {
        own_slot: own,
        timer,
        view,
        freshness,
        document: store.held.subscribe(),
        draining,
        writer: store.clone(),
        guard: guard.clone(),
        quota: quota.clone(),
        client: client.clone(),
    });
    TestNode {
        quota,
        guard,
        client,
        table,
        draining: draining_sender,
        view: view_sender,
        workspace,
        shutdown,
        _rates: rates_sender,
        _freshness: freshness_sender,
    }
}

impl Fleet {
    fn start(net: u8, node_count: u8, lost_response_count: u32) -> Self {
        let members: Vec<Member> = (0..node_count).map(|index| member(net, index)).collect();
        let view = View::new(members);
        let store = Store::new(lost_response_count);
        let shutdown = CancellationToken::new();
        let nodes = view.members.iter();
        let nodes = nodes.map(|member| start_node(member, &view, &store, shutdown.child_token()));
        Self {
            nodes: nodes.collect(),
            view,
            _shutdown: shutdown.drop_guard(),
        }
    }

    fn set_member_state(&mut self, index: usize, state: MemberState) {
        Arc::make_mut(&mut self.view.members[index]).state = state;
        let view = Arc::new(self.view.clone());
        for node in &self.nodes {
            node.view.send_replace(view.clone());
        }
    }

    async fn wait_for_table(&mut self, is_met: impl Fn(&SliceTable) -> bool) {
        for node in &mut self.nodes {
            let held = node
                .table
                .wait_for(|table| table.as_ref().is_some_and(|held| is_met(&held.table)));
            let held = tokio::time::timeout(Duration::from_secs(30), held).await;
            drop(held.expect("the table settles").expect("the task runs"));
        }
    }

    fn home_of(&self, request: &KeyedRequest) -> &TestNode {
        let held = self.nodes[0].table.borrow().clone();
        let table = &held.as_ref().expect("the table is settled").table;
        let home = &table.owner(Section::Keys, request.key.slice()).node_id;
        let members = &self.view.members;
        let index = members.iter().position(|member| member.node_id == *home);
        &self.nodes[index.expect("a member")]
    }
}

async fn admit_at_once(node: &TestNode, count: usize) -> usize {
    let requests = (0..count).map(|_| node.quota.admit(node.workspace, RATE, Class::Standard));
    let admitted = futures::future::join_all(requests).await;
    admitted.into_iter().filter(Result::is_ok).count()
}

async fn wait_until(mut is_met: impl FnMut() -> bool) {
    let finished = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let finished = tokio::time::timeout(Duration::from_secs(30), finished).await;
    finished.expect("the condition is met in time");
}

/// The burst of a workspace arrives at one node. Tokens left at the other nodes
/// would refuse a part of it, and tokens counted twice would exceed it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_burst_at_one_of_six_nodes_is_admitted() {
    let mut fleet = Fleet::start(1, 6, 0);
    fleet.wait_for_table(|table| table.slots().len() == 6).await;
    // Quarantine of the slices, then burst / rate to fill up.
    tokio::time::sleep(Duration::from_millis(2200 + 1600)).await;
    let node = &fleet.nodes[1];
    assert_eq!(admit_at_once(node, 300).await, 300);
    let counts = CallKind::ALL.map(|kind| (kind.name(), node.client.counters().for_kind(kind)));
    println!("calls of the node with the burst: {counts:?}");
    assert!(node.client.counters().for_kind(CallKind::Borrow).call_count > 0);
    let excess_count = admit_at_once(node, 300).await;
    assert!(
        excess_count < 200,
        "{excess_count} admitted beyond the burst"
    );
    let refusal = loop {
        if let Err(refusal) = node
            .quota
            .admit(node.workspace, RATE, Class::Standard)
            .await
        {
            break refusal;
        }
    };
    assert_eq!(
        (refusal.reason, refusal.retry_after_ms),
        (Reason::OverQuota, 5)
    );
}

/// The node that holds a workspace's token pool dies. Its requests are refused
/// until the shares leased by that pool can be leased again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_pool_serves_after_a_pool_node_dies() {
    let mut fleet = Fleet::start(3, 6, 0);
    fleet.wait_for_table(|table| table.slots().len() == 6).await;
    tokio::time::sleep(Duration::from_millis(2200 + 500)).await;
    let dead_node = quota::pool_nodes(&fleet.view, "shop", "z0")[0]
        .node_id
        .clone();
    let dead_node = fleet
        .view
        .members
        .iter()
        .position(|member| member.node_id == dead_node);
    let dead_node = dead_node.expect("a member");
    let survivor = (dead_node + 1) % 6;
    assert_eq!(admit_at_once(&fleet.nodes[survivor], 20).await, 20);
    fleet.nodes[dead_node].shutdown.cancel();
    let died = std::time::Instant::now();
    fleet.set_member_state(dead_node, MemberState::Dead);
    let node = &fleet.nodes[survivor];
    // Spends the tokens that the node has borrowed ahead.
    while node
        .quota
        .admit(node.workspace, RATE, Class::Standard)
        .await
        .is_ok()
    {}
    let mut refused_count = 0;
    while node
        .quota
        .admit(node.workspace, RATE, Class::Standard)
        .await
        .is_err()
    {
        refused_count += 1;
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(refused_count < 6000, "no other pool serves");
    }
    println!(
        "first admission {} ms after the pool node died",
        died.elapsed().as_millis()
    );
}

/// The node that holds a workspace's token pool is drained while the pool is in
/// use. Requests within their rate must not be refused because of a planned
/// stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_pool_node_hands_over_without_a_refusal() {
    let mut fleet = Fleet::start(4, 6, 0);
    fleet.wait_for_table(|table| table.slots().len() == 6).await;
    tokio::time::sleep(Duration::from_millis(2200 + 1600)).await;
    let first_node = quota::pool_nodes(&fleet.view, "shop", "z0")[0]
        .node_id
        .clone();
    let first_node = fleet
        .view
        .members
        .iter()
        .position(|member| member.node_id == first_node);
    let first_node = first_node.expect("a member");
    assert_eq!(
        admit_at_once(&fleet.nodes[(first_node + 1) % 6], 100).await,
        100
    );
    fleet.set_member_state(first_node, MemberState::Draining);
    let second_node = quota::pool_nodes(&fleet.view, "shop", "z0")[0]
        .node_id
        .clone();
    assert_ne!(second_node, fleet.view.members[first_node].node_id);
    for node in &fleet.nodes {
        assert_eq!(admit_at_once(node, 10).await, 10);
    }
}

/// A node leaves while writes of the slice table lose their responses. The keys
/// that it knows must be known to their next homes; otherwise a resent order
/// would be refused as unsure or, worse, executed again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_follow_their_slices_when_write_responses_are_lost() {
    let mut fleet = Fleet::start(2, 3, 3);
    fleet.wait_for_table(|table| table.slots().len() == 3).await;
    let requests =
        (0..40).map(|n| KeyedRequest::new(WorkspaceKey::new(0), "shop", &format!("order {n}"), 1));
    let requests: Vec<KeyedRequest> = requests.collect();
    let response = StoredResponse {
        status: 201,
        headers: vec![],
        body: "done".into(),
    };
    for request in &requests {
        let guard = &fleet.home_of(request).guard;
        // The history of slices that moved here may still be on its way.
        wait_until(|| guard.begin(request) == BeginDecision::Execute).await;
        guard.finish(request.key, ExecutionResult::Responded(response.clone()));
    }
    fleet.set_member_state(1, MemberState::Draining);
    fleet.nodes[1].draining.send_replace(true);
    fleet
        .wait_for_table(|table| table.find("n1").is_none())
        .await;
    for request in &requests {
        let guard = &fleet.home_of(request).guard;
        let replay = BeginDecision::Replay(response.clone());
        wait_until(|| {
            let begin = guard.begin(request);
            assert_ne!(begin, BeginDecision::Execute);
            begin == replay
        })
        .await;
    }
}
