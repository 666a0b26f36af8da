//! The entry host: serves callers, admits and routes online calls, and owns shards of call records.

mod active_run;
mod admin;
mod app;
mod background;
mod call;
mod callers;
mod chat;
mod dispatch;
mod hosts;
mod orders;
mod peers;
mod pool;
mod server;
mod shards;

use std::{process::ExitCode, sync::Arc};

use oleander_host::admin::admin_routes;
use oleander_node::{ProcessContext, ProcessError, record_lifecycle};
use tokio::sync::mpsc;

use app::App;

/// Capacity of the queue of cancelled jobs that the batch hosts are not notified of yet.
const MAX_QUEUED_CANCELLATIONS: usize = 64;

#[tokio::main]
async fn main() -> ExitCode {
    oleander_node::run_process(run).await
}

async fn run(context: ProcessContext) -> Result<(), ProcessError> {
    let ProcessContext { settings, link, shutdown, metrics, operator_key } = context;
    let (cancel_sender, cancelled_jobs) = mpsc::channel(MAX_QUEUED_CANCELLATIONS);
    let app = Arc::new(App::new(settings, link, shutdown, cancel_sender));
    record_lifecycle(&app.timeline, &app.settings, "started");
    let _peers = peers::serve(&app)?;
    background::start(&app, cancelled_jobs);
    orders::start(&app);
    let admin = admin_routes(
        admin::EntryAdmin(Arc::clone(&app)),
        Arc::clone(&app.timeline),
        metrics,
        operator_key,
    );
    let routes = admin::routes(Arc::clone(&app));
    let _admin = admin.merge(routes).serve(app.settings.admin).await?;
    log::info!("host {} serves callers at {}", app.settings.host, app.settings.listen);
    let router = callers::router(Arc::clone(&app));
    server::serve(Arc::clone(&app), router).await?;
    record_lifecycle(&app.timeline, &app.settings, "stopped");
    log::info!("host {} has left", app.settings.host);
    Ok(())
}
