//! Completion of jobs: publication of closed lots, and checks whether all lots are closed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_core::EventKind;
use oleander_host::clock;
use oleander_intake::StoreError;
use oleander_jobs::{Counts, JobState, key};
use tokio::time;

use super::JobInfo;
use crate::{app::App, runs::LotId};

const COMPLETION_CHECK_INTERVAL: Duration = Duration::from_secs(5);
const PUBLISH_RETRY_DELAY: Duration = Duration::from_secs(1);

impl App {
    /// Publishes the counts of a closed lot, and completes the job if it was the last one.
    pub(crate) async fn publish_closed(&self, id: &LotId, counts: Counts) {
        let name = key::closed_lot(&id.job, id.index, counts);
        while let Err(error) = self.store.create(&name, Bytes::new()).await {
            log::warn!("object {name} was not written: {error}");
            time::sleep(PUBLISH_RETRY_DELAY).await;
        }
        let Some(info) = self.jobs.lock().get(&id.job) else { return };
        if let Err(error) = check_completion(self, &info).await {
            log::warn!("job {} can't be checked: {error}", id.job);
        }
    }
}

/// Checks the jobs that this host coordinates, and removes others that it has no lots of.
pub(super) async fn run(app: Arc<App>) {
    loop {
        time::sleep(COMPLETION_CHECK_INTERVAL).await;
        let open: Vec<Arc<JobInfo>> = app.jobs.lock().open.values().cloned().collect();
        for info in open {
            let job = &info.record.job;
            let (coordinator, idle) = {
                let jobs = app.jobs.lock();
                (jobs.scheduler.is_coordinator(job), jobs.scheduler.is_idle(job))
            };
            if !coordinator && idle {
                app.jobs.lock().remove(clock::now(), job);
            } else if coordinator && let Err(error) = check_completion(&app, &info).await {
                log::warn!("job {job} can't be checked: {error}");
            }
        }
    }
}

/// Records which lots are closed, and completes the job if all are; false if it has ended.
pub(super) async fn check_completion(app: &App, info: &JobInfo) -> Result<bool, StoreError> {
    let job = &info.record.job;
    let asked = clock::since_boot();
    let closed = app.store.closed_lots(job).await?;
    {
        let mut jobs = app.jobs.lock();
        closed.lots.iter().for_each(|lot| jobs.scheduler.record_closed(job, *lot));
    }
    let record = if closed.lots.len() as u32 >= info.record.lots {
        app.store.complete(job, closed.counts, clock::now()).await?
    } else {
        app.store.job(job).await?.map(|(_, record)| record)
    };
    let Some(record) = record else { return Ok(true) };
    if record.state == JobState::Open {
        app.jobs.lock().confirm_open(job, asked);
        return Ok(true);
    }
    app.record_event(EventKind::Finished, job, format!("job {}", record.state));
    app.jobs.lock().remove(clock::now(), job);
    Ok(false)
}
