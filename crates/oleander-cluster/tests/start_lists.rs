//! Lists that a host reads once when it starts, from a platform that fails some pages.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_cluster::{Cluster, HostRecord};
use oleander_core::{HostId, Revision, Time, ZoneId};
use oleander_link::LinkKey;
use oleander_members::MemberRole;
use oleander_platform::{
    Created, Listing, MemoryPlatform, Object, ObjectStore, Page, PlatformError, Updated,
};
use oleander_relay::Pools;
use parking_lot::Mutex;

const PAGE_OBJECTS: usize = 2;
const PAGES: usize = 20;
/// One page in so many fails.
const FAIL_EVERY: usize = 5;

/// A store with small pages, of which some are not answered.
#[derive(Debug, Clone)]
struct PagedStore {
    store: MemoryPlatform,
    /// The keys after which pages were read, with whether the read succeeded.
    pages: Arc<Mutex<Vec<(String, bool)>>>,
}

impl ObjectStore for PagedStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.store.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.store.create(key, body).await
    }

    async fn update(&self, key: &str, body: Bytes, at: Revision) -> Result<Updated, PlatformError> {
        self.store.update(key, body, at).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.store.remove(key, expected).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        self.store.list(prefix, after, n).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.store.changed(prefix, from).await
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        let is_read = {
            let mut pages = self.pages.lock();
            let is_read = !(pages.len() + 1).is_multiple_of(FAIL_EVERY);
            pages.push((after.to_owned(), is_read));
            is_read
        };
        if !is_read {
            return Err(PlatformError::NoResponse("lost by the test".to_owned()));
        }
        let listing = self.store.list(prefix, after, PAGE_OBJECTS).await?;
        let mut objects = Vec::new();
        for listed in listing.objects {
            let object = self.store.get(&listed.key).await?.expect("listed");
            objects.push((listed.key, object));
        }
        Ok(Page { objects, revision: listing.revision, more: listing.more })
    }
}

fn cluster() -> Arc<Cluster> {
    let host: HostId = "entry-1".parse().expect("name of a host");
    let zone: ZoneId = "near".parse().expect("name of a data centre");
    let (pools, _) = Pools::new(host.clone(), zone.clone(), 1);
    let record = HostRecord {
        host,
        zone,
        role: MemberRole::Entry,
        link: ([127, 0, 0, 1], 2).into(),
        callers: None,
        started: Time(7),
    };
    let key = LinkKey::from_secret(b"a secret of the tests").expect("long enough");
    Cluster::new(record, key, Arc::new(pools))
}

/// A store with [`PAGES`] pages below `prefix`.
async fn paged(prefix: &str) -> PagedStore {
    let store = MemoryPlatform::new();
    for number in 0..PAGES * PAGE_OBJECTS {
        let key = format!("{prefix}{number:03}");
        store.create(&key, Bytes::from_static(b"{}")).await.expect("up");
    }
    PagedStore { store, pages: Arc::default() }
}

/// Checks that each page was read once.
fn check_pages(store: &PagedStore) {
    let pages = store.pages.lock();
    let read: Vec<&str> =
        pages.iter().filter(|(_, is_read)| *is_read).map(|(after, _)| after.as_str()).collect();
    let mut distinct = read.clone();
    distinct.dedup();
    assert_eq!((read.len(), distinct.len()), (PAGES, PAGES), "pages read, and different ones");
}

#[tokio::test(start_paused = true)]
async fn blocked_parts_of_more_pages_than_succeed_in_a_row_are_read() {
    let store = paged("blockedparts/").await;
    let task = tokio::spawn(cluster().share_quarantine(store.clone()));
    tokio::time::sleep(Duration::from_secs(20)).await;
    task.abort();
    check_pages(&store);
}

#[tokio::test(start_paused = true)]
async fn versions_of_more_pages_than_succeed_in_a_row_are_read() {
    let store = paged("streamversions/").await;
    let task = tokio::spawn(cluster().share_versions(store.clone()));
    tokio::time::sleep(Duration::from_secs(20)).await;
    task.abort();
    check_pages(&store);
}
