//! Log lines on standard error, by log4rs.

use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root, runtime::ConfigErrors},
    encode::pattern::PatternEncoder,
};

/// Time, level and message; events start with their number.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)}Z {l} {m}{n}";

/// Logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The configuration of log4rs does not fit together.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// A logger was set before.
    #[error(transparent)]
    Set(#[from] log::SetLoggerError),
}

/// Sets up logging from this level on.
pub fn init(level: log::LevelFilter) -> Result<(), LoggingError> {
    let appender = ConsoleAppender::builder()
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .target(Target::Stderr)
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(appender)))
        .build(Root::builder().appender("console").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
