//! Calls to the owners of jobs for readers.

use std::{future::pending, sync::Arc, time::Duration};

use oleander_core::{HostId, JobId};
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;
use tokio::{
    task::JoinHandle,
    time::{self, Instant},
};

use crate::{
    manager::JobManager,
    message::{JobRequest, JobResponse},
    read_choice::{ReadTimes, asks_owner, owner_delay},
    record::{JobRecord, Owner},
};

/// A call to an owner. It goes on though the reader leaves, so that it is known whether the owner
/// answers.
pub(crate) struct OwnerCall {
    task: Option<JoinHandle<Option<JobResponse>>>,
    /// Time from which the platform is asked as well.
    platform_at: Instant,
}

impl OwnerCall {
    /// Whether the owner may still answer.
    pub(crate) const fn is_pending(&self) -> bool {
        self.task.is_some()
    }

    /// Waits for the end of the call; `None` if the owner has not answered, never ends after that.
    pub(crate) async fn end(&mut self) -> Option<JobResponse> {
        let Some(task) = &mut self.task else { return pending().await };
        let answer = task.await.ok().flatten();
        self.task = None;
        answer.filter(|answer| !matches!(answer, JobResponse::NotHere))
    }

    /// Waits until the platform is asked as well; returns the answer of the owner if it comes first.
    pub(crate) async fn first_answer(&mut self) -> Option<JobResponse> {
        if !self.is_pending() {
            return None;
        }
        time::timeout_at(self.platform_at, self.end()).await.ok().flatten()
    }
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Asks the owner of a job, if it is another process that may answer.
    pub(crate) fn ask_owner(
        self: &Arc<Self>,
        record: &JobRecord,
        request: JobRequest,
        times: ReadTimes,
    ) -> OwnerCall {
        let now = Instant::now();
        let owner = record.owner.clone().filter(|_| self.remote_owner(record).is_some());
        let Some(owner) = owner else { return OwnerCall { task: None, platform_at: now } };
        let is_silent = self.reads.silent.lock().is_silent(now, &owner);
        let platform_at = now + owner_delay(record.phase, times.rest(now), is_silent);
        let task = asks_owner(record.phase, is_silent).then(|| {
            let (manager, job, timeout) =
                (Arc::clone(self), record.job.clone(), times.owner_timeout(now));
            tokio::spawn(manager.call_owner(owner, job, request, timeout))
        });
        OwnerCall { task, platform_at }
    }

    async fn call_owner(
        self: Arc<Self>,
        owner: Owner,
        job: JobId,
        request: JobRequest,
        timeout: Duration,
    ) -> Option<JobResponse> {
        match self.cluster.call(&owner.host, request, timeout).await {
            Ok(response) => {
                self.reads.silent.lock().heard(&owner);
                Some(response)
            }
            Err(error) => {
                log::warn!(job:% = job, owner:% = owner.host, error:% = error;
                    "owner did not answer a read");
                self.reads.silent.lock().note(Instant::now(), owner);
                None
            }
        }
    }

    /// Host of a job's owner, if the owner is another process and not known to be gone.
    pub(crate) fn remote_owner(&self, record: &JobRecord) -> Option<HostId> {
        let owner = record.owner.as_ref().filter(|owner| **owner != self.local)?;
        let liveness = self.cluster.liveness(&owner.host, owner.started);
        (liveness != oleander_cluster::Liveness::Ended).then(|| owner.host.clone())
    }
}
