//! The batch process: claims lots of jobs and runs their items in the room that online leaves.

mod admin;
mod app;
mod dispatch;
mod follow;
mod jobs;
mod lots;
mod peers;
mod pool;
mod run;
mod runs;

use std::{process::ExitCode, sync::Arc, time::Duration};

use oleander_host::admin::admin_router;
use oleander_node::{Parts, StartError, record_lifecycle};
use tokio::sync::mpsc;

use app::App;

/// Cancelled jobs that wait to be told to peers.
const CANCELS: usize = 64;
/// Longest wait for lots to be given back.
const DRAIN_LIMIT: Duration = Duration::from_secs(8);

#[tokio::main]
async fn main() -> ExitCode {
    oleander_node::start(run).await
}

async fn run(parts: Parts) -> Result<(), StartError> {
    let Parts { settings, link, drain, metrics, operator_key } = parts;
    let app = Arc::new(App::new(settings, link, drain));
    record_lifecycle(&app.timeline, &app.settings, "started");
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
    let (sender, cancelled) = mpsc::channel(CANCELS);
    tokio::spawn(jobs::tell_cancels(Arc::clone(&app), cancelled));
    let routes =
        oleander_intake::admin_router_with_store(app.store.clone().notify_cancelled(sender));
    let _admin = admin.merge(routes).serve(app.settings.admin).await?;
    log::info!("host {} runs batch jobs", app.settings.host);
    app.drain.started().await;
    leave(&app).await;
    record_lifecycle(&app.timeline, &app.settings, "stopped");
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
