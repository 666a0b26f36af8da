//! Ownership of jobs: take-over.
//!
//! The owner of a job is a process, named by its host and start time, so that a restarted host does
//! not own the jobs of its earlier process. The owner runs the job's items, appends their results
//! to the job's log at the platform, and marks the job as done when all results are committed (see
//! [`commit`](crate::commit)). A process that stops removes itself from the records of its jobs (see
//! [`handover`](crate::handover)); the jobs of a failed process are taken over without that.
//!
//! Two conditional writes keep owners apart: [`JobStore::replace`](crate::store::JobStore::replace)
//! changes a record only at the expected revision, and
//! [`JobStore::append`](crate::store::JobStore::append) creates a segment only if there is none at
//! its index.

use std::{fmt, sync::Arc, time::Duration};

use oleander_core::{JobId, Revision};
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;
use tokio::time;

use crate::{
    lease::{RecordSource, StartLease},
    manager::JobManager,
    record::{JobRecord, Owner},
};

/// Time between two checks for jobs without a running owner process.
const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Delay after the start before jobs are taken over: the other hosts must be known first.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_200);
/// Maximum number of jobs taken over per check, so that a host that finds many, for example after
/// its start, isn't overloaded.
const MAX_TAKEOVERS: usize = 4;

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
            if self.is_served_by_others() {
                self.release_jobs(false).await;
                continue;
            }
            self.contact_owners();
            for (revision, record) in self.orphans() {
                let former = record.owner.clone();
                let taken = JobRecord { owner: Some(self.local.clone()), ..record };
                match self.store.replace(&taken, revision).await {
                    Ok(Some(at)) => {
                        log::info!(job:% = taken.job, former:? = former, revision = at.0;
                            "job taken over");
                        self.apply_record(at, taken, RecordSource::Write);
                    }
                    // The record has changed or been removed since it was indexed.
                    Ok(None) => {
                        self.refresh(&taken.job, RecordSource::Read).await;
                    }
                    Err(fault) => {
                        log::warn!(job:% = taken.job, error:% = fault;
                            "job was not taken over: its record can't be written");
                    }
                }
            }
        }
    }

    /// Whether this host reaches no target and others do, which then run its jobs.
    fn is_served_by_others(&self) -> bool {
        let serving = self.cluster.serving_hosts();
        let others_serve = !serving.is_empty() && !serving.contains(&self.local.host);
        self.relay.pools.is_disconnected() && others_serve
    }

    /// Reads a record again that may have changed; returns whether it could be read.
    pub(crate) async fn refresh(self: &Arc<Self>, job: &JobId, source: RecordSource) -> bool {
        match self.store.record(job).await {
            Ok(Some((revision, record))) => {
                log::info!(job:% = job, owner:? = record.owner, revision = revision.0;
                    "job has changed meanwhile");
                self.apply_record(revision, record, source);
            }
            Ok(None) => self.remove_job(job),
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

    /// Contacts the owners of open jobs that nobody has seen run, so that those of hosts that are gone
    /// are known as orphans.
    fn contact_owners(&self) {
        let index = self.index.lock();
        let owners = index.owners();
        self.cluster.contact(owners.iter());
    }

    /// Open jobs without a running owner process that this host takes over next, up to
    /// [`MAX_TAKEOVERS`].
    fn orphans(&self) -> Vec<(Revision, JobRecord)> {
        let live = self.cluster.successors();
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
            if let Some(loaded) = manager.load(record).await
                && manager.is_owned(&job)
            {
                manager.start_job(loaded, StartLease::default());
            }
            manager.starting.lock().remove(&job);
            manager.load_if_owned(&job);
            manager.wake.notify_one();
        });
    }

    /// Whether this process owns a job and the job is open.
    pub(crate) fn is_owned(&self, job: &JobId) -> bool {
        self.indexed(job).is_some_and(|(_, record)| self.is_owner(&record))
    }

    /// Writer of a segment: this process and a label of the write.
    ///
    /// The labels of two different segments that a process tries to append at the same index of a
    /// job's log differ.
    pub(crate) fn writer(&self, write: impl fmt::Display) -> String {
        format!("{}@{}:{write}", self.local.host, self.local.started)
    }
}
