//! Discovery of announced jobs.

use std::{sync::Arc, time::Duration};

use oleander_core::{JobId, Span, Time};
use oleander_host::clock;
use oleander_intake::StoreError;
use oleander_jobs::{JobState, LotPlan, key};
use tokio::time;

use super::JobInfo;
use crate::app::App;

const SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Time by which scans overlap: covers clock differences between hosts, and the time between the
/// announcement of a job and its record.
pub(super) const SCAN_OVERLAP: Span = Span::from_secs(60);
/// Maximum age of a job that may still be open.
const MAX_JOB_AGE: Span = Span::from_secs(8 * 24 * 3600);
/// Time between two scans over [`MAX_JOB_AGE`].
const FULL_SCAN_INTERVAL: Span = Span::from_secs(600);
const PAGE_SIZE: usize = 1000;

pub(super) async fn run(app: Arc<App>) {
    let mut from = clock::now() - MAX_JOB_AGE;
    let mut full_scan_at = clock::now();
    loop {
        let now = clock::now();
        if now.since(full_scan_at) >= FULL_SCAN_INTERVAL {
            (from, full_scan_at) = (now - MAX_JOB_AGE, now);
        }
        match scan(&app, from).await {
            Ok(()) => from = now - SCAN_OVERLAP,
            Err(error) => log::warn!("scanning for jobs failed: {error}"),
        }
        time::sleep(SCAN_INTERVAL).await;
    }
}

/// Loads the jobs that were announced since `from`.
async fn scan(app: &App, from: Time) -> Result<(), StoreError> {
    let mut after = key::announcement_prefix(from);
    loop {
        let page = app.store.list(key::ANNOUNCEMENT_PREFIX, &after, PAGE_SIZE).await?;
        for found in page.objects.iter().filter_map(|row| key::parse_announcement(&row.key)) {
            if app.jobs.lock().is_new(&found) {
                load_job(app, &found.job).await?;
            }
        }
        match page.objects.last() {
            Some(last) if page.more => after = last.key.clone(),
            _ => return Ok(()),
        }
    }
}

async fn load_job(app: &App, job: &JobId) -> Result<(), StoreError> {
    let Some((_, record)) = app.store.job(job).await? else { return Ok(()) };
    if record.state != JobState::Open {
        app.jobs.lock().remove(clock::now(), job);
        return Ok(());
    }
    let name = key::file(&record.workspace, &record.file);
    let file = app.store.file(&record.workspace, &record.file).await?;
    let file = file.ok_or(StoreError::Missing(name))?;
    let plan = LotPlan::new(&file.chunks, record.lot_items);
    app.jobs.lock().add(clock::now(), JobInfo { record, file, plan });
    Ok(())
}
