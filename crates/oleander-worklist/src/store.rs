//! Reads and writes jobs at the platform.

use std::sync::Arc;

use oleander_core::{JobId, Revision};
use oleander_platform::{
    Created, ObjectStore, PlatformError, StoreError, Updated, decode_value, encode_value,
};
use tokio::sync::Semaphore;

use crate::{
    item::NewItem,
    record::{JobRecord, Part, Segment},
    window::{ReadWindow, SequenceReader},
};

/// Key prefix of all job records.
pub const JOB_PREFIX: &str = "joblist/";
/// Number of reads after a create without a response, before its outcome counts as unknown.
const CONFIRM_READS: u32 = 3;
/// Maximum number of objects that are read ahead of the next ones, by all readers of a process
/// together.
const MAX_READ_AHEAD: usize = 32;

/// Jobs stored at the platform.
#[derive(Debug, Clone)]
pub struct JobStore<S> {
    store: S,
    /// Objects that may be read ahead, by all clones together.
    read_ahead: Arc<Semaphore>,
}

impl<S: ObjectStore> JobStore<S> {
    /// Creates access to the jobs in `store`.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self { store, read_ahead: Arc::new(Semaphore::new(MAX_READ_AHEAD)) }
    }

    /// The underlying store.
    pub const fn objects(&self) -> &S {
        &self.store
    }

    /// Reads a job's record.
    ///
    /// # Errors
    ///
    /// Returns an error if the read fails or the record can't be decoded.
    pub async fn record(&self, job: &JobId) -> Result<Option<(Revision, JobRecord)>, StoreError> {
        let Some(object) = self.store.get(&record_key(job)).await? else { return Ok(None) };
        Ok(Some((object.revision, decode_value(&object.body)?)))
    }

    /// Accepts a job by creating its record; `Ok(None)` if the id exists already, also if the record
    /// was created here and has been changed since.
    ///
    /// # Errors
    ///
    /// Returns an error if the write failed or its outcome is unknown; in the latter case, the job
    /// may still be accepted later.
    pub async fn accept(&self, record: &JobRecord) -> Result<Option<Revision>, StoreError> {
        let body = encode_value(record)?;
        match self.store.create(&record_key(&record.job), body).await {
            Ok(Created::New(revision)) => Ok(Some(revision)),
            Ok(Created::Exists) => Ok(None),
            Err(error) if error.may_have_written() => {
                for _ in 0..CONFIRM_READS {
                    if let Ok(Some((revision, stored))) = self.record(&record.job).await {
                        return Ok((stored == *record).then_some(revision));
                    }
                }
                Err(error.into())
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Replaces a record if its revision is `expected`; `None` if it is not.
    ///
    /// # Errors
    ///
    /// Returns an error if it is unknown whether the record was replaced.
    pub async fn replace(
        &self,
        record: &JobRecord,
        expected: Revision,
    ) -> Result<Option<Revision>, StoreError> {
        let body = encode_value(record)?;
        match self.store.update(&record_key(&record.job), body, expected).await {
            Ok(Updated::Done(revision)) => Ok(Some(revision)),
            Ok(Updated::Stale(_)) => Ok(None),
            Err(error) if error.may_have_written() => match self.record(&record.job).await? {
                Some((revision, stored)) if stored == *record => Ok(Some(revision)),
                Some((revision, _)) if revision != expected => Ok(None),
                _ => Err(error.into()),
            },
            Err(error) => Err(error.into()),
        }
    }

    /// Writes one part of a job's items; an existing part has the same content.
    ///
    /// # Errors
    ///
    /// Returns an error if the part may be missing.
    pub async fn put_part(&self, job: &JobId, index: u32, part: &Part) -> Result<(), StoreError> {
        self.store.create(&part_key(job, u64::from(index)), encode_value(part)?).await?;
        Ok(())
    }

    /// Reads all items of a job, in order.
    ///
    /// # Errors
    ///
    /// Returns an error if a part is missing or can't be read.
    pub async fn items(&self, record: &JobRecord) -> Result<Vec<NewItem>, StoreError> {
        let mut items = Vec::new();
        for index in 0..record.parts {
            items.extend(self.part(&record.job, u64::from(index)).await?);
        }
        Ok(items)
    }

    /// Reads the items of one part of a job, in order.
    ///
    /// # Errors
    ///
    /// Returns an error if the part is missing or can't be read.
    pub async fn part(&self, job: &JobId, index: u64) -> Result<Vec<NewItem>, StoreError> {
        let object = self.store.get(&part_key(job, index)).await?;
        let object =
            object.ok_or_else(|| StoreError::InvalidValue("part is missing".to_owned()))?;
        let part: Part = decode_value(&object.body)?;
        let items = part.items.into_iter().map(NewItem::try_from);
        let items: Result<_, _> = items.collect();
        items.map_err(|e| StoreError::InvalidValue(e.to_string()))
    }

    /// A reader of the parts or segments of a job before `end`.
    pub(crate) fn sequence<V: Send + 'static>(
        &self,
        window: ReadWindow,
        end: u64,
    ) -> SequenceReader<V> {
        SequenceReader::new(window, Arc::clone(&self.read_ahead), 0, end)
    }

    /// Reads a segment of a job's result log.
    ///
    /// # Errors
    ///
    /// Returns an error if the read fails or the segment can't be decoded.
    pub async fn segment(&self, job: &JobId, index: u64) -> Result<Option<Segment>, StoreError> {
        let Some(object) = self.store.get(&segment_key(job, index)).await? else {
            return Ok(None);
        };
        Ok(Some(decode_value(&object.body)?))
    }

    /// Appends a segment at `index`; returns the one stored there, which may be another host's.
    ///
    /// # Errors
    ///
    /// Returns an error if the stored segment is unknown.
    pub async fn append(
        &self,
        job: &JobId,
        index: u64,
        segment: &Segment,
    ) -> Result<Segment, StoreError> {
        match self.store.create(&segment_key(job, index), encode_value(segment)?).await {
            Ok(Created::New(_)) => return Ok(segment.clone()),
            Ok(Created::Exists) => {}
            Err(error) if error.may_have_written() => {}
            Err(error) => return Err(error.into()),
        }
        let stored = self.segment(job, index).await?;
        stored.ok_or_else(|| {
            PlatformError::NoResponse("appended segment is not visible yet".to_owned()).into()
        })
    }
}

pub(crate) fn record_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

pub(crate) fn part_key(job: &JobId, index: u64) -> String {
    format!("jobparts/{job}.{index:04}")
}

pub(crate) fn segment_key(job: &JobId, index: u64) -> String {
    format!("jobresults/{job}.{index:06}")
}
