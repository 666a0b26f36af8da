//! Jobs at the platform.

use oleander_core::{JobId, Revision};
use oleander_platform::{
    Created, ObjectStore, PlatformError, StoreFault, Updated, decode_value, encode_value,
};

use crate::{
    item::NewItem,
    record::{JobEntry, Part, Segment},
};

/// Prefix of all entries.
pub const ENTRY_PREFIX: &str = "joblist/";
/// Times a write without an answer is settled by reading before it counts as unknown.
const SETTLE_READS: u32 = 3;

/// Access to the jobs at the platform.
#[derive(Debug, Clone)]
pub struct JobStore<S> {
    store: S,
}

impl<S: ObjectStore> JobStore<S> {
    /// Jobs in `store`.
    #[must_use]
    pub const fn new(store: S) -> Self {
        Self { store }
    }

    /// The store itself.
    pub const fn objects(&self) -> &S {
        &self.store
    }

    /// Reads a job's entry.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be told whether there is one.
    pub async fn entry(&self, job: &JobId) -> Result<Option<(Revision, JobEntry)>, StoreFault> {
        let Some(object) = self.store.get(&entry_key(job)).await? else { return Ok(None) };
        Ok(Some((object.revision, decode_value(&object.body)?)))
    }

    /// Accepts a job; `Ok(None)` if one with its name stands already.
    ///
    /// # Errors
    ///
    /// The error tells whether the job may have been, or may yet be, accepted.
    pub async fn accept(&self, entry: &JobEntry) -> Result<Option<Revision>, StoreFault> {
        let body = encode_value(entry)?;
        match self.store.create(&entry_key(&entry.job), body).await {
            Ok(Created::New(revision)) => Ok(Some(revision)),
            Ok(Created::Exists) => Ok(None),
            Err(error) if error.may_have_written() => {
                for _ in 0..SETTLE_READS {
                    if let Ok(Some((revision, stored))) = self.entry(&entry.job).await {
                        return Ok((stored.owner == entry.owner).then_some(revision));
                    }
                }
                Err(error.into())
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Replaces an entry if it stands at `expected`; `None` if it does not.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not known whether the entry was replaced.
    pub async fn replace(
        &self,
        entry: &JobEntry,
        expected: Revision,
    ) -> Result<Option<Revision>, StoreFault> {
        let body = encode_value(entry)?;
        match self.store.update(&entry_key(&entry.job), body, expected).await {
            Ok(Updated::Done(revision)) => Ok(Some(revision)),
            Ok(Updated::Stale(_)) => Ok(None),
            Err(error) if error.may_have_written() => match self.entry(&entry.job).await? {
                Some((revision, stored)) if stored == *entry => Ok(Some(revision)),
                Some((revision, _)) if revision != expected => Ok(None),
                _ => Err(error.into()),
            },
            Err(error) => Err(error.into()),
        }
    }

    /// Writes one part of a job's items; a part that stands already is the same.
    ///
    /// # Errors
    ///
    /// Returns an error if the part may be missing.
    pub async fn put_part(&self, job: &JobId, index: u32, part: &Part) -> Result<(), StoreFault> {
        self.store.create(&part_key(job, index), encode_value(part)?).await?;
        Ok(())
    }

    /// Reads all items of a job.
    ///
    /// # Errors
    ///
    /// Returns an error if a part can't be read.
    pub async fn items(&self, entry: &JobEntry) -> Result<Vec<NewItem>, StoreFault> {
        let mut items = Vec::new();
        for index in 0..entry.parts {
            let object = self.store.get(&part_key(&entry.job, index)).await?;
            let object = object.ok_or_else(|| StoreFault::Content("part is missing".to_owned()))?;
            let part: Part = decode_value(&object.body)?;
            for record in part.items {
                let item = NewItem::try_from(record);
                items.push(item.map_err(|e| StoreFault::Content(e.to_string()))?);
            }
        }
        Ok(items)
    }

    /// Reads a segment of a job's results.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be told whether there is one.
    pub async fn segment(&self, job: &JobId, index: u64) -> Result<Option<Segment>, StoreFault> {
        let Some(object) = self.store.get(&segment_key(job, index)).await? else {
            return Ok(None);
        };
        Ok(Some(decode_value(&object.body)?))
    }

    /// Creates a segment and returns the one that stands, which may be another's.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not known what stands there.
    pub async fn append(
        &self,
        job: &JobId,
        index: u64,
        segment: &Segment,
    ) -> Result<Segment, StoreFault> {
        match self.store.create(&segment_key(job, index), encode_value(segment)?).await {
            Ok(Created::New(_)) => return Ok(segment.clone()),
            Ok(Created::Exists) => {}
            Err(error) if error.may_have_written() => {}
            Err(error) => return Err(error.into()),
        }
        let stored = self.segment(job, index).await?;
        stored.ok_or_else(|| PlatformError::NoAnswer("segment is not there yet".to_owned()).into())
    }

    /// Removes a job with all that belongs to it, its entry last.
    ///
    /// # Errors
    ///
    /// Returns an error if something is left.
    pub async fn remove(&self, revision: Revision, entry: &JobEntry) -> Result<(), StoreFault> {
        for index in 0..entry.parts {
            self.remove_object(&part_key(&entry.job, index)).await?;
        }
        for index in 0.. {
            if !self.remove_object(&segment_key(&entry.job, index)).await? {
                break;
            }
        }
        self.store.remove(&entry_key(&entry.job), revision).await?;
        Ok(())
    }

    async fn remove_object(&self, key: &str) -> Result<bool, StoreFault> {
        let Some(object) = self.store.get(key).await? else { return Ok(false) };
        self.store.remove(key, object.revision).await?;
        Ok(true)
    }
}

fn entry_key(job: &JobId) -> String {
    format!("{ENTRY_PREFIX}{job}")
}

fn part_key(job: &JobId, index: u32) -> String {
    format!("jobparts/{job}.{index:04}")
}

fn segment_key(job: &JobId, index: u64) -> String {
    format!("jobresults/{job}.{index:06}")
}
