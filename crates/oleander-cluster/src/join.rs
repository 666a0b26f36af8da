//! Start of a process: reads the shared secret and writes the host's record.

use std::{fmt, time::Duration};

use oleander_core::{Time, value};
use oleander_link::LinkKey;
use oleander_platform::{Created, ObjectStore, StoreError, Updated, decode_value, encode_value};

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

/// Reads or creates the shared secret and writes this host's record, retrying until both succeed.
///
/// The start time in the record is later than that of any earlier run on this host, whatever its
/// clock said. A record that can't be decoded is replaced. A secret that can't be decoded is waited
/// for: the running hosts still share it, and a process that ended would only be started again.
pub async fn join<S: ObjectStore>(store: &S, mut record: HostRecord) -> (LinkKey, HostRecord) {
    let key = loop {
        match load_secret(store).await {
            Ok(Some(text)) => match LinkKey::from_secret(text.as_bytes()) {
                Ok(key) => break key,
                Err(error) => wait_retry("use the shared secret", &error).await,
            },
            Ok(None) => {}
            Err(error) => wait_retry("read the shared secret", &error).await,
        }
    };
    loop {
        match write_record(store, &mut record).await {
            Ok(true) => return (key, record),
            Ok(false) => {}
            Err(error) => wait_retry("write the host's record", &error).await,
        }
    }
}

async fn wait_retry(step: &str, error: &impl fmt::Display) {
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
    match decode_value::<HostRecord>(&current.body) {
        Ok(previous) => {
            let next = Time(previous.started.0.saturating_add(1));
            record.started = record.started.max(next);
        }
        Err(error) => log::warn!(host:% = record.host, error:% = error;
            "record of this host can't be decoded and is replaced"),
    }
    let updated = store.update(&key, encode_value(record)?, current.revision).await?;
    Ok(matches!(updated, Updated::Done(_)))
}
