//! Load that a target reports about itself.

/// Bounds of the reported time that work takes, in percent of its usual time. A figure outside
/// of them is an error of the target: no machine works ten times faster than usual.
const WORK_TIME_BOUNDS_PERCENT: std::ops::RangeInclusive<f64> = 10.0..=10_000.0;

/// Bounds of reported counts. Without the upper one, an infinite count would make the busy ratio
/// NaN.
const COUNT_BOUNDS: std::ops::RangeInclusive<f64> = 0.0..=u32::MAX as f64;

/// Load that a target reports in a response or a notice.
#[derives::value]
#[derive(Copy)]
pub struct TargetLoad {
    /// Share of slots in use, 0.0 to 1.0.
    pub busy_ratio: f64,
    /// Requests that wait inside the target.
    pub waiting_count: u32,
    /// Time that work takes on the target's machine now.
    pub work_time: WorkTime,
}

/// Time that work takes on a target's machine, as the target reports it.
#[derives::value]
#[derive(Copy, Eq)]
pub enum WorkTime {
    /// It reports none.
    NotReported,
    /// Percent of the usual time, within bounds.
    Percent(u16),
    /// It reports a figure that cannot be used.
    Invalid,
}

impl WorkTime {
    /// Interprets a reported figure.
    #[must_use]
    pub fn from_figure(figure: Option<f64>) -> Self {
        match figure {
            Some(percent) if WORK_TIME_BOUNDS_PERCENT.contains(&percent) => {
                Self::Percent(percent as u16)
            }
            Some(_) | None => Self::Invalid,
        }
    }

    /// Percent of the usual time, if known.
    #[must_use]
    pub const fn percent(self) -> Option<u16> {
        match self {
            Self::Percent(percent) => Some(percent),
            Self::NotReported | Self::Invalid => None,
        }
    }
}

impl TargetLoad {
    /// Decodes `running,waiting,slots` with an optional time that work takes as the fourth
    /// figure; `None` unless the first three are valid. Further figures are ignored, so that
    /// targets may add some.
    #[must_use]
    pub fn from_list(text: &str) -> Option<Self> {
        let mut fields = text
            .split(',')
            .map(|field| field.trim().parse::<f64>().ok());
        let mut next_count = || fields.next()?.filter(|count| COUNT_BOUNDS.contains(count));
        let (running, waiting, slots) = (next_count()?, next_count()?, next_count()?);
        let work_time = match fields.next() {
            None => WorkTime::NotReported,
            Some(figure) => WorkTime::from_figure(figure),
        };
        (slots > 0.0).then(|| Self {
            busy_ratio: (running / slots).clamp(0.0, 1.0),
            waiting_count: waiting as u32,
            work_time,
        })
    }
}
