//! Changed jobs of which other hosts tell.
//!
//! The sender waits until this host has read the job's record, and that long the message holds a
//! worker of this host's link.

use std::{sync::Arc, time::Duration};

use oleander_cluster::LINK_WORKERS;
use oleander_core::JobId;
use oleander_host::clock;
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;
use tokio::{sync::Semaphore, time};

use crate::{lease::RecordSource, manager::JobManager};

/// Maximum number of changed records that are read at the same time.
const MAX_READS: usize = LINK_WORKERS / 8;
/// Time for which a message waits for its read; its sender waits no longer.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Permissions to read changed records.
#[derive(Debug)]
pub(crate) struct ChangeReads(Arc<Semaphore>);

impl Default for ChangeReads {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_READS)))
    }
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Reads the record of a job that another host has changed; whether that is done by now. The
    /// sender then takes the job's items for stopped.
    ///
    /// A read that takes longer goes on.
    pub(crate) async fn read_changed(self: &Arc<Self>, job: JobId) -> bool {
        let Ok(permit) = Arc::clone(&self.change_reads.0).try_acquire_owned() else {
            self.contest_lease(&job, clock::since_boot());
            return false;
        };
        let manager = Arc::clone(self);
        let reading = tokio::spawn(async move {
            let _permit = permit;
            let is_read = manager.refresh(&job, RecordSource::Message).await;
            if !is_read {
                manager.contest_lease(&job, clock::since_boot());
            }
            is_read
        });
        matches!(time::timeout(READ_WAIT, reading).await, Ok(Ok(true)))
    }
}
