//! Commit of results and completion of jobs.
//!
//! Results are appended to the job's log at the platform; only committed results are returned to
//! callers. A result that the platform rejects for good holds up no others. A job that is open past its due time is late, which is only logged; once its retention
//! is over, it is expired and its waiting items fail.

use std::{sync::Arc, time::Duration};

use oleander_core::{JobId, Span, Time};
use oleander_platform::{ObjectStore, PlatformError, StoreError};
use oleander_relay::TargetTransport;
use tokio::time;

use crate::{
    backoff::{Backoff, RETRY_DELAY},
    job::Job,
    lease::{RecordSource, StartLease},
    manager::{JobManager, LoadedJob},
    record::{JobPhase, JobRecord, Segment},
};

/// Time for which results are collected into one segment while more items of the job run.
pub(crate) const COLLECT_TIME: Duration = Duration::from_millis(800);
/// Wait for a finished item after which an open job is checked again for lateness and expiry.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two warnings about a late job.
const LATE_WARNING_INTERVAL: Span = Span::from_secs(5);

/// What became of the next segment of a job's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Appended {
    /// A segment is stored at its index and applied.
    Stored,
    /// The platform rejects these results for good; others are written next.
    Rejected,
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Adds a job to the loaded ones and starts to run it.
    pub(crate) fn start_job(self: &Arc<Self>, job: Job, lease: StartLease) {
        let id = job.record.job.clone();
        let loaded = LoadedJob::new(job, lease);
        self.loaded.lock().insert(id.clone(), Arc::clone(&loaded));
        self.stop_unless_owned(&id);
        self.wake.notify_one();
        let manager = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                let (manager, id) = (Arc::clone(&manager), id.clone());
                let commit = tokio::spawn(manager.commit_results(id.clone(), Arc::clone(&loaded)));
                let Err(error) = commit.await else { return };
                log::error!(job:% = id, error:% = error; "commit of results panicked; repeated");
                time::sleep(RETRY_DELAY).await;
            }
        });
    }

    /// Commits results to the log until the job is done or stopped; also fails the waiting items of
    /// an expired job and warns about a late one.
    async fn commit_results(self: Arc<Self>, id: JobId, loaded: Arc<LoadedJob>) {
        let mut writes = 0_u64;
        let mut backoff = Backoff::default();
        let mut last_warning = None;
        while !loaded.is_stopped() {
            loaded.job.lock().expire(Self::wall_now());
            warn_if_late(&loaded.job.lock(), Self::wall_now(), &mut last_warning);
            if loaded.job.lock().is_complete() {
                if self.mark_done(&id).await {
                    return;
                }
                backoff.wait().await;
                continue;
            }
            if !loaded.job.lock().has_pending() {
                // Wakes when an item finishes, or when the expiry is to be checked again.
                let _ = time::timeout(EXPIRY_CHECK_INTERVAL, loaded.finished.notified()).await;
                if loaded.job.lock().running() > 0 {
                    time::sleep(COLLECT_TIME).await;
                }
                continue;
            }
            writes += 1;
            match self.append_results(&id, &loaded, writes).await {
                Ok(Appended::Stored) => backoff.reset(),
                Ok(Appended::Rejected) => backoff.wait().await,
                Err(fault) => {
                    log::warn!(job:% = id, error:% = fault; "results can't be listed");
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Appends the pending results as the next segment and applies the segment stored there.
    async fn append_results(
        self: &Arc<Self>,
        id: &JobId,
        loaded: &LoadedJob,
        write: u64,
    ) -> Result<Appended, StoreError> {
        let (index, results) = {
            let job = loaded.job.lock();
            (job.segments(), job.pending_results())
        };
        let segment = Segment { writer: self.writer(write), results };
        let stored = match self.store.append(id, index, &segment).await {
            Ok(stored) => stored,
            Err(StoreError::Platform(PlatformError::Rejected(reason))) => {
                log::error!(job:% = id, segment = index, results = segment.results.len(),
                    reason:% = reason; "results are rejected by the platform");
                metrics::counter!("results_rejected_total").increment(1);
                loaded.job.lock().reject(&segment.results);
                // An item whose output is dropped runs again.
                self.wake.notify_one();
                return Ok(Appended::Rejected);
            }
            Err(fault) => return Err(fault),
        };
        let is_own = stored.writer == segment.writer;
        if !is_own {
            log::info!(job:% = id, segment = index, writer:% = stored.writer;
                "another host wrote to the job's results first");
        }
        loaded.job.lock().apply(stored);
        if !is_own {
            // The other writer may have taken the job over; nothing more is committed until the
            // job's record has been read.
            while !self.refresh(id, RecordSource::Read).await {
                time::sleep(RETRY_DELAY).await;
            }
        }
        loaded.committed.notify_waiters();
        Ok(Appended::Stored)
    }

    /// Marks a job as done; `true` if it is, or if this process no longer owns it.
    async fn mark_done(self: &Arc<Self>, id: &JobId) -> bool {
        let Some((revision, record)) = self.indexed(id) else { return true };
        if !self.is_owner(&record) {
            return true;
        }
        let done = JobRecord { phase: JobPhase::Done, ..record };
        match self.store.replace(&done, revision).await {
            Ok(Some(at)) => {
                log::info!(job:% = id, revision = at.0; "job done");
                self.apply_record(at, done, RecordSource::Write);
                true
            }
            Ok(None) => {
                self.refresh(id, RecordSource::Read).await;
                false
            }
            Err(fault) => {
                log::warn!(job:% = id, error:% = fault;
                    "job was not marked as done; will retry");
                false
            }
        }
    }
}

/// Logs a job that is open past its due time, at most once per interval.
fn warn_if_late(job: &Job, wall_now: Time, last_warning: &mut Option<Time>) {
    let record = &job.record;
    if wall_now < record.due_at()
        || last_warning.is_some_and(|last| wall_now.since(last) < LATE_WARNING_INTERVAL)
    {
        return;
    }
    *last_warning = Some(wall_now);
    log::warn!(job:% = record.job, route:% = record.route, accepted = record.accepted.0,
        due = record.due_at().0, items:% = job.status_summary(); "job is late");
}
