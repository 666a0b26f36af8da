//! Answers reads of jobs, from memory, from the owner or from the platform.

use std::{collections::HashSet, sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_cluster::{Handler, Liveness};
use oleander_core::{HostId, JobId, Span};
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;
use tokio::time;

use crate::{
    desk::{Desk, Unsure},
    job::take_results,
    message::{JobAnswer, JobCall, Results},
    record::{ItemResult, JobEntry, JobPhase},
};

/// Time allowed to the owner beyond the wait that a reader asked for.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait of one read.
const MAX_READ_WAIT: Span = Span::from_secs(1);

impl<S: ObjectStore, T: TargetTransport> Desk<S, T> {
    /// Results of a job from position `after` on; waits at most `wait` for one. `None` if there
    /// is no such job.
    ///
    /// # Errors
    ///
    /// Returns [`Unsure`] if neither the owner nor the platform answers.
    pub async fn read(
        self: &Arc<Self>,
        job: &JobId,
        after: usize,
        wait: Span,
    ) -> Result<Option<Results>, Unsure> {
        let wait = wait.min(MAX_READ_WAIT);
        let Some((_, entry)) = self.entry(job).await? else { return Ok(None) };
        if let Some(results) = self.read_here(job, after, wait).await {
            return Ok(Some(results));
        }
        let call = JobCall::Read { job: job.clone(), after, wait };
        let timeout = wait.to_duration() + OWNER_TIMEOUT;
        if let Some(JobAnswer::Results(results)) = self.ask_owner(&entry, call, timeout).await {
            return Ok(Some(results));
        }
        let listed = self.stored_results(&entry).await?;
        let results = take_results(&listed, after);
        let results = results.iter().map(|result| ItemResult::clone(result)).collect();
        Ok(Some(Results { total: entry.total, results }))
    }

    /// The owner of a job, if it is another process that runs.
    pub(crate) fn running_owner(&self, entry: &JobEntry) -> Option<HostId> {
        let owner = entry.owner.as_ref().filter(|owner| **owner != self.me)?;
        let presence = self.cluster.liveness(&owner.host, owner.started);
        (presence != Liveness::Dead).then(|| owner.host.clone())
    }

    /// Answer of the owner, if it is another process that runs and answers in time.
    async fn ask_owner(
        &self,
        entry: &JobEntry,
        call: JobCall,
        timeout: Duration,
    ) -> Option<JobAnswer> {
        let owner = self.running_owner(entry)?;
        match self.cluster.call(&owner, call, timeout).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::warn!(job:% = entry.job, owner:% = owner, error:% = error;
                    "owner does not answer a read");
                None
            }
        }
    }

    async fn read_here(&self, job: &JobId, after: usize, wait: Span) -> Option<Results> {
        let held = self.owned.lock().get(job).cloned()?;
        let deadline = time::Instant::now() + wait.to_duration();
        loop {
            let listed = held.listed.notified();
            tokio::pin!(listed);
            listed.as_mut().enable();
            let (total, results, open) = {
                let job = held.job.lock();
                let open = job.entry.phase == JobPhase::Open && !job.is_complete();
                (job.entry.total, job.results(after), open)
            };
            let late = time::Instant::now() >= deadline;
            if !results.is_empty() || !open || late {
                let results = results.iter().map(|result| ItemResult::clone(result)).collect();
                return Some(Results { total, results });
            }
            // The loop looks at the deadline itself.
            let _ = time::timeout_at(deadline, listed).await;
        }
    }

    /// All results at the platform; they are read again until all items are listed.
    async fn stored_results(&self, entry: &JobEntry) -> Result<Vec<Arc<ItemResult>>, Unsure> {
        let known = self.archive.lock().get(&entry.job).cloned().unwrap_or_default();
        if known.len() == entry.total as usize {
            return Ok(known);
        }
        let mut listed: Vec<Arc<ItemResult>> = Vec::new();
        let mut seen = HashSet::new();
        for index in 0.. {
            let Some(segment) = self.store.segment(&entry.job, index).await? else { break };
            let fresh =
                segment.results.into_iter().filter(|result| seen.insert(result.item.clone()));
            listed.extend(fresh.map(Arc::new));
        }
        self.archive.lock().insert(entry.job.clone(), listed.clone());
        Ok(listed)
    }

    /// Body of an item that is not listed; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Unsure`] if neither the owner nor the platform answers.
    pub async fn body(self: &Arc<Self>, job: &JobId, item: &str) -> Result<Option<Bytes>, Unsure> {
        let Some((_, entry)) = self.entry(job).await? else { return Ok(None) };
        if let Some(held) = self.owned.lock().get(job).cloned() {
            return Ok(held.job.lock().body(item));
        }
        let call = JobCall::Body { job: job.clone(), item: item.to_owned() };
        if let Some(JobAnswer::Body(body)) = self.ask_owner(&entry, call, OWNER_TIMEOUT).await {
            return Ok(body);
        }
        if self.stored_results(&entry).await?.iter().any(|result| result.item == item) {
            return Ok(None);
        }
        let items = self.store.items(&entry).await?;
        Ok(items.into_iter().find(|stored| stored.id == item).map(|stored| stored.body))
    }
}

impl<S: ObjectStore, T: TargetTransport> Handler<JobCall, JobAnswer> for Desk<S, T> {
    async fn handle(self: Arc<Self>, _: HostId, call: JobCall) -> JobAnswer {
        match call {
            JobCall::Read { job, after, wait } => {
                let results = self.read_here(&job, after, wait.min(MAX_READ_WAIT)).await;
                results.map_or(JobAnswer::NotHere, JobAnswer::Results)
            }
            JobCall::Yield { target, count, pass_on } => {
                let left = count - self.interrupt(&target, count);
                if pass_on && left > 0 {
                    self.ask_neighbours(&target, left);
                }
                JobAnswer::Yielded
            }
            JobCall::Changed { job } => {
                self.refresh(&job).await;
                JobAnswer::Noted
            }
            JobCall::Body { job, item } => {
                let held = self.owned.lock().get(&job).cloned();
                held.map_or(JobAnswer::NotHere, |held| JobAnswer::Body(held.job.lock().body(&item)))
            }
        }
    }
}
