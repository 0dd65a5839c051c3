//! Load, supply and refusals summed up by service.

use {
    crate::control::{ClassCounts, Figure, LISTED_WORKSPACE_COUNT, TargetCapacity},
    serde::Serialize,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        fmt,
        net::SocketAddr,
    },
};

/// What a node told about its target.
#[derive(Debug, Clone)]
pub(super) struct NodeRoom {
    pub node_id: String,
    pub target: Option<TargetCapacity>,
    /// Time since it was asked, by which its figures may have aged.
    pub since_sent_ms: u64,
}

/// A node that did not answer; its target counts as unknown, not as idle.
#[derive(Debug, Clone, Serialize)]
pub(super) struct SilentNode {
    pub node_id: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Service of its target, as other members know it.
    pub service: Option<String>,
    pub error: String,
}

/// All services of a fleet.
#[derive(Debug, Clone, Serialize)]
pub(super) struct RoomReport {
    services: Vec<ServiceRoom>,
    node_count: usize,
    responded_count: usize,
    did_not_respond: Vec<SilentNode>,
}

#[derive(Debug, Clone, Serialize)]
struct ServiceRoom {
    service: String,
    /// Targets whose nodes responded; the figures are theirs.
    target_count: usize,
    /// Targets whose nodes did not respond.
    unknown_target_count: usize,
    oldest_age_ms: u64,
    slots: Sum,
    running: Sum,
    waiting: Sum,
    load_percent: Spread,
    work_time_percent: Spread,
    supply_percent: Spread,
    refused: Refused,
}

/// A figure added up over targets.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Sum {
    total: u64,
    oldest_age_ms: u64,
}

/// A figure of the targets that know it; absent where none does.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Spread {
    known_count: u64,
    mean: Option<f64>,
    lowest: Option<u32>,
    highest: Option<u32>,
    oldest_age_ms: Option<u64>,
}

/// Requests refused for want of capacity in the last ten seconds.
#[derive(Debug, Clone, Default, Serialize)]
struct Refused {
    by_class: ClassCounts,
    by_workspace: Vec<WorkspaceRefused>,
    /// Refused requests of workspaces that are not listed.
    unlisted_count: u64,
    oldest_age_ms: u64,
    last_refused_ago_ms: Option<u64>,
}

#[derive(Debug, Clone, Default, Serialize)]
struct WorkspaceRefused {
    workspace: String,
    count: u64,
    /// By how much `count` can be too high.
    excess_max_count: u64,
}

impl RoomReport {
    /// Sums up; a node that was found under two addresses counts once.
    pub fn new(answered: Vec<NodeRoom>, silent: Vec<SilentNode>) -> Self {
        let mut responded: BTreeSet<String> = BTreeSet::new();
        let mut targets: BTreeMap<String, Vec<(TargetCapacity, u64)>> = BTreeMap::new();
        for node in answered {
            if !responded.insert(node.node_id) {
                continue;
            }
            if let Some(target) = node.target {
                let targets = targets.entry(target.service.clone()).or_default();
                targets.push((target, node.since_sent_ms));
            }
        }
        let is_silent = |node: &SilentNode| !responded.contains(&node.node_id);
        let did_not_respond: Vec<_> = silent.into_iter().filter(is_silent).collect();
        for service in did_not_respond
            .iter()
            .filter_map(|node| node.service.as_ref())
        {
            targets.entry(service.clone()).or_default();
        }
        let services = targets.into_iter().map(|(service, targets)| {
            let of_service = |node: &&SilentNode| node.service.as_ref() == Some(&service);
            let unknown_target_count = did_not_respond.iter().filter(of_service).count();
            ServiceRoom::new(service, unknown_target_count, &targets)
        });
        Self {
            services: services.collect(),
            node_count: responded.len() + did_not_respond.len(),
            responded_count: responded.len(),
            did_not_respond,
        }
    }

    /// Nodes that responded, each once.
    pub const fn responded_count(&self) -> usize {
        self.responded_count
    }

    /// Nodes that did not respond under any address.
    pub const fn silent_count(&self) -> usize {
        self.did_not_respond.len()
    }

    /// Leaves out other services; gives the names of all.
    pub fn keep_only(&mut self, service: &str) -> Vec<String> {
        let rooms = self.services.iter();
        let known = rooms.map(|room| room.service.clone()).collect();
        self.services.retain(|room| room.service == service);
        known
    }
}

impl ServiceRoom {
    fn new(
        service: String,
        unknown_target_count: usize,
        targets: &[(TargetCapacity, u64)],
    ) -> Self {
        let figures = |figure: fn(&TargetCapacity) -> Figure| {
            let aged = |(target, since_sent_ms): &(TargetCapacity, u64)| {
                let Figure { value, age_ms } = figure(target);
                let age_ms = age_ms.saturating_add(*since_sent_ms);
                Figure { value, age_ms }
            };
            targets.iter().map(aged).collect::<Vec<_>>()
        };
        // 0 is unknown for these two.
        let known = |figure: fn(&TargetCapacity) -> Figure| {
            let mut known = figures(figure);
            known.retain(|figure| figure.value > 0);
            Spread::new(&known)
        };
        let slots = Sum::new(&figures(|target| target.slots));
        let running = Sum::new(&figures(|target| target.running));
        let waiting = Sum::new(&figures(|target| target.waiting));
        let load_percent = Spread::new(&figures(|target| target.load_percent));
        let work_time_percent = known(|target| target.work_time_percent);
        let supply_percent = known(|target| target.supply_percent);
        let refused = Refused::new(targets);
        let spreads = [load_percent, work_time_percent, supply_percent];
        let ages_ms = spreads
            .into_iter()
            .filter_map(|spread| spread.oldest_age_ms);
        let ages_ms = ages_ms.chain([slots, running, waiting].map(|sum| sum.oldest_age_ms));
        Self {
            service,
            target_count: targets.len(),
            unknown_target_count,
            oldest_age_ms: ages_ms.fold(refused.oldest_age_ms, u64::max),
            slots,
            running,
            waiting,
            load_percent,
            work_time_percent,
            supply_percent,
            refused,
        }
    }
}

impl Sum {
    fn new(figures: &[Figure]) -> Self {
        let values = figures.iter().map(|figure| u64::from(figure.value));
        let ages_ms = figures.iter().map(|figure| figure.age_ms);
        Self {
            total: values.sum(),
            oldest_age_ms: ages_ms.max().unwrap_or(0),
        }
    }
}

impl Spread {
    fn new(figures: &[Figure]) -> Self {
        let values = || figures.iter().map(|figure| figure.value);
        let known_count = u64::try_from(figures.len()).unwrap_or(u64::MAX);
        let total: f64 = values().map(f64::from).sum();
        let mean = total / known_count as f64;
        Self {
            known_count,
            mean: (known_count > 0).then(|| (mean * 10.0).round() / 10.0),
            lowest: values().min(),
            highest: values().max(),
            oldest_age_ms: figures.iter().map(|figure| figure.age_ms).max(),
        }
    }
}

impl Refused {
    fn new(targets: &[(TargetCapacity, u64)]) -> Self {
        let mut refused = Self::default();
        let mut workspaces: BTreeMap<&str, WorkspaceRefused> = BTreeMap::new();
        for (target, since_sent_ms) in targets {
            refused.by_class += target.refused_by_class;
            let age_ms = target.refused_age_ms.saturating_add(*since_sent_ms);
            refused.oldest_age_ms = refused.oldest_age_ms.max(age_ms);
            let last_ago_ms = target.last_refused_ago_ms;
            let last_ago_ms = last_ago_ms.map(|ago_ms| ago_ms.saturating_add(*since_sent_ms));
            let both = [refused.last_refused_ago_ms, last_ago_ms];
            refused.last_refused_ago_ms = both.into_iter().flatten().min();
            for counted in &target.refused_by_workspace {
                let sum = workspaces.entry(&counted.workspace).or_default();
                sum.workspace.clone_from(&counted.workspace);
                sum.count += counted.count;
                sum.excess_max_count += counted.excess_max_count;
            }
        }
        refused.by_workspace = workspaces.into_values().collect();
        refused.by_workspace.sort_by_key(|sum| Reverse(sum.count));
        refused.by_workspace.truncate(LISTED_WORKSPACE_COUNT);
        let listed_count: u64 = refused.by_workspace.iter().map(|sum| sum.count).sum();
        refused.unlisted_count = refused.by_class.total().saturating_sub(listed_count);
        refused
    }
}

impl fmt::Display for RoomReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for service in &self.services {
            writeln!(formatter, "{service}")?;
        }
        write!(
            formatter,
            "{} of {} nodes responded",
            self.responded_count, self.node_count
        )?;
        if self.did_not_respond.is_empty() {
            return Ok(());
        }
        write!(formatter, "; did not respond, their targets are unknown:")?;
        for node in &self.did_not_respond {
            let service = node.service.as_deref().unwrap_or("unknown");
            write!(
                formatter,
                "\n  {} {} {} (service {service}): {}",
                node.node_id, node.zone, node.address, node.error
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for ServiceRoom {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "service {}: {} targets",
            self.service, self.target_count
        )?;
        if self.unknown_target_count > 0 {
            write!(formatter, ", {} unknown", self.unknown_target_count)?;
        }
        writeln!(formatter, ", oldest figure {} ms", self.oldest_age_ms)?;
        let header = ["", "total", "mean", "lowest", "highest", "known", "age ms"];
        write_row(formatter, header.map(str::to_owned))?;
        for (name, sum) in [
            ("slots", self.slots),
            ("running", self.running),
            ("waiting", self.waiting),
        ] {
            sum.write(formatter, name, self.target_count)?;
        }
        for (name, spread) in [
            ("load %", self.load_percent),
            ("work time %", self.work_time_percent),
            ("supply %", self.supply_percent),
        ] {
            spread.write(formatter, name)?;
        }
        write!(formatter, "{}", self.refused)
    }
}

impl Sum {
    fn write(
        self,
        formatter: &mut fmt::Formatter<'_>,
        name: &str,
        target_count: usize,
    ) -> fmt::Result {
        let total = self.total.to_string();
        let (known, age) = (target_count.to_string(), self.oldest_age_ms.to_string());
        let blank = || "-".to_owned();
        let cells = [
            name.to_owned(),
            total,
            blank(),
            blank(),
            blank(),
            known,
            age,
        ];
        write_row(formatter, cells)
    }
}

impl Spread {
    fn write(self, formatter: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
        let cells = [
            name.to_owned(),
            "-".to_owned(),
            cell(self.mean),
            cell(self.lowest),
            cell(self.highest),
            self.known_count.to_string(),
            cell(self.oldest_age_ms),
        ];
        write_row(formatter, cells)
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let classes = self.by_class;
        write!(
            formatter,
            "  refused in the last 10 s: {} browse, {} standard, {} critical; age {} ms",
            classes.browse, classes.standard, classes.critical, self.oldest_age_ms
        )?;
        if let Some(ago_ms) = self.last_refused_ago_ms {
            write!(formatter, "; last one {ago_ms} ms ago")?;
        }
        writeln!(formatter)?;
        for refused in &self.by_workspace {
            let name = match refused.workspace.as_str() {
                "" => "(no workspace)",
                name => name,
            };
            write!(formatter, "    {name} {}", refused.count)?;
            if refused.excess_max_count > 0 {
                write!(
                    formatter,
                    " (too high by at most {})",
                    refused.excess_max_count
                )?;
            }
            writeln!(formatter)?;
        }
        if self.unlisted_count > 0 {
            writeln!(
                formatter,
                "    workspaces not listed {}",
                self.unlisted_count
            )?;
        }
        Ok(())
    }
}

fn write_row(formatter: &mut fmt::Formatter<'_>, cells: [String; 7]) -> fmt::Result {
    let [name, figures @ ..] = cells;
    write!(formatter, "  {name:<12}")?;
    for figure in figures {
        write!(formatter, "{figure:>9}")?;
    }
    writeln!(formatter)
}

fn cell<T: fmt::Display>(figure: Option<T>) -> String {
    figure.map_or_else(|| "-".to_owned(), |figure| figure.to_string())
}
