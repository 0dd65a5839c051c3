//! Plots of the four measures over time.

use {
    crate::measure::{ScenarioResult, Second},
    plotters::prelude::*,
};

const SIZE: (u32, u32) = (900, 260);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 50;
const HEADROOM: f64 = 1.1;

/// A plot could not be drawn.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("plot {name}: {message}")]
pub struct PlotError {
    /// The plot.
    pub name: String,
    /// Why.
    pub message: String,
}

/// One plot.
#[derives::key]
pub enum Plot {
    /// Offered requests and whole answers; recovery time shows in it.
    Goodput,
    /// The worst-served workspace.
    WorstServed,
    /// Refusals for quota inside the rate.
    Wrongful,
    /// Sends, repeats included.
    Attempts,
}

/// A line and its colour.
type Line = (RGBColor, fn(&Second) -> f64);

impl Plot {
    /// All plots.
    pub const ALL: [Self; 4] = [
        Self::Goodput,
        Self::WorstServed,
        Self::Wrongful,
        Self::Attempts,
    ];

    /// Name of the file.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Goodput => "goodput",
            Self::WorstServed => "worst-served",
            Self::Wrongful => "wrongful-refusals",
            Self::Attempts => "attempts",
        }
    }

    const fn title(self) -> &'static str {
        match self {
            Self::Goodput => "offered (grey) and whole answers (blue) per second",
            Self::WorstServed => "worst-served workspace: whole answers over fair claim",
            Self::Wrongful => "refused for quota though inside the rate, per second",
            Self::Attempts => "sends with repeats per second",
        }
    }

    fn lines(self) -> Vec<Line> {
        match self {
            Self::Goodput => vec![
                (RGBColor(150, 150, 150), |s| s.offered_count as f64),
                (RGBColor(30, 90, 200), |s| s.whole_count as f64),
            ],
            Self::WorstServed => vec![(RGBColor(200, 120, 0), |s| s.worst_served_ratio)],
            Self::Wrongful => vec![(RGBColor(190, 30, 30), |s| s.wrongful_count as f64)],
            Self::Attempts => vec![(RGBColor(90, 60, 140), |s| s.attempt_count as f64)],
        }
    }

    /// The plot as SVG.
    pub fn svg(self, result: &ScenarioResult) -> Result<String, PlotError> {
        let mut svg = String::new();
        self.draw(result, &mut svg).map_err(|error| PlotError {
            name: self.name().to_owned(),
            message: error.to_string(),
        })?;
        Ok(svg)
    }

    fn draw(
        self,
        result: &ScenarioResult,
        svg: &mut String,
    ) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
        let lines = self.lines();
        let values = || {
            let seconds = result.seconds.iter();
            seconds.flat_map(|second| lines.iter().map(|(_, value)| value(second)))
        };
        let top = values().fold(1.0, f64::max) * HEADROOM;
        let end_s = result.seconds.len().max(1) as f64;
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(MARGIN)
            .caption(self.title(), ("sans-serif", 16))
            .x_label_area_size(LABEL_AREA / 2)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..end_s, 0.0..top)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for (colour, value) in lines {
            let points = result.seconds.iter().map(|s| (s.at_s as f64, value(s)));
            chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        }
        area.present()
    }
}
