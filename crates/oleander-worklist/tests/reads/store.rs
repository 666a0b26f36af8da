//! A store whose calls take a time that can be set, and may fail.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use oleander_core::Revision;
use oleander_platform::{
    Changes, Created, Listing, MemoryPlatform, Object, ObjectStore, Page, PlatformError, Updated,
};
use parking_lot::Mutex;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;

/// Time after which a call whose answer is lost fails.
const LOST: Duration = Duration::from_millis(1_500);

/// What calls meet.
#[derive(Debug, Clone)]
pub(crate) struct Faults {
    /// Time of each call.
    pub(crate) latency: Duration,
    /// Share of the calls whose answers are lost.
    pub(crate) lost: f64,
    /// Whether all calls are refused.
    pub(crate) refused: bool,
    pub(crate) draw: Pcg64Mcg,
}

/// A store with faults; all clones share them.
#[derive(Debug, Clone)]
pub(crate) struct SlowStore {
    pub(crate) platform: MemoryPlatform,
    pub(crate) faults: Arc<Mutex<Faults>>,
    /// Reads of segments.
    pub(crate) segment_reads: Arc<AtomicUsize>,
}

impl SlowStore {
    pub(crate) fn new(platform: MemoryPlatform, latency: Duration) -> Self {
        let faults = Faults { latency, lost: 0.0, refused: false, draw: Pcg64Mcg::new(1) };
        Self { platform, faults: Arc::new(Mutex::new(faults)), segment_reads: Arc::default() }
    }

    async fn pass(&self) -> Result<(), PlatformError> {
        let (latency, is_lost, refused) = {
            let mut faults = self.faults.lock();
            let lost = faults.lost;
            (faults.latency, faults.draw.random_bool(lost), faults.refused)
        };
        if is_lost {
            sleep(LOST).await;
            return Err(PlatformError::NoResponse("lost by the test".to_owned()));
        }
        sleep(latency).await;
        if refused {
            return Err(PlatformError::Busy("refused by the test".to_owned()));
        }
        Ok(())
    }
}

impl ObjectStore for SlowStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        if key.starts_with("jobresults/") {
            self.segment_reads.fetch_add(1, Ordering::Relaxed);
        }
        self.pass().await?;
        self.platform.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.pass().await?;
        self.platform.create(key, body).await
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        self.pass().await?;
        self.platform.update(key, body, expected).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.pass().await?;
        self.platform.remove(key, expected).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        self.pass().await?;
        self.platform.list(prefix, after, n).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.pass().await?;
        self.platform.changed(prefix, from).await
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        self.pass().await?;
        self.platform.scan(prefix, after).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.pass().await?;
        self.platform.watch(prefix, from, wait).await
    }
}
