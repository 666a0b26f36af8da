//! The batch process: claims lots of jobs and runs their items in the room that online leaves.

mod admin;
mod app;
mod dispatch;
mod documents;
mod follow;
mod jobs;
mod lots;
mod peers;
mod pool;
mod run;
mod runs;

use std::{fmt, process::ExitCode, sync::Arc, time::Duration};

use clap::Parser;
use oleander_core::EventKind;
use oleander_host::{
    AdminError, Command, Drain, KeyError, OperatorKey, Settings, SettingsError,
    admin::admin_router,
    clock,
    logs::{self, LogError},
    metrics::{Metrics, MetricsError},
};
use oleander_link::{Link, LinkError, LinkKey};

use app::App;

/// Exit code for settings that are not valid.
const EXIT_SETTINGS: u8 = 2;
/// Longest wait for lots to be given back.
const DRAIN_LIMIT: Duration = Duration::from_secs(8);

#[tokio::main]
async fn main() -> ExitCode {
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
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> Result<(), StartError> {
    logs::init(&settings.log)?;
    let metrics = Metrics::install()?;
    tokio::spawn(metrics.clone().upkeep());
    let key = LinkKey::read(&settings.link_key_file)?;
    let operator_key = OperatorKey::read(&settings.operator_key_file)?;
    let link = Link::new(settings.host.clone(), key, clock::now);
    let drain = Drain::new();
    drain.listen().map_err(|e| StartError(e.to_string()))?;
    let app = Arc::new(App::new(settings, link, drain));
    record_lifecycle(&app, "started");
    let _peers = peers::serve(&app)?;
    follow::start(&app);
    jobs::start(&app);
    dispatch::start(&app);
    let admin = admin_router(
        admin::BatchAdmin(Arc::clone(&app)),
        Arc::clone(&app.timeline),
        metrics,
        operator_key,
    );
    let routes = oleander_intake::admin_router(app.platform.clone());
    let _admin = admin.merge(routes).serve(app.settings.admin).await?;
    log::info!("host {} runs batch jobs", app.settings.host);
    app.drain.started().await;
    leave(&app).await;
    record_lifecycle(&app, "stopped");
    log::info!("host {} has left", app.settings.host);
    Ok(())
}

/// Gives all lots back, as far as the platform takes it in time.
async fn leave(app: &Arc<App>) {
    app.release_lots();
    tokio::select! {
        () = app.lots_gone() => {}
        () = app.drain.stopped() => {}
        () = tokio::time::sleep(DRAIN_LIMIT) => log::warn!("some lots could not be given back"),
    }
}

fn record_lifecycle(app: &App, detail: &str) {
    let subject = app.settings.host.to_string();
    app.timeline.record(clock::now(), EventKind::Lifecycle, subject, detail.to_owned());
}

/// Why the process can't start.
#[derive(Debug)]
struct StartError(String);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

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

from_errors!(LogError, MetricsError, LinkError, KeyError, AdminError, SettingsError);
