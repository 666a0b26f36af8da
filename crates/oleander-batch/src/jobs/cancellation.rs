//! Cancellation of jobs: notices to and from peers, and polls in case a notice is lost.
//!
//! A poll also renews the permission to start items of the job; see
//! [`StartLeases`](oleander_jobs::StartLeases).

use std::{sync::Arc, time::Duration};

use oleander_core::{EventKind, JobId};
use oleander_host::clock;
use oleander_jobs::{JobState, LotEvent};
use oleander_peer::PeerRequest;
use tokio::{sync::mpsc, task::JoinSet, time};

use crate::app::App;

/// Time between two polls; permits to start items last longer.
const CANCELLATION_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time for a peer to reply to the notice of a cancellation.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

impl App {
    /// Removes a job that has ended and releases its lots.
    pub(crate) fn stop_job(self: &Arc<Self>, job: &JobId) {
        self.jobs.lock().remove(clock::now(), job);
        let lots = self.open_lots().into_iter().filter(|lot| lot.id.job == *job);
        for lot in lots {
            self.record_event(EventKind::Cancelled, job, format!("lot {} stopped", lot.id.index));
            self.handle_event(&lot, LotEvent::Release);
        }
    }
}

/// Polls the records of jobs with open lots, since the notice of a cancellation may be lost.
pub(super) async fn run(app: Arc<App>) {
    loop {
        let mut jobs: Vec<JobId> = app.open_lots().iter().map(|lot| lot.id.job.clone()).collect();
        jobs.sort();
        jobs.dedup();
        let mut polls = JoinSet::new();
        for job in jobs {
            polls.spawn(poll(Arc::clone(&app), job));
        }
        polls.join_all().await;
        time::sleep(CANCELLATION_POLL_INTERVAL).await;
    }
}

/// Reads the record of a job: stops the job if it has ended, or else lets its items start.
async fn poll(app: Arc<App>, job: JobId) {
    let asked = clock::since_boot();
    match app.store.job(&job).await {
        Ok(Some((_, record))) if record.state == JobState::Open => {
            app.jobs.lock().confirm_open(&job, asked);
            app.wake.notify_one();
        }
        Ok(Some(_)) => app.stop_job(&job),
        Ok(None) => log::warn!("job {job} has no record; its items don't start"),
        Err(error) => {
            metrics::counter!("oleander_batch_unread_jobs_total").increment(1);
            log::warn!("job {job} can't be read, its items soon don't start: {error}");
        }
    }
}

/// Stops jobs that were cancelled through this host, and notifies all peers.
pub(crate) async fn forward_cancellations(
    app: Arc<App>,
    mut cancelled_jobs: mpsc::Receiver<JobId>,
) {
    while let Some(job) = cancelled_jobs.recv().await {
        app.stop_job(&job);
        for link in app.peers.lock().links() {
            let (app, request) = (Arc::clone(&app), PeerRequest::Cancelled(job.clone()));
            tokio::spawn(async move { app.call_peer(&link, &request, NOTIFY_TIMEOUT).await });
        }
    }
}
