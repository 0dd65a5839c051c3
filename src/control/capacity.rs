//! Load, supply and refusals of a node's own target, as operators and metrics see them.

use {
    crate::{
        control::RefusalRecord,
        model::{CLASS_COUNT, Class, Refusal, RequestContext},
        node::{Node, Policies},
    },
    std::ops::AddAssign,
};

/// Workspaces that a node lists, those with the most refusals.
pub const LISTED_WORKSPACE_COUNT: usize = 10;

/// A figure and the time since it was measured.
#[derives::record]
#[derive(Copy, Eq)]
pub struct Figure {
    /// The figure; for percentages of work time and supply 0 means unknown.
    pub value: u32,
    /// Time since it was measured.
    pub age_ms: u64,
}

impl Figure {
    const fn sampled_now(value: u32) -> Self {
        Self { value, age_ms: 0 }
    }
}

/// Numbers of requests by class.
#[derives::record]
#[derive(Copy, Eq, Default)]
pub struct ClassCounts {
    /// Of class `browse`.
    pub browse: u64,
    /// Of class `standard`.
    pub standard: u64,
    /// Of class `critical`.
    pub critical: u64,
}

impl ClassCounts {
    /// Number of requests of this class.
    #[must_use]
    pub const fn of(&self, class: Class) -> u64 {
        match class {
            Class::Browse => self.browse,
            Class::Standard => self.standard,
            Class::Critical => self.critical,
        }
    }

    /// Number of requests of all classes.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.browse + self.standard + self.critical
    }
}

impl From<[u64; CLASS_COUNT]> for ClassCounts {
    fn from(counts: [u64; CLASS_COUNT]) -> Self {
        Self {
            browse: counts[Class::Browse.index()],
            standard: counts[Class::Standard.index()],
            critical: counts[Class::Critical.index()],
        }
    }
}

impl AddAssign for ClassCounts {
    fn add_assign(&mut self, other: Self) {
        self.browse += other.browse;
        self.standard += other.standard;
        self.critical += other.critical;
    }
}

/// Refused requests of one workspace.
#[derives::record]
#[derive(Eq)]
pub struct WorkspaceRefusalCount {
    /// Its name; empty for requests without a workspace.
    pub workspace: String,
    /// Requests refused.
    pub count: u64,
    /// By how much `count` can be too high.
    pub excess_max_count: u64,
}

/// Load, supply and refusals of a target.
#[derives::record]
#[derive(Eq)]
pub struct TargetCapacity {
    /// Its service.
    pub service: String,
    /// Requests that it can work on at a time, as last announced.
    pub slots: Figure,
    /// Requests that it works on.
    pub running: Figure,
    /// Requests that wait for it.
    pub waiting: Figure,
    /// Time that its work takes, in percent of the usual; 0 if unknown.
    pub work_time_percent: Figure,
    /// Work that it can complete, in percent of the work offered; 0 if unknown.
    pub supply_percent: Figure,
    /// Running and queued work over the limit, in percent.
    pub load_percent: Figure,
    /// Requests refused for want of capacity in the last ten seconds.
    pub refused_by_class: ClassCounts,
    /// The same by workspace, at most [`LISTED_WORKSPACE_COUNT`].
    pub refused_by_workspace: Vec<WorkspaceRefusalCount>,
    /// Time since the refused requests were counted.
    pub refused_age_ms: u64,
    /// Time since the last of them; absent if there is none.
    pub last_refused_ago_ms: Option<u64>,
}

/// What a node tells about its target.
#[derives::record]
#[derive(Eq)]
pub struct NodeCapacity {
    /// Name of its slot.
    pub node_id: String,
    /// Its target, once announced.
    pub target: Option<TargetCapacity>,
}

/// Counts a request that the node of the target refused, if it was for want of capacity.
pub fn record_refusal<P: Policies>(node: &Node<P>, context: &RequestContext, refusal: Refusal) {
    if !RefusalRecord::is_for_capacity(refusal.reason) {
        return;
    }
    node.metrics.target.count_refusal(context.class);
    let now_us = node.timer.now_us();
    node.refusals()
        .record(context.class, context.workspace, now_us);
}

/// Present load and refusals of the node's target.
pub fn node_capacity<P: Policies>(node: &Node<P>) -> NodeCapacity {
    NodeCapacity {
        node_id: node.settings.node_id.clone(),
        target: target_capacity(node),
    }
}

/// Present load and refusals of the node's target, once it is announced.
pub fn target_capacity<P: Policies>(node: &Node<P>) -> Option<TargetCapacity> {
    let announcement = node.own_state.borrow().target.clone()?;
    // The class whose requests have the highest load: no slots are reserved for it.
    let level = node.level(Class::Browse);
    let (running, waiting, announced_us, work_time_reported_us) = {
        let admission = node.admission();
        let (running, waiting) = admission.counts();
        let announced_us = admission.announced_us();
        (
            running,
            waiting,
            announced_us,
            admission.work_time_reported_us(),
        )
    };
    let now_us = node.timer.now_us();
    let age_ms = |since_us: Option<u64>| {
        let age_us = since_us.map(|since_us| now_us.saturating_sub(since_us));
        age_us.map(|age_us| age_us / 1000)
    };
    let (refusals, last_refused_us) = {
        let record = node.refusals();
        let refusals = record.recent_refusals(LISTED_WORKSPACE_COUNT, now_us);
        (refusals, record.last_us())
    };
    let refused_by_class = ClassCounts::from(refusals.by_class);
    let has_refused = refused_by_class.total() > 0;
    let by_workspace = refusals.by_workspace.into_iter();
    let refused_by_workspace = by_workspace.map(|refused| WorkspaceRefusalCount {
        workspace: node.names.workspace_name(refused.workspace),
        count: refused.count,
        excess_max_count: refused.excess_max_count,
    });
    let work_time_age_ms = age_ms(work_time_reported_us).filter(|_| level.work_time_percent > 0);
    Some(TargetCapacity {
        service: announcement.service,
        slots: Figure {
            value: announcement.slot_count,
            age_ms: age_ms(announced_us).unwrap_or(0),
        },
        running: Figure::sampled_now(saturated(running)),
        waiting: Figure::sampled_now(saturated(waiting)),
        work_time_percent: Figure {
            value: u32::from(level.work_time_percent),
            age_ms: work_time_age_ms.unwrap_or(0),
        },
        supply_percent: Figure::sampled_now(u32::from(level.supply_percent)),
        load_percent: Figure::sampled_now(u32::from(level.load_percent)),
        refused_by_class,
        refused_by_workspace: refused_by_workspace.collect(),
        refused_age_ms: 0,
        last_refused_ago_ms: age_ms(last_refused_us).filter(|_| has_refused),
    })
}

fn saturated(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
