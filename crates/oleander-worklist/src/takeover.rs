//! Ownership of jobs: take-over, loading, committing results, completion and hand-over.
//!
//! The owner of a job is a process, named by its host and start time, so that a restarted host does
//! not own the jobs of its earlier process. The owner runs the job's items, appends their results
//! to the job's log at the platform, and marks the job as done when all results are committed. A
//! job that is open past its due time is late, which is only logged; once its retention is over, it
//! is expired and its waiting items fail. A process that stops removes itself from the records of
//! its jobs; the jobs of a failed process are taken over without that.
//!
//! Two conditional writes keep owners apart: [`JobStore::replace`](crate::store::JobStore::replace)
//! changes a record only at the expected revision, and
//! [`JobStore::append`](crate::store::JobStore::append) creates a segment only if there is none at
//! its index.

use std::{fmt, sync::Arc, time::Duration};

use oleander_core::{JobId, Revision, Span, Time};
use oleander_host::clock;
use oleander_platform::{ObjectStore, StoreError};
use oleander_relay::TargetTransport;
use tokio::time;

use crate::{
    index::next_owner,
    job::Job,
    manager::{JobManager, LoadedJob},
    record::{JobPhase, JobRecord, Owner, Segment},
};

/// Time between two checks for jobs without a running owner process.
const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Delay after the start before jobs are taken over: the other hosts must be known first.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_200);
/// Maximum number of jobs taken over per check, so that a host that finds many, for example after
/// its start, isn't overloaded.
const MAX_TAKEOVERS: usize = 4;
/// Time for which results are collected into one segment while more items of the job run.
const COLLECT_TIME: Duration = Duration::from_millis(800);
/// Wait for a finished item after which an open job is checked again for lateness and expiry.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two warnings about a late job.
const LATE_WARNING_INTERVAL: Span = Span::from_secs(5);
/// Delay before a failed call to the platform is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time that running items get to finish before this host stops.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(4_500);

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Takes over jobs without a running owner process; never returns.
    ///
    /// Each host takes only the jobs whose next owner it is by `next_owner`. If hosts disagree on
    /// the live hosts and several try, one of them replaces the record and the others find that its
    /// revision has changed.
    pub async fn take_over(self: Arc<Self>) {
        time::sleep(TAKEOVER_DELAY).await;
        loop {
            time::sleep(ORPHAN_CHECK_INTERVAL).await;
            if !self.is_ready() || self.is_draining() {
                continue;
            }
            for (revision, record) in self.orphans() {
                let former = record.owner.clone();
                let taken = JobRecord { owner: Some(self.local.clone()), ..record };
                match self.store.replace(&taken, revision).await {
                    Ok(Some(at)) => {
                        log::info!(job:% = taken.job, former:? = former, revision = at.0;
                            "job taken over");
                        self.apply_record(at, taken);
                    }
                    // The record has changed or been removed since it was indexed.
                    Ok(None) => {
                        self.refresh(&taken.job).await;
                    }
                    Err(fault) => {
                        log::warn!(job:% = taken.job, error:% = fault;
                            "job was not taken over: its record can't be written");
                    }
                }
            }
        }
    }

    /// Reads a record again that may have changed; returns whether it could be read.
    pub(crate) async fn refresh(self: &Arc<Self>, job: &JobId) -> bool {
        match self.store.record(job).await {
            Ok(Some((revision, record))) => {
                log::info!(job:% = job, owner:? = record.owner, revision = revision.0;
                    "job has changed meanwhile");
                self.apply_record(revision, record);
            }
            Ok(None) => log::info!(job:% = job; "job has been removed"),
            Err(fault) => {
                log::warn!(job:% = job, error:% = fault; "job record can't be read");
                return false;
            }
        }
        true
    }

    /// Loads a job if this process owns it.
    pub(crate) fn load_if_owned(self: &Arc<Self>, job: &JobId) {
        if let Some((_, record)) = self.indexed(job).filter(|_| self.is_owned(job)) {
            self.spawn_load(record);
        }
    }

    /// Open jobs without a running owner process that this host takes over next, up to
    /// [`MAX_TAKEOVERS`].
    fn orphans(&self) -> Vec<(Revision, JobRecord)> {
        let live = self.cluster.live_entry_hosts();
        let index = self.index.lock();
        let is_gone = |owner: &Owner| {
            let liveness = self.cluster.liveness(&owner.host, owner.started);
            liveness == oleander_cluster::Liveness::Ended
        };
        index.orphans(&self.local, &live, is_gone).take(MAX_TAKEOVERS).cloned().collect()
    }

    /// Loads and starts a job in a new task, unless that was done or is in progress.
    pub(crate) fn spawn_load(self: &Arc<Self>, record: JobRecord) {
        let job = record.job.clone();
        if self.loaded.lock().contains_key(&job) || !self.starting.lock().insert(job.clone()) {
            return;
        }
        let manager = Arc::clone(self);
        tokio::spawn(async move {
            while manager.is_owned(&job) {
                match manager.load(record.clone()).await {
                    Ok(loaded) => {
                        if manager.is_owned(&job) {
                            manager.start_job(loaded);
                        }
                        break;
                    }
                    Err(fault) => log::warn!(job:% = job, error:% = fault; "job load failed"),
                }
                time::sleep(RETRY_DELAY).await;
            }
            manager.starting.lock().remove(&job);
            manager.load_if_owned(&job);
            manager.wake.notify_one();
        });
    }

    /// Whether this process owns a job and the job is open.
    fn is_owned(&self, job: &JobId) -> bool {
        let record = self.indexed(job).map(|(_, record)| record);
        record.is_some_and(|record| {
            record.owner.as_ref() == Some(&self.local) && record.phase == JobPhase::Open
        })
    }

    /// Loads a job with its results, and fences off its former owner.
    ///
    /// The fence is an empty segment appended to the log. A former owner that still runs, for
    /// example after a pause or a network partition, finds it at the index of its next segment,
    /// reads the record and stops the job. It commits no result after the fence, so it returns none
    /// to callers that this process doesn't know.
    async fn load(&self, record: JobRecord) -> Result<Job, StoreError> {
        let items = self.store.items(&record).await?;
        let id = record.job.clone();
        let mut job = Job::new(record, items, &self.config.id_header);
        while let Some(segment) = self.store.segment(&id, job.segments()).await? {
            job.apply(segment);
        }
        let fence = Segment { writer: self.writer("load"), results: Vec::new() };
        loop {
            let stored = self.store.append(&id, job.segments(), &fence).await?;
            let is_own = stored.writer == fence.writer;
            job.apply(stored);
            if is_own {
                return Ok(job);
            }
        }
    }

    /// Writer of a segment: this process and a label of the write.
    ///
    /// The labels of two different segments that a process tries to append at the same index of a
    /// job's log differ.
    fn writer(&self, write: impl fmt::Display) -> String {
        format!("{}@{}:{write}", self.local.host, self.local.started)
    }

    /// Adds a job to the loaded ones and starts to run it.
    pub(crate) fn start_job(self: &Arc<Self>, job: Job) {
        let id = job.record.job.clone();
        let loaded = LoadedJob::new(job);
        self.loaded.lock().insert(id.clone(), Arc::clone(&loaded));
        self.stop_unless_owned(&id);
        self.wake.notify_one();
        let manager = Arc::clone(self);
        tokio::spawn(async move { manager.commit_results(id, loaded).await });
    }

    /// Commits results to the log until the job is done or stopped; also fails the waiting items of
    /// an expired job and warns about a late one.
    async fn commit_results(self: Arc<Self>, id: JobId, loaded: Arc<LoadedJob>) {
        let mut writes = 0_u64;
        let mut last_warning = None;
        while !loaded.is_stopped() {
            loaded.job.lock().expire(Self::wall_now());
            warn_if_late(&loaded.job.lock(), Self::wall_now(), &mut last_warning);
            if loaded.job.lock().is_complete() {
                if self.mark_done(&id).await {
                    return;
                }
                time::sleep(RETRY_DELAY).await;
                continue;
            }
            if loaded.job.lock().pending_results().is_empty() {
                // Wakes when an item finishes, or when the expiry is to be checked again.
                let _ = time::timeout(EXPIRY_CHECK_INTERVAL, loaded.finished.notified()).await;
                if loaded.job.lock().running() > 0 {
                    time::sleep(COLLECT_TIME).await;
                }
                continue;
            }
            writes += 1;
            if let Err(fault) = self.append_results(&id, &loaded, writes).await {
                log::warn!(job:% = id, error:% = fault; "results can't be listed");
                time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Appends the pending results as the next segment and applies the segment stored there.
    async fn append_results(
        self: &Arc<Self>,
        id: &JobId,
        loaded: &LoadedJob,
        write: u64,
    ) -> Result<(), StoreError> {
        let (index, results) = {
            let job = loaded.job.lock();
            (job.segments(), job.pending_results())
        };
        let segment = Segment { writer: self.writer(write), results };
        let stored = self.store.append(id, index, &segment).await?;
        let is_own = stored.writer == segment.writer;
        if !is_own {
            log::info!(job:% = id, segment = index, writer:% = stored.writer;
                "another host wrote to the job's results first");
        }
        loaded.job.lock().apply(stored);
        if !is_own {
            // The other writer may have taken the job over; nothing more is committed until the
            // job's record has been read.
            while !self.refresh(id).await {
                time::sleep(RETRY_DELAY).await;
            }
        }
        loaded.committed.notify_waiters();
        Ok(())
    }

    /// Marks a job as done; `true` if it is, or if this process no longer owns it.
    async fn mark_done(self: &Arc<Self>, id: &JobId) -> bool {
        let Some((revision, record)) = self.indexed(id) else { return true };
        if record.phase != JobPhase::Open || record.owner.as_ref() != Some(&self.local) {
            return true;
        }
        let done = JobRecord { phase: JobPhase::Done, ..record };
        match self.store.replace(&done, revision).await {
            Ok(Some(at)) => {
                log::info!(job:% = id, revision = at.0; "job done");
                self.apply_record(at, done);
                true
            }
            Ok(None) => {
                self.refresh(id).await;
                false
            }
            Err(fault) => {
                log::warn!(job:% = id, error:% = fault;
                    "job was not marked as done; will retry");
                false
            }
        }
    }

    /// Releases each loaded open job once its running items have finished and their results are
    /// committed; those that remain after the drain timeout and twice `COLLECT_TIME` are released
    /// as they are.
    ///
    /// A job without running items and pending results is released at once, as this host starts no
    /// more of its items.
    pub async fn hand_over(self: &Arc<Self>) {
        self.drain();
        let deadline = clock::steady() + DRAIN_TIMEOUT.into();
        while clock::steady() < deadline && self.release_jobs(false).await {
            time::sleep(RETRY_DELAY).await;
        }
        // A result that came in just before the timeout may be collected for `COLLECT_TIME` first;
        // as much again is left for the write.
        time::sleep(COLLECT_TIME + COLLECT_TIME).await;
        self.release_jobs(true).await;
    }

    /// Releases the loaded jobs that have no running items or pending results, or `all` loaded
    /// ones; returns whether this process still owns any of them.
    async fn release_jobs(self: &Arc<Self>, all: bool) -> bool {
        let loaded: Vec<(JobId, Arc<LoadedJob>)> = self
            .loaded
            .lock()
            .iter()
            .map(|(id, loaded)| (id.clone(), Arc::clone(loaded)))
            .collect();
        let mut owns_any = false;
        for (id, loaded) in loaded {
            let is_idle = {
                let job = loaded.job.lock();
                job.running() == 0 && job.pending_results().is_empty()
            };
            if all || is_idle {
                self.release_job(&id).await;
            }
            owns_any |= self.is_owned(&id);
        }
        owns_any
    }

    /// Removes the owner from a job's record and notifies the next owner.
    async fn release_job(self: &Arc<Self>, id: &JobId) {
        let Some((revision, record)) = self.indexed(id) else { return };
        if record.phase != JobPhase::Open || record.owner.as_ref() != Some(&self.local) {
            return;
        }
        let released = JobRecord { owner: None, ..record };
        match self.store.replace(&released, revision).await {
            Ok(Some(at)) => {
                log::info!(job:% = id, revision = at.0; "job given away");
                self.apply_record(at, released);
                if let Some(next) = next_owner(id, &self.cluster.live_entry_hosts()) {
                    self.notify_changed(next.clone(), id.clone());
                }
            }
            // If this process still owns the job and it isn't released later, the next owner takes
            // it over once this process has stopped.
            Ok(None) => log::info!(job:% = id; "job was not released: its record has changed"),
            Err(fault) => log::warn!(job:% = id, error:% = fault; "job was not released"),
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
