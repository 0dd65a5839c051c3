//! Distributions of service times.

use {
    rand::Rng,
    std::{f64::consts::TAU, num::ParseFloatError, str::FromStr, time::Duration},
};

/// How long work takes, in milliseconds; the timer's grain is one millisecond.
#[derives::value]
#[derive(Copy)]
pub enum Latency {
    /// Always the same.
    Fixed {
        /// The time.
        latency_ms: f64,
    },
    /// Between two bounds.
    Uniform {
        /// Lower bound.
        low_ms: f64,
        /// Upper bound.
        high_ms: f64,
    },
    /// Log-normal.
    LogNormal {
        /// Median.
        median_ms: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

/// A distribution that is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseLatencyError {
    /// No such form.
    #[error("{text:?}: expected fixed:MS, uniform:LOW:HIGH or lognormal:MEDIAN:SIGMA")]
    Form {
        /// The text as it was given.
        text: String,
    },
    /// A number is none.
    #[error("{text:?} is not a number: {source}")]
    Number {
        /// The text as it was given.
        text: String,
        /// Why.
        source: ParseFloatError,
    },
    /// A number is out of range.
    #[error("{text:?}: numbers must be finite, at least 0 and in order")]
    Range {
        /// The text as it was given.
        text: String,
    },
}

impl Latency {
    /// Draws a service time.
    #[must_use]
    pub fn sample<R: Rng>(&self, rng: &mut R) -> Duration {
        let latency_ms = match *self {
            Self::Fixed { latency_ms } => latency_ms,
            Self::Uniform { low_ms, high_ms } => rng.random_range(low_ms..=high_ms),
            Self::LogNormal { median_ms, sigma } => median_ms * (sigma * normal(rng)).exp(),
        };
        Duration::from_secs_f64(latency_ms / 1000.0)
    }
}

/// Draws from the standard normal distribution (Box and Muller).
fn normal<R: Rng>(rng: &mut R) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}

impl FromStr for Latency {
    type Err = ParseLatencyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split(':').collect();
        match parts[..] {
            ["fixed", latency] => Ok(Self::Fixed {
                latency_ms: number(latency)?,
            }),
            ["uniform", low, high] => {
                let (low_ms, high_ms) = (number(low)?, number(high)?);
                if low_ms > high_ms {
                    return Err(ParseLatencyError::Range {
                        text: text.to_owned(),
                    });
                }
                Ok(Self::Uniform { low_ms, high_ms })
            }
            ["lognormal", median, sigma] => Ok(Self::LogNormal {
                median_ms: number(median)?,
                sigma: number(sigma)?,
            }),
            _ => Err(ParseLatencyError::Form {
                text: text.to_owned(),
            }),
        }
    }
}

fn number(text: &str) -> Result<f64, ParseLatencyError> {
    let number: f64 = text.parse().map_err(|source| ParseLatencyError::Number {
        text: text.to_owned(),
        source,
    })?;
    if number.is_finite() && number >= 0.0 {
        Ok(number)
    } else {
        Err(ParseLatencyError::Range {
            text: text.to_owned(),
        })
    }
}
