//! What a call through one node costs, against calling the target directly.

use {
    crate::{
        LabError,
        caller::{CallRequest, Caller, Judgement},
        mesh::{Mesh, MeshConf},
        usage::Usage,
    },
    std::{fmt, net::SocketAddr, time::Instant},
    tokio::task::JoinSet,
};

const WORKSPACE: &str = "second-shelf";
const WARM_UP_COUNT: usize = 2000;

const PRICING: &str = r#"service = "pricing"
retries = 2
deadline_ms = 5000

[[route]]
methods = ["GET"]
path = "**"
class = "standard"
repeatable = true
"#;

const WORKSPACES: &str = r#"[[workspace]]
name = "second-shelf"
rate_per_s = 1000000
burst = 1000000
key_lease_s = 60
"#;

/// How much is sent.
#[derives::value]
#[derive(Copy, Eq)]
pub struct CostConf {
    /// Calls of each round.
    pub call_count: usize,
    /// Connections, each with one call at a time.
    pub connection_count: usize,
    /// Rounds, directly and through the node in turn.
    pub round_count: usize,
}

/// One way to the target in one round.
#[derives::value]
#[derive(Copy)]
pub struct WayCost {
    /// Whole answers a second.
    pub rate_per_s: f64,
    /// Processor time of the node for a call, in microseconds.
    pub node_us: f64,
    /// Processor time of the target for a call, in microseconds.
    pub target_us: f64,
    /// Calls without a whole answer.
    pub failed_count: usize,
}

/// Both ways in turn.
#[derives::value]
#[derive(Copy)]
pub struct Round {
    /// Straight to the target.
    pub direct: WayCost,
    /// Through the node.
    pub proxied: WayCost,
}

/// All rounds.
#[derive(Debug)]
pub struct Cost(pub Vec<Round>);

/// Picks one way of a round.
type Pick = fn(&Round) -> WayCost;

/// Measures on a mesh of one node with one worker thread, and its target.
pub async fn measure(conf: CostConf) -> Result<Cost, LabError> {
    let target_flags = ["--latency", "fixed:0", "--slots", "1000"];
    let mesh = MeshConf::new()
        .with_instance("az1", "pricing", &target_flags)
        .with_node_flags(&["--worker-threads", "1"])
        .with_file("pricing.toml", PRICING)
        .with_file("workspaces.toml", WORKSPACES);
    let mesh = Mesh::start(mesh).await?;
    let instance = &mesh.instances[0];
    let direct = Way {
        address: instance.target_address(),
        request: CallRequest::new("GET", "/quotes/7"),
    };
    let key = mesh.create_key(WORKSPACE).await?;
    let proxied = Way {
        address: instance.caller_address(),
        request: CallRequest::new("GET", "/pricing/quotes/7").with_key(&key),
    };
    for way in [&direct, &proxied] {
        way.send(WARM_UP_COUNT, conf.connection_count).await;
    }
    let mut rounds = Vec::new();
    for _ in 0..conf.round_count {
        rounds.push(Round {
            direct: direct.cost(&mesh, conf).await?,
            proxied: proxied.cost(&mesh, conf).await?,
        });
    }
    Ok(Cost(rounds))
}

struct Way {
    address: SocketAddr,
    request: CallRequest,
}

impl Way {
    async fn cost(&self, mesh: &Mesh, conf: CostConf) -> Result<WayCost, LabError> {
        let instance = &mesh.instances[0];
        let usage = || -> Result<(Usage, Usage), LabError> {
            let node = instance.node.as_ref().ok_or(LabError::Scenario {
                message: "the node is missing".to_owned(),
            })?;
            Ok((node.usage()?, instance.target.usage()?))
        };
        let before = usage()?;
        let started_at = Instant::now();
        let whole_count = self.send(conf.call_count, conf.connection_count).await;
        let took_s = started_at.elapsed().as_secs_f64();
        let after = usage()?;
        let call_us = |before: Usage, after: Usage| {
            (after.cpu_ms - before.cpu_ms) as f64 * 1000.0 / conf.call_count.max(1) as f64
        };
        Ok(WayCost {
            rate_per_s: whole_count as f64 / took_s,
            node_us: call_us(before.0, after.0),
            target_us: call_us(before.1, after.1),
            failed_count: conf.call_count - whole_count,
        })
    }

    /// Sends and returns how many answers were whole.
    async fn send(&self, call_count: usize, connection_count: usize) -> usize {
        let mut senders = JoinSet::new();
        for number in 0..connection_count {
            let count =
                call_count / connection_count + usize::from(number < call_count % connection_count);
            let (address, request) = (self.address, self.request.clone());
            senders.spawn(async move {
                let caller = Caller::new();
                let mut whole_count = 0;
                for _ in 0..count {
                    let record = caller.send(address, &request).await;
                    let is_whole = record.is_ok_and(|r| r.judgement == Judgement::Whole);
                    whole_count += usize::from(is_whole);
                }
                whole_count
            });
        }
        senders.join_all().await.into_iter().sum()
    }
}

impl Cost {
    fn median(&self, value: impl Fn(&Round) -> f64) -> f64 {
        let mut values: Vec<f64> = self.0.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or_default()
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "medians of {} rounds in turn", self.0.len())?;
        writeln!(
            formatter,
            "{:<18}{:>10}{:>14}{:>16}{:>8}",
            "", "calls/s", "node us/call", "target us/call", "failed"
        )?;
        let rows: [(&str, Pick); 2] = [
            ("called directly", |round| round.direct),
            ("through the node", |round| round.proxied),
        ];
        for (name, way) in rows {
            let failed_count: usize = self.0.iter().map(|round| way(round).failed_count).sum();
            writeln!(
                formatter,
                "{name:<18}{:>10.0}{:>14.1}{:>16.1}{failed_count:>8}",
                self.median(|round| way(round).rate_per_s),
                self.median(|round| way(round).node_us),
                self.median(|round| way(round).target_us),
            )?;
        }
        Ok(())
    }
}
