use std::fmt;

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

use crate::prelude::*;

/// Why logging could not start.
#[value]
#[derive(Copy)]
pub enum LogsError {
    /// The configuration was refused.
    Configuration,
    /// A logger was installed before.
    AlreadyStarted,
}

impl fmt::Display for LogsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogsError::Configuration => f.write_str("the logger refused its configuration"),
            LogsError::AlreadyStarted => f.write_str("a logger is installed already"),
        }
    }
}

impl std::error::Error for LogsError {}

/// Writes every record of `level` or above to standard error, one JSON object a line.
pub fn start_logs(level: &str) -> Result<(), LogsError> {
    let filter = level.parse().unwrap_or(LevelFilter::Info);
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(filter))
        .map_err(|_| LogsError::Configuration)?;
    log4rs::init_config(config).map(drop).map_err(|_| LogsError::AlreadyStarted)
}
