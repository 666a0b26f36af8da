//! Failover of store requests to another host.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use oleander_cluster::{FailoverStore, StoreFallback, StoreRequest, StoreResponse};
use oleander_core::Revision;
use oleander_platform::{
    Changes, Created, FollowEvent, Follower, Listing, MemoryFaults, MemoryPlatform, Object,
    ObjectStore, POLL_WAIT, Page, PlatformError, SHORT_WAIT, Updated,
};
use tokio::time::timeout;

/// Time within which a host that is turned away sees a change.
const TURNED_AWAY_LAG: Duration = Duration::from_millis(1_500);
/// Time for which whoever needs the present state waits for it.
const CONFIRM_LIMIT: Duration = Duration::from_millis(150);

/// Another host, whose path may fail as well.
struct Proxy(FailoverStore<MemoryPlatform, Proxy>);

impl StoreFallback for Proxy {
    async fn call(&self, request: StoreRequest) -> StoreResponse {
        self.0.serve(request).await
    }

    async fn watch_feed(&self, _: &str, _: Revision, _: Duration) -> Option<Changes> {
        None
    }
}

type Store = FailoverStore<MemoryPlatform, Proxy>;

fn down() -> MemoryFaults {
    MemoryFaults { down: true, ..MemoryFaults::default() }
}

/// Creates a store whose direct path and fallback lead to different platforms, so that a test sees
/// which path a request took.
fn paths() -> (Store, MemoryPlatform, MemoryPlatform) {
    let (direct, other) = (MemoryPlatform::new(), MemoryPlatform::new());
    let store = Store::new(direct.clone());
    store.set_fallback(Arc::new(Proxy(Store::new(other.clone()))));
    (store, direct, other)
}

fn body() -> Bytes {
    Bytes::from_static(b"{}")
}

#[tokio::test]
async fn requests_take_the_direct_path_while_it_works() {
    let (store, direct, other) = paths();
    assert!(matches!(store.create("a/1", body()).await, Ok(Created::New(_))));
    assert!(direct.get("a/1").await.expect("up").is_some());
    assert!(other.get("a/1").await.expect("up").is_none());
}

#[tokio::test]
async fn a_refused_host_sends_requests_through_another() {
    let (store, direct, other) = paths();
    direct.set_faults(down());
    let Ok(Created::New(revision)) = store.create("a/1", body()).await else {
        panic!("created through the other host");
    };
    assert!(matches!(store.create("a/1", body()).await, Ok(Created::Exists)));
    assert!(matches!(store.update("a/1", body(), revision).await, Ok(Updated::Done(_))));
    assert!(store.get("a/1").await.expect("read through the other host").is_some());
    assert!(other.get("a/1").await.expect("up").is_some());
}

/// Guards against a write that can never succeed, and is repeated for good because its rejection
/// looks like an outage.
#[tokio::test]
async fn a_write_that_the_store_rejects_is_sent_through_no_other_host() {
    let (store, direct, other) = paths();
    direct.set_faults(MemoryFaults { max_bytes: Some(1), ..MemoryFaults::default() });
    let created = store.create("a/1", body()).await;
    assert!(matches!(created, Err(PlatformError::Rejected(_))), "{created:?}");
    assert!(other.get("a/1").await.expect("up").is_none());
}

#[tokio::test]
async fn a_rejection_is_known_as_one_through_another_host() {
    let (store, direct, other) = paths();
    direct.set_faults(down());
    other.set_faults(MemoryFaults { max_bytes: Some(1), ..MemoryFaults::default() });
    let created = store.create("a/1", body()).await;
    assert!(matches!(created, Err(PlatformError::Rejected(_))), "{created:?}");
}

#[tokio::test]
async fn a_write_without_a_response_is_not_repeated_through_another_host() {
    let (store, direct, other) = paths();
    direct.set_faults(MemoryFaults { lost_responses: 1, ..MemoryFaults::default() });
    let outcome = store.create("a/1", body()).await;
    assert!(matches!(outcome, Err(PlatformError::NoResponse(_))), "{outcome:?}");
    assert!(other.get("a/1").await.expect("up").is_none());
}

#[tokio::test]
async fn an_outage_for_all_hosts_causes_no_requests_between_them() {
    let (store, direct, other) = paths();
    direct.set_faults(down());
    other.set_faults(down());
    let mut refused = 0;
    for _ in 0..20 {
        refused += usize::from(matches!(store.get("a/1").await, Err(PlatformError::Busy(_))));
    }
    // The first requests open the breakers; the others are refused without a request.
    assert!(refused >= 17, "{refused} of 20 requests were refused immediately");
}

/// A store without responses while it is disconnected; requests may still take effect.
#[derive(Debug, Clone)]
struct UnresponsiveStore {
    store: MemoryPlatform,
    disconnected: Arc<AtomicBool>,
}

/// Timeout of a request without a response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

impl UnresponsiveStore {
    async fn respond<T>(&self, result: Result<T, PlatformError>) -> Result<T, PlatformError> {
        if !self.disconnected.load(Ordering::Relaxed) {
            return result;
        }
        tokio::time::sleep(REQUEST_TIMEOUT).await;
        Err(PlatformError::NoResponse("disconnected".to_owned()))
    }
}

impl ObjectStore for UnresponsiveStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.respond(self.store.get(key).await).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.respond(self.store.create(key, body).await).await
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        self.respond(self.store.update(key, body, expected).await).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.respond(self.store.remove(key, expected).await).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        self.respond(self.store.list(prefix, after, n).await).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.respond(self.store.changed(prefix, from).await).await
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        self.respond(self.store.scan(prefix, after).await).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.respond(self.store.watch(prefix, from, wait).await).await
    }
}

/// Guards against testing a failing path with a write: on a path without responses, one write per
/// retry interval (500 ms) was sent there and its job waited for the timeout.
#[tokio::test]
async fn no_write_is_held_up_by_a_path_that_is_known_to_be_bad() {
    let (direct, other) = (MemoryPlatform::new(), MemoryPlatform::new());
    let disconnected = Arc::new(AtomicBool::new(true));
    let path = UnresponsiveStore { store: direct.clone(), disconnected: Arc::clone(&disconnected) };
    let store: FailoverStore<UnresponsiveStore, Proxy> = FailoverStore::new(path);
    store.set_fallback(Arc::new(Proxy(Store::new(other.clone()))));
    for n in 0..2 {
        assert!(
            store.create(&format!("first/{n}"), body()).await.is_err(),
            "the breaker is still closed"
        );
    }
    for n in 0..12 {
        let began = Instant::now();
        let created = store.create(&format!("a/{n}"), body()).await;
        assert!(matches!(created, Ok(Created::New(_))), "{n}: {created:?}");
        assert!(began.elapsed() < Duration::from_millis(400), "{n}: {:?}", began.elapsed());
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    disconnected.store(false, Ordering::Relaxed);
    tokio::time::sleep(REQUEST_TIMEOUT).await;
    let mut used_again = false;
    for n in 0..12 {
        store.create(&format!("b/{n}"), body()).await.expect("one of the paths works");
        used_again |= direct.get(&format!("b/{n}")).await.expect("up").is_some();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(used_again, "the direct path is used again once it works");
}

/// Guards against a host that follows nothing for as long as the platform turns it away, while
/// other hosts are served.
#[tokio::test]
async fn a_host_that_the_platform_turns_away_follows_changes_through_another() {
    let (store, direct, other) = paths();
    let mut follow = Follower::new(store.clone(), "a/", SHORT_WAIT);
    assert!(matches!(follow.next().await, FollowEvent::Snapshot(_)));
    direct.set_faults(down());
    for n in 0..6 {
        let key = format!("a/{n}");
        other.create(&key, body()).await.expect("up");
        let seen = async {
            loop {
                match follow.next().await {
                    FollowEvent::Changes(changes) if changes.iter().any(|c| c.key == key) => break,
                    _ => {}
                }
            }
        };
        timeout(TURNED_AWAY_LAG, seen).await.expect("seen in time");
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}

/// Guards against a read that waits for a silent platform while another host is served.
#[tokio::test]
async fn a_read_of_changes_waits_for_no_silent_platform() {
    let (direct, other) = (MemoryPlatform::new(), MemoryPlatform::new());
    let disconnected = Arc::new(AtomicBool::new(true));
    let path = UnresponsiveStore { store: direct, disconnected };
    let store: FailoverStore<UnresponsiveStore, Proxy> = FailoverStore::new(path);
    store.set_fallback(Arc::new(Proxy(Store::new(other.clone()))));
    let from = other.scan("a/", "").await.expect("up").revision;
    other.create("a/1", body()).await.expect("up");
    for _ in 0..4 {
        let read = timeout(CONFIRM_LIMIT, store.watch("a/", from, POLL_WAIT)).await;
        let changes = read.expect("in time").expect("read through the other host");
        assert_eq!(changes.changes.len(), 1, "{changes:?}");
    }
}
