//! Takes jobs in.

use std::sync::Arc;

use oleander_core::{JobId, Span, Tokens};
use oleander_host::clock;
use oleander_platform::{ObjectStore, StoreFault};
use oleander_relay::{Route, RouteKind, TargetTransport};
use tokio::time;

use crate::{
    backlog::Backlog,
    desk::{Desk, Held},
    job::Job,
    record::JobPhase,
    submission::{Submission, SubmitError},
};

/// Time to come back while the platform does not take writes.
const BUSY_RETRY: Span = Span::from_secs(1);
/// Time to come back when a route's backlog is full: about the time in which a job's worth ends.
const FULL_RETRY: Span = Span::from_secs(2);
/// Longest wait for the outcome of the same submission by another connection.
const OUTCOME_WAIT: std::time::Duration = std::time::Duration::from_secs(1);
/// Time between two looks for it.
const OUTCOME_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);

impl<S: ObjectStore, T: TargetTransport> Desk<S, T> {
    /// Takes a job in.
    ///
    /// # Errors
    ///
    /// The error tells whether the job may have been accepted.
    pub async fn submit(
        self: &Arc<Self>,
        submission: Submission,
        route: &Route,
    ) -> Result<(), SubmitError> {
        let job = submission.job.clone();
        if self.index.lock().get(&job).is_some() {
            return Ok(());
        }
        if let Err(refusal) = self.admit(&submission, route) {
            // A job that was accepted elsewhere moments ago must not be refused.
            return match self.store.entry(&job).await {
                Ok(Some(_)) => Ok(()),
                Ok(None) | Err(_) => Err(refusal),
            };
        }
        if !self.coming.lock().insert(job.clone()) {
            return self.outcome_of(&job).await;
        }
        // A caller that leaves drops this future; what has begun is ended all the same.
        let (desk, route) = (Arc::clone(self), route.clone());
        let accepting = tokio::spawn(async move {
            let accepted = desk.accept(submission, &route).await;
            desk.coming.lock().remove(&job);
            // The entry may have come by the watch while the outcome of its create was not known.
            desk.adopt_if_mine(&job);
            desk.wake.notify_one();
            accepted
        });
        accepting.await.unwrap_or(Err(SubmitError::Unknown))
    }

    /// Waits for the outcome of another submission of the same job.
    async fn outcome_of(&self, job: &JobId) -> Result<(), SubmitError> {
        let end = time::Instant::now() + OUTCOME_WAIT;
        while self.coming.lock().contains(job) && time::Instant::now() < end {
            time::sleep(OUTCOME_INTERVAL).await;
        }
        let known = self.index.lock().get(job).is_some();
        if known { Ok(()) } else { Err(SubmitError::Unknown) }
    }

    fn admit(&self, submission: &Submission, route: &Route) -> Result<(), SubmitError> {
        if !self.is_ready() {
            return Err(SubmitError::Busy(BUSY_RETRY));
        }
        let held: usize = self.owned.lock().values().map(|held| held.job.lock().bytes()).sum();
        if held + submission.bytes() > self.config.held_bytes {
            return Err(SubmitError::Full(FULL_RETRY));
        }
        let RouteKind::Batch { backlog, .. } = route.kind else { return Ok(()) };
        let waiting = Backlog::of(&self.index.lock(), &route.name, self.done_tokens(&route.name));
        waiting.admit(submission.tokens(), backlog).map_err(|_| SubmitError::Full(FULL_RETRY))
    }

    /// Tokens of ended items in the open jobs that this host owns.
    fn done_tokens(&self, route: &str) -> Tokens {
        let owned: Vec<Arc<Held>> = self.owned.lock().values().cloned().collect();
        let done = owned.iter().map(|held| {
            let job = held.job.lock();
            if job.entry.route != route || job.entry.phase != JobPhase::Open {
                return 0;
            }
            let (open, all) = job.open_share();
            job.entry.tokens.0 * u64::from(all - open) / u64::from(all.max(1))
        });
        Tokens(done.sum())
    }

    async fn accept(
        self: &Arc<Self>,
        submission: Submission,
        route: &Route,
    ) -> Result<(), SubmitError> {
        let parts = submission.parts(self.config.object_bytes);
        for (index, part) in parts.iter().enumerate() {
            let put = self.store.put_part(&submission.job, index as u32, part).await;
            if let Err(fault) = put {
                log::warn!(job:% = submission.job, error:% = fault; "job refused: items not stored");
                return Err(SubmitError::Busy(BUSY_RETRY));
            }
        }
        let owner = (!self.is_draining()).then(|| self.me.clone());
        let entry = submission.entry(clock::now(), route, parts.len() as u32, owner);
        match self.store.accept(&entry).await {
            Ok(Some(revision)) => {
                log::info!(job:% = entry.job, route:% = entry.route, items = entry.total,
                    tokens = entry.tokens.0, revision = revision.0; "job accepted");
                if entry.owner.is_some() {
                    let job = Job::new(entry.clone(), submission.items, &self.config.id_header);
                    self.hold(job);
                }
                self.take_entry(revision, entry);
                Ok(())
            }
            Ok(None) => Ok(()),
            Err(StoreFault::Platform(error)) if error.may_have_written() => {
                log::warn!(job:% = entry.job, error:% = error; "job may have been accepted");
                Err(SubmitError::Unknown)
            }
            Err(fault) => {
                log::warn!(job:% = entry.job, error:% = fault; "job refused: not stored");
                Err(SubmitError::Busy(BUSY_RETRY))
            }
        }
    }
}
