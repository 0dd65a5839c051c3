//! Runs a mesh of one size and reads off what its nodes spend.

use {
    super::{conf, counts::Counts},
    crate::{LabError, mesh::Mesh},
    futures::future::join_all,
    std::time::{Duration, Instant},
    tokio::time::{sleep, sleep_until},
};

/// Time for which the slice table must not change before a phase begins.
const REST_TIME: Duration = Duration::from_secs(4);
/// Longest wait for that.
const REST_LIMIT: Duration = Duration::from_secs(40);
/// Length of each of the two phases.
const PHASE_TIME: Duration = Duration::from_secs(12);
/// Time between two changes, and between two replaced nodes, under churn.
pub(super) const CHURN_PERIOD: Duration = Duration::from_secs(4);
/// Changes whose way to all nodes is timed.
const TIMED_CHANGE_COUNT: u64 = 3;
const POLL_PERIOD: Duration = Duration::from_millis(100);
const SPREAD_LIMIT: Duration = Duration::from_secs(30);
const MIB: f64 = 1_048_576.0;

/// What a node spends on average during a phase.
#[derives::record]
#[derive(Copy, Default)]
pub struct Spending {
    /// Nodes that ran through the whole phase.
    pub node_count: u64,
    /// Bytes of gossip sent, a second.
    pub gossip_bytes_per_s: f64,
    /// Bytes of calls between nodes, a second, counted at the caller.
    pub rpc_bytes_per_s: f64,
    /// Bytes of platform calls, both ways, a second.
    pub platform_bytes_per_s: f64,
    /// Datagrams and calls begun, a second.
    pub messages_per_s: f64,
    /// Share of a core, all threads, in percent.
    pub cpu_percent: f64,
    /// Share of a core of the thread for calls between nodes, in percent.
    pub rpc_cpu_percent: f64,
    /// Resident memory of the largest node at the end, in MiB.
    pub max_resident_mib: f64,
    /// Conditional writes of the whole fleet, a second.
    pub fleet_writes_per_s: f64,
    /// Reads and watches of the whole fleet, a second.
    pub fleet_reads_per_s: f64,
}

/// A mesh of one size.
#[derives::record]
pub struct Measurement {
    /// Nodes.
    pub node_count: usize,
    /// Load average of the machine over a minute, at the end.
    pub load_average: f64,
    /// Without changes.
    pub idle: Spending,
    /// With a change and a replaced node each 4 seconds.
    pub churn: Spending,
    /// Times from the start of `dogwoodctl publish` until all nodes hold the
    /// change, in seconds.
    pub spread_s: Vec<f64>,
}

/// Starts a mesh, measures and takes it down.
pub async fn measure(node_count: usize) -> Result<Measurement, LabError> {
    let mut mesh = Mesh::start(conf::mesh(node_count)).await?;
    wait_for_rest(&mesh).await;
    let idle = phase(&mut mesh, false).await?;
    let churn = phase(&mut mesh, true).await?;
    wait_for_rest(&mesh).await;
    let mut spread_s = Vec::new();
    for change in 0..TIMED_CHANGE_COUNT {
        spread_s.push(time_change(&mesh, 1_000 + change).await?);
    }
    Ok(Measurement {
        node_count,
        load_average: load_average(),
        idle,
        churn,
        spread_s,
    })
}

/// Waits until slices have found their owners; a start moves them by many
/// versions of the table, which is no part of an idle node's cost.
async fn wait_for_rest(mesh: &Mesh) {
    let started = Instant::now();
    let mut newest = 0.0;
    let mut since = Instant::now();
    while since.elapsed() < REST_TIME && started.elapsed() < REST_LIMIT {
        sleep(Duration::from_secs(1)).await;
        let version = newest_version(mesh, "slices").await;
        if version > newest {
            (newest, since) = (version, Instant::now());
        }
    }
}

/// Newest version of a document that any node holds.
async fn newest_version(mesh: &Mesh, document: &str) -> f64 {
    let versions = versions(mesh, document).await;
    versions.into_iter().fold(0.0, f64::max)
}

async fn versions(mesh: &Mesh, document: &str) -> Vec<f64> {
    let name = format!("dogwood_document_version{{kind=\"{document}");
    let counts = read_all(mesh).await.into_iter().flatten();
    counts.map(|counts| counts.sum(&name)).collect()
}

async fn phase(mesh: &mut Mesh, has_churn: bool) -> Result<Spending, LabError> {
    let before = read_all(mesh).await;
    let started = Instant::now();
    let mut change = 0;
    while has_churn && started.elapsed() + CHURN_PERIOD <= PHASE_TIME {
        let next = tokio::time::Instant::now() + CHURN_PERIOD;
        change += 1;
        mesh.publish_files(&conf::files(change)).await?;
        let index = usize::try_from(change).unwrap_or(0) % mesh.instances.len();
        if let Some(node) = &mut mesh.instances[index].node {
            node.restart()?;
        }
        sleep_until(next).await;
    }
    sleep(PHASE_TIME.saturating_sub(started.elapsed())).await;
    let after = read_all(mesh).await;
    let took_s = started.elapsed().as_secs_f64();
    Ok(spending(&before, &after, took_s))
}

async fn read_all(mesh: &Mesh) -> Vec<Option<Counts>> {
    let reads = mesh.instances.iter().map(|instance| async {
        let text = instance.node_admin().metrics().await.ok()?;
        Some(Counts::parse(&text))
    });
    join_all(reads).await
}

fn spending(before: &[Option<Counts>], after: &[Option<Counts>], took_s: f64) -> Spending {
    let pairs = before.iter().zip(after);
    let pairs = pairs.filter_map(|(before, after)| before.as_ref().zip(after.as_ref()));
    // A replaced node begins at zero again.
    let gossip = |counts: &Counts| counts.sum("dogwood_control_messages_total{kind=\"gossip\"");
    let same: Vec<_> = pairs
        .filter(|(before, after)| gossip(after) >= gossip(before))
        .collect();
    let fleet = |prefix: &str| {
        let grown = same.iter().map(|(b, a)| a.sum(prefix) - b.sum(prefix));
        grown.sum::<f64>() / took_s
    };
    let node_count = same.len().max(1) as f64;
    let each = |prefix: &str| fleet(prefix) / node_count;
    let messages = |kind: &str| format!("dogwood_control_messages_total{{kind=\"{kind}");
    let bytes = |kind: &str| format!("dogwood_control_bytes_total{{kind=\"{kind}");
    let resident = same.iter().map(|(_, a)| a.sum("dogwood_resident_bytes"));
    Spending {
        node_count: u64::try_from(same.len()).unwrap_or(u64::MAX),
        gossip_bytes_per_s: each(&bytes("gossip")),
        rpc_bytes_per_s: each(&bytes("rpc")),
        platform_bytes_per_s: each(&bytes("platform")),
        messages_per_s: each("dogwood_control_messages_total"),
        cpu_percent: each("dogwood_cpu_seconds_total") * 100.0,
        rpc_cpu_percent: each("dogwood_cpu_seconds_total{thread=\"rpc") * 100.0,
        max_resident_mib: resident.fold(0.0, f64::max) / MIB,
        fleet_writes_per_s: fleet(&messages("platform-write")),
        fleet_reads_per_s: fleet(&messages("platform-read")) + fleet(&messages("platform-watch")),
    }
}

async fn time_change(mesh: &Mesh, change: u64) -> Result<f64, LabError> {
    let held = newest_version(mesh, "configuration").await;
    let started = Instant::now();
    mesh.publish_files(&conf::files(change)).await?;
    while started.elapsed() < SPREAD_LIMIT {
        let now = versions(mesh, "configuration").await;
        if now.len() == mesh.instances.len() && now.iter().all(|version| *version > held) {
            break;
        }
        sleep(POLL_PERIOD).await;
    }
    Ok(started.elapsed().as_secs_f64())
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let field = text.split_whitespace().next();
    field.and_then(|field| field.parse().ok()).unwrap_or(0.0)
}
