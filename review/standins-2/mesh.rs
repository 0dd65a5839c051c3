//! A small deployment on loopback addresses: store, endpoints and the project's processes.

use {
    crate::{
        endpoint::{Description, Endpoint, Runs},
        http::{self, Message},
        node::{Machine, Node, Ports},
        record::Record,
        store::Store,
    },
    std::{
        path::PathBuf,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Longest wait for the start of a mesh.
const START_LIMIT: Duration = Duration::from_secs(20);
pub const HOST: &str = "hulo84.example";
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";

pub struct Mesh {
    pub nodes: Vec<Node>,
    pub endpoints: Vec<Endpoint>,
    pub store: Store,
    pub runs: Runs,
    pub record: Record,
    folder: PathBuf,
    next_id: AtomicU64,
}

/// A machine to start: zone, service, memory in MB.
pub type Plan<'a> = (&'a str, &'a str, u32);

impl Mesh {
    /// Starts a machine for each entry of the plan and waits until all are ready.
    pub fn start(plan: &[Plan<'_>], config: &str, record: &Record) -> Result<Self, String> {
        let failed = |error: std::io::Error| error.to_string();
        let folder = std::env::temp_dir().join(format!("dogwood-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let net = 10 + std::process::id() % 200;
        let store = Store::start(&format!("127.{net}.9.7"), record).map_err(failed)?;
        store.put("config", "main", config);
        let ports = Ports::free(&format!("127.{net}.1.11")).map_err(failed)?;
        let runs = Runs::default();
        let (mut nodes, mut endpoints) = (Vec::new(), Vec::new());
        for (index, (zone, service, memory_mb)) in plan.iter().enumerate() {
            let ip = format!("127.{net}.1.{}", index + 11);
            let machine = Machine {
                name: format!("sidecar-{zone}-{}", index + 1),
                ip: ip.clone(),
                zone: (*zone).to_owned(),
                service: (*service).to_owned(),
                memory_mb: *memory_mb,
            };
            let node = Node::start(machine, ports, &store, &folder).map_err(failed)?;
            let description = Description {
                service: (*service).to_owned(),
                zone: (*zone).to_owned(),
                slots: 172,
                address: node.address(ports.app),
                control: node.address(ports.control),
            };
            endpoints.push(Endpoint::start(description, &runs, record).map_err(failed)?);
            nodes.push(node);
        }
        let mesh = Self {
            nodes,
            endpoints,
            store,
            runs,
            record: record.clone(),
            folder,
            next_id: AtomicU64::new(1),
        };
        http::wait_until("all nodes are ready", START_LIMIT, || {
            mesh.nodes.iter().all(Node::is_ready)
        })?;
        std::thread::sleep(Duration::from_secs(6));
        Ok(mesh)
    }

    /// An id that no other request of the run has.
    pub fn request_id(&self) -> String {
        format!(
            "{:016x}",
            0x9c41_0000_0000_0000 + self.next_id.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Text of a GET with this id.
    pub fn get(&self, path: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
        format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Dogwoodbridge-Request-Id: {id}\r\n\
             X-Dogwoodbridge-Request-Deadline: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n\r\n"
        )
        .into_bytes()
    }

    /// Whether an answer is the endpoint's whole success for this request.
    pub fn is_whole(answer: &Message, id: &str) -> bool {
        answer.status() == 200
            && answer.header("X-Dogwoodbridge-Request-Id") == Some(id)
            && answer.header("X-Dogwoodbridge-Server-Seal").is_some()
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A route: prefix, service, kind, time-out in seconds.
pub type Route<'a> = (&'a str, &'a str, &'a str, f64);

/// A configuration with these routes, for which a key is needed.
pub fn config(version: u32, routes: &[Route<'_>], services: &[&str]) -> String {
    config_with(version, routes, services, false)
}

/// A configuration with these routes, for which no key is needed.
pub fn open_config(version: u32, routes: &[Route<'_>], services: &[&str]) -> String {
    config_with(version, routes, services, true)
}

fn config_with(version: u32, routes: &[Route<'_>], services: &[&str], is_open: bool) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, (prefix, service, kind, timeout_s))| {
            format!(
                "\"r-{index}\":{{\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutS\":{timeout_s},\"TargetLatencyS\":1.5,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2,\"NoAuth\":{is_open}}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("\"{name}\":{{\"HealthPath\":\"/health\",\"MaxConnections\":1132,\"Protocol\":\"h1\",\"Tls\":false}}"))
        .collect();
    format!(
        "{{\"Version\":\"{version:08x}\",\"Routes\":{{{}}},\"Services\":{{{}}},\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}},\"Tenants\":{{\"pulo780\":{{\"ApiKeys\":[\"{KEY}\"],\"Priority\":1,\"RatePerS\":2000,\"Burst\":2000}}}}}}",
        routes.join(","),
        services.join(",")
    )
}
