//! Startup of a process: command line, settings, logs, metrics, keys and signals.

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

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Settings and services that every process starts with.
#[derive(Debug)]
pub struct ProcessContext {
    /// Validated settings.
    pub settings: Settings,
    /// Connections to peers.
    pub link: Link,
    /// Shutdown phase of the process, advanced by signals.
    pub shutdown: Shutdown,
    /// Handle to the metrics recorder.
    pub metrics: Metrics,
    /// Key that authorizes operators.
    pub operator_key: OperatorKey,
}

/// Reads the command line and the settings, then calls `run` and waits for it to finish.
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
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if cli.check {
        return ExitCode::SUCCESS;
    }
    let result = match prepare(settings) {
        Ok(context) => run(context).await,
        Err(error) => Err(error),
    };
    match result {
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

/// Records a start or stop of the process in `timeline`.
pub fn record_lifecycle(timeline: &Timeline, settings: &Settings, detail: &str) {
    let subject = settings.host.to_string();
    timeline.record(clock::now(), EventKind::Lifecycle, subject, detail.to_owned());
}

/// Why a process failed to start or to continue.
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
