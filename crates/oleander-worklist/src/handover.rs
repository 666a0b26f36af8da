//! Hand-over of jobs when the process stops.

use std::sync::Arc;

use oleander_core::{JobId, Span, Time};
use oleander_host::clock;
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;
use tokio::{task::JoinSet, time};

use crate::{
    backoff::RETRY_DELAY,
    commit::COLLECT_TIME,
    index::next_owner,
    lease::RecordSource,
    manager::{JobManager, LoadedJob},
    record::JobRecord,
};

/// Maximum time that running items get to finish before this host stops.
const DRAIN_TIMEOUT: Span = Span::from_millis(4_500);
/// Time before the end of the process that is left for the last writes.
const RELEASE_MARGIN: Span = Span::from_millis(1_000);
/// Maximum number of jobs that are released at a time.
const MAX_RELEASES: usize = 4;

/// Whether a job has no running items or pending results.
fn is_idle(loaded: &LoadedJob) -> bool {
    let job = loaded.job.lock();
    job.running() == 0 && !job.has_pending()
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Releases each loaded open job once its running items have finished and their results are
    /// committed; those that remain after the drain timeout and twice `COLLECT_TIME` are released
    /// as they are, early enough to be written before `end`.
    ///
    /// A job without running items and pending results is released at once, as this host starts no
    /// more of its items.
    pub async fn hand_over(self: &Arc<Self>, end: Time) {
        self.drain();
        let collecting = Span::from(COLLECT_TIME + COLLECT_TIME);
        let latest = end - (collecting + RELEASE_MARGIN);
        let deadline = (clock::steady() + DRAIN_TIMEOUT).min(latest);
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
    pub(crate) async fn release_jobs(self: &Arc<Self>, all: bool) -> bool {
        let loaded: Vec<(JobId, Arc<LoadedJob>)> = self
            .loaded
            .lock()
            .iter()
            .map(|(id, loaded)| (id.clone(), Arc::clone(loaded)))
            .collect();
        let mut releases = JoinSet::new();
        for (id, loaded) in &loaded {
            if !all && !is_idle(loaded) {
                continue;
            }
            if releases.len() == MAX_RELEASES {
                releases.join_next().await;
            }
            let (manager, id) = (Arc::clone(self), id.clone());
            releases.spawn(async move { manager.release_job(&id).await });
        }
        while releases.join_next().await.is_some() {}
        loaded.iter().any(|(id, _)| self.is_owned(id))
    }

    /// Removes the owner from a job's record and notifies the next owner.
    async fn release_job(self: &Arc<Self>, id: &JobId) {
        let Some((revision, record)) = self.indexed(id) else { return };
        if !self.is_owner(&record) {
            return;
        }
        let released = JobRecord { owner: None, ..record };
        match self.store.replace(&released, revision).await {
            Ok(Some(at)) => {
                log::info!(job:% = id, revision = at.0; "job given away");
                self.apply_record(at, released, RecordSource::Write);
                if let Some(next) = next_owner(id, &self.cluster.successors()) {
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
