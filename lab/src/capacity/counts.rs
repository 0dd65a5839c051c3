//! Metrics of a node as numbers.

use std::collections::BTreeMap;

/// Values by name with labels, as in the text.
#[derives::value]
#[derive(Default)]
pub struct Counts(BTreeMap<String, f64>);

impl Counts {
    /// Reads the text of `/metrics`.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let values = lines.filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        });
        Self(values.collect())
    }

    /// Sum of all values whose name with labels begins so.
    #[must_use]
    pub fn sum(&self, prefix: &str) -> f64 {
        let values = self.0.range(prefix.to_owned()..);
        let values = values.take_while(|(name, _)| name.starts_with(prefix));
        values.map(|(_, value)| value).sum()
    }
}
