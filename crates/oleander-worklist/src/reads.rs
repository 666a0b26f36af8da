//! Reads of results and request bodies: from memory, from the owner or from the platform.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_cluster::{Handler, Liveness};
use oleander_core::{HostId, JobId, Span};
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;
use tokio::time;

use crate::{
    job::result_page,
    manager::{JobManager, StateUnknown},
    message::{JobRequest, JobResponse, Results},
    record::{ItemResult, JobPhase, JobRecord, Segment},
};

/// Timeout for a call to the owner, on top of the wait that a reader asked for.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum wait of one read.
const MAX_READ_WAIT: Span = Span::from_secs(1);

/// The part of a job's log that was read from the platform.
///
/// Segments never change, so the next read continues after the last one.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoredResults {
    segments: u64,
    results: Vec<Arc<ItemResult>>,
}

impl StoredResults {
    /// Adds the next segment; the first result of each item counts.
    fn apply(&mut self, segment: Segment) {
        self.segments += 1;
        for result in segment.results {
            if !self.results.iter().any(|known| known.item == result.item) {
                self.results.push(Arc::new(result));
            }
        }
    }
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Reads a page of results from position `after` on, and waits up to `wait` if there are none
    /// yet; `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns [`StateUnknown`] if neither the owner nor the platform answers.
    pub async fn read_results(
        self: &Arc<Self>,
        job: &JobId,
        after: usize,
        wait: Span,
    ) -> Result<Option<Results>, StateUnknown> {
        let wait = wait.min(MAX_READ_WAIT);
        let Some((_, record)) = self.record(job).await? else { return Ok(None) };
        if let Some(results) = self.read_loaded(job, after, wait).await {
            return Ok(Some(results));
        }
        let request = JobRequest::Read { job: job.clone(), after, wait };
        let timeout = wait.to_duration() + OWNER_TIMEOUT;
        if let Some(JobResponse::Results(results)) =
            self.call_owner(&record, request, timeout).await
        {
            return Ok(Some(results));
        }
        let committed = self.stored_results(&record).await?;
        let results = result_page(&committed, after);
        let results = results.iter().map(|result| ItemResult::clone(result)).collect();
        Ok(Some(Results { total: record.total, results }))
    }

    /// Host of a job's owner, if the owner is another process and not known to be gone.
    pub(crate) fn remote_owner(&self, record: &JobRecord) -> Option<HostId> {
        let owner = record.owner.as_ref().filter(|owner| **owner != self.local)?;
        let liveness = self.cluster.liveness(&owner.host, owner.started);
        (liveness != Liveness::Ended).then(|| owner.host.clone())
    }

    /// Calls the owner of a job; `None` if it isn't another process or doesn't answer in time.
    async fn call_owner(
        &self,
        record: &JobRecord,
        request: JobRequest,
        timeout: Duration,
    ) -> Option<JobResponse> {
        let owner = self.remote_owner(record)?;
        match self.cluster.call(&owner, request, timeout).await {
            Ok(response) => Some(response),
            Err(error) => {
                log::warn!(job:% = record.job, owner:% = owner, error:% = error;
                    "owner did not answer a read");
                None
            }
        }
    }

    async fn read_loaded(&self, job: &JobId, after: usize, wait: Span) -> Option<Results> {
        let loaded = self.loaded.lock().get(job).cloned()?;
        let deadline = time::Instant::now() + wait.to_duration();
        loop {
            let committed = loaded.committed.notified();
            tokio::pin!(committed);
            committed.as_mut().enable();
            let (total, results, open) = {
                let job = loaded.job.lock();
                let open = job.record.phase == JobPhase::Open && !job.is_complete();
                (job.record.total, job.results(after), open)
            };
            let timed_out = time::Instant::now() >= deadline;
            if !results.is_empty() || !open || timed_out {
                let results = results.iter().map(|result| ItemResult::clone(result)).collect();
                return Some(Results { total, results });
            }
            // The loop checks the deadline itself.
            let _ = time::timeout_at(deadline, committed).await;
        }
    }

    /// All results at the platform; those read before are cached.
    async fn stored_results(
        &self,
        record: &JobRecord,
    ) -> Result<Vec<Arc<ItemResult>>, StateUnknown> {
        let cached = self.result_cache.lock().get(&record.job).cloned();
        let mut stored = cached.unwrap_or_default();
        while stored.results.len() < record.total as usize {
            let Some(segment) = self.store.segment(&record.job, stored.segments).await? else {
                break;
            };
            stored.apply(segment);
        }
        self.result_cache.lock().insert(record.job.clone(), stored.clone());
        Ok(stored.results)
    }

    /// Reads the request body of an item; `None` if its result is committed, or if there is no such
    /// job or item.
    ///
    /// # Errors
    ///
    /// Returns [`StateUnknown`] if neither the owner nor the platform answers.
    pub async fn read_body(
        self: &Arc<Self>,
        job: &JobId,
        item: &str,
    ) -> Result<Option<Bytes>, StateUnknown> {
        let Some((_, record)) = self.record(job).await? else { return Ok(None) };
        if let Some(loaded) = self.loaded.lock().get(job).cloned() {
            return Ok(loaded.job.lock().body(item));
        }
        let request = JobRequest::Body { job: job.clone(), item: item.to_owned() };
        if let Some(JobResponse::Body(body)) =
            self.call_owner(&record, request, OWNER_TIMEOUT).await
        {
            return Ok(body);
        }
        if self.stored_results(&record).await?.iter().any(|result| result.item == item) {
            return Ok(None);
        }
        let items = self.store.items(&record).await?;
        Ok(items.into_iter().find(|stored| stored.id == item).map(|stored| stored.body))
    }
}

impl<S: ObjectStore, T: TargetTransport> Handler<JobRequest, JobResponse> for JobManager<S, T> {
    async fn handle(self: Arc<Self>, _: HostId, request: JobRequest) -> JobResponse {
        match request {
            JobRequest::Read { job, after, wait } => {
                let (_permit, wait) = self.peer_waits.grant(wait.min(MAX_READ_WAIT));
                let results = self.read_loaded(&job, after, wait).await;
                results.map_or(JobResponse::NotHere, JobResponse::Results)
            }
            JobRequest::Yield { target, count, pass_on } => {
                let rest = count - self.preempt(&target, count);
                if pass_on && rest > 0 {
                    self.call_zone_hosts(&target, rest);
                }
                JobResponse::Yielded
            }
            JobRequest::Changed { job } => {
                if self.read_changed(job).await {
                    JobResponse::Noted
                } else {
                    JobResponse::NotHere
                }
            }
            JobRequest::Body { job, item } => {
                let loaded = self.loaded.lock().get(&job).cloned();
                loaded.map_or(JobResponse::NotHere, |loaded| {
                    JobResponse::Body(loaded.job.lock().body(&item))
                })
            }
        }
    }
}
