//! The batch host: claims lots of jobs and runs their items in the capacity that online calls
//! leave.

mod admin;
mod app;
mod background;
mod dispatch;
mod jobs;
mod lots;
mod peers;
mod pool;
mod run;
mod runs;

use std::{process::ExitCode, sync::Arc, time::Duration};

use oleander_host::admin::admin_routes;
use oleander_node::{ProcessContext, ProcessError, record_lifecycle};
use tokio::sync::mpsc;

use app::App;

/// Capacity of the queue of cancelled jobs that the peers are not notified of yet.
const MAX_QUEUED_CANCELLATIONS: usize = 64;
/// Maximum time to release all lots.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(8);

#[tokio::main]
async fn main() -> ExitCode {
    oleander_node::run_process(run).await
}

async fn run(context: ProcessContext) -> Result<(), ProcessError> {
    let ProcessContext { settings, link, shutdown, metrics, operator_key } = context;
    let app = Arc::new(App::new(settings, link, shutdown));
    record_lifecycle(&app.timeline, &app.settings, "started");
    let _peers = peers::serve(&app)?;
    background::start(&app);
    jobs::start(&app);
    dispatch::start(&app);
    let admin = admin_routes(
        admin::BatchAdmin(Arc::clone(&app)),
        Arc::clone(&app.timeline),
        metrics,
        operator_key,
    );
    let (cancel_sender, cancelled_jobs) = mpsc::channel(MAX_QUEUED_CANCELLATIONS);
    tokio::spawn(jobs::forward_cancellations(Arc::clone(&app), cancelled_jobs));
    let routes =
        oleander_intake::admin_router_with_store(app.store.clone().notify_cancelled(cancel_sender));
    let _admin = admin.merge(routes).serve(app.settings.admin).await?;
    log::info!("host {} runs batch jobs", app.settings.host);
    app.shutdown.started().await;
    drain_lots(&app).await;
    record_lifecycle(&app.timeline, &app.settings, "stopped");
    log::info!("host {} has left", app.settings.host);
    Ok(())
}

/// Releases all lots; gives up after [`DRAIN_TIMEOUT`], or earlier if the process must end.
async fn drain_lots(app: &Arc<App>) {
    app.release_lots();
    tokio::select! {
        () = app.wait_for_release() => {}
        () = app.shutdown.stopped() => {}
        () = tokio::time::sleep(DRAIN_TIMEOUT) => log::warn!("some lots were not released in time"),
    }
}
