//! Setup of logging to standard error, a file or standard output.

use std::{fmt, io};

use log::LevelFilter;
use log4rs::{
    append::{
        Append,
        console::{ConsoleAppender, Target},
        file::FileAppender,
    },
    config::{Appender, Config, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

use crate::{log_queue::QueueAppender, settings::LogSettings};

/// Layout of a plain text log line.
const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.6f)(utc)} {l:5} {t} {m}{n}";

/// Why logging can't be set up.
#[derive(Debug)]
pub enum LogError {
    /// The log file can't be opened.
    Open(io::Error),
    /// The logger rejected its configuration, or a logger is already set.
    Setup(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Open(error) => write!(f, "can't open the log file: {error}"),
            Self::Setup(reason) => write!(f, "can't set up logging: {reason}"),
        }
    }
}

impl std::error::Error for LogError {}

/// Sets up the process-wide logger; call once per process.
///
/// # Errors
///
/// Returns an error if the log file can't be opened or a logger is already set.
pub fn init(settings: &LogSettings) -> Result<(), LogError> {
    let level = LevelFilter::from(settings.level);
    let appender = build_appender(settings)?;
    let config = Config::builder()
        .appender(Appender::builder().build("main", appender))
        .build(Root::builder().appender("main").build(level))
        .map_err(|e| LogError::Setup(e.to_string()))?;
    log4rs::init_config(config).map(|_| ()).map_err(|e| LogError::Setup(e.to_string()))
}

/// Sets up non-blocking logging of JSON lines to standard output; call once per process.
///
/// Lines that exceed the queue are dropped and counted.
///
/// # Errors
///
/// Returns an error if a logger is already set.
pub fn init_stdout(level: LevelFilter) -> Result<(), LogError> {
    let appender: Box<dyn Append> = Box::new(QueueAppender::start(Box::new(JsonEncoder::new())));
    let config = Config::builder()
        .appender(Appender::builder().build("main", appender))
        .build(Root::builder().appender("main").build(level))
        .map_err(|e| LogError::Setup(e.to_string()))?;
    log4rs::init_config(config).map(|_| ()).map_err(|e| LogError::Setup(e.to_string()))
}

fn build_appender(settings: &LogSettings) -> Result<Box<dyn Append>, LogError> {
    match &settings.file {
        Some(file) => {
            let file = FileAppender::builder().encoder(encoder(settings.json)).build(file);
            Ok(Box::new(file.map_err(LogError::Open)?))
        }
        None => {
            let console = ConsoleAppender::builder().target(Target::Stderr);
            Ok(Box::new(console.encoder(encoder(settings.json)).build()))
        }
    }
}

fn encoder(json: bool) -> Box<dyn Encode> {
    if json { Box::new(JsonEncoder::new()) } else { Box::new(PatternEncoder::new(LINE_PATTERN)) }
}
