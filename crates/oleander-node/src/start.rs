//! The start of a process: command line, settings, logs, metrics, keys and signals.

use std::{fmt, process::ExitCode};

use clap::Parser;
use oleander_core::EventKind;
use oleander_host::{
    AdminError, Command, Drain, KeyError, OperatorKey, Settings, SettingsError, Timeline, clock,
    logs::{self, LogError},
    metrics::{Metrics, MetricsError},
};
use oleander_link::{Link, LinkError, LinkKey};

/// Exit code for settings that are not valid.
const EXIT_SETTINGS: u8 = 2;

/// What every process starts from.
#[derive(Debug)]
pub struct Parts {
    /// Checked settings.
    pub settings: Settings,
    /// Calls to peers.
    pub link: Link,
    /// The phase of the process, driven by signals.
    pub drain: Drain,
    /// Recorder of metrics.
    pub metrics: Metrics,
    /// Key of the operators.
    pub operator_key: OperatorKey,
}

/// Reads the command line and the settings, and runs the process to its end.
pub async fn start<F, Fut>(run: F) -> ExitCode
where
    F: FnOnce(Parts) -> Fut,
    Fut: Future<Output = Result<(), StartError>>,
{
    let command = Command::parse();
    let settings = match Settings::read(&command.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}: {error}", command.config.display());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if command.check {
        return ExitCode::SUCCESS;
    }
    let ended = match prepare(settings) {
        Ok(parts) => run(parts).await,
        Err(error) => Err(error),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn prepare(settings: Settings) -> Result<Parts, StartError> {
    logs::init(&settings.log)?;
    let metrics = Metrics::install()?;
    tokio::spawn(metrics.clone().upkeep());
    let key = LinkKey::read(&settings.link_key_file)?;
    let operator_key = OperatorKey::read(&settings.operator_key_file)?;
    let link = Link::new(settings.host.clone(), key, clock::now);
    let drain = Drain::new();
    drain.listen()?;
    Ok(Parts { settings, link, drain, metrics, operator_key })
}

/// Records that the process started or stopped.
pub fn record_lifecycle(timeline: &Timeline, settings: &Settings, detail: &str) {
    let subject = settings.host.to_string();
    timeline.record(clock::now(), EventKind::Lifecycle, subject, detail.to_owned());
}

/// Why a process can't start or go on.
#[derive(Debug)]
pub struct StartError(String);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StartError {}

macro_rules! from_errors {
    ($($error:ty),+) => {
        $(
            impl From<$error> for StartError {
                fn from(error: $error) -> Self {
                    Self(error.to_string())
                }
            }
        )+
    };
}

from_errors!(
    LogError,
    MetricsError,
    LinkError,
    KeyError,
    AdminError,
    SettingsError,
    std::io::Error
);
