//! Ends of jobs that their callers ask for.
//!
//! An acknowledged end is a promise that the job's items no longer start, at any host. It is kept
//! in two ways. The owner confirms that it has read the record that ends the job. An owner that
//! can't be reached starts items only under a [`StartLease`](crate::StartLease), so that an end
//! which this host has known for as long as a lease lasts has stopped the owner, and all former
//! owners, too.

use std::{fmt, sync::Arc, time::Duration};

use oleander_core::{HostId, JobId, Span};
use oleander_host::clock;
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;
use tokio::time;

use crate::{
    backoff::Backoff,
    lease::RecordSource,
    manager::{JobManager, StateUnknown},
    message::{JobRequest, JobResponse},
    record::{JobPhase, JobRecord},
};

/// Timeout for notifying a host of a change.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of attempts to cancel a job while other hosts update its record.
const CANCEL_ATTEMPTS: u32 = 5;

/// Why no process starts items of an ended job any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stopped {
    /// This process was the owner, or there was none.
    Here,
    /// The owner has confirmed it, or it was known before.
    Confirmed,
    /// Every lease from before the end is over.
    Lapsed,
}

impl fmt::Display for Stopped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Here => "here",
            Self::Confirmed => "confirmed",
            Self::Lapsed => "lapsed",
        })
    }
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Cancels a job; returns once its items no longer start, `false` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns [`StateUnknown`] if the job may still be open, or if its items may still start.
    pub async fn cancel(self: &Arc<Self>, job: &JobId) -> Result<bool, StateUnknown> {
        // A caller that disconnects drops this future; a spawned task notifies the owner all the
        // same.
        let (manager, job) = (Arc::clone(self), job.clone());
        let ending = tokio::spawn(async move { manager.end_job(&job).await });
        ending.await.unwrap_or_else(|error| Err(StateUnknown(error.to_string())))
    }

    async fn end_job(self: &Arc<Self>, job: &JobId) -> Result<bool, StateUnknown> {
        let started = clock::steady();
        let Some(record) = self.write_end(job).await? else { return Ok(false) };
        if record.phase == JobPhase::Cancelled {
            let stopped = self.wait_until_stopped(&record).await;
            if stopped == Stopped::Lapsed {
                // An owner may go on in an outage of the platform; then nobody acknowledges an end.
                self.store.record(job).await?;
            }
            self.ends.lock().confirm(job);
            let took = clock::steady().since(started);
            log::info!(job:% = job, owner:? = record.owner, stopped:% = stopped,
                took_ms = took.as_millis(); "end of a job acknowledged");
            metrics::counter!("job_ends_total", "stopped" => stopped.to_string()).increment(1);
            metrics::histogram!("job_end_seconds").record(took.as_secs_f64());
        }
        Ok(true)
    }

    /// Writes the end of a job into its record unless it is no longer open; returns the record.
    async fn write_end(self: &Arc<Self>, job: &JobId) -> Result<Option<JobRecord>, StateUnknown> {
        let Some((mut revision, mut record)) = self.record(job).await? else { return Ok(None) };
        for _ in 0..CANCEL_ATTEMPTS {
            if record.phase != JobPhase::Open {
                self.apply_record(revision, record.clone(), RecordSource::Read);
                return Ok(Some(record));
            }
            let cancelled = JobRecord { phase: JobPhase::Cancelled, ..record };
            if let Some(at) = self.store.replace(&cancelled, revision).await? {
                log::info!(job:% = job, revision = at.0; "job ended by its caller");
                self.apply_record(at, cancelled.clone(), RecordSource::Write);
                return Ok(Some(cancelled));
            }
            let Some(found) = self.store.record(job).await? else { return Ok(None) };
            (revision, record) = found;
        }
        Err(StateUnknown("its record was updated concurrently in every attempt".to_owned()))
    }

    /// Waits until no process starts items of an ended job any more.
    async fn wait_until_stopped(self: &Arc<Self>, record: &JobRecord) -> Stopped {
        let job = &record.job;
        if record.owner.as_ref().is_none_or(|owner| *owner == self.local) {
            return Stopped::Here;
        }
        let is_confirmed = self.ends.lock().is_confirmed(job);
        let remaining = self.ends.lock().remaining(job, clock::since_boot());
        let Some(owner) = self.remote_owner(record) else {
            time::sleep(remaining.to_duration()).await;
            return if is_confirmed { Stopped::Confirmed } else { Stopped::Lapsed };
        };
        if is_confirmed || remaining == Span::ZERO {
            // An owner of an earlier build has no lease, and is told again.
            self.notify_changed(owner, job.clone());
            return if is_confirmed { Stopped::Confirmed } else { Stopped::Lapsed };
        }
        tokio::select! {
            () = self.notify_until_confirmed(&owner, job) => Stopped::Confirmed,
            () = time::sleep(remaining.to_duration()) => Stopped::Lapsed,
        }
    }

    async fn notify_until_confirmed(&self, owner: &HostId, job: &JobId) {
        let mut backoff = Backoff::default();
        while !self.notify(owner, job).await {
            backoff.wait().await;
        }
    }

    /// Notifies a host that a job's record changed; returns whether it has read the record.
    async fn notify(&self, host: &HostId, job: &JobId) -> bool {
        let request = JobRequest::Changed { job: job.clone() };
        match self.cluster.call(host, request, NOTIFY_TIMEOUT).await {
            Ok(JobResponse::Noted) => true,
            Ok(_) => {
                log::info!(job:% = job, host:% = host; "host could not read a changed job");
                false
            }
            Err(error) => {
                log::info!(job:% = job, host:% = host, error:% = error;
                    "host was not notified of a changed job; it will see the change by its watch");
                false
            }
        }
    }

    /// Notifies a host that a job's record changed, in a new task.
    ///
    /// If the message is lost, the host sees the change later, by its watch.
    pub(crate) fn notify_changed(self: &Arc<Self>, host: HostId, job: JobId) {
        let manager = Arc::clone(self);
        tokio::spawn(async move { manager.notify(&host, &job).await });
    }
}
