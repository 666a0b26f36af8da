//! The list of targets at a platform that is slower than those who ask for its present state wait.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_core::Revision;
use oleander_host::clock;
use oleander_platform::{
    Changes, Created, Listing, MemoryPlatform, Object, ObjectStore, PlatformError, Updated,
};
use oleander_relay::{Pools, TargetEntry, follow_targets};

/// Time of each call.
const LATENCY: Duration = Duration::from_millis(500);
/// Time in which the list is to be confirmed.
const CONFIRM_TIME: Duration = Duration::from_secs(10);

#[derive(Debug, Clone)]
struct SlowStore(MemoryPlatform);

impl ObjectStore for SlowStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.0.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.0.create(key, body).await
    }

    async fn update(&self, key: &str, body: Bytes, at: Revision) -> Result<Updated, PlatformError> {
        self.0.update(key, body, at).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.0.remove(key, expected).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        tokio::time::sleep(LATENCY).await;
        self.0.list(prefix, after, n).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.0.changed(prefix, from).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        tokio::time::sleep(LATENCY).await;
        self.0.watch(prefix, from, wait).await
    }
}

fn parse(name: &str, _: &[u8]) -> Result<TargetEntry, String> {
    Err(format!("{name} is no target"))
}

#[tokio::test(start_paused = true)]
async fn the_list_is_confirmed_by_a_read_that_lasts_longer_than_its_caller_waits() {
    let zone = "near".parse().expect("name of a data centre");
    let (pools, _) = Pools::new("entry-1".parse().expect("name of a host"), zone, 1);
    let pools = Arc::new(pools);
    let store = SlowStore(MemoryPlatform::new());
    let follow = follow_targets(store, "targets/", parse, Arc::clone(&pools));
    let task = tokio::spawn(follow);
    tokio::time::sleep(LATENCY * 4).await;
    let needed = clock::steady();
    let start = tokio::time::Instant::now();
    while pools.streams.awaits_list(needed, needed) {
        assert!(start.elapsed() < CONFIRM_TIME, "not confirmed within {CONFIRM_TIME:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    task.abort();
}
