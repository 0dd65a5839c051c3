//! Straight lines through measured points.

/// Node count and value.
pub type Point = (f64, f64);

/// Least-squares line `base + slope × nodes`.
#[derives::record]
#[derive(Copy)]
pub struct Line {
    /// Value at no node.
    pub base: f64,
    /// Growth for each node.
    pub slope: f64,
}

impl Line {
    /// The line through the points; flat for fewer than two node counts.
    #[must_use]
    pub fn through(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 {
            covariance / spread
        } else {
            0.0
        };
        Self {
            base: mean_y - slope * mean_x,
            slope,
        }
    }

    /// Value of the line at a node count.
    #[must_use]
    pub const fn at(&self, node_count: f64) -> f64 {
        self.base + self.slope * node_count
    }
}
