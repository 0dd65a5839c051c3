//! Counters for Prometheus.

use {
    super::{
        sources::{ControlCollector, ControlSources},
        target_metrics::TargetMetrics,
    },
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// First bucket of the latency histogram, in seconds.
const FIRST_BUCKET_S: f64 = 0.000_25;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 16;

/// Labels of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Class, `none` if no route matched.
    pub class: &'static str,
    /// Outcome.
    pub outcome: &'static str,
    /// Reason, `none` when whole.
    pub reason: &'static str,
}

/// Label of a class.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabel {
    /// Name of the class.
    pub class: &'static str,
}

/// Label of a kind of state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// The kind.
    pub kind: &'static str,
}

/// Metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    /// Attempts sent to targets.
    pub attempts: Counter,
    /// Attempts sent to targets in other availability zones.
    pub attempts_outside_zone: Counter,
    /// Attempts beyond the first.
    pub retries: Counter,
    /// Requests that the own target works on.
    pub running: Gauge,
    /// Requests that wait for the own target.
    pub waiting: Gauge,
    /// Requests that started when their objective could no longer be expected to be met.
    pub late_starts: Counter,
    /// Admitted share of new requests by class, 0 to 1.
    pub admitted_share: Family<ClassLabel, Gauge<f64, AtomicU64>>,
    /// Supply of the own target and of the scarcest called service, in percent of the work
    /// offered.
    pub supply: Family<KindLabel, Gauge>,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    /// Bytes of request bodies that the node holds.
    pub held_body_bytes: Gauge,
    /// Connections and incomplete bodies of callers that gave way to others.
    pub given_up: Family<KindLabel, Counter>,
    /// Figures that the own target reported in the last second.
    pub reported: Family<KindLabel, Gauge>,
    /// Invalid figures that the own target reported.
    pub invalid_reports: Counter,
    /// Entries of the node's tables.
    pub state: Family<KindLabel, Gauge>,
    /// Load and refusals of the own target.
    pub target: TargetMetrics,
    control: ControlCollector,
    requests: Family<RequestLabels, Counter>,
    latency: Histogram,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics at zero.
    #[must_use]
    pub fn new() -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT);
        let mut metrics = Self {
            attempts: Counter::default(),
            attempts_outside_zone: Counter::default(),
            retries: Counter::default(),
            running: Gauge::default(),
            waiting: Gauge::default(),
            late_starts: Counter::default(),
            admitted_share: Family::default(),
            supply: Family::default(),
            caller_connections: Gauge::default(),
            held_body_bytes: Gauge::default(),
            given_up: Family::default(),
            reported: Family::default(),
            invalid_reports: Counter::default(),
            state: Family::default(),
            target: TargetMetrics::default(),
            control: ControlCollector::default(),
            requests: Family::default(),
            latency: Histogram::new(buckets),
            registry: Registry::with_prefix("dogwood"),
        };
        metrics.register();
        metrics
    }

    /// Counts a caller's request that has ended.
    pub fn count_request(&self, labels: &RequestLabels, latency_us: u64) {
        self.requests.get_or_create(labels).inc();
        let latency_us = u32::try_from(latency_us).unwrap_or(u32::MAX);
        self.latency.observe(f64::from(latency_us) / 1e6);
    }

    /// Shows what the control parts count from now on; only the first call
    /// counts.
    pub fn show_control(&self, sources: ControlSources) {
        let _ = self.control.0.set(sources);
    }

    /// Text for Prometheus.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Callers' requests", self.requests.clone());
        registry.register(
            "request_seconds",
            "Time from a caller's request to the head of its answer",
            self.latency.clone(),
        );
        registry.register(
            "attempts",
            "Attempts sent to targets",
            self.attempts.clone(),
        );
        registry.register(
            "attempts_outside_zone",
            "Attempts sent to targets in other availability zones",
            self.attempts_outside_zone.clone(),
        );
        registry.register("retries", "Attempts beyond the first", self.retries.clone());
        registry.register(
            "admission_running",
            "Requests that the own target works on",
            self.running.clone(),
        );
        registry.register(
            "admission_waiting",
            "Requests that wait for the own target",
            self.waiting.clone(),
        );
        registry.register(
            "admission_late_starts",
            "Requests started at the own target when their latency objective was out of reach",
            self.late_starts.clone(),
        );
        registry.register(
            "admitted_share",
            "Admitted share of new requests by class",
            self.admitted_share.clone(),
        );
        registry.register(
            "supply_percent",
            "Work that can be completed, in percent of the work offered; 0 if unknown",
            self.supply.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            self.caller_connections.clone(),
        );
        registry.register(
            "held_body_bytes",
            "Bytes of request bodies that the node holds",
            self.held_body_bytes.clone(),
        );
        registry.register(
            "given_up",
            "Connections and incomplete bodies of callers that gave way to others",
            self.given_up.clone(),
        );
        registry.register(
            "target_reported",
            "Figures that the own target reported in the last second",
            self.reported.clone(),
        );
        registry.register(
            "target_reports_invalid",
            "Invalid figures that the own target reported",
            self.invalid_reports.clone(),
        );
        registry.register(
            "state_entries",
            "Entries of the node's tables",
            self.state.clone(),
        );
        self.target.register(registry);
        registry.register_collector(Box::new(self.control.clone()));
    }
}
