//! The start of a process: the shared key and its own record.

use std::{fmt, time::Duration};

use oleander_core::{Time, value};
use oleander_link::{LinkError, LinkKey};
use oleander_platform::{
    Created, ObjectStore, PlatformError, StoreFault, Updated, decode_value, encode_value,
};

use crate::record::HostRecord;

/// Key of the secret that all hosts share.
const SECRET_KEY: &str = "cluster/secret";
/// Pause before a failed step is tried again.
const PAUSE: Duration = Duration::from_millis(200);

value! {
    /// The secret as it stands at the platform.
    struct Secret {
        text: String,
    }
}

/// Why a process can't join.
#[derive(Debug)]
pub enum JoinError {
    /// What stands at the platform can't be read.
    Content(String),
    /// The shared secret is not usable.
    Key(LinkError),
}

impl fmt::Display for JoinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(reason) => write!(f, "an object of the cluster can't be read: {reason}"),
            Self::Key(error) => write!(f, "the shared secret is not usable: {error}"),
        }
    }
}

impl std::error::Error for JoinError {}

/// Reads or makes the shared secret and writes this host's record, until both are done.
///
/// The start in the record is later than that of any run before on this host, whatever its clock
/// said.
///
/// # Errors
///
/// Returns an error if the platform holds something else under these keys.
pub async fn join<S: ObjectStore>(
    store: &S,
    mut record: HostRecord,
) -> Result<(LinkKey, HostRecord), JoinError> {
    let key = loop {
        match secret(store).await {
            Ok(Some(text)) => {
                break LinkKey::from_secret(text.as_bytes()).map_err(JoinError::Key)?;
            }
            Ok(None) => {}
            Err(StoreFault::Content(reason)) => return Err(JoinError::Content(reason)),
            Err(StoreFault::Platform(error)) => wait("read the shared secret", &error).await,
        }
    };
    loop {
        match register(store, &mut record).await {
            Ok(true) => return Ok((key, record)),
            Ok(false) => {}
            Err(StoreFault::Content(reason)) => return Err(JoinError::Content(reason)),
            Err(StoreFault::Platform(error)) => wait("write the host's record", &error).await,
        }
    }
}

async fn wait(step: &str, error: &PlatformError) {
    log::warn!(error:% = error; "can't {step}; trying again");
    tokio::time::sleep(PAUSE).await;
}

/// The secret; `None` if it was not there and another try has to read it.
async fn secret<S: ObjectStore>(store: &S) -> Result<Option<String>, StoreFault> {
    if let Some(object) = store.get(SECRET_KEY).await? {
        let secret: Secret = decode_value(&object.body)?;
        return Ok(Some(secret.text));
    }
    let text = format!("{:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>());
    let body = encode_value(&Secret { text: text.clone() })?;
    let created = store.create(SECRET_KEY, body).await?;
    Ok(matches!(created, Created::New(_)).then_some(text))
}

/// Writes the record; `false` if it changed meanwhile and another try is due.
async fn register<S: ObjectStore>(store: &S, record: &mut HostRecord) -> Result<bool, StoreFault> {
    let key = HostRecord::key(&record.host);
    let Some(former) = store.get(&key).await? else {
        let created = store.create(&key, encode_value(record)?).await?;
        return Ok(matches!(created, Created::New(_)));
    };
    let last: HostRecord = decode_value(&former.body)?;
    record.started = record.started.max(Time(last.started.0 + 1));
    let updated = store.update(&key, encode_value(record)?, former.revision).await?;
    Ok(matches!(updated, Updated::Done(_)))
}
