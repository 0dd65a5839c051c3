//! A fake node with the operator API and no data path.

use {
    dogwoodbridge::{
        conf::{CompiledConfiguration, spawn_configuration_task},
        control::{
            ClassCounts, ExplainRequest, Explanation, Figure, FreshnessRecord, KeyVerdict,
            MemberStateRecord, MemberStatus, NodeCapacity, NodeFacts, NodeStatus, Operated,
            TargetCapacity, TargetStatus, VersionsRecord, resolve, spawn_operators,
        },
        documents::DocumentStore,
        keys::{KeyDigest, Revocations},
        model::{AdmissionLevel, Class, Names},
    },
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

pub const SECRET: &str = "operator-secret-of-tests";

/// A node with real documents, revocations and operator API.
#[derive(Clone)]
pub struct FakeNode {
    pub node_id: String,
    pub zone: String,
    pub store: DocumentStore,
    pub revocations: Revocations,
    pub running: watch::Receiver<Arc<CompiledConfiguration>>,
    pub names: Names,
    pub members: Arc<Mutex<Vec<MemberStatus>>>,
    pub drained: Arc<AtomicBool>,
    pub level: Arc<Mutex<AdmissionLevel>>,
    pub capacity: Arc<Mutex<Option<TargetCapacity>>>,
    pub shutdown: CancellationToken,
}

impl FakeNode {
    /// Starts a node; returns it with its control address.
    pub async fn spawn(node_id: &str, zone: &str) -> (Self, SocketAddr) {
        let shutdown = CancellationToken::new();
        let (store, revocations, names) = (DocumentStore::new(), Revocations::new(), Names::new());
        let running =
            spawn_configuration_task(&store, &revocations, names.clone(), shutdown.clone());
        let node = Self {
            node_id: node_id.to_owned(),
            zone: zone.to_owned(),
            store,
            revocations,
            running,
            names,
            members: Arc::default(),
            drained: Arc::default(),
            level: Arc::new(Mutex::new(AdmissionLevel::idle())),
            capacity: Arc::new(Mutex::new(Some(idle_target()))),
            shutdown: shutdown.clone(),
        };
        let listen_address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let address = spawn_operators(listen_address, SECRET.to_owned(), node.clone(), shutdown)
            .await
            .expect("a free port");
        (node, address)
    }

    /// Member status of this node as other nodes report it.
    pub fn member(&self, address: SocketAddr) -> MemberStatus {
        MemberStatus {
            node_id: self.node_id.clone(),
            zone: self.zone.clone(),
            ip: address.ip(),
            control_port: address.port(),
            state: MemberStateRecord::Alive,
            service: Some("catalog".to_owned()),
        }
    }
}

/// A target of service "catalog" that knows neither work time nor supply.
pub fn idle_target() -> TargetCapacity {
    let figure = |value| Figure { value, age_ms: 0 };
    TargetCapacity {
        service: "catalog".to_owned(),
        slots: figure(150),
        running: figure(3),
        waiting: figure(0),
        work_time_percent: figure(0),
        supply_percent: figure(0),
        load_percent: figure(2),
        refused_by_class: ClassCounts::default(),
        refused_by_workspace: Vec::new(),
        refused_age_ms: 0,
        last_refused_ago_ms: None,
    }
}

impl Operated for FakeNode {
    fn status(&self) -> NodeStatus {
        let revision = self.running.borrow().revision;
        NodeStatus {
            node_id: self.node_id.clone(),
            region: "r1".to_owned(),
            zone: self.zone.clone(),
            ready: revision > 0,
            draining: self.drained.load(Ordering::Relaxed),
            revision,
            versions: VersionsRecord::from(self.store.versions()),
            platform_seen_age_ms: Some(12),
            freshness: FreshnessRecord::Fresh,
            owned_slice_count: 64,
            target: Some(TargetStatus {
                service: "catalog".to_owned(),
                slot_count: 150,
                running_count: 3,
                queued_count: 0,
                lowest_class: Class::Browse,
                load_percent: 2,
                draining: false,
                is_cold: true,
                is_evacuated: true,
            }),
            members: self.members.lock().expect("not poisoned").clone(),
        }
    }

    fn drain(&self) {
        self.drained.store(true, Ordering::Relaxed);
    }

    fn explain(&self, request: &ExplainRequest) -> Explanation {
        let running = self.running.borrow().clone();
        resolve(request, &running, &self.names).explain(&NodeFacts {
            node_id: self.node_id.clone(),
            ready: running.revision > 0,
            draining: self.drained.load(Ordering::Relaxed),
            quota_token_count: Some(5),
            target_count: 1,
            level: *self.level.lock().expect("not poisoned"),
        })
    }

    fn capacity(&self) -> NodeCapacity {
        NodeCapacity {
            node_id: self.node_id.clone(),
            target: self.capacity.lock().expect("not poisoned").clone(),
        }
    }

    fn revoke(&self, digest: KeyDigest) {
        self.revocations.apply(digest);
    }

    fn key_verdict(&self, digest: &KeyDigest) -> KeyVerdict {
        KeyVerdict::new(self.running.borrow().key_state(digest), &self.names)
    }
}
