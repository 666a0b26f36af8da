//! Removal of a job from the platform.

use oleander_core::Revision;
use oleander_platform::{ObjectStore, PlatformError, StoreError};

use crate::{
    backoff::Backoff,
    record::JobRecord,
    store::{JobStore, part_key, record_key, segment_key},
};

/// Maximum number of parts of a job, which has no more items.
const MAX_PARTS: u32 = 200;
/// Maximum number of attempts of one call.
const ATTEMPTS: u32 = 3;

impl<S: ObjectStore> JobStore<S> {
    /// Removes a job with its parts and segments, its record last.
    ///
    /// Segments are removed from the last one on: what an interrupted removal leaves begins with the
    /// first one, where the next removal finds it.
    ///
    /// # Errors
    ///
    /// Returns an error if any object may be left.
    pub async fn remove(&self, revision: Revision, record: &JobRecord) -> Result<(), StoreError> {
        for index in 0..record.parts.min(MAX_PARTS) {
            let key = part_key(&record.job, u64::from(index));
            if let Some(revision) = self.revision(&key).await? {
                self.remove_at(&key, revision).await?;
            }
        }
        let mut segments = Vec::new();
        while let Some(revision) =
            self.revision(&segment_key(&record.job, segments.len() as u64)).await?
        {
            segments.push(revision);
        }
        while let Some(revision) = segments.pop() {
            self.remove_at(&segment_key(&record.job, segments.len() as u64), revision).await?;
        }
        self.remove_at(&record_key(&record.job), revision).await
    }

    /// Revision of an object; `None` if there is none.
    async fn revision(&self, key: &str) -> Result<Option<Revision>, StoreError> {
        let object = repeat(|| self.objects().get(key)).await?;
        Ok(object.map(|object| object.revision))
    }

    async fn remove_at(&self, key: &str, revision: Revision) -> Result<(), StoreError> {
        repeat(|| self.objects().remove(key, revision)).await?;
        Ok(())
    }
}

/// Repeats a call that fails, unless the platform rejects it for good.
pub(crate) async fn repeat<V, F>(call: impl Fn() -> F) -> Result<V, PlatformError>
where
    F: Future<Output = Result<V, PlatformError>>,
{
    let mut backoff = Backoff::default();
    for _ in 1..ATTEMPTS {
        match call().await {
            Ok(value) => return Ok(value),
            Err(error @ PlatformError::Rejected(_)) => return Err(error),
            Err(_) => backoff.wait().await,
        }
    }
    call().await
}
