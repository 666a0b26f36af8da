//! Admission of submitted jobs.

use std::sync::Arc;

use oleander_core::{JobId, Span, Tokens};
use oleander_host::clock;
use oleander_platform::{ObjectStore, PlatformError, StoreError};
use oleander_relay::{Route, RouteKind, TargetTransport};
use tokio::time;

use crate::{
    backlog::Backlog,
    backoff::Backoff,
    lease::{RecordSource, StartLease},
    manager::{JobManager, LoadedJob},
    record::{JobPhase, Part},
    submission::{Submission, SubmitError, TooLarge},
};

/// `Retry-After` while this host is not ready or the platform takes no writes.
const UNAVAILABLE_RETRY_AFTER: Span = Span::from_secs(1);
/// `Retry-After` when there is no capacity: about the time in which a job's worth of
/// items completes.
const FULL_RETRY_AFTER: Span = Span::from_secs(2);
/// Maximum wait for the outcome of the same submission on another connection.
const OUTCOME_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
/// Time between two checks for that outcome.
const OUTCOME_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);
/// Maximum number of attempts to write a part of a job, its first part excepted.
const PART_ATTEMPTS: u32 = 3;
/// Time after which the write of a part is not repeated: the caller is to know of an outage.
const PART_REPEAT_TIME: std::time::Duration = std::time::Duration::from_secs(2);

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Accepts a job: writes its items and creates its record.
    ///
    /// A job that is accepted already counts as a success, so that callers can submit again.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Unknown`] if the job may have been accepted; with any other error, it
    /// was not.
    pub async fn submit(
        self: &Arc<Self>,
        submission: Submission,
        route: &Route,
    ) -> Result<(), SubmitError> {
        let job = submission.job.clone();
        if self.index.lock().get(&job).is_some() {
            return Ok(());
        }
        if let Err(refusal) = self.check_capacity(&submission, route) {
            // The job may have been accepted by another host moments ago; then it isn't refused.
            return match self.store.record(&job).await {
                Ok(Some(_)) => Ok(()),
                Ok(None) | Err(_) => Err(refusal),
            };
        }
        if !self.starting.lock().insert(job.clone()) {
            return self.wait_for_outcome(&job).await;
        }
        // A caller that disconnects drops this future; a spawned task completes all the same.
        let (manager, route) = (Arc::clone(self), route.clone());
        let accepting = tokio::spawn(async move {
            let accepted = manager.accept(submission, &route).await;
            manager.starting.lock().remove(&job);
            // The watch may have brought the record while the outcome of its create was unknown.
            manager.load_if_owned(&job);
            manager.wake.notify_one();
            accepted
        });
        accepting.await.unwrap_or(Err(SubmitError::Unknown))
    }

    /// Waits for the outcome of a concurrent submission of the same job.
    async fn wait_for_outcome(&self, job: &JobId) -> Result<(), SubmitError> {
        let deadline = time::Instant::now() + OUTCOME_TIMEOUT;
        while self.starting.lock().contains(job) && time::Instant::now() < deadline {
            time::sleep(OUTCOME_POLL_INTERVAL).await;
        }
        let accepted = self.index.lock().get(job).is_some();
        if accepted { Ok(()) } else { Err(SubmitError::Unknown) }
    }

    /// Checks that this host is ready, and that the job fits into its memory limit and into the
    /// route's backlog.
    fn check_capacity(&self, submission: &Submission, route: &Route) -> Result<(), SubmitError> {
        if !self.is_ready() {
            return Err(SubmitError::Unavailable(UNAVAILABLE_RETRY_AFTER));
        }
        let loaded: usize =
            self.loaded.lock().values().map(|loaded| loaded.job.lock().bytes()).sum();
        if loaded + submission.bytes() > self.config.loaded_bytes {
            return Err(SubmitError::Full(FULL_RETRY_AFTER));
        }
        let RouteKind::Batch { backlog, .. } = route.kind else { return Ok(()) };
        let queued =
            Backlog::of(&self.index.lock(), &route.name, self.finished_tokens(&route.name));
        queued.admit(submission.tokens(), backlog).map_err(|_| SubmitError::Full(FULL_RETRY_AFTER))
    }

    /// Estimated tokens of the finished items in the open jobs that this host owns.
    fn finished_tokens(&self, route: &str) -> Tokens {
        let loaded: Vec<Arc<LoadedJob>> = self.loaded.lock().values().cloned().collect();
        let done = loaded.iter().map(|loaded| {
            let job = loaded.job.lock();
            if job.record.route != route || job.record.phase != JobPhase::Open {
                return 0;
            }
            let (open, all) = job.unfinished();
            let share = u128::from(all - open) * u128::from(job.record.tokens.0);
            (share / u128::from(all.max(1))) as u64
        });
        Tokens(done.fold(0, u64::saturating_add))
    }

    /// Writes a part; a failed write is repeated if it isn't the first of the job, which shows whether
    /// the platform takes writes.
    async fn put_part(&self, job: &JobId, index: u32, part: &Part) -> Result<(), StoreError> {
        let start = time::Instant::now();
        let attempts = if index == 0 { 1 } else { PART_ATTEMPTS };
        let mut backoff = Backoff::default();
        for attempt in 1.. {
            let Err(fault) = self.store.put_part(job, index, part).await else { break };
            let is_last = attempt >= attempts || start.elapsed() >= PART_REPEAT_TIME;
            if is_last || !is_repeatable(&fault) {
                return Err(fault);
            }
            log::info!(job:% = job, part = index, error:% = fault; "part of a job is written again");
            backoff.wait().await;
        }
        Ok(())
    }

    async fn accept(
        self: &Arc<Self>,
        submission: Submission,
        route: &Route,
    ) -> Result<(), SubmitError> {
        let parts = submission.parts(self.config.object_bytes);
        let parts = parts.map_err(|TooLarge { item, bytes }| {
            log::warn!(job:% = submission.job, item:% = item, bytes;
                "job refused: an item is larger than the platform stores");
            SubmitError::TooLarge
        })?;
        for (index, part) in parts.iter().enumerate() {
            let put = self.put_part(&submission.job, index as u32, part).await;
            if let Err(fault) = put {
                log::warn!(job:% = submission.job, error:% = fault;
                    "job refused: its items can't be written to the platform");
                return Err(refusal(&fault));
            }
        }
        let owner = (!self.is_draining()).then(|| self.local.clone());
        let record = submission.record(clock::now(), route, parts.len() as u32, owner);
        let asked = clock::since_boot();
        match self.store.accept(&record).await {
            Ok(Some(revision)) => {
                log::info!(job:% = record.job, route:% = record.route, items = record.total,
                    tokens = record.tokens.0, revision = revision.0; "job accepted");
                if record.owner.is_some() {
                    let lease = StartLease::new(asked, revision);
                    self.start_job(self.new_job(record.clone(), submission.items), lease);
                }
                self.apply_record(revision, record, RecordSource::Write);
                Ok(())
            }
            Ok(None) => Ok(()),
            Err(StoreError::Platform(error)) if error.may_have_written() => {
                log::warn!(job:% = record.job, error:% = error;
                    "job may have been accepted: the outcome of the write is unknown");
                Err(SubmitError::Unknown)
            }
            Err(fault) => {
                log::warn!(job:% = record.job, error:% = fault;
                    "job refused: its record can't be written to the platform");
                Err(refusal(&fault))
            }
        }
    }
}

/// Whether a write that failed this way may succeed when it is repeated.
const fn is_repeatable(fault: &StoreError) -> bool {
    matches!(fault, StoreError::Platform(error) if !matches!(error, PlatformError::Rejected(_)))
}

/// Refusal of a job of which nothing was written that accepts it.
const fn refusal(fault: &StoreError) -> SubmitError {
    match fault {
        StoreError::Platform(PlatformError::Rejected(_)) => SubmitError::Rejected,
        StoreError::Platform(_) | StoreError::InvalidValue(_) => {
            SubmitError::Unavailable(UNAVAILABLE_RETRY_AFTER)
        }
    }
}
