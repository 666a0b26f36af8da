//! An in-memory platform for tests, with outages and lost answers.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use oleander_core::Revision;
use parking_lot::Mutex;

use crate::{
    object::{Change, Changes, Created, HostListing, Listing, Object, ObjectMeta, Updated},
    platform::{ObjectStore, Platform, PlatformError},
};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Faults that the in-memory platform shows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// Number of coming writes that take effect but fail.
    pub lost_responses: u32,
    /// Watches from before this revision fail, as if the changes until then were forgotten.
    pub oldest_revision: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<String, Object>,
    /// Revision at which a key was last removed.
    removed: BTreeMap<String, Revision>,
    hosts: Option<HostListing>,
    faults: MemoryFaults,
}

/// A platform that lives in this process.
#[derive(Debug, Clone, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
    /// Whether this way to the store is cut off, whatever the others see.
    cut: Arc<AtomicBool>,
}

impl MemoryPlatform {
    /// An empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the faults shown from now on.
    pub fn set_faults(&self, faults: MemoryFaults) {
        self.state.lock().faults = faults;
    }

    /// Another way to the same store, which can be cut off by itself.
    #[must_use]
    pub fn other_path(&self) -> Self {
        Self { state: Arc::clone(&self.state), cut: Arc::default() }
    }

    /// Cuts this way to the store off, or heals it.
    pub fn set_disconnected(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    fn check_path(&self) -> Result<(), PlatformError> {
        if self.cut.load(Ordering::Relaxed) {
            return Err(PlatformError::Unreachable("the test cut this path".to_owned()));
        }
        Ok(())
    }

    /// Sets the list of hosts.
    pub fn set_hosts(&self, hosts: HostListing) {
        self.state.lock().hosts = Some(hosts);
    }
}

impl State {
    fn check_up(&self) -> Result<(), PlatformError> {
        if self.faults.down {
            return Err(PlatformError::Unreachable("the test set an outage".to_owned()));
        }
        Ok(())
    }

    /// Changes below `prefix` after `from`, in order.
    fn changes(&self, prefix: &str, from: Revision) -> Result<Changes, PlatformError> {
        self.check_up()?;
        if from.0 < self.faults.oldest_revision {
            return Err(PlatformError::HistoryGone);
        }
        let put = self.objects.iter().map(|(key, object)| (object.revision, key, Some(object)));
        let gone = self.removed.iter().filter(|(key, _)| !self.objects.contains_key(*key));
        let gone = gone.map(|(key, revision)| (*revision, key, None));
        let mut rows: Vec<_> = put
            .chain(gone)
            .filter(|(revision, key, _)| *revision > from && key.starts_with(prefix))
            .collect();
        rows.sort_by_key(|(revision, ..)| *revision);
        let changes = rows
            .into_iter()
            .map(|(_, key, object)| Change { key: key.clone(), object: object.cloned() })
            .collect();
        Ok(Changes { changes, revision: Revision(self.revision) })
    }

    fn write(&mut self, key: &str, body: Bytes) -> Result<Revision, PlatformError> {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.objects.insert(key.to_owned(), Object { revision, body });
        if self.faults.lost_responses > 0 {
            self.faults.lost_responses -= 1;
            return Err(PlatformError::NoResponse("the test lost the answer".to_owned()));
        }
        Ok(revision)
    }
}

impl ObjectStore for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.check_path()?;
        let state = self.state.lock();
        state.check_up()?;
        Ok(state.objects.get(key).cloned())
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.check_path()?;
        let mut state = self.state.lock();
        state.check_up()?;
        if state.objects.contains_key(key) {
            return Ok(Created::Exists);
        }
        state.write(key, body).map(Created::New)
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        self.check_path()?;
        let mut state = self.state.lock();
        state.check_up()?;
        let current = state.objects.get(key).map(|object| object.revision);
        if current != Some(expected) {
            return Ok(Updated::Stale(current));
        }
        state.write(key, body).map(Updated::Done)
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.check_path()?;
        let mut state = self.state.lock();
        state.check_up()?;
        let current = state.objects.get(key).map(|object| object.revision);
        if current != Some(expected) {
            return Ok(Updated::Stale(current));
        }
        state.revision += 1;
        let revision = Revision(state.revision);
        state.objects.remove(key);
        state.removed.insert(key.to_owned(), revision);
        Ok(Updated::Done(revision))
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Listing, PlatformError> {
        self.check_path()?;
        let state = self.state.lock();
        state.check_up()?;
        let mut objects: Vec<ObjectMeta> = state
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit + 1)
            .map(|(key, object)| ObjectMeta {
                key: key.clone(),
                revision: object.revision,
                size: object.body.len() as u64,
            })
            .collect();
        let more = objects.len() > limit;
        objects.truncate(limit);
        Ok(Listing { revision: Revision(state.revision), objects, more })
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        loop {
            {
                self.check_path()?;
                let state = self.state.lock();
                state.check_up()?;
                let newest = state
                    .objects
                    .iter()
                    .filter(|(key, object)| key.starts_with(prefix) && object.revision > from)
                    .map(|(_, object)| object.revision)
                    .max();
                if let Some(newest) = newest {
                    return Ok(newest);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let end = tokio::time::Instant::now() + wait;
        loop {
            self.check_path()?;
            let changes = self.state.lock().changes(prefix, from)?;
            if !changes.changes.is_empty() || tokio::time::Instant::now() >= end {
                return Ok(changes);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Platform for MemoryPlatform {
    async fn hosts(&self) -> Result<HostListing, PlatformError> {
        self.check_path()?;
        let state = self.state.lock();
        state.check_up()?;
        Ok(state.hosts.clone().unwrap_or(HostListing { revision: Revision(0), hosts: Vec::new() }))
    }
}
