//! Renewal of the leases under which items start.
//!
//! A lease is renewed only when an item has found a free slot, so that items which wait for slots
//! cost no reads at the platform.

use std::sync::{Arc, atomic::Ordering};

use oleander_core::{JobId, Time};
use oleander_host::clock;
use oleander_platform::{ObjectStore, StoreError};
use oleander_relay::TargetTransport;
use tokio::time;

use crate::{
    backoff::RETRY_DELAY,
    lease::{EXTENSION_LIMIT, RecordSource},
    manager::{JobManager, LoadedJob},
    record::{JobPhase, JobRecord},
};

/// Marks a lease as being renewed until dropped.
struct Renewal {
    loaded: Arc<LoadedJob>,
}

impl Renewal {
    /// Begins a renewal unless one is in progress.
    fn begin(loaded: &Arc<LoadedJob>) -> Option<Self> {
        let was_renewing = loaded.renewing.swap(true, Ordering::Relaxed);
        (!was_renewing).then(|| Self { loaded: Arc::clone(loaded) })
    }
}

impl Drop for Renewal {
    fn drop(&mut self) {
        self.loaded.renewing.store(false, Ordering::Relaxed);
    }
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Renews a job's lease in a new task, unless that is in progress.
    pub(crate) fn spawn_renewal(self: &Arc<Self>, loaded: &Arc<LoadedJob>) {
        let Some(renewal) = Renewal::begin(loaded) else { return };
        let manager = Arc::clone(self);
        tokio::spawn(async move {
            // Later, neither a read nor an outage renews the lease. A read that fails takes longer than
            // a lease lasts where nobody answers; cut off before, it would never be known as failed.
            let renewing = manager.renew(&renewal.loaded);
            match time::timeout(EXTENSION_LIMIT.to_duration(), renewing).await {
                Ok(true) => {
                    drop(renewal);
                    manager.wake.notify_one();
                }
                Ok(false) => time::sleep(RETRY_DELAY).await,
                Err(_) => log::warn!("lease of a job was not renewed in time"),
            }
        });
    }

    /// Renews the lease of a job by a read of its record, or stops the job; returns whether its
    /// items may go on.
    async fn renew(self: &Arc<Self>, loaded: &LoadedJob) -> bool {
        let asked = clock::since_boot();
        let job = loaded.job.lock().record.job.clone();
        match self.store.record(&job).await {
            Ok(Some((revision, record))) => {
                let is_owned = self.is_owner(&record);
                self.apply_record(revision, record.clone(), RecordSource::Read);
                if is_owned {
                    loaded.lease.lock().renew(asked, revision);
                } else {
                    self.stop_job(&record);
                }
                is_owned
            }
            Ok(None) => {
                self.remove_job(&job);
                false
            }
            Err(fault) => self.renew_in_outage(loaded, &fault).await,
        }
    }

    /// Extends the lease of a job whose record can't be read if no other host reaches the platform
    /// either: then none of them can acknowledge the job's end.
    async fn renew_in_outage(&self, loaded: &LoadedJob, fault: &StoreError) -> bool {
        let asked = clock::since_boot();
        let is_outage = self.cluster.is_platform_out().await;
        log::warn!(job:% = loaded.job.lock().record.job, error:% = fault, is_outage;
            "lease of a job can't be renewed by a read");
        is_outage && loaded.lease.lock().extend(asked)
    }

    /// Ends a job's lease until its record has been read: another host has changed it.
    pub(crate) fn contest_lease(&self, job: &JobId, now: Time) {
        let Some(loaded) = self.loaded.lock().get(job).cloned() else { return };
        log::info!(job:% = job; "job has changed and can't be read; its items wait");
        loaded.lease.lock().contest(now);
    }

    /// Whether a record says that this process runs the job.
    pub(crate) fn is_owner(&self, record: &JobRecord) -> bool {
        record.owner.as_ref() == Some(&self.local) && record.phase == JobPhase::Open
    }
}
