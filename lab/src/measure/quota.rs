//! Rate and burst of a workspace, from the outside.

/// Rate and burst over the whole fleet.
#[derives::value]
#[derive(Copy)]
pub struct RateLimit {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once.
    pub burst: f64,
}

/// Requests over the limit in the worst window: the largest n − (R·w + B) over
/// all windows, or 0. `times_us` is sorted here.
#[must_use]
pub fn window_excess(mut times_us: Vec<u64>, limit: RateLimit) -> f64 {
    times_us.sort_unstable();
    let mut excess: f64 = 0.0;
    let mut level: f64 = 0.0;
    let mut latest_us = times_us.first().copied().unwrap_or(0);
    // The fill of a leaky bucket is the largest n − R·w over the windows that
    // end now, so one pass replaces all pairs.
    for time_us in times_us {
        let passed_s = (time_us - latest_us) as f64 / 1e6;
        level = (level - limit.rate_per_s * passed_s).max(0.0) + 1.0;
        excess = excess.max(level - limit.burst);
        latest_us = time_us;
    }
    excess
}

/// Times between which a request was admitted.
#[derives::key]
pub struct AdmissionSpan {
    /// Its caller sent it: not admitted before.
    pub from_us: u64,
    /// A target began with it: admitted by then.
    pub to_us: u64,
}

/// Requests over the limit in the worst window that holds whole spans: the
/// largest n − (R·w + B), or 0.
///
/// Unlike [`window_excess`] on times of execution, work that waited between
/// admission and execution cannot show as an excess: whenever the requests were
/// admitted inside their spans, this many were too many.
#[must_use]
pub fn proven_excess(spans: &[AdmissionSpan], limit: RateLimit) -> f64 {
    let mut spans = spans.to_vec();
    spans.sort_by_key(|span| std::cmp::Reverse(span.from_us));
    let mut ends_us: Vec<u64> = Vec::with_capacity(spans.len());
    let mut excess: f64 = 0.0;
    for span in spans {
        let place = ends_us.partition_point(|end_us| *end_us <= span.to_us);
        ends_us.insert(place, span.to_us);
        // `ends_us` holds all spans that begin at `from_us` or later.
        for (index, end_us) in ends_us.iter().enumerate() {
            let window_s = end_us.saturating_sub(span.from_us) as f64 / 1e6;
            let allowed = limit.rate_per_s * window_s + limit.burst;
            excess = excess.max((index + 1) as f64 - allowed);
        }
    }
    excess
}

/// Tokens that a workspace would have if the whole fleet were one process.
#[derives::value]
#[derive(Copy)]
pub struct TokenBucket {
    limit: RateLimit,
    token_count: f64,
    latest_us: u64,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub const fn new(limit: RateLimit) -> Self {
        Self {
            limit,
            token_count: limit.burst,
            latest_us: 0,
        }
    }

    /// Whether a request at this time is inside the rate. Times only grow.
    pub fn is_inside(&mut self, time_us: u64) -> bool {
        let passed_s = time_us.saturating_sub(self.latest_us) as f64 / 1e6;
        let filled = self.token_count + self.limit.rate_per_s * passed_s;
        self.token_count = filled.min(self.limit.burst);
        self.latest_us = self.latest_us.max(time_us);
        self.token_count >= 1.0
    }

    /// Takes the token of a request that was admitted.
    pub const fn take(&mut self) {
        self.token_count -= 1.0;
    }
}
