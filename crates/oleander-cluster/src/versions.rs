//! Which software versions of targets served side by side lately, kept at the platform.
//!
//! Streams that callers resume must go on at their version, which hosts know of each other. If all
//! of them end at once, nobody remembers that a version left just before. So while a service has
//! targets of several versions, one host writes when each of them was last listed, and a host that
//! starts reads it before it takes the only listed version for that of a stream. The record also
//! has the streams that have begun, see [`begun`](crate::begun).

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use oleander_core::{HostId, Revision, ServiceId, Span, Time, hash, value};
use oleander_host::clock;
use oleander_platform::{Created, ObjectStore, StoreError, Updated, decode_value, encode_value};
use oleander_relay::SoftwareVersion;
use tokio::time::{self, MissedTickBehavior};

use crate::{
    begun::{self, StoredStream},
    cluster::Cluster,
    stored::{self, Stored},
};

/// Prefix of the keys of these records.
const PREFIX: &str = "streamversions/";
/// Interval at which a record is written again while there are several versions.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a record is written while streams begin.
const SAVE_INTERVAL: Duration = Duration::from_millis(100);
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
        /// Streams that have begun.
        #[serde(default)]
        streams: Vec<StoredStream>,
    }
}

impl Cluster {
    /// Keeps the versions of each service at the platform while there are several, and reads those
    /// of earlier processes; never returns.
    pub async fn share_versions<S: ObjectStore>(self: Arc<Self>, store: S) {
        self.pools.streams.expect_recall();
        let (cluster, records) = (Arc::clone(&self), store.clone());
        tokio::spawn(async move { cluster.recall_versions(&records).await });
        tokio::join!(self.keep_versions(store), self.send_begun());
    }

    async fn keep_versions<S: ObjectStore>(&self, store: S) {
        let mut written: HashMap<ServiceId, BTreeSet<SoftwareVersion>> = HashMap::new();
        let mut last: HashMap<ServiceId, LastRecord> = HashMap::new();
        let mut refresh = time::interval(REFRESH_INTERVAL);
        let mut save = time::interval(SAVE_INTERVAL);
        save.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let is_mixed = !self.pools.streams.mixed().is_empty();
            let is_refresh = tokio::select! {
                () = self.pools.streams.versions_changed() => false,
                _ = refresh.tick() => true,
                _ = save.tick(), if is_mixed => false,
            };
            for (service, versions) in self.pools.streams.mixed() {
                let is_due = is_refresh || written.get(&service) != Some(&versions);
                let has_streams = !self.unsaved.lock().is_empty_of(&service);
                let is_keeper = self.version_keeper(&service) == self.local.host;
                if !is_keeper || !(is_due || has_streams) {
                    continue;
                }
                if !self.write_record(&store, &service, &versions, &mut last).await {
                    save.reset_after(RETRY_PAUSE);
                    continue;
                }
                if is_due {
                    log::info!(service:% = service, versions:? = versions;
                        "versions in service are stored");
                }
                written.insert(service, versions);
            }
        }
    }

    /// Writes the record of a service; returns whether that succeeded.
    async fn write_record<S: ObjectStore>(
        &self,
        store: &S,
        service: &ServiceId,
        versions: &BTreeSet<SoftwareVersion>,
        last: &mut HashMap<ServiceId, LastRecord>,
    ) -> bool {
        let streams = self.unsaved.lock().take(service);
        let known = last.remove(service);
        match write_versions(store, service, versions, &streams, known).await {
            Ok(record) => {
                last.insert(service.clone(), record);
                true
            }
            Err(error) => {
                log::warn!(service:% = service, error:% = error;
                    "versions in service are not stored yet");
                self.unsaved.lock().put_back(service, streams);
                false
            }
        }
    }

    /// The host that writes the record of a service.
    pub(crate) fn version_keeper(&self, service: &ServiceId) -> HostId {
        let hosts = self.live_entry_hosts();
        hash::rendezvous(service.as_str(), &hosts).unwrap_or(&self.local.host).clone()
    }

    /// Reads the records of earlier processes, repeating until it succeeds.
    async fn recall_versions<S: ObjectStore>(&self, store: &S) {
        let read = stored::read_all(
            store,
            PREFIX,
            |error| log::warn!(error:% = error; "versions in service can't be read"),
        );
        let Stored { objects, since } = read.await;
        for (key, object) in objects {
            match decode_value(&object.body) {
                Ok(record) => self.recall_record(since, record),
                Err(error) => log::warn!(key:% = key, error:% = error; "stored versions skipped"),
            }
        }
        self.pools.streams.end_recall();
    }

    fn recall_record(&self, now: Time, record: StoredVersions) {
        let StoredVersions { service, listed, streams } = record;
        let kept = begun::kept(now, &service, streams);
        let count: usize = kept.iter().map(|begun| begun.streams.len()).sum();
        log::info!(service:% = service, streams = count;
            "streams of earlier processes are known again");
        self.pools.streams.recall_streams(kept);
        let ages = listed.into_iter().map(|(version, at)| (version, age(now, at)));
        self.pools.streams.recall(&service, ages.collect());
    }
}

/// Least time since a version left that was written as listed at `at`; it may have been listed until
/// the next write was due.
fn age(now: Time, at: Time) -> Span {
    Span(now.since(at).0.saturating_sub(REFRESH_INTERVAL.as_micros() as u64))
}

/// A record as this host wrote or read it last.
struct LastRecord {
    revision: Revision,
    /// `None` if it can't be decoded.
    record: Option<StoredVersions>,
}

/// Writes that these versions are listed now, beside those that were lately; `last` spares a read
/// unless another host has written since.
async fn write_versions<S: ObjectStore>(
    store: &S,
    service: &ServiceId,
    versions: &BTreeSet<SoftwareVersion>,
    streams: &[StoredStream],
    mut last: Option<LastRecord>,
) -> Result<LastRecord, StoreError> {
    let key = format!("{PREFIX}{service}");
    for _ in 0..MAX_WRITES {
        if last.is_none() {
            last = read_record(store, &key).await?;
        }
        let revision = last.as_ref().map(|last| last.revision);
        let known = last.take().and_then(|last| last.record);
        let record = merge(known, service, versions, streams, clock::now());
        let body = encode_value(&record)?;
        let written = match revision {
            Some(revision) => match store.update(&key, body, revision).await? {
                Updated::Done(revision) => Some(revision),
                Updated::Stale(_) => None,
            },
            None => match store.create(&key, body).await? {
                Created::New(revision) => Some(revision),
                Created::Exists => None,
            },
        };
        if let Some(revision) = written {
            return Ok(LastRecord { revision, record: Some(record) });
        }
    }
    Err(StoreError::InvalidValue("its record was updated concurrently in every attempt".to_owned()))
}

async fn read_record<S: ObjectStore>(
    store: &S,
    key: &str,
) -> Result<Option<LastRecord>, StoreError> {
    let object = store.get(key).await?;
    Ok(object.map(|object| LastRecord {
        revision: object.revision,
        record: decode_value(&object.body).ok(),
    }))
}

fn merge(
    known: Option<StoredVersions>,
    service: &ServiceId,
    versions: &BTreeSet<SoftwareVersion>,
    streams: &[StoredStream],
    now: Time,
) -> StoredVersions {
    let (mut listed, stored) = known.map(|known| (known.listed, known.streams)).unwrap_or_default();
    listed.retain(|_, at| now.since(*at) < RETENTION);
    listed.extend(versions.iter().map(|version| (version.clone(), now)));
    let streams = begun::join(now, stored, streams.to_vec());
    StoredVersions { service: service.clone(), listed, streams }
}
