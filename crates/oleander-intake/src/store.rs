//! Files, jobs and lots at the platform.
//!
//! Calls without an answer are repeated for a short time. A repeated create that meets an object
//! may meet its own earlier write: the names are chosen so that either is the same thing.

use std::{fmt, time::Duration};

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

/// Time for which a call without an answer is repeated.
const PATIENCE: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Rows of one listing.
const PAGE: usize = 1000;

/// Access to files and jobs.
#[derive(Debug, Clone)]
pub struct JobStore<P> {
    platform: P,
    cancelled: Option<mpsc::Sender<JobId>>,
}

/// Outcome of a create.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreateOutcome {
    /// It is new.
    New,
    /// An object of this name stood, maybe by an earlier try.
    Exists,
}

/// The closed lots of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClosedLots {
    /// The lots, in order.
    pub lots: Vec<LotIndex>,
    /// How their items ended.
    pub counts: Counts,
}

/// Why a call of the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The platform did not do it.
    Platform {
        /// What it said.
        error: PlatformError,
        /// Whether a change may have taken effect.
        may_have_written: bool,
    },
    /// A stored record can't be read.
    Record(RecordError),
    /// An object that must stand is absent.
    Missing(String),
}

impl<P: ObjectStore> JobStore<P> {
    /// Access through this platform.
    #[must_use]
    pub const fn new(platform: P) -> Self {
        Self { platform, cancelled: None }
    }

    /// Sends each job that is cancelled through this store, so that its runners can be told.
    ///
    /// A notice that finds no room is dropped; runners read the record as well.
    #[must_use]
    pub fn notify_cancelled(mut self, cancelled: mpsc::Sender<JobId>) -> Self {
        self.cancelled = Some(cancelled);
        self
    }

    /// Creates an object, with retries.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time.
    pub async fn create(&self, key: &str, body: Bytes) -> Result<CreateOutcome, StoreError> {
        let deadline = Instant::now() + PATIENCE;
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
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Creates an object that holds a record.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time.
    pub async fn create_record<T: Serialize + Sync>(
        &self,
        key: &str,
        record: &T,
    ) -> Result<CreateOutcome, StoreError> {
        self.create(key, Bytes::from(encode(record)?)).await
    }

    /// Reads an object, with retries.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time.
    pub async fn get(&self, key: &str) -> Result<Option<(Revision, Bytes)>, StoreError> {
        let object = retry(|| self.platform.get(key)).await?;
        Ok(object.map(|object| (object.revision, object.body)))
    }

    async fn get_record<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(Revision, T)>, StoreError> {
        let Some((revision, body)) = self.get(key).await? else { return Ok(None) };
        Ok(Some((revision, decode(&body)?)))
    }

    /// Lists one page of keys, with retries.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time.
    pub async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Listing, StoreError> {
        retry(|| self.platform.list(prefix, after, limit.min(PAGE))).await
    }

    /// Reads a job.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time.
    pub async fn job(&self, job: &JobId) -> Result<Option<(Revision, JobRecord)>, StoreError> {
        self.get_record(&key::job(job)).await
    }

    /// Reads the record of an input file.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time.
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
    /// Fails when the platform does not answer in time, or the chunk is absent.
    pub async fn chunk(
        &self,
        workspace: &WorkspaceId,
        digest: &DigestId,
    ) -> Result<Bytes, StoreError> {
        let key = key::chunk(workspace, digest);
        let found = self.get(&key).await?;
        found.map(|(_, body)| body).ok_or(StoreError::Missing(key))
    }

    /// Reads one segment of a lot's log.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time.
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
    /// Fails when the platform does not answer in time.
    pub async fn closed_lots(&self, job: &JobId) -> Result<ClosedLots, StoreError> {
        let prefix = key::closed_lots_prefix(job);
        let mut closed = ClosedLots::default();
        let mut after = String::new();
        loop {
            let page = self.list(&prefix, &after, PAGE).await?;
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

    /// How many items of a job ended, as far as its lots are closed.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time.
    pub async fn counts(&self, record: &JobRecord) -> Result<Counts, StoreError> {
        if record.state == JobState::Completed {
            return Ok(record.counts);
        }
        self.closed_lots(&record.job).await.map(|closed| closed.counts)
    }

    /// Cancels a job; returns its record at its end, whichever end came first.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time.
    pub async fn cancel(&self, job: &JobId, now: Time) -> Result<Option<JobRecord>, StoreError> {
        let ended = self.end(job, |record| record.cancelled(now)).await?;
        let stopped = ended.as_ref().is_some_and(|record| record.state == JobState::Cancelled);
        if let (true, Some(cancelled)) = (stopped, &self.cancelled) {
            // Without room the runners learn it from the record.
            let _ = cancelled.try_send(job.clone());
        }
        Ok(ended)
    }

    /// Completes a job; returns its record at its end, whichever end came first.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time.
    pub async fn complete(
        &self,
        job: &JobId,
        counts: Counts,
        now: Time,
    ) -> Result<Option<JobRecord>, StoreError> {
        self.end(job, |record| record.completed(counts, now)).await
    }

    /// Changes an open job's record against the revision that was read, until it has ended.
    async fn end(
        &self,
        job: &JobId,
        change: impl Fn(&JobRecord) -> Option<JobRecord> + Send + Sync,
    ) -> Result<Option<JobRecord>, StoreError> {
        let deadline = Instant::now() + PATIENCE;
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
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Repeats a read until it is answered or the time is up.
async fn retry<T, F>(read: impl Fn() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let deadline = Instant::now() + PATIENCE;
    loop {
        match read().await {
            Ok(value) => return Ok(value),
            Err(error) if Instant::now() >= deadline => {
                return Err(StoreError::Platform { error, may_have_written: false });
            }
            Err(_) => time::sleep(RETRY_DELAY).await,
        }
    }
}

impl StoreError {
    /// The same error after a write whose effect is not known, if it was so.
    fn after_write(self, written: bool) -> Self {
        match self {
            Self::Platform { error, may_have_written } => {
                Self::Platform { error, may_have_written: may_have_written || written }
            }
            other => other,
        }
    }
}

impl From<RecordError> for StoreError {
    fn from(error: RecordError) -> Self {
        Self::Record(error)
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform { error, .. } => error.fmt(f),
            Self::Record(error) => error.fmt(f),
            Self::Missing(key) => write!(f, "object {key} is missing"),
        }
    }
}

impl std::error::Error for StoreError {}
