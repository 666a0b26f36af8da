//! Which software versions of targets served side by side lately, kept at the platform.
//!
//! Streams that callers resume must go on at their version, which hosts know of each other. If all
//! of them end at once, nobody remembers that a version left just before. So while a service has
//! targets of several versions, one host writes when each of them was last listed, and a host that
//! starts reads it before it takes the only listed version for that of a stream.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use oleander_core::{ServiceId, Span, Time, hash, value};
use oleander_host::clock;
use oleander_platform::{Created, ObjectStore, StoreError, Updated, decode_value, encode_value};
use oleander_relay::SoftwareVersion;
use tokio::time;

use crate::cluster::Cluster;

/// Prefix of the keys of these records.
const PREFIX: &str = "streamversions/";
/// Interval at which a record is written again while there are several versions.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Pause before a failed call of the platform is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to write a record that others write, too.
const MAX_WRITES: u32 = 3;
/// Time for which a version is kept in a record.
const RETENTION: Span = Span::from_secs(120);

value! {
    /// The versions of a service, as stored at the platform.
    struct StoredVersions {
        service: ServiceId,
        /// When each of them was last listed, by the clock of the host that wrote it.
        listed: BTreeMap<SoftwareVersion, Time>,
    }
}

impl Cluster {
    /// Keeps the versions of each service at the platform while there are several, and reads those
    /// of earlier processes; never returns.
    pub async fn share_versions<S: ObjectStore>(self: Arc<Self>, store: S) {
        self.pools.streams.expect_recall();
        let (cluster, records) = (Arc::clone(&self), store.clone());
        tokio::spawn(async move { cluster.recall_versions(&records).await });
        let mut written: HashMap<ServiceId, BTreeSet<SoftwareVersion>> = HashMap::new();
        let mut refresh = time::interval(REFRESH_INTERVAL);
        loop {
            let is_refresh = tokio::select! {
                () = self.pools.streams.versions_changed() => false,
                _ = refresh.tick() => true,
            };
            for (service, versions) in self.pools.streams.mixed() {
                let is_known = written.get(&service) == Some(&versions);
                if (is_known && !is_refresh) || !self.writes_versions(&service) {
                    continue;
                }
                match write_versions(&store, &service, &versions).await {
                    Ok(()) => drop(written.insert(service, versions)),
                    Err(error) => log::warn!(service:% = service, error:% = error;
                        "versions in service are not stored yet"),
                }
            }
        }
    }

    /// Whether this host writes the record of a service.
    fn writes_versions(&self, service: &ServiceId) -> bool {
        let hosts = self.live_entry_hosts();
        hash::rendezvous(service.as_str(), &hosts).is_none_or(|host| *host == self.local.host)
    }

    /// Reads the records of earlier processes, repeating until it succeeds.
    async fn recall_versions<S: ObjectStore>(&self, store: &S) {
        loop {
            match read_versions(store).await {
                Ok(records) => {
                    let now = clock::now();
                    for StoredVersions { service, listed } in records {
                        let ages = listed.into_iter().map(|(version, at)| (version, age(now, at)));
                        self.pools.streams.recall(&service, ages.collect());
                    }
                    self.pools.streams.end_recall();
                    return;
                }
                Err(error) => log::warn!(error:% = error; "versions in service can't be read"),
            }
            time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Least time since a version left that was written as listed at `at`; it may have been listed until
/// the next write was due.
fn age(now: Time, at: Time) -> Span {
    Span(now.since(at).0.saturating_sub(REFRESH_INTERVAL.as_micros() as u64))
}

async fn read_versions<S: ObjectStore>(store: &S) -> Result<Vec<StoredVersions>, StoreError> {
    let mut records = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.scan(PREFIX, &after).await?;
        for (key, object) in page.objects {
            match decode_value(&object.body) {
                Ok(record) => records.push(record),
                Err(error) => log::warn!(key:% = key, error:% = error; "stored versions skipped"),
            }
            after = key;
        }
        if !page.more {
            return Ok(records);
        }
    }
}

/// Writes that these versions are listed now, beside those that were lately.
async fn write_versions<S: ObjectStore>(
    store: &S,
    service: &ServiceId,
    versions: &BTreeSet<SoftwareVersion>,
) -> Result<(), StoreError> {
    let key = format!("{PREFIX}{service}");
    for _ in 0..MAX_WRITES {
        let stored = store.get(&key).await?;
        let known = stored.as_ref().and_then(|object| decode_value(&object.body).ok());
        let record = merge(known, service, versions, clock::now());
        let body = encode_value(&record)?;
        let is_written = match stored {
            Some(object) => {
                matches!(store.update(&key, body, object.revision).await?, Updated::Done(_))
            }
            None => matches!(store.create(&key, body).await?, Created::New(_)),
        };
        if is_written {
            log::info!(service:% = service, versions:? = versions; "versions in service are stored");
            return Ok(());
        }
    }
    Err(StoreError::InvalidValue("its record was updated concurrently in every attempt".to_owned()))
}

fn merge(
    known: Option<StoredVersions>,
    service: &ServiceId,
    versions: &BTreeSet<SoftwareVersion>,
    now: Time,
) -> StoredVersions {
    let mut listed = known.map(|known| known.listed).unwrap_or_default();
    listed.retain(|_, at| now.since(*at) < RETENTION);
    listed.extend(versions.iter().map(|version| (version.clone(), now)));
    StoredVersions { service: service.clone(), listed }
}
