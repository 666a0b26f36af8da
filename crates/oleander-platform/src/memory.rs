//! An in-memory platform for tests, with outages and lost responses.

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

/// Faults that the in-memory platform injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryFaults {
    /// Every request fails without effect.
    pub down: bool,
    /// Number of the next creates and updates that take effect but whose responses are lost.
    pub lost_responses: u32,
    /// Watches from an earlier revision fail with [`PlatformError::HistoryGone`].
    pub oldest_revision: u64,
    /// Maximum size of an object in bytes; writes of larger ones are rejected. `None` for no limit.
    pub max_bytes: Option<usize>,
    /// Time that each request takes, watches excepted.
    pub latency: Duration,
    /// One request in so many is refused without effect, watches excepted; 0 for none.
    pub refuse_every: u32,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<String, Object>,
    /// Revision at which each key was last removed.
    removed: BTreeMap<String, Revision>,
    hosts: Option<HostListing>,
    faults: MemoryFaults,
    /// Number of requests, watches excepted.
    requests: u32,
}

/// A platform in memory; clones share its objects and its path to them.
#[derive(Debug, Clone, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
    /// Whether requests on this path fail; other paths are not affected.
    disconnected: Arc<AtomicBool>,
}

impl MemoryPlatform {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: MemoryFaults) {
        self.state.lock().faults = faults;
    }

    /// Creates another path to the same store, which can be disconnected on its own.
    #[must_use]
    pub fn other_path(&self) -> Self {
        Self { state: Arc::clone(&self.state), disconnected: Arc::default() }
    }

    /// Disconnects or reconnects this path to the store.
    pub fn set_disconnected(&self, disconnected: bool) {
        self.disconnected.store(disconnected, Ordering::Relaxed);
    }

    /// Number of requests so far, watches excepted.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.state.lock().requests
    }

    /// Lets a request take its time, and refuses it if that is its turn.
    async fn begin_request(&self) -> Result<(), PlatformError> {
        let (latency, is_refused) = {
            let mut state = self.state.lock();
            state.requests += 1;
            let MemoryFaults { latency, refuse_every, .. } = state.faults;
            (latency, refuse_every > 0 && state.requests.is_multiple_of(refuse_every))
        };
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
        if is_refused {
            return Err(PlatformError::Busy("refused by the test".to_owned()));
        }
        self.check_connected()
    }

    fn check_connected(&self) -> Result<(), PlatformError> {
        if self.disconnected.load(Ordering::Relaxed) {
            return Err(PlatformError::Unreachable("path disconnected by the test".to_owned()));
        }
        Ok(())
    }

    /// Sets the list of hosts.
    pub fn set_hosts(&self, hosts: HostListing) {
        self.state.lock().hosts = Some(hosts);
    }
}

impl State {
    fn check_available(&self) -> Result<(), PlatformError> {
        if self.faults.down {
            return Err(PlatformError::Unreachable("outage set by the test".to_owned()));
        }
        Ok(())
    }

    /// Changes below `prefix` after `from`, in order.
    fn changes(&self, prefix: &str, from: Revision) -> Result<Changes, PlatformError> {
        self.check_available()?;
        if from.0 < self.faults.oldest_revision {
            return Err(PlatformError::HistoryGone);
        }
        let written = self.objects.iter().map(|(key, object)| (object.revision, key, Some(object)));
        let removed = self.removed.iter().filter(|(key, _)| !self.objects.contains_key(*key));
        let removed = removed.map(|(key, revision)| (*revision, key, None));
        let mut changes: Vec<_> = written
            .chain(removed)
            .filter(|(revision, key, _)| *revision > from && key.starts_with(prefix))
            .collect();
        changes.sort_by_key(|(revision, ..)| *revision);
        let changes = changes
            .into_iter()
            .map(|(_, key, object)| Change { key: key.clone(), object: object.cloned() })
            .collect();
        Ok(Changes { changes, revision: Revision(self.revision) })
    }

    fn write(&mut self, key: &str, body: Bytes) -> Result<Revision, PlatformError> {
        if self.faults.max_bytes.is_some_and(|max| body.len() > max) {
            return Err(PlatformError::Rejected(format!("{} bytes are too many", body.len())));
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.objects.insert(key.to_owned(), Object { revision, body });
        if self.faults.lost_responses > 0 {
            self.faults.lost_responses -= 1;
            return Err(PlatformError::NoResponse("response dropped by the test".to_owned()));
        }
        Ok(revision)
    }
}

impl ObjectStore for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.begin_request().await?;
        let state = self.state.lock();
        state.check_available()?;
        Ok(state.objects.get(key).cloned())
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.begin_request().await?;
        let mut state = self.state.lock();
        state.check_available()?;
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
        self.begin_request().await?;
        let mut state = self.state.lock();
        state.check_available()?;
        let current = state.objects.get(key).map(|object| object.revision);
        if current != Some(expected) {
            return Ok(Updated::Stale(current));
        }
        state.write(key, body).map(Updated::Done)
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.begin_request().await?;
        let mut state = self.state.lock();
        state.check_available()?;
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
        self.begin_request().await?;
        let state = self.state.lock();
        state.check_available()?;
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
                self.check_connected()?;
                let state = self.state.lock();
                state.check_available()?;
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
            self.check_connected()?;
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
        self.check_connected()?;
        let state = self.state.lock();
        state.check_available()?;
        Ok(state.hosts.clone().unwrap_or(HostListing { revision: Revision(0), hosts: Vec::new() }))
    }
}
