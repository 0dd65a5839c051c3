//! Expected completion of one more request at a target, from the figures in the responses of
//! its node and the latency of this node's own requests.

use {
    super::{Distance, target::LEVEL_AGE_LIMIT_US},
    crate::model::{AdmissionLevel, CLASS_COUNT, Class},
};

/// Time in which the weight of a sample of the service time decays to 1/e.
const SAMPLE_DECAY_US: f64 = 1_000_000.0;
/// Bounds of the factor by which a reported work time scales the measured service time. A target
/// that misreports it gets at most four times its share or a quarter of it.
const WORK_TIME_FACTOR: (f64, f64) = (0.25, 4.0);
/// Least share of a request's latency that counts as service time after the expected wait is
/// subtracted, which is a figure from another time.
const MIN_SERVICE_SHARE: f64 = 0.25;
/// Shortest time in which a figure loses its weight; below it, figures of very short requests
/// would count as old when they arrive.
const MIN_FIGURE_DECAY_US: f64 = 20_000.0;
/// Load that each request of this node adds to a target without a recent figure. A request that
/// does not end for so long may be queued behind those of many senders.
const UNSEEN_LOAD_RATIO: f64 = 1.0;
/// Work time that a target reports at its usual speed.
const USUAL_WORK_TIME_PERCENT: f64 = 100.0;

/// Share of free slots below which they no longer raise the cost; the wait does from there on.
const MIN_FREE_RATIO: f64 = 0.02;
/// Load from which requests begin to leave for a farther target, and load at which all of them do
/// so. With an end of 1.05, a target once had queued requests beside idle slots for 300 ms.
const LEAVING_LOAD_RATIO: (f64, f64) = (0.85, 1.0);

/// Network round trip that is expected to a target before it was called, in microseconds.
#[must_use]
pub const fn round_trip_us(distance: Distance) -> f64 {
    match distance {
        Distance::SameZone => 0.0,
        Distance::SameRegion => 2_000.0,
        Distance::OtherRegion => 60_000.0,
    }
}

/// Admission level in the newest response to a request of one class.
#[derive(Debug, Clone, Copy)]
struct Figure {
    level: AdmissionLevel,
    received_us: u64,
    /// Requests that this node has sent since, which the level does not contain.
    sent_count: u32,
}

impl Figure {
    const fn age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.received_us)
    }
}

/// Mean over the targets of a service, used for a target without recent figures.
#[derives::value]
#[derive(Copy, Default)]
pub struct ServiceMean {
    /// Running and queued requests over slots.
    pub load_ratio: f64,
    /// Service time, in microseconds.
    pub service_us: f64,
}

/// This node's requests at a target.
#[derives::value]
#[derive(Copy)]
pub struct OwnRequests {
    /// Requests that have not ended.
    pub outstanding_count: u32,
    /// Their expected latency, in microseconds.
    pub latency_us: f64,
}

/// A target's state at the time at which one more request would arrive there.
#[derives::value]
#[derive(Copy)]
pub struct Expectation {
    /// Requests that run or wait there over slots.
    pub load_ratio: f64,
    /// Time until one more request would start, in microseconds.
    pub wait_us: f64,
    /// Service time, in microseconds.
    pub service_us: f64,
    /// Network round trip, in microseconds.
    pub round_trip_us: f64,
    /// Mean service time over the targets of the service, in microseconds.
    pub usual_service_us: f64,
    /// Time by which the wait may differ because service times vary, in microseconds.
    pub spread_us: f64,
    /// Factor by which recent failures raise the cost.
    pub failure_factor: f64,
}

/// What this node knows about a target's queue and speed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    by_class: [Option<Figure>; CLASS_COUNT],
    mean_service_us: Option<f64>,
    /// Mean absolute difference between a service time and the mean.
    mean_deviation_us: f64,
    /// Mean work time under which the service time was measured, in percent.
    mean_work_time_percent: f64,
    last_sample_us: u64,
}

impl Figures {
    /// No figures.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            by_class: [None; CLASS_COUNT],
            mean_service_us: None,
            mean_deviation_us: 0.0,
            mean_work_time_percent: USUAL_WORK_TIME_PERCENT,
            last_sample_us: 0,
        }
    }

    /// Records the level in a response to a request of this class.
    pub const fn record_level(&mut self, class: Class, level: AdmissionLevel, now_us: u64) {
        self.by_class[class.index()] = Some(Figure {
            level,
            received_us: now_us,
            sent_count: 0,
        });
    }

    /// Records that this node sends a request of this class. It is ahead of later requests of
    /// its class and of lower ones.
    pub fn record_sent(&mut self, class: Class) {
        for figure in self.by_class[..=class.index()].iter_mut().flatten() {
            figure.sent_count = figure.sent_count.saturating_add(1);
        }
    }

    /// Records the latency of a completed request, whose response carried `level`.
    pub fn record_latency(
        &mut self,
        latency_us: u64,
        level: Option<AdmissionLevel>,
        distance: Distance,
        now_us: u64,
    ) {
        let latency_us = latency_us as f64;
        let wait_us = self.newest(now_us).map_or(0, |figure| figure.level.wait_us);
        let service_us = (latency_us - f64::from(wait_us) - round_trip_us(distance))
            .max(latency_us * MIN_SERVICE_SHARE);
        let elapsed_us = now_us.saturating_sub(self.last_sample_us) as f64;
        let weight = (1.0 - (-elapsed_us / SAMPLE_DECAY_US).exp()).max(0.001);
        self.last_sample_us = now_us;
        let work_time = level.and_then(work_time_percent);
        let Some(mean_us) = self.mean_service_us else {
            self.mean_service_us = Some(service_us);
            self.mean_work_time_percent = work_time.unwrap_or(USUAL_WORK_TIME_PERCENT);
            return;
        };
        self.mean_service_us = Some(mean_us + (service_us - mean_us) * weight);
        let deviation_us = (service_us - mean_us).abs();
        self.mean_deviation_us += (deviation_us - self.mean_deviation_us) * weight;
        if let Some(percent) = work_time {
            self.mean_work_time_percent += (percent - self.mean_work_time_percent) * weight;
        }
    }

    /// Whether a recent response reported the queue of the target.
    #[must_use]
    pub fn is_fresh(&self, now_us: u64) -> bool {
        self.newest(now_us).is_some()
    }

    /// Running and queued requests over slots by the newest response, if it is recent.
    #[must_use]
    pub fn load_ratio(&self, now_us: u64) -> Option<f64> {
        self.newest(now_us).map(reported_load_ratio)
    }

    /// Mean service time of this node's requests; `None` without any.
    #[must_use]
    pub const fn mean_service_us(&self) -> Option<f64> {
        self.mean_service_us
    }

    /// Expected state of the target for one more request of this class.
    #[must_use]
    pub fn expectation(
        &self,
        class: Class,
        slot_count: u32,
        own: OwnRequests,
        mean: ServiceMean,
        now_us: u64,
    ) -> Expectation {
        let slot_count = f64::from(slot_count.max(1));
        let service_us = self.service_us(mean.service_us, now_us);
        let usual_wait_us = (mean.load_ratio - 1.0).max(0.0) * service_us;
        let unseen_ratio = mean.load_ratio + f64::from(own.outstanding_count) * UNSEEN_LOAD_RATIO;
        let unseen_wait_us = (unseen_ratio - 1.0).max(0.0) * service_us;
        let expectation = Expectation {
            load_ratio: unseen_ratio,
            wait_us: (own.latency_us - service_us).max(unseen_wait_us),
            service_us,
            round_trip_us: 0.0,
            usual_service_us: mean.service_us,
            // Slots become free independently of each other.
            spread_us: self.mean_deviation_us / slot_count.sqrt(),
            failure_factor: 1.0,
        };
        let Some(figure) = self.figure_of(class, now_us) else {
            return expectation;
        };
        // Within one service time all requests that the figure counts have been replaced by
        // others, of which it says nothing.
        // A queue lasts for as long as it takes to start its requests.
        let decay_us = service_us.max(MIN_FIGURE_DECAY_US) + f64::from(figure.level.wait_us);
        let weight = (-(figure.age_us(now_us) as f64) / decay_us).exp();
        let sent_ratio = f64::from(figure.sent_count) / slot_count;
        let blend = |reported: f64, usual: f64| usual + (reported - usual) * weight;
        let load_ratio = blend(reported_load_ratio(figure), mean.load_ratio) + sent_ratio;
        let reported_wait_us = blend(f64::from(figure.level.wait_us), usual_wait_us);
        let excess_us = (load_ratio - 1.0).max(0.0) * service_us;
        Expectation {
            load_ratio,
            wait_us: reported_wait_us.max(excess_us),
            ..expectation
        }
    }

    /// Service time at the target now: the mean of this node's requests, or of the service,
    /// scaled by the work time reported now over the one under which it was measured.
    fn service_us(&self, service_mean_us: f64, now_us: u64) -> f64 {
        let Some(mean_us) = self.mean_service_us else {
            return service_mean_us.max(1.0);
        };
        let level = self.newest(now_us).map(|figure| figure.level);
        let factor = level.and_then(work_time_percent).map_or(1.0, |percent| {
            percent / self.mean_work_time_percent.max(1.0)
        });
        (mean_us * factor.clamp(WORK_TIME_FACTOR.0, WORK_TIME_FACTOR.1)).max(1.0)
    }

    /// Newest recent figure of any class.
    fn newest(&self, now_us: u64) -> Option<&Figure> {
        self.by_class
            .iter()
            .flatten()
            .filter(|figure| figure.age_us(now_us) <= LEVEL_AGE_LIMIT_US)
            .max_by_key(|figure| figure.received_us)
    }

    /// Recent figure of this class, else of any class.
    fn figure_of(&self, class: Class, now_us: u64) -> Option<&Figure> {
        self.by_class[class.index()]
            .as_ref()
            .filter(|figure| figure.age_us(now_us) <= LEVEL_AGE_LIMIT_US)
            .or_else(|| self.newest(now_us))
    }
}

fn reported_load_ratio(figure: &Figure) -> f64 {
    f64::from(figure.level.load_percent) / 100.0
}

fn work_time_percent(level: AdmissionLevel) -> Option<f64> {
    (level.work_time_percent > 0).then_some(f64::from(level.work_time_percent))
}

impl Expectation {
    /// Adds the network round trip.
    #[must_use]
    pub const fn with_round_trip_us(mut self, round_trip_us: f64) -> Self {
        self.round_trip_us = round_trip_us;
        self
    }

    /// Sets the factor by which recent failures raise the cost.
    #[must_use]
    pub const fn with_failure_factor(mut self, factor: f64) -> Self {
        self.failure_factor = factor;
        self
    }

    /// Share of the slots that would still be free; negative while requests wait.
    #[must_use]
    pub fn free_ratio(&self) -> f64 {
        1.0 - self.load_ratio
    }

    /// Cost of one more request, in microseconds: the expected completion and a price of the
    /// slot, which grows as the free slots become few.
    ///
    /// By completion alone, each request would go to the fastest target until its wait exceeds
    /// the difference of service times, and slower targets would stay idle beside a queue. With
    /// the price all targets are used equally near capacity, at low load the fastest first.
    #[must_use]
    pub fn cost_us(&self) -> f64 {
        let price_us = self.usual_service_us / self.free_ratio().max(MIN_FREE_RATIO);
        let completion_us = self.round_trip_us + self.wait_us + self.service_us;
        (completion_us + price_us) * self.failure_factor
    }
}

/// Probability with which a request should go to a farther target instead of a nearer one.
///
/// It grows with the load of the nearer one: 70 senders share its figure, and if all of them left
/// at the same load, it would be idle until the next figures arrive.
#[must_use]
pub fn leaving_share(near: &Expectation, far: &Expectation) -> f64 {
    let (start, end) = LEAVING_LOAD_RATIO;
    if near.load_ratio <= start {
        return 0.0;
    }
    // The round trip is part of the cost: a difference of one hop's distance is needed besides.
    let hop_us = (far.round_trip_us - near.round_trip_us).max(0.0);
    if far.cost_us() + hop_us + near.spread_us > near.cost_us() {
        return 0.0;
    }
    ((near.load_ratio - start) / (end - start)).min(1.0)
}
