//! Division of a workspace's rate over the nodes that ask for it.
//!
//! Every node of the fleet owns an even share of each rate. By reporting its
//! demand, a node lends its share to the divider for a while; the divider
//! grants what it was lent by demand. Nothing is lent by nodes that cannot be
//! reached, and these admit by their even share alone, so that the sum stays
//! within the rate however the fleet is split.

use {
    super::{Rate, Share},
    std::collections::{BTreeMap, HashMap},
};

/// How long a report lends the reporter's share, counted from its arrival;
/// also how long a grant may be used, counted from when the report was sent.
pub const LEASE_US: u64 = 1_000_000;

/// Part of the rate that is spread evenly over the reporters. Without it a
/// node whose first request of a workspace comes would have to refuse it.
const EVEN_PART: f64 = 0.15;

/// Demand of one node.
#[derive(Debug, Clone)]
struct Report {
    received_us: u64,
    demand_per_s: HashMap<String, f64>,
}

/// What reporters have lent to this node and what they ask for; no I/O, no
/// clock.
#[derive(Debug, Clone, Default)]
pub struct Division {
    reports: BTreeMap<String, Report>,
}

impl Division {
    /// Nobody has reported.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a node's demand for each workspace, by name; workspaces that
    /// it does not name have none.
    pub fn report(&mut self, node: &str, demand_per_s: HashMap<String, f64>, now_us: u64) {
        self.reports
            .retain(|_, report| now_us < report.received_us + LEASE_US);
        let report = Report {
            received_us: now_us,
            demand_per_s,
        };
        self.reports.insert(node.to_owned(), report);
    }

    /// Nodes whose shares are lent at present.
    #[must_use]
    pub fn reporter_count(&self, now_us: u64) -> usize {
        self.live(now_us).count()
    }

    /// What a reporter may admit of a workspace, in a fleet of so many nodes.
    #[must_use]
    pub fn grant(
        &self,
        node: &str,
        workspace: &str,
        rate: Rate,
        member_count: usize,
        now_us: u64,
    ) -> Share {
        let reporter_count = self.reporter_count(now_us).max(1);
        let total_per_s: f64 = self
            .live(now_us)
            .map(|report| demand(report, workspace))
            .sum();
        let own_per_s = self
            .reports
            .get(node)
            .map_or(0.0, |report| demand(report, workspace));
        let even = 1.0 / reporter_count as f64;
        let by_demand = match total_per_s > 0.0 {
            true => own_per_s / total_per_s,
            false => even,
        };
        let lent = reporter_count as f64 / member_count.max(reporter_count) as f64;
        let part = lent * (EVEN_PART * even + (1.0 - EVEN_PART) * by_demand);
        Share::of(rate, part)
    }

    fn live(&self, now_us: u64) -> impl Iterator<Item = &Report> {
        self.reports
            .values()
            .filter(move |report| now_us < report.received_us + LEASE_US)
    }
}

fn demand(report: &Report, workspace: &str) -> f64 {
    report.demand_per_s.get(workspace).copied().unwrap_or(0.0)
}
