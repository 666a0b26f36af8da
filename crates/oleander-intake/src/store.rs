//! Files, jobs and lots at the platform.
//!
//! Failed requests are retried for a short time. A retried create that finds an object may have
//! found its own earlier write: keys are chosen so that it makes no difference whose write it was.

use std::time::Duration;

use bytes::Bytes;
use oleander_core::{DigestId, FileId, JobId, LotIndex, Revision, Time, WorkspaceId};
use oleander_jobs::{
    Counts, FileRecord, JobRecord, JobState, LotRecord, RecordError, decode, encode, key,
};
use oleander_ledger::Segment;
use oleander_platform::{Created, Listing, ObjectStore, PlatformError, Updated};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

mod error;

pub use error::StoreError;

/// Maximum time for which a failed request is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of keys in one listing.
const MAX_PAGE_KEYS: usize = 1000;

/// Store of files, jobs and lots at the platform; retries failed requests.
#[derive(Debug, Clone)]
pub struct JobStore<P> {
    platform: P,
    cancel_sender: Option<mpsc::Sender<JobId>>,
}

/// Outcome of a create.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The object was created.
    New,
    /// An object with this key existed, possibly from an earlier attempt of the same create.
    Exists,
}

/// Closed lots of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClosedLots {
    /// Indexes of the lots, in order.
    pub lots: Vec<LotIndex>,
    /// Counts of their items.
    pub counts: Counts,
}

impl<P: ObjectStore> JobStore<P> {
    /// Creates a store at a platform.
    #[must_use]
    pub const fn new(platform: P) -> Self {
        Self { platform, cancel_sender: None }
    }

    /// Sends the id of each job that is cancelled through this store to a channel, so that the
    /// hosts that run the job can be notified.
    ///
    /// An id is dropped if the channel is full; the hosts also poll the job record.
    #[must_use]
    pub fn notify_cancelled(mut self, cancel_sender: mpsc::Sender<JobId>) -> Self {
        self.cancel_sender = Some(cancel_sender);
        self
    }

    /// Creates an object unless one with this key exists.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the request or does not answer in time.
    pub async fn create(&self, key: &str, body: Bytes) -> Result<CreateOutcome, StoreError> {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        let mut may_have_written = false;
        loop {
            match self.platform.create(key, body.clone()).await {
                Ok(Created::New(_)) => return Ok(CreateOutcome::New),
                Ok(Created::Exists) => return Ok(CreateOutcome::Exists),
                Err(error) => {
                    may_have_written |= error.may_have_written();
                    if Instant::now() >= deadline || matches!(error, PlatformError::Rejected(_)) {
                        return Err(StoreError::Platform { error, may_have_written });
                    }
                }
            }
            time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Creates an object with a record as JSON, unless one with this key exists.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the request or does not answer in time.
    pub async fn create_record<T: Serialize + Sync>(
        &self,
        key: &str,
        record: &T,
    ) -> Result<CreateOutcome, StoreError> {
        self.create(key, Bytes::from(encode(record)?)).await
    }

    /// Reads an object; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub async fn get(&self, key: &str) -> Result<Option<(Revision, Bytes)>, StoreError> {
        let object = retry_read(|| self.platform.get(key)).await?;
        Ok(object.map(|object| (object.revision, object.body)))
    }

    async fn get_record<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(Revision, T)>, StoreError> {
        let Some((revision, body)) = self.get(key).await? else { return Ok(None) };
        Ok(Some((revision, decode(&body)?)))
    }

    /// Lists at most `limit` keys that begin with `prefix` and sort after `after`; never more than
    /// 1,000.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Listing, StoreError> {
        retry_read(|| self.platform.list(prefix, after, limit.min(MAX_PAGE_KEYS))).await
    }

    /// Reads a job record; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or the record can't be decoded.
    pub async fn job(&self, job: &JobId) -> Result<Option<(Revision, JobRecord)>, StoreError> {
        self.get_record(&key::job(job)).await
    }

    /// Reads the record of an input file; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or the record can't be decoded.
    pub async fn file(
        &self,
        workspace: &WorkspaceId,
        file: &FileId,
    ) -> Result<Option<FileRecord>, StoreError> {
        let found = self.get_record(&key::file(workspace, file)).await?;
        Ok(found.map(|(_, record)| record))
    }

    /// Reads a chunk of an input file.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or the chunk does not exist.
    pub async fn chunk(
        &self,
        workspace: &WorkspaceId,
        digest: &DigestId,
    ) -> Result<Bytes, StoreError> {
        let key = key::chunk(workspace, digest);
        let found = self.get(&key).await?;
        found.map(|(_, body)| body).ok_or(StoreError::Missing(key))
    }

    /// Reads a segment of a lot's log; `None` if it is not written yet.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or the segment can't be decoded.
    pub async fn segment(
        &self,
        job: &JobId,
        lot: LotIndex,
        sequence: u64,
    ) -> Result<Option<Segment<LotRecord>>, StoreError> {
        let Some((_, body)) = self.get(&key::segment(job, lot, sequence)).await? else {
            return Ok(None);
        };
        let segment = Segment::decode(&body);
        segment.map(Some).map_err(|e| StoreError::Record(RecordError(e.to_string())))
    }

    /// Reads which lots of a job are closed, and their counts.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub async fn closed_lots(&self, job: &JobId) -> Result<ClosedLots, StoreError> {
        let prefix = key::closed_lots_prefix(job);
        let mut closed = ClosedLots::default();
        let mut after = String::new();
        loop {
            let page = self.list(&prefix, &after, MAX_PAGE_KEYS).await?;
            for (lot, counts) in page.objects.iter().filter_map(|o| key::parse_closed_lot(&o.key)) {
                if closed.lots.last() != Some(&lot) {
                    closed.lots.push(lot);
                    closed.counts = closed.counts.plus(counts);
                }
            }
            match page.objects.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => return Ok(closed),
            }
        }
    }

    /// Counts of a job's items with a result, as far as its lots are closed.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub async fn counts(&self, record: &JobRecord) -> Result<Counts, StoreError> {
        if record.state == JobState::Completed {
            return Ok(record.counts);
        }
        self.closed_lots(&record.job).await.map(|closed| closed.counts)
    }

    /// Cancels a job unless it has ended already, and returns the record of the ended job; `None`
    /// if there is no such job.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or the record can't be decoded.
    pub async fn cancel(&self, job: &JobId, now: Time) -> Result<Option<JobRecord>, StoreError> {
        let ended = self.end_job(job, |record| record.cancelled(now)).await?;
        let is_cancelled = ended.as_ref().is_some_and(|record| record.state == JobState::Cancelled);
        if let (true, Some(sender)) = (is_cancelled, &self.cancel_sender) {
            // If the channel is full, the hosts that run the job read its state from the record.
            let _ = sender.try_send(job.clone());
        }
        Ok(ended)
    }

    /// Completes a job unless it has ended already, and returns the record of the ended job; `None`
    /// if there is no such job.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time or the record can't be decoded.
    pub async fn complete(
        &self,
        job: &JobId,
        counts: Counts,
        now: Time,
    ) -> Result<Option<JobRecord>, StoreError> {
        self.end_job(job, |record| record.completed(counts, now)).await
    }

    /// Replaces the record of an open job with the one that `change` returns, conditional on the
    /// revision that was read; retries until the job has ended.
    async fn end_job(
        &self,
        job: &JobId,
        change: impl Fn(&JobRecord) -> Option<JobRecord> + Send + Sync,
    ) -> Result<Option<JobRecord>, StoreError> {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        let mut may_have_written = false;
        loop {
            let read = self.job(job).await.map_err(|error| error.after_write(may_have_written))?;
            let Some((revision, record)) = read else { return Ok(None) };
            let Some(next) = change(&record) else { return Ok(Some(record)) };
            let body = Bytes::from(encode(&next)?);
            match self.platform.update(&key::job(job), body, revision).await {
                Ok(Updated::Done(_)) => return Ok(Some(next)),
                Ok(Updated::Stale(_)) => {}
                Err(error) => {
                    may_have_written |= error.may_have_written();
                    if Instant::now() >= deadline {
                        return Err(StoreError::Platform { error, may_have_written });
                    }
                    time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}

/// Retries a read until it succeeds or [`RETRY_TIMEOUT`] has passed.
async fn retry_read<T, F>(read: impl Fn() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let deadline = Instant::now() + RETRY_TIMEOUT;
    loop {
        match read().await {
            Ok(value) => return Ok(value),
            Err(error) if Instant::now() >= deadline => {
                return Err(StoreError::Platform { error, may_have_written: false });
            }
            Err(_) => time::sleep(RETRY_INTERVAL).await,
        }
    }
}
