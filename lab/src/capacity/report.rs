//! The measured slopes carried to the size to design for, against its limits.

use {
    super::{
        fit::{Line, Point},
        measure::{CHURN_PERIOD, Measurement, Spending},
    },
    std::fmt,
};

/// Nodes to design for.
const DESIGN_NODE_COUNT: f64 = 580.0;
/// Changes, failures and replacements on an ordinary day.
const EVENTS_PER_DAY: f64 = 990.0 + 3.0 + 210.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Bytes a second that a node may spend on control.
const BYTES_LIMIT: f64 = 2_048.0;
const CPU_LIMIT_PERCENT: f64 = 1.0;
/// 64 MB in MiB.
const MEMORY_LIMIT_MIB: f64 = 61.0;
const CHANGE_LIMIT_S: f64 = 5.0;
/// "Several hundred" writes a second, taken as three hundred.
const PLATFORM_WRITES_LIMIT: f64 = 300.0;
const PLATFORM_READS_LIMIT: f64 = 2_000.0;

/// A limit and what the slopes give for it.
#[derives::record]
pub struct Row {
    /// What is limited.
    pub name: String,
    /// Node counts with values.
    pub points: Vec<Point>,
    /// Line through them.
    pub line: Line,
    /// Its value at the size to design for.
    pub predicted: f64,
    /// The limit.
    pub limit: f64,
}

/// All measurements with the table for the size to design for.
#[derives::record]
pub struct Report {
    /// Meshes by size.
    pub measurements: Vec<Measurement>,
    /// Limits.
    pub rows: Vec<Row>,
}

impl Report {
    /// The report on these meshes.
    #[must_use]
    pub fn new(measurements: Vec<Measurement>) -> Self {
        let row = |name: &str, limit: f64, value: &dyn Fn(&Measurement) -> f64| {
            let points = measurements.iter();
            let points: Vec<Point> = points.map(|m| (m.node_count as f64, value(m))).collect();
            let line = Line::through(&points);
            Row {
                name: name.to_owned(),
                predicted: line.at(DESIGN_NODE_COUNT),
                points,
                line,
                limit,
            }
        };
        let rows = vec![
            row("control bytes/s a node, idle", BYTES_LIMIT, &|m| {
                bytes(&m.idle)
            }),
            row("control bytes/s a node, ordinary day", BYTES_LIMIT, &|m| {
                of_a_day(m, bytes)
            }),
            row("control bytes/s a node, under churn", BYTES_LIMIT, &|m| {
                bytes(&m.churn)
            }),
            row("% of a core a node, idle", CPU_LIMIT_PERCENT, &|m| {
                m.idle.cpu_percent
            }),
            row(
                "% of a core a node, ordinary day",
                CPU_LIMIT_PERCENT,
                &|m| of_a_day(m, |spending| spending.cpu_percent),
            ),
            row("% of a core a node, under churn", CPU_LIMIT_PERCENT, &|m| {
                m.churn.cpu_percent
            }),
            row("resident MiB, largest node", MEMORY_LIMIT_MIB, &|m| {
                m.idle.max_resident_mib.max(m.churn.max_resident_mib)
            }),
            row(
                "s until a change is everywhere, worst",
                CHANGE_LIMIT_S,
                &|m| m.spread_s.iter().copied().fold(0.0, f64::max),
            ),
            row(
                "platform writes/s of the fleet",
                PLATFORM_WRITES_LIMIT,
                &|m| m.idle.fleet_writes_per_s,
            ),
            row(
                "platform reads/s of the fleet",
                PLATFORM_READS_LIMIT,
                &|m| m.idle.fleet_reads_per_s.max(m.churn.fleet_reads_per_s),
            ),
        ];
        Self { measurements, rows }
    }
}

fn bytes(spending: &Spending) -> f64 {
    spending.gossip_bytes_per_s + spending.rpc_bytes_per_s + spending.platform_bytes_per_s
}

/// Idle, and for each event of an ordinary day what a change and a replaced
/// node together add under churn.
fn of_a_day(measurement: &Measurement, value: fn(&Spending) -> f64) -> f64 {
    let idle = value(&measurement.idle);
    let added_per_event = (value(&measurement.churn) - idle) * CHURN_PERIOD.as_secs_f64();
    idle + added_per_event.max(0.0) * EVENTS_PER_DAY / SECONDS_PER_DAY
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "nodes phase  gossip_B/s  rpc_B/s  platform_B/s  messages/s  cpu_%  rpc_cpu_%  MiB   writes/s  reads/s"
        )?;
        for measurement in &self.measurements {
            write_spending(formatter, measurement.node_count, "idle", &measurement.idle)?;
            write_spending(
                formatter,
                measurement.node_count,
                "churn",
                &measurement.churn,
            )?;
        }
        for measurement in &self.measurements {
            writeln!(
                formatter,
                "{:5} nodes: change everywhere after {:.1?} s; load average {:.1}",
                measurement.node_count, measurement.spread_s, measurement.load_average
            )?;
        }
        writeln!(formatter, "\nat {DESIGN_NODE_COUNT} nodes:")?;
        for row in &self.rows {
            let factor = row.predicted / row.limit;
            let verdict = if factor <= 1.0 { "met" } else { "not met" };
            writeln!(
                formatter,
                "{:40} {:9.2} = {:.3} + {:.5} x nodes; limit {:.0}: {verdict}, factor {factor:.2}",
                row.name, row.predicted, row.line.base, row.line.slope, row.limit
            )?;
        }
        Ok(())
    }
}

fn write_spending(
    formatter: &mut fmt::Formatter<'_>,
    node_count: usize,
    phase: &str,
    spending: &Spending,
) -> fmt::Result {
    writeln!(
        formatter,
        "{node_count:5} {phase:6} {:10.0} {:8.0} {:13.0} {:11.2} {:6.2} {:10.3} {:5.1} {:9.2} {:8.2}",
        spending.gossip_bytes_per_s,
        spending.rpc_bytes_per_s,
        spending.platform_bytes_per_s,
        spending.messages_per_s,
        spending.cpu_percent,
        spending.rpc_cpu_percent,
        spending.max_resident_mib,
        spending.fleet_writes_per_s,
        spending.fleet_reads_per_s,
    )
}
