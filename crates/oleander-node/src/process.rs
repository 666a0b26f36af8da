//! The start of a process: command line, settings, logs, metrics, keys and signals.

use std::{fmt, process::ExitCode};

use clap::Parser;
use oleander_core::EventKind;
use oleander_host::{
    AdminError, Cli, OperatorKey, OperatorKeyError, Settings, SettingsError, Shutdown, Timeline,
    clock,
    logs::{self, LogError},
    metrics::{Metrics, MetricsError},
};
use oleander_link::{Link, LinkError, LinkKey};

/// Exit code for settings that are not valid.
const EXIT_SETTINGS: u8 = 2;

/// What every process starts from.
#[derive(Debug)]
pub struct ProcessContext {
    /// Checked settings.
    pub settings: Settings,
    /// Calls to peers.
    pub link: Link,
    /// The phase of the process, driven by signals.
    pub shutdown: Shutdown,
    /// Recorder of metrics.
    pub metrics: Metrics,
    /// Key of the operators.
    pub operator_key: OperatorKey,
}

/// Reads the command line and the settings, and runs the process to its end.
pub async fn run_process<F, Fut>(run: F) -> ExitCode
where
    F: FnOnce(ProcessContext) -> Fut,
    Fut: Future<Output = Result<(), ProcessError>>,
{
    let cli = Cli::parse();
    let settings = match Settings::read(&cli.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}: {error}", cli.config.display());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if cli.check {
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

fn prepare(settings: Settings) -> Result<ProcessContext, ProcessError> {
    logs::init(&settings.log)?;
    let metrics = Metrics::install()?;
    tokio::spawn(metrics.clone().upkeep());
    let key = LinkKey::read(&settings.link_key_file)?;
    let operator_key = OperatorKey::read(&settings.operator_key_file)?;
    let link = Link::new(settings.host.clone(), key, clock::now);
    let shutdown = Shutdown::new();
    shutdown.handle_signals()?;
    Ok(ProcessContext { settings, link, shutdown, metrics, operator_key })
}

/// Records that the process started or stopped.
pub fn record_lifecycle(timeline: &Timeline, settings: &Settings, detail: &str) {
    let subject = settings.host.to_string();
    timeline.record(clock::now(), EventKind::Lifecycle, subject, detail.to_owned());
}

/// Why a process can't start or go on.
#[derive(Debug)]
pub struct ProcessError(String);

impl fmt::Display for ProcessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ProcessError {}

macro_rules! from_errors {
    ($($error:ty),+) => {
        $(
            impl From<$error> for ProcessError {
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
    OperatorKeyError,
    AdminError,
    SettingsError,
    std::io::Error
);
