//! Loading of a job that this process owns: its items, its results, and the fence that stops a former
//! owner.
//!
//! Each call that fails is repeated by itself, so that a load ends at a platform that fails some calls,
//! whatever the number of parts and segments.

use oleander_core::JobId;
use oleander_platform::{ObjectStore, StoreError};
use oleander_relay::TargetTransport;

use crate::{
    backoff::Backoff,
    item::NewItem,
    job::Job,
    manager::JobManager,
    record::{JobRecord, Segment},
    window::ReadWindow,
};

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Loads a job with its results, and fences off its former owner; `None` once this process no
    /// longer owns the job.
    pub(crate) async fn load(&self, record: JobRecord) -> Option<Job> {
        let (items, window) = self.load_items(&record).await?;
        let mut job = self.new_job(record, items);
        self.load_results(&mut job, window).await?;
        self.append_fence(&mut job).await?;
        Some(job)
    }

    async fn load_items(&self, record: &JobRecord) -> Option<(Vec<NewItem>, ReadWindow)> {
        let mut parts = self.store.sequence(ReadWindow::default(), u64::from(record.parts));
        let read = |index| {
            let (store, job) = (self.store.clone(), record.job.clone());
            async move { store.part(&job, index).await.map(Some) }
        };
        let mut items = Vec::new();
        let mut backoff = Backoff::default();
        while self.is_owned(&record.job) {
            match parts.next(read).await {
                Ok(Some(part)) => {
                    items.extend(part);
                    backoff.reset();
                }
                Ok(None) => return Some((items, parts.window())),
                Err(fault) => wait_after(&record.job, &fault, &mut backoff).await,
            }
        }
        None
    }

    async fn load_results(&self, job: &mut Job, window: ReadWindow) -> Option<()> {
        let id = job.record.job.clone();
        let mut segments = self.store.sequence(window, u64::MAX);
        let read = |index| {
            let (store, id) = (self.store.clone(), id.clone());
            async move { store.segment(&id, index).await }
        };
        let mut backoff = Backoff::default();
        while self.is_owned(&id) {
            match segments.next(read).await {
                Ok(Some(segment)) => {
                    job.apply(segment);
                    backoff.reset();
                }
                Ok(None) => return Some(()),
                Err(fault) => wait_after(&id, &fault, &mut backoff).await,
            }
        }
        None
    }

    /// Appends an empty segment to the log.
    ///
    /// A former owner that still runs, for example after a pause or a network partition, finds it at
    /// the index of its next segment, reads the record and stops the job. It commits no result after
    /// the fence, so it returns none to callers that this process doesn't know.
    async fn append_fence(&self, job: &mut Job) -> Option<()> {
        let id = job.record.job.clone();
        let fence = Segment { writer: self.writer("load"), results: Vec::new() };
        let mut backoff = Backoff::default();
        while self.is_owned(&id) {
            match self.store.append(&id, job.segments(), &fence).await {
                Ok(stored) => {
                    let is_own = stored.writer == fence.writer;
                    job.apply(stored);
                    if is_own {
                        return Some(());
                    }
                    backoff.reset();
                }
                Err(fault) => wait_after(&id, &fault, &mut backoff).await,
            }
        }
        None
    }
}

async fn wait_after(job: &JobId, fault: &StoreError, backoff: &mut Backoff) {
    log::warn!(job:% = job, error:% = fault; "job load failed");
    backoff.wait().await;
}
