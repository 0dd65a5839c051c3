//! Log lines on standard output, one JSON object each, by log4rs.
//!
//! Their number is bounded for each event, and writing never blocks whoever
//! logs: a reader of standard output that stops reading costs lines, not
//! service.

mod budget;
mod line;
mod writer;

pub use {budget::LineBudget, line::json_line, writer::LineWriter};

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

/// Logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The configuration of log4rs does not fit together.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// A logger was set before.
    #[error(transparent)]
    Set(#[from] log::SetLoggerError),
    /// The thread that writes could not be started.
    #[error("the writer of log lines cannot start: {0}")]
    Writer(#[from] io::Error),
}

/// Sets up logging from this level on.
pub fn init(level: log::LevelFilter) -> Result<(), LoggingError> {
    let appender = BoundedAppender {
        started: Instant::now(),
        budget: Mutex::new(LineBudget::new()),
        writer: LineWriter::spawn(io::stdout())?,
    };
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(appender)))
        .build(Root::builder().appender("lines").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Writes lines within their budgets.
#[derive(Debug)]
struct BoundedAppender {
    started: Instant,
    budget: Mutex<LineBudget>,
    writer: LineWriter,
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let message = record.args().to_string();
        let now_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let verdict = {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.spend(line::name_of(&message), record.level(), now_us)
        };
        if !verdict.is_written {
            return Ok(());
        }
        let dropped_count = verdict.left_out_count + self.writer.take_dropped_count();
        self.writer
            .write(json_line(record.level(), &message, dropped_count));
        Ok(())
    }

    fn flush(&self) {}
}
