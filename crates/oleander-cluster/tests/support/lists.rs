//! The targets as listed at the platform, and hosts whose view of them is out of date.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use oleander_core::Revision;
use oleander_platform::{
    Change, Changes, Created, Listing, Object, ObjectStore, POLL_WAIT, Page, PlatformError, Updated,
};
use oleander_relay::TargetEntry;
use parking_lot::Mutex;
use tokio::time::sleep;

/// Prefix of the keys of targets.
pub(crate) const TARGETS: &str = "targets/";
/// Pause between two checks of a watch.
const PAUSE: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// The last change of each key; without a body if it was a removal.
    changes: BTreeMap<String, (u64, Option<Bytes>)>,
}

/// The list of targets at the platform.
#[derive(Debug, Clone, Default)]
pub(crate) struct Lists(Arc<Mutex<State>>);

impl Lists {
    /// Replaces the list.
    pub(crate) fn set(&self, listed: &[TargetEntry]) {
        let entries: BTreeMap<String, Bytes> =
            listed.iter().map(|entry| (format!("{TARGETS}{}", entry.id), encode(entry))).collect();
        let mut state = self.0.lock();
        let keys: Vec<String> = state.changes.keys().chain(entries.keys()).cloned().collect();
        for key in keys {
            let body = entries.get(&key).cloned();
            if state.changes.get(&key).and_then(|(_, body)| body.clone()) != body {
                state.revision += 1;
                let revision = state.revision;
                state.changes.insert(key, (revision, body));
            }
        }
    }

    fn since(&self, from: Revision) -> Changes {
        let state = self.0.lock();
        let newer = state.changes.iter().filter(|(_, (revision, _))| *revision > from.0);
        let changes = newer.map(|(key, (revision, body))| {
            let object = body.clone().map(|body| Object { revision: Revision(*revision), body });
            Change { key: key.clone(), object }
        });
        Changes { changes: changes.collect(), revision: Revision(state.revision) }
    }
}

/// What one host sees of the list.
#[derive(Debug, Clone, Default)]
pub(crate) struct Feed {
    lists: Lists,
    /// Whether its feeder has lost the platform, and says that nothing has changed.
    stands_still: Arc<AtomicBool>,
    /// Whether the host does not reach the platform either.
    cut: Arc<AtomicBool>,
}

impl Feed {
    pub(crate) fn of(lists: &Lists) -> Self {
        Self { lists: lists.clone(), ..Self::default() }
    }

    pub(crate) fn stand_still(&self, stands_still: bool) {
        self.stands_still.store(stands_still, Ordering::Relaxed);
    }

    pub(crate) fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    async fn reach(&self) -> Result<(), PlatformError> {
        if self.cut.load(Ordering::Relaxed) {
            return Err(PlatformError::Unreachable("cut off by the test".to_owned()));
        }
        Ok(())
    }
}

fn unsupported<T>() -> Result<T, PlatformError> {
    Err(PlatformError::Rejected("not part of the test".to_owned()))
}

impl ObjectStore for Feed {
    async fn get(&self, _: &str) -> Result<Option<Object>, PlatformError> {
        unsupported()
    }

    async fn create(&self, _: &str, _: Bytes) -> Result<Created, PlatformError> {
        unsupported()
    }

    async fn update(&self, _: &str, _: Bytes, _: Revision) -> Result<Updated, PlatformError> {
        unsupported()
    }

    async fn remove(&self, _: &str, _: Revision) -> Result<Updated, PlatformError> {
        unsupported()
    }

    async fn list(&self, _: &str, _: &str, _: usize) -> Result<Listing, PlatformError> {
        unsupported()
    }

    async fn changed(&self, _: &str, _: Revision) -> Result<Revision, PlatformError> {
        unsupported()
    }

    async fn scan(&self, _: &str, _: &str) -> Result<Page, PlatformError> {
        self.reach().await?;
        let Changes { changes, revision } = self.lists.since(Revision(0));
        let objects = changes.into_iter().filter_map(|change| Some((change.key, change.object?)));
        Ok(Page { objects: objects.collect(), revision, more: false })
    }

    async fn watch(
        &self,
        _: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let end = tokio::time::Instant::now() + wait;
        loop {
            let from_feeder = wait > POLL_WAIT && self.stands_still.load(Ordering::Relaxed);
            if !from_feeder {
                self.reach().await?;
                let changes = self.lists.since(from);
                if !changes.changes.is_empty() {
                    return Ok(changes);
                }
            }
            if tokio::time::Instant::now() >= end {
                return Ok(Changes { changes: Vec::new(), revision: from });
            }
            sleep(PAUSE).await;
        }
    }
}

type Encoded = (String, String, SocketAddr, String, String, u32, bool, Option<u64>);

fn encode(entry: &TargetEntry) -> Bytes {
    let entry = entry.clone();
    let encoded: Encoded = (
        entry.id.to_string(),
        entry.service.to_string(),
        entry.address,
        entry.zone.to_string(),
        entry.version.to_string(),
        entry.slots,
        entry.leaving,
        entry.started_at,
    );
    Bytes::from(serde_json::to_vec(&encoded).expect("encodable"))
}

/// Parses the entry of a target.
pub(crate) fn parse(_: &str, body: &[u8]) -> Result<TargetEntry, String> {
    let encoded: Encoded = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let (id, service, address, zone, version, slots, leaving, started_at) = encoded;
    Ok(TargetEntry {
        id: id.parse().map_err(|_| "id")?,
        service: service.parse().map_err(|_| "service")?,
        address,
        zone: zone.parse().map_err(|_| "zone")?,
        version: version.parse().map_err(|_| "version")?,
        slots,
        leaving,
        started_at,
    })
}
