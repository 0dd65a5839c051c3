//! Writes log lines to standard output through log4rs, one JSON object each.
//!
//! Lines are rate-limited per event, and logging never blocks the caller: if the
//! reader of standard output stops, lines are dropped and requests continue.

mod line;
mod rate_limit;
mod writer;

pub use {line::json_line, rate_limit::LineRateLimiter, writer::LineWriter};

use {
    log::Record,
    log4rs::{
        append::Append,
        config::{Appender, Config, Root, runtime::ConfigErrors},
    },
    std::{
        io,
        sync::{Mutex, PoisonError},
        time::Instant,
    },
};

/// Why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The log4rs configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// A logger is already set.
    #[error(transparent)]
    Set(#[from] log::SetLoggerError),
    /// The writer thread could not be started.
    #[error("cannot start the log writer thread: {0}")]
    Writer(#[from] io::Error),
}

/// Sets up logging of lines at this level and above.
pub fn init(level: log::LevelFilter) -> Result<(), LoggingError> {
    let appender = RateLimitedAppender {
        started_at: Instant::now(),
        rate_limit: Mutex::new(LineRateLimiter::new()),
        writer: LineWriter::spawn(io::stdout())?,
    };
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(appender)))
        .build(Root::builder().appender("lines").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Writes lines within the rate limit.
#[derive(Debug)]
struct RateLimitedAppender {
    started_at: Instant,
    rate_limit: Mutex<LineRateLimiter>,
    writer: LineWriter,
}

impl Append for RateLimitedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let message = record.args().to_string();
        let now_us = u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let decision = {
            let mut rate_limit = self
                .rate_limit
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            rate_limit.check(line::event_name(&message), record.level(), now_us)
        };
        if !decision.should_write {
            return Ok(());
        }
        let suppressed_count = decision.suppressed_count + self.writer.take_dropped_count();
        self.writer
            .write(json_line(record.level(), &message, suppressed_count));
        Ok(())
    }

    fn flush(&self) {}
}
