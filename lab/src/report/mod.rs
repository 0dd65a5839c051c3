//! Results as files and text.

mod compare;
mod html;
mod plots;
mod text;

pub use {
    compare::{Comparison, compare_text},
    html::html,
    plots::{Plot, PlotError},
    text::text,
};

use {
    crate::{LabError, measure::ScenarioResult},
    std::{fs, path::Path},
};

/// Writes `result.json`, `report.html` and the plots into a directory.
pub fn write(result: &ScenarioResult, dir: &Path) -> Result<(), LabError> {
    fs::create_dir_all(dir).map_err(LabError::io(dir.display().to_string()))?;
    let json = serde_json::to_string_pretty(result).unwrap_or_default();
    write_file(&dir.join("result.json"), &json)?;
    let mut svgs = Vec::new();
    for plot in Plot::ALL {
        let svg = plot.svg(result).map_err(|error| LabError::Scenario {
            message: error.to_string(),
        })?;
        write_file(&dir.join(format!("{}.svg", plot.name())), &svg)?;
        svgs.push(svg);
    }
    write_file(&dir.join("report.html"), &html(result, &svgs))
}

fn write_file(path: &Path, text: &str) -> Result<(), LabError> {
    fs::write(path, text).map_err(LabError::io(path.display().to_string()))
}
