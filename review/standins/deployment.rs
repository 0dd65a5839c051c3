//! What the cases have in common: a configuration of two services and two machines.

use {
    crate::{
        client::{Client, Request},
        endpoint::{Behaviour, Endpoint},
        node::{Node, Places},
        store::Store,
        Stage,
    },
    std::{io, thread, time::Duration},
};

pub const HOST: &str = "jepu9.example";
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// Path on the route whose requests may run once.
pub const UNSAFE_PATH: &str = "/puka111/2f";
/// Path on the route whose requests may run more than once.
pub const SAFE_PATH: &str = "/leny950/2f";
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Allowance of the only tenant.
#[derive(Debug, Clone, Copy)]
pub struct Allowance {
    pub rate_per_s: u32,
    pub burst: u32,
}

/// What differs between the cases.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub allowance: Allowance,
    pub behaviour: Behaviour,
    pub slots: usize,
    /// `ColdPerS` of the services; 0 leaves it out.
    pub cold_per_s: u32,
}

impl Plan {
    /// A tenant that stays within its allowance, and endpoints with room.
    pub const fn new(work: Duration) -> Self {
        Self {
            allowance: Allowance {
                rate_per_s: 1000,
                burst: 1000,
            },
            behaviour: Behaviour {
                work,
                shed_share: 0.0,
                late_extra_share: 0.0,
            },
            slots: 172,
            cold_per_s: 0,
        }
    }
}

/// Two machines in two zones. Clients are on the first one, and the service of all routes has
/// its only endpoint on the second.
pub struct Deployment {
    pub front: Node,
    pub back: Node,
    pub endpoint: Endpoint,
    _other_endpoint: Endpoint,
    _store: Store,
}

impl Deployment {
    /// Starts it and waits until a request is served.
    pub fn start(stage: &Stage, plan: Plan) -> io::Result<Self> {
        let Plan {
            behaviour, slots, ..
        } = plan;
        let places = Places::find(2).ok_or(io::Error::other("no free ports"))?;
        let store = Store::start(places.ips[2])?;
        store.put("config", "main", &configuration(plan));
        let start = |number, zone, service| {
            Node::start(
                &places,
                number,
                zone,
                service,
                store.address,
                &stage.directory,
            )
        };
        let (front, back) = (start(0, "pnw-a", "huvo11a")?, start(1, "pnw-b", "wuno96b")?);
        let other_endpoint = Endpoint::start(&front, slots, behaviour, 11, &stage.record)?;
        let endpoint = Endpoint::start(&back, slots, behaviour, 12, &stage.record)?;
        let deployment = Self {
            front,
            back,
            endpoint,
            _other_endpoint: other_endpoint,
            _store: store,
        };
        deployment.wait_until_served(stage)?;
        Ok(deployment)
    }

    fn wait_until_served(&self, stage: &Stage) -> io::Result<()> {
        for node in [&self.front, &self.back] {
            if !node.wait_until_ready(READY_LIMIT) {
                return Err(io::Error::other(format!("{} is not ready", node.name)));
            }
        }
        let mut client = Client::new(self.front.outbound());
        let is_served = (0..100).any(|_| {
            thread::sleep(Duration::from_millis(100));
            client.send(safe_request(), &stage.record) == 200
        });
        match is_served {
            true => Ok(()),
            false => Err(io::Error::other("no request is served")),
        }
    }
}

/// A request that may run more than once.
pub const fn safe_request() -> Request<'static> {
    Request {
        method: "GET",
        host: HOST,
        path: SAFE_PATH,
        key: KEY,
        deadline_ms: 2000,
        body: b"",
    }
}

/// A request that may run once.
pub const fn unsafe_request(body: &[u8]) -> Request<'_> {
    Request {
        method: "POST",
        host: HOST,
        path: UNSAFE_PATH,
        key: KEY,
        deadline_ms: 2000,
        body,
    }
}

fn configuration(plan: Plan) -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "\"{name}\":{{\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutS\":5,\"TargetLatencyS\":1.5,\"Priority\":0,\"Service\":\"wuno96b\",\"MaxAttempts\":2,\"NoAuth\":false}}"
        )
    };
    let routes = [
        route("r-e9itfrz", "/leny950/", "safe"),
        route("r-m2d54xb", "/puka111/", "unsafe"),
    ];
    let cold = match plan.cold_per_s {
        0 => String::new(),
        cold_per_s => format!("\"ColdPerS\":{cold_per_s},"),
    };
    let service = format!(
        "{{\"HealthPath\":\"/health\",{cold}\"MaxConnections\":1132,\"Protocol\":\"h1\",\"Tls\":false}}"
    );
    let Allowance { rate_per_s, burst } = plan.allowance;
    format!(
        "{{\"Version\":\"00000007\",\"Routes\":{{{}}},\"Services\":{{\"huvo11a\":{service},\"wuno96b\":{service}}},\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}},\"Tenants\":{{\"pulo780\":{{\"ApiKeys\":[\"{KEY}\"],\"Priority\":1,\"RatePerS\":{rate_per_s},\"Burst\":{burst}}}}}}}",
        routes.join(",")
    )
}
