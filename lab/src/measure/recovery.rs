//! Time until normal goodput is back.

/// Share of normal goodput that counts as recovered.
const RECOVERED_RATIO: f64 = 0.95;
/// Goodput is averaged over so many seconds, since arrivals are random.
const WINDOW_S: usize = 3;

/// Seconds from `cause_end_s` to the first window from whose begin on the
/// goodput is back at 95% of normal; `None` if it does not come back.
///
/// `goodput_per_s` holds one value for each second.
#[must_use]
pub fn recovery_s(goodput_per_s: &[f64], normal_per_s: f64, cause_end_s: f64) -> Option<f64> {
    let first = cause_end_s.max(0.0).floor() as usize;
    let windows = goodput_per_s.get(first..)?.windows(WINDOW_S);
    let is_back = |window: &[f64]| {
        window.iter().sum::<f64>() >= RECOVERED_RATIO * normal_per_s * WINDOW_S as f64
    };
    windows
        .enumerate()
        .find(|(_, window)| is_back(window))
        .map(|(index, _)| ((first + index) as f64 - cause_end_s).max(0.0))
}
