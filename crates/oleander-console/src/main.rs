//! The operators' console process.

use std::{io::Write, path::PathBuf, process::ExitCode};

use clap::Parser;
use oleander_console::{Console, Settings, router};
use oleander_host::{OperatorKey, Shutdown, logs};
use oleanderctl::{AdminKey, Fleet};
use tokio::net::TcpListener;

/// Exit code if the settings, or the files they name, can't be used.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Serves a web form that edits the document.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Examples:
  oleander-console --config console.json
  oleander-console --config console.json --check"
)]
struct Cli {
    /// Settings file (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Check the settings file and exit: 0 if it is valid, 2 if not.
    #[arg(long)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let settings = match Settings::read(&cli.config) {
        Ok(settings) => settings,
        Err(error) => return report_error(&error, EXIT_BAD_SETTINGS),
    };
    if cli.check {
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logs::init(&settings.log) {
        return report_error(&error, EXIT_BAD_SETTINGS);
    }
    let console = match build_console(&settings) {
        Ok(console) => console,
        Err(error) => return report_error(&error, EXIT_BAD_SETTINGS),
    };
    match serve(&settings, console).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error, 1),
    }
}

fn build_console(settings: &Settings) -> Result<Console, StartError> {
    let key = OperatorKey::read(&settings.operator_key_file).map_err(StartError::Key)?;
    let admin_key = AdminKey::read(&settings.operator_key_file).map_err(StartError::AdminKey)?;
    let fleet = Fleet::new(&settings.admin, &admin_key).ok_or(StartError::NoAdmin)?;
    Ok(Console::new(fleet, key))
}

async fn serve(settings: &Settings, console: Console) -> std::io::Result<()> {
    let drain = Shutdown::new();
    drain.handle_signals()?;
    let listener = TcpListener::bind(settings.listen).await?;
    log::info!("listening on {}", settings.listen);
    let shutdown = async move { drain.started().await };
    axum::serve(listener, router(console)).with_graceful_shutdown(shutdown).await
}

/// Prints the error and returns the exit code.
fn report_error(error: &dyn std::error::Error, code: u8) -> ExitCode {
    let _ = writeln!(std::io::stderr().lock(), "oleander-console: {error}");
    ExitCode::from(code)
}

/// Why the console can't start.
#[derive(Debug)]
enum StartError {
    Key(oleander_host::OperatorKeyError),
    AdminKey(oleanderctl::KeyError),
    NoAdmin,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Key(error) => error.fmt(f),
            Self::AdminKey(error) => error.fmt(f),
            Self::NoAdmin => f.write_str("the settings list no admin listener"),
        }
    }
}

impl std::error::Error for StartError {}
