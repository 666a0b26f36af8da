//! Start of a process: reads the shared secret and writes the host's record.

use std::{fmt, time::Duration};

use oleander_core::{Time, value};
use oleander_link::{LinkError, LinkKey};
use oleander_platform::{
    Created, ObjectStore, PlatformError, StoreError, Updated, decode_value, encode_value,
};

use crate::record::HostRecord;

/// Key of the secret that all hosts share.
const SECRET_KEY: &str = "cluster/secret";
/// Pause before a failed step is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

value! {
    /// The secret as stored at the platform.
    struct Secret {
        text: String,
    }
}

/// Why a process can't join.
#[derive(Debug)]
pub enum JoinError {
    /// An object at the platform can't be decoded.
    Content(String),
    /// The shared secret is invalid.
    Key(LinkError),
}

impl fmt::Display for JoinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(reason) => write!(f, "cluster object can't be decoded: {reason}"),
            Self::Key(error) => write!(f, "shared secret is invalid: {error}"),
        }
    }
}

impl std::error::Error for JoinError {}

/// Reads or creates the shared secret and writes this host's record, retrying until both succeed.
///
/// The start time in the record is later than that of any earlier run on this host, whatever its
/// clock said.
///
/// # Errors
///
/// Returns an error if the platform holds invalid objects under these keys.
pub async fn join<S: ObjectStore>(
    store: &S,
    mut record: HostRecord,
) -> Result<(LinkKey, HostRecord), JoinError> {
    let key = loop {
        match load_secret(store).await {
            Ok(Some(text)) => {
                break LinkKey::from_secret(text.as_bytes()).map_err(JoinError::Key)?;
            }
            Ok(None) => {}
            Err(StoreError::InvalidValue(reason)) => return Err(JoinError::Content(reason)),
            Err(StoreError::Platform(error)) => wait_retry("read the shared secret", &error).await,
        }
    };
    loop {
        match write_record(store, &mut record).await {
            Ok(true) => return Ok((key, record)),
            Ok(false) => {}
            Err(StoreError::InvalidValue(reason)) => return Err(JoinError::Content(reason)),
            Err(StoreError::Platform(error)) => wait_retry("write the host's record", &error).await,
        }
    }
}

async fn wait_retry(step: &str, error: &PlatformError) {
    log::warn!(error:% = error; "can't {step}; retrying");
    tokio::time::sleep(RETRY_PAUSE).await;
}

/// Reads the secret, or creates it; `None` if another host created it first and it must be read
/// again.
async fn load_secret<S: ObjectStore>(store: &S) -> Result<Option<String>, StoreError> {
    if let Some(object) = store.get(SECRET_KEY).await? {
        let secret: Secret = decode_value(&object.body)?;
        return Ok(Some(secret.text));
    }
    let text = format!("{:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>());
    let body = encode_value(&Secret { text: text.clone() })?;
    let created = store.create(SECRET_KEY, body).await?;
    Ok(matches!(created, Created::New(_)).then_some(text))
}

/// Writes the record; `false` if it was changed concurrently and the write must be retried.
async fn write_record<S: ObjectStore>(
    store: &S,
    record: &mut HostRecord,
) -> Result<bool, StoreError> {
    let key = HostRecord::key(&record.host);
    let Some(current) = store.get(&key).await? else {
        let created = store.create(&key, encode_value(record)?).await?;
        return Ok(matches!(created, Created::New(_)));
    };
    let previous: HostRecord = decode_value(&current.body)?;
    record.started = record.started.max(Time(previous.started.0 + 1));
    let updated = store.update(&key, encode_value(record)?, current.revision).await?;
    Ok(matches!(updated, Updated::Done(_)))
}
