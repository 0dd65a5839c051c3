//! Two results side by side.

use {
    crate::measure::{OverloadResult, ScenarioResult},
    std::fmt::Write,
};

/// A measure of two runs.
#[derives::value]
pub struct Comparison {
    /// The measure.
    pub name: String,
    /// Value of the first run.
    pub first: Option<f64>,
    /// Value of the second run.
    pub second: Option<f64>,
}

impl Comparison {
    /// First over second, where both are known and the second is not 0.
    #[must_use]
    pub fn ratio(&self) -> Option<f64> {
        let (first, second) = self.first.zip(self.second)?;
        (second != 0.0).then(|| first / second)
    }

    /// The measures of two results.
    #[must_use]
    pub fn all(first: &ScenarioResult, second: &ScenarioResult) -> Vec<Self> {
        type Measure = fn(&ScenarioResult) -> Option<f64>;
        let measures: [(&str, Measure); 5] = [
            ("goodput, normal, /s", |r| Some(r.normal_per_s)),
            ("goodput, in trouble, /s", |r| r.trouble_per_s),
            ("recovery, s", |r| r.recovery_s),
            ("worst-served workspace", |r| Some(r.worst_served_ratio)),
            ("wrongful refusals, share", |r| Some(r.wrongful_ratio)),
        ];
        let comparison = |(name, measure): (&str, Measure)| Self {
            name: name.to_owned(),
            first: measure(first),
            second: measure(second),
        };
        type Figure = fn(&OverloadResult) -> f64;
        let overload_measures: [(&str, Figure); 6] = [
            ("goodput over possible", |o| o.goodput_ratio),
            ("critical served", |o| o.critical_served_ratio),
            ("other served", |o| o.other_served_ratio),
            ("attempts per request", |o| o.attempts_per_original),
            ("most attempts per send", |o| o.max_attempts_per_send),
            ("work begun in vain", |o| o.wasted_ratio),
        ];
        let overload_comparisons = overload_measures.into_iter().map(|(name, measure)| Self {
            name: name.to_owned(),
            first: first.overload.as_ref().map(measure),
            second: second.overload.as_ref().map(measure),
        });
        let comparisons = measures.into_iter().map(comparison);
        if first.overload.is_none() && second.overload.is_none() {
            return comparisons.collect();
        }
        comparisons.chain(overload_comparisons).collect()
    }
}

/// A table of two results and their ratios.
#[must_use]
pub fn compare_text(first: &ScenarioResult, second: &ScenarioResult) -> String {
    let mut text = format!("{:<28}{:>12}{:>12}{:>10}\n", "", "A", "B", "A/B");
    let cell = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.3}"));
    for row in Comparison::all(first, second) {
        let _ = writeln!(
            text,
            "{:<28}{:>12}{:>12}{:>10}",
            row.name,
            cell(row.first),
            cell(row.second),
            cell(row.ratio())
        );
    }
    text
}
