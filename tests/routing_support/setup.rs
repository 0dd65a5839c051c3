//! Properties and figures of a run of the model.

pub const SERVICE_US: f64 = 83_000.0;
pub const SLOT_COUNT: u32 = 100;
pub const SENDER_COUNT: usize = 70;
pub const ZONE_COUNT: usize = 3;
/// Share of the periods in which work takes longer, and by how much.
pub const SLOW_SHARE: f64 = 0.15;
pub const SLOW_FACTOR: f64 = 2.5;
/// Start of the measurement.
pub const WARM_UP_US: u64 = 2_000_000;

/// Rule by which senders choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Latency,
    CompletionOfTwo,
    CompletionOfThree,
    WeightedByFreeSlots,
    /// Bound: one queue for all targets, so that no slot is idle while a request waits.
    OneQueue,
}

/// What a target reports instead of its true figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    True,
    Nothing,
    Constant,
    WorkTime(u16),
}

/// Properties of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    pub way: Way,
    pub speeds: Vec<f64>,
    pub zones: Vec<usize>,
    /// Demand over the mean capacity of the targets.
    pub load_ratio: f64,
    pub duration_us: u64,
    pub seed: u64,
    /// Time by which figures arrive later than the response; empty if at once.
    pub figure_delay_us: std::ops::Range<u64>,
    pub changes_work_time: bool,
    /// Whether the demand follows the capacity of the moment, so that it never exceeds it.
    pub follows_capacity: bool,
    /// Changes at a time.
    pub faults: Vec<(u64, Fault)>,
}

/// A change during a run.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Report(usize, Report),
    WorkFactor(usize, f64),
    PartitionZone(usize),
    Remove(usize),
    RestartSenders,
}

impl Setup {
    pub fn new(way: Way, load_ratio: f64) -> Self {
        Self {
            way,
            speeds: vec![0.5, 1.0, 1.0, 1.5],
            zones: vec![0, 0, 1, 2],
            load_ratio,
            duration_us: 10_000_000,
            seed: 11,
            figure_delay_us: 0..0,
            changes_work_time: true,
            follows_capacity: false,
            faults: Vec::new(),
        }
    }

    pub fn with_fault(mut self, at_us: u64, fault: Fault) -> Self {
        self.faults.push((at_us, fault));
        self
    }

    /// Requests that the targets can serve in a second, on average over the work times.
    pub fn capacity_per_s(&self) -> f64 {
        let usual_share = match self.changes_work_time {
            true => 1.0 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR,
            false => 1.0,
        };
        let speed: f64 = self.speeds.iter().sum();
        speed * usual_share * f64::from(SLOT_COUNT) * 1e6 / SERVICE_US
    }
}

/// Figures of a run.
#[derive(Debug, Default)]
pub struct Figures {
    /// Waits of the requests that started, with their time of start.
    pub waits_us: Vec<(u64, u64)>,
    pub busy_us: Vec<f64>,
    pub count: usize,
    pub outside_zone_count: usize,
    /// Refused requests, with their time.
    pub refusals_us: Vec<u64>,
    /// Requests sent to a target beyond a partition: time, sender and target.
    pub losses: Vec<(u64, usize, usize)>,
    /// Requests per target that started after the last fault.
    pub started_after_faults: Vec<usize>,
    pub figure_ages_us: Vec<u64>,
    /// Longest time for which a target had queued requests while another had idle slots.
    pub longest_imbalance_us: u64,
}

impl Figures {
    pub fn mean_wait_ms(&self) -> f64 {
        let sum: u64 = self.waits_us.iter().map(|(_, wait_us)| wait_us).sum();
        sum as f64 / 1e3 / self.waits_us.len().max(1) as f64
    }

    pub fn wait_ms(&self, share: f64) -> f64 {
        self.wait_between_ms(share, 0, u64::MAX)
    }

    pub fn wait_between_ms(&self, share: f64, start_us: u64, end_us: u64) -> f64 {
        let range = start_us..end_us;
        let waits = self
            .waits_us
            .iter()
            .filter(|(at_us, _)| range.contains(at_us));
        quantile(waits.map(|(_, wait_us)| *wait_us).collect(), share) as f64 / 1e3
    }

    pub fn max_over_mean(&self) -> f64 {
        let mean = self.busy_us.iter().sum::<f64>() / self.busy_us.len() as f64;
        self.busy_us.iter().copied().fold(0.0, f64::max) / mean
    }

    pub fn outside_zone_share(&self) -> f64 {
        self.outside_zone_count as f64 / self.count.max(1) as f64
    }
}

pub fn quantile(mut values: Vec<u64>, share: f64) -> u64 {
    values.sort_unstable();
    let index = (values.len() as f64 * share) as usize;
    values.get(index).or(values.last()).copied().unwrap_or(0)
}
