//! A result as one page.

use {super::text, crate::measure::ScenarioResult};

/// A page with the figures and the plots.
#[must_use]
pub fn html(result: &ScenarioResult, svgs: &[String]) -> String {
    let title = escape(&result.name);
    let figures = escape(&text(result));
    let plots = svgs.join("\n");
    format!(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n\
         <title>{title}</title>\n<h1>{title}</h1>\n{plots}\n<pre>{figures}</pre>\n</html>\n"
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
