//! The rule by which new requests are throttled for downstream services, chosen at start.

use {
    super::{BelowSupply, ChainShares, DownstreamAdmission, downstream::CallFailures},
    crate::{
        model::{AdmissionLevel, Class, ServiceKey},
        settings::DownstreamChoice,
    },
};

/// Ratio of supply that many failing calls stand for. Applied once for each call tree, it lowers
/// the share of browse about as fast as the steps do.
const FAILURE_RATIO: f64 = 0.8;

/// Throttles new requests by the rule of `choice`. Supply and load are recorded under either
/// rule, since nodes above may use the other one. Pure state: performs no I/O and reads no clock.
#[derive(Debug, Clone)]
pub struct DownstreamControl {
    choice: DownstreamChoice,
    /// Whether the local target has reported how long its work takes.
    reports_work_time: bool,
    steps: DownstreamAdmission,
    supply: BelowSupply,
    chain_shares: ChainShares,
}

impl DownstreamControl {
    /// A state that admits every request.
    #[must_use]
    pub fn new(choice: DownstreamChoice) -> Self {
        Self {
            choice,
            reports_work_time: false,
            steps: DownstreamAdmission::new(),
            supply: BelowSupply::new(),
            chain_shares: ChainShares::new(),
        }
    }

    /// Records that the local target reports how long its work takes.
    pub const fn record_work_time(&mut self) {
        self.reports_work_time = true;
    }

    /// Records the end of a downstream call of the local target.
    pub fn record_call(&mut self, has_failed: bool, now_us: u64) {
        self.steps.record_call(has_failed, now_us);
        self.update_shares(now_us);
    }

    /// Records the level that a response to such a call reported.
    pub fn record_level(&mut self, service: ServiceKey, level: AdmissionLevel, now_us: u64) {
        self.steps.record_level(level, now_us);
        self.supply.record_level(service, level, now_us);
        self.update_shares(now_us);
    }

    /// Records that the local target responded to a new request of this class.
    pub fn record_request_end(&mut self, class: Class, has_failed: bool) {
        self.steps.record_request_end(class, has_failed);
    }

    /// Records an arrival, whether or not it is admitted: a new request of this class, or a call
    /// if `None`.
    pub fn record_arrival(&mut self, new_class: Option<Class>, now_us: u64) {
        self.steps.work_shares.arrive(new_class, now_us);
    }

    /// Records how long a request ran.
    pub fn record_run(&mut self, new_class: Option<Class>, run_us: u64, now_us: u64) {
        self.supply.record_run(now_us);
        self.steps.work_shares.end(new_class, run_us);
        if new_class.is_some() {
            self.chain_shares.record_tree(run_us);
        }
    }

    /// Whether a new request of this class is admitted. `ranked_class` takes the class of its
    /// workspace into account; `draw` is uniform between 0 and 1.
    pub fn admits(&mut self, class: Class, ranked_class: Class, draw: f64, now_us: u64) -> bool {
        match self.follows_supply() {
            false => self.steps.admits(class, ranked_class, draw, now_us),
            true => {
                if self.supply.ratio(now_us).is_none() {
                    self.chain_shares.rise_unmeasured(now_us);
                }
                draw < self.chain_shares.share(ranked_class)
                    || !self.steps.depends_on_calls(class)
                    || !self
                        .steps
                        .work_shares
                        .would_reduce_downstream_load(class, now_us)
            }
        }
    }

    /// Admitted share of this class, 0 to 1.
    #[must_use]
    pub fn share(&self, class: Class) -> f64 {
        match self.follows_supply() {
            false => self.steps.share(class),
            true if !self.steps.depends_on_calls(class) => 1.0,
            true => self.chain_shares.share(class),
        }
    }

    /// Load of the services that the local target calls, in percent of slots.
    #[must_use]
    pub const fn load_percent(&self) -> u16 {
        self.steps.load_percent()
    }

    const fn follows_supply(&self) -> bool {
        match self.choice {
            DownstreamChoice::Steps => false,
            DownstreamChoice::Supply => true,
            DownstreamChoice::Auto => self.reports_work_time,
        }
    }

    fn update_shares(&mut self, now_us: u64) {
        match self.ratio(now_us) {
            Some(ratio) => self.chain_shares.record_ratio(ratio, now_us),
            None => self.chain_shares.rise_unmeasured(now_us),
        }
    }

    /// The ratio by which shares change. Failing calls limit it: a target that sheds whatever it
    /// is sent has free slots, so that its supply seems sufficient.
    fn ratio(&self, now_us: u64) -> Option<f64> {
        let supply = self.supply.ratio(now_us);
        let max_ratio = match self.steps.call_failures() {
            CallFailures::Few => return supply,
            CallFailures::Some => 1.0,
            CallFailures::Many => FAILURE_RATIO,
        };
        Some(supply.map_or(max_ratio, |ratio| ratio.min(max_ratio)))
    }

    /// Supply of the scarcest service that the local target calls, in percent of the work offered
    /// to it; 0 if unknown.
    #[must_use]
    pub fn supply_percent(&self, now_us: u64) -> u16 {
        self.supply.percent(now_us)
    }
}
