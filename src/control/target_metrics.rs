//! Load and refusals of the own target as metrics.

use {
    super::{Figure, TargetCapacity},
    crate::model::Class,
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
};

/// Label of the target's service; a node has one target at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceClassLabels {
    service: String,
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabel {
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceFigureLabels {
    service: String,
    figure: &'static str,
}

/// Load and refusals of the own target.
///
/// Workspaces are no label: their number is not bounded. `dogwoodctl room` lists them.
#[derive(Debug, Default)]
pub struct TargetMetrics {
    slots: Family<ServiceLabel, Gauge>,
    running: Family<ServiceLabel, Gauge>,
    waiting: Family<ServiceLabel, Gauge>,
    load_percent: Family<ServiceLabel, Gauge>,
    work_time_percent: Family<ServiceLabel, Gauge>,
    supply_percent: Family<ServiceLabel, Gauge>,
    recently_refused: Family<ServiceClassLabels, Gauge>,
    figure_age_ms: Family<ServiceFigureLabels, Gauge>,
    refused: Family<ClassLabel, Counter>,
}

impl TargetMetrics {
    /// Counts a request that was refused for want of capacity.
    pub fn count_refusal(&self, class: Class) {
        let class = class.name();
        self.refused.get_or_create(&ClassLabel { class }).inc();
    }

    /// Replaces the figures of the target; without a target there are none.
    pub fn set(&self, target: Option<&TargetCapacity>) {
        for family in self.figures().map(|(_, _, family)| family) {
            family.clear();
        }
        self.recently_refused.clear();
        self.figure_age_ms.clear();
        let Some(target) = target else {
            return;
        };
        let label = ServiceLabel {
            service: target.service.clone(),
        };
        let always_known = [
            ("slots", &self.slots, target.slots),
            ("running", &self.running, target.running),
            ("waiting", &self.waiting, target.waiting),
            ("load_percent", &self.load_percent, target.load_percent),
        ];
        let known_if_set = [
            (
                "work_time_percent",
                &self.work_time_percent,
                target.work_time_percent,
            ),
            (
                "supply_percent",
                &self.supply_percent,
                target.supply_percent,
            ),
        ];
        // An unknown figure has no series: 0 would distort means and minimums over nodes.
        let known = known_if_set
            .into_iter()
            .filter(|(_, _, figure)| figure.value > 0);
        for (name, family, figure) in always_known.into_iter().chain(known) {
            self.set_figure(&label, name, family, figure);
        }
        for class in Class::ALL {
            let labels = ServiceClassLabels {
                service: target.service.clone(),
                class: class.name(),
            };
            let count = gauge(target.refused_by_class.of(class));
            self.recently_refused.get_or_create(&labels).set(count);
        }
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        // Rates of a counter without a first sample at 0 miss the first increment.
        for class in Class::ALL.map(Class::name) {
            drop(self.refused.get_or_create(&ClassLabel { class }));
        }
        for (name, help, family) in self.figures() {
            registry.register(name, help, family.clone());
        }
        registry.register(
            "target_refused_10s",
            "Requests refused at the own target for want of capacity in the last ten seconds",
            self.recently_refused.clone(),
        );
        registry.register(
            "target_refused",
            "Requests refused at the own target for want of capacity",
            self.refused.clone(),
        );
        registry.register(
            "target_figure_age_ms",
            "Time since a figure of the own target was measured, in milliseconds",
            self.figure_age_ms.clone(),
        );
    }

    const fn figures(&self) -> [(&'static str, &'static str, &Family<ServiceLabel, Gauge>); 6] {
        [
            (
                "target_slots",
                "Requests that the own target can work on at a time",
                &self.slots,
            ),
            (
                "target_running",
                "Requests that the own target works on",
                &self.running,
            ),
            (
                "target_waiting",
                "Requests that wait for the own target",
                &self.waiting,
            ),
            (
                "target_load_percent",
                "Running and queued work of the own target over its limit",
                &self.load_percent,
            ),
            (
                "target_work_time_percent",
                "Time that work takes at the own target, in percent of the usual",
                &self.work_time_percent,
            ),
            (
                "target_supply_percent",
                "Work that the own target can complete, in percent of the work offered",
                &self.supply_percent,
            ),
        ]
    }

    fn set_figure(
        &self,
        label: &ServiceLabel,
        name: &'static str,
        family: &Family<ServiceLabel, Gauge>,
        figure: Figure,
    ) {
        family.get_or_create(label).set(i64::from(figure.value));
        let labels = ServiceFigureLabels {
            service: label.service.clone(),
            figure: name,
        };
        let age_ms = self.figure_age_ms.get_or_create(&labels);
        age_ms.set(gauge(figure.age_ms));
    }
}

fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
