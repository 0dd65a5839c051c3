//! `dogwoodctl status`.

use {
    super::{Args, CliError, Exit, Finished, FleetView},
    crate::control::{FreshnessRecord, NodeStatus, VersionsRecord},
    serde::Serialize,
    std::{collections::BTreeMap, fmt, net::SocketAddr},
};

#[derive(Debug, Clone, Serialize)]
struct StatusReport {
    zones: Vec<ZoneStatus>,
    nodes: Vec<NodeLine>,
}

/// An availability zone.
#[derive(Debug, Clone, Serialize)]
struct ZoneStatus {
    zone: String,
    node_count: usize,
    unreachable_count: usize,
    ready_count: usize,
    /// Lowest and highest revision in force on nodes that answered.
    lowest_revision: u64,
    highest_revision: u64,
    owned_slice_count: u32,
    /// Youngest confirmed look at the platform.
    platform_seen_age_ms: Option<u64>,
}

/// A node; `status` is absent when it did not answer.
#[derive(Debug, Clone, Serialize)]
struct NodeLine {
    node_id: String,
    zone: String,
    address: SocketAddr,
    error: Option<String>,
    status: Option<NodeStatus>,
}

pub(super) async fn run(args: &Args) -> Result<Finished, CliError> {
    let view = args.fleet()?.look().await;
    let report = StatusReport::new(view);
    let answered_count = report
        .nodes
        .iter()
        .filter(|node| node.status.is_some())
        .count();
    let exit = match answered_count {
        0 => Exit::Failed,
        count if count < report.nodes.len() => Exit::Unsure,
        _ => Exit::Done,
    };
    Ok(Finished::new(exit, &report))
}

impl StatusReport {
    fn new(view: FleetView) -> Self {
        let nodes: Vec<NodeLine> = view
            .nodes
            .into_iter()
            .map(|answer| NodeLine {
                node_id: answer.name().to_owned(),
                zone: answer.zone().to_owned(),
                address: answer.address,
                error: answer.status.as_ref().err().map(ToString::to_string),
                status: answer.status.ok(),
            })
            .collect();
        let mut zones: BTreeMap<&str, ZoneStatus> = BTreeMap::new();
        for node in &nodes {
            let zone = zones
                .entry(&node.zone)
                .or_insert_with(|| ZoneStatus::new(&node.zone));
            zone.add(node.status.as_ref());
        }
        let zones = zones.into_values().collect();
        Self { zones, nodes }
    }
}

impl ZoneStatus {
    fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            node_count: 0,
            unreachable_count: 0,
            ready_count: 0,
            lowest_revision: u64::MAX,
            highest_revision: 0,
            owned_slice_count: 0,
            platform_seen_age_ms: None,
        }
    }

    fn add(&mut self, status: Option<&NodeStatus>) {
        self.node_count += 1;
        let Some(status) = status else {
            self.unreachable_count += 1;
            return;
        };
        self.ready_count += usize::from(status.ready);
        self.lowest_revision = self.lowest_revision.min(status.revision);
        self.highest_revision = self.highest_revision.max(status.revision);
        self.owned_slice_count += status.owned_slice_count;
        let ages = [self.platform_seen_age_ms, status.platform_seen_age_ms];
        self.platform_seen_age_ms = ages.into_iter().flatten().min();
    }

    const fn answered(&self) -> bool {
        self.node_count > self.unreachable_count
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for zone in &self.zones {
            writeln!(formatter, "{zone}")?;
        }
        for (index, node) in self.nodes.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{node}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ZoneStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "zone {}: {} nodes", self.zone, self.node_count)?;
        if self.unreachable_count > 0 {
            write!(formatter, " ({} did not answer)", self.unreachable_count)?;
        }
        if !self.answered() {
            return Ok(());
        }
        write!(
            formatter,
            ", {} ready, revision {}",
            self.ready_count, self.lowest_revision
        )?;
        if self.highest_revision != self.lowest_revision {
            write!(formatter, " to {}", self.highest_revision)?;
        }
        write!(
            formatter,
            ", {} quota slices, platform ",
            self.owned_slice_count
        )?;
        write_age(formatter, self.platform_seen_age_ms)
    }
}

impl fmt::Display for NodeLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "  {} {} {}: ",
            self.node_id, self.zone, self.address
        )?;
        match (&self.status, &self.error) {
            (Some(status), _) => write_node(formatter, status),
            (None, Some(error)) => formatter.write_str(error),
            (None, None) => formatter.write_str("did not answer"),
        }
    }
}

fn write_node(formatter: &mut fmt::Formatter<'_>, status: &NodeStatus) -> fmt::Result {
    let state = match (status.ready, status.draining) {
        (false, _) => "NOT READY",
        (true, true) => "draining",
        (true, false) => "ready",
    };
    let VersionsRecord { keys, slices, .. } = status.versions;
    write!(
        formatter,
        "{state}, revision {}, keys {keys}, slices {slices} ({} owned), {}, platform ",
        status.revision,
        status.owned_slice_count,
        freshness_name(status.freshness),
    )?;
    write_age(formatter, status.platform_seen_age_ms)?;
    match &status.target {
        Some(target) => write!(
            formatter,
            "; target {}: {} running, {} queued, {} slots, load {}%, from {} upwards{}{}{}",
            target.service,
            target.running_count,
            target.queued_count,
            target.slot_count,
            target.load_percent,
            target.lowest_class.name(),
            if target.draining { ", draining" } else { "" },
            if target.is_cold { ", cold" } else { "" },
            if target.is_evacuated {
                ", EVACUATED"
            } else {
                ""
            },
        ),
        None => formatter.write_str("; no target"),
    }
}

fn write_age(formatter: &mut fmt::Formatter<'_>, age_ms: Option<u64>) -> fmt::Result {
    match age_ms {
        Some(age_ms) => write!(formatter, "seen {age_ms} ms ago"),
        None => formatter.write_str("not seen yet"),
    }
}

const fn freshness_name(freshness: FreshnessRecord) -> &'static str {
    match freshness {
        FreshnessRecord::Fresh => "fresh",
        FreshnessRecord::StoreDown => "platform down",
        FreshnessRecord::CutOff => "CUT OFF",
    }
}
