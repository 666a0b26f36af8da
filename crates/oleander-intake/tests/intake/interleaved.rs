//! A platform that makes concurrent requests interleave.

use bytes::Bytes;
use oleander_core::Revision;
use oleander_platform::{
    Created, HostListing, Listing, MemoryPlatform, Object, ObjectStore, Platform, PlatformError,
    Updated,
};
use tokio::task;

/// Platform that yields to other tasks before each read, create and update, so that concurrent
/// requests interleave.
#[derive(Debug, Clone)]
pub(crate) struct Interleaved(pub(crate) MemoryPlatform);

impl ObjectStore for Interleaved {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        task::yield_now().await;
        self.0.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        task::yield_now().await;
        self.0.create(key, body).await
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        task::yield_now().await;
        self.0.update(key, body, expected).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.0.remove(key, expected).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        self.0.list(prefix, after, n).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.0.changed(prefix, from).await
    }
}

impl Platform for Interleaved {
    async fn hosts(&self) -> Result<HostListing, PlatformError> {
        self.0.hosts().await
    }
}
