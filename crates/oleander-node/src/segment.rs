//! Writes the segments of a log to the platform.

use bytes::Bytes;
use oleander_ledger::{LogEvent, Segment};
use oleander_platform::{Created, ObjectStore};
use serde::{Deserialize, Serialize};

/// Creates the object of a segment; returns the event that passes the outcome to the log.
pub async fn create_segment<P, R>(
    platform: &P,
    key: &str,
    sequence: u64,
    segment: &Segment<R>,
) -> LogEvent<R>
where
    P: ObjectStore,
    R: Serialize + for<'de> Deserialize<'de>,
{
    let body = match segment.encode() {
        Ok(body) => Bytes::from(body),
        Err(error) => {
            log::error!("segment {key} can't be encoded: {error}");
            return LogEvent::Failed(sequence);
        }
    };
    match platform.create(key, body).await {
        Ok(Created::New(_)) => LogEvent::Created(sequence),
        Ok(Created::Exists) => LogEvent::Exists(sequence),
        Err(error) => {
            log::warn!("segment {key} was not written: {error}");
            LogEvent::Failed(sequence)
        }
    }
}
