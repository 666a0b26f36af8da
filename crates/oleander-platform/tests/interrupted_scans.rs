//! Scans of many pages at a platform that fails some of them.

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
    Changes, Created, FollowEvent, Follower, Listing, MemoryFaults, MemoryPlatform, Object,
    ObjectStore, Page, PlatformError, Updated,
};

const PAGE_OBJECTS: usize = 2;
const PAGES: usize = 40;
/// One scan in so many fails.
const FAIL_EVERY: usize = 7;
/// Time of one page.
const PAGE_TIME: Duration = Duration::from_millis(500);
const WATCH_WAIT: Duration = Duration::from_secs(600);
/// Time without a page after which pages that were read before are too old.
const MAX_PAGE_WAIT: Duration = Duration::from_secs(10);

/// A store with small pages, of which some are not answered.
#[derive(Debug, Clone)]
struct PagedStore {
    store: MemoryPlatform,
    scans: Arc<AtomicUsize>,
    fail_every: usize,
}

impl PagedStore {
    fn scans(&self) -> usize {
        self.scans.load(Ordering::Relaxed)
    }
}

impl ObjectStore for PagedStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.store.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.store.create(key, body).await
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        self.store.update(key, body, expected).await
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
        let number = self.scans.fetch_add(1, Ordering::Relaxed) + 1;
        tokio::time::sleep(PAGE_TIME).await;
        if number.is_multiple_of(self.fail_every) {
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

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.store.watch(prefix, from, wait).await
    }
}

fn key(number: usize) -> String {
    format!("a/{number:03}")
}

/// A store of [`PAGES`] pages, of which one scan in `fail_every` fails.
async fn paged(fail_every: usize) -> PagedStore {
    let store = MemoryPlatform::new();
    for number in 0..PAGES * PAGE_OBJECTS {
        store.create(&key(number), Bytes::from_static(b"{}")).await.expect("up");
    }
    PagedStore { store, scans: Arc::default(), fail_every }
}

async fn remove(store: &PagedStore, key: &str) {
    let object = store.get(key).await.expect("up").expect("exists");
    assert!(matches!(store.remove(key, object.revision).await, Ok(Updated::Done(_))));
}

fn follow(store: &PagedStore) -> Follower<PagedStore> {
    Follower::new(store.clone(), "a/", WATCH_WAIT)
}

/// Keys of the first snapshot, within `tries` events.
async fn snapshot(follower: &mut Follower<PagedStore>, tries: usize) -> Option<Vec<String>> {
    for _ in 0..tries {
        if let FollowEvent::Snapshot(objects) = follower.next().await {
            return Some(objects.into_iter().map(|(key, _)| key).collect());
        }
    }
    None
}

#[tokio::test(start_paused = true)]
async fn a_scan_of_more_pages_than_succeed_in_a_row_ends() {
    let store = paged(FAIL_EVERY).await;
    let keys = snapshot(&mut follow(&store), 20).await;
    let keys = keys.expect("no snapshot after 20 failures");
    assert_eq!(keys, (0..PAGES * PAGE_OBJECTS).map(key).collect::<Vec<_>>());
    assert_eq!(store.scans(), PAGES + (PAGES - 1) / (FAIL_EVERY - 1), "pages read twice");
}

#[tokio::test(start_paused = true)]
async fn a_scan_whose_caller_leaves_after_a_few_pages_each_time_ends() {
    let store = paged(usize::MAX).await;
    let mut follower = follow(&store);
    for _ in 0..PAGES {
        let event = tokio::time::timeout(PAGE_TIME * 5 / 2, follower.next()).await;
        if let Ok(FollowEvent::Snapshot(objects)) = event {
            assert_eq!(objects.len(), PAGES * PAGE_OBJECTS);
            return;
        }
    }
    panic!("no snapshot after {PAGES} calls, with {} scans", store.scans());
}

#[tokio::test(start_paused = true)]
async fn what_changes_on_pages_that_were_read_before_a_failure_is_watched() {
    let store = paged(3).await;
    let mut follower = follow(&store);
    assert!(matches!(follower.next().await, FollowEvent::Failed(_)));
    remove(&store, &key(0)).await;
    store.create("a/000-new", Bytes::from_static(b"{}")).await.expect("up");
    let keys = snapshot(&mut follower, PAGES).await.expect("the scan goes on");
    assert!(keys.contains(&key(0)) && !keys.contains(&"a/000-new".to_owned()), "read before");
    let FollowEvent::Changes(changes) = follower.next().await else { panic!("no changes") };
    let changes: Vec<_> = changes.iter().map(|c| (c.key.as_str(), c.object.is_some())).collect();
    assert_eq!(changes, [("a/000", false), ("a/000-new", true)]);
}

#[tokio::test(start_paused = true)]
async fn a_removal_whose_history_is_gone_is_seen_by_a_new_scan() {
    let store = paged(3).await;
    let mut follower = follow(&store);
    assert!(matches!(follower.next().await, FollowEvent::Failed(_)));
    remove(&store, &key(0)).await;
    let oldest_revision = store.list("a/", "", 1).await.expect("up").revision.0;
    store.store.set_faults(MemoryFaults { oldest_revision, ..MemoryFaults::default() });
    let keys = snapshot(&mut follower, PAGES).await.expect("the scan goes on");
    assert!(keys.contains(&key(0)), "read before");
    let keys = snapshot(&mut follower, PAGES).await.expect("a new scan");
    assert!(!keys.contains(&key(0)), "a removed object is in a new scan");
}

#[tokio::test(start_paused = true)]
async fn pages_from_before_a_long_outage_are_not_used() {
    let store = paged(3).await;
    let mut follower = follow(&store);
    assert!(matches!(follower.next().await, FollowEvent::Failed(_)));
    remove(&store, &key(0)).await;
    tokio::time::sleep(MAX_PAGE_WAIT).await;
    let keys = snapshot(&mut follower, PAGES).await.expect("a new scan");
    assert!(!keys.contains(&key(0)), "a page from before the outage is used");
}
#[tokio::test(start_paused = true)]
async fn a_poll_that_completes_an_earlier_scan_is_not_taken_for_a_read_of_the_present() {
    let store = paged(PAGES).await;
    let mut follower = follow(&store);
    assert!(matches!(follower.next().await, FollowEvent::Failed(_)));
    assert!(matches!(follower.poll().await, FollowEvent::Snapshot(_)));
    assert!(!follower.is_current(), "pages are older than the poll");
    assert!(matches!(follower.poll().await, FollowEvent::Changes(_)));
    assert!(follower.is_current());
}
