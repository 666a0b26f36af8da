//! The store by way of another host.

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
    Changes, Created, Listing, MemoryFaults, MemoryPlatform, Object, ObjectStore, Page,
    PlatformError, Updated,
};

/// Another host; its path may be bad, too.
struct Helper(FailoverStore<MemoryPlatform, Helper>);

impl StoreFallback for Helper {
    async fn call(&self, call: StoreRequest) -> StoreResponse {
        self.0.serve(call).await
    }

    async fn watch_feed(&self, _: &str, _: Revision, _: Duration) -> Option<Changes> {
        None
    }
}

type Store = FailoverStore<MemoryPlatform, Helper>;

fn down() -> MemoryFaults {
    MemoryFaults { down: true, ..MemoryFaults::default() }
}

/// Two paths to stores of their own, so that the test sees which way a call went.
fn paths() -> (Store, MemoryPlatform, MemoryPlatform) {
    let (own, other) = (MemoryPlatform::new(), MemoryPlatform::new());
    let store = Store::new(own.clone());
    store.set_fallback(Arc::new(Helper(Store::new(other.clone()))));
    (store, own, other)
}

fn body() -> Bytes {
    Bytes::from_static(b"{}")
}

#[tokio::test]
async fn calls_take_the_own_path_while_it_is_good() {
    let (store, own, other) = paths();
    assert!(matches!(store.create("a/1", body()).await, Ok(Created::New(_))));
    assert!(own.get("a/1").await.expect("up").is_some());
    assert!(other.get("a/1").await.expect("up").is_none());
}

#[tokio::test]
async fn a_refused_host_goes_by_way_of_another() {
    let (store, own, other) = paths();
    own.set_faults(down());
    let Ok(Created::New(revision)) = store.create("a/1", body()).await else {
        panic!("created through the other host");
    };
    assert!(matches!(store.create("a/1", body()).await, Ok(Created::Exists)));
    assert!(matches!(store.update("a/1", body(), revision).await, Ok(Updated::Done(_))));
    assert!(store.get("a/1").await.expect("read through the other host").is_some());
    assert!(other.get("a/1").await.expect("up").is_some());
}

#[tokio::test]
async fn a_write_without_an_answer_is_not_made_again_by_another_way() {
    let (store, own, other) = paths();
    own.set_faults(MemoryFaults { lost_answers: 1, ..MemoryFaults::default() });
    let outcome = store.create("a/1", body()).await;
    assert!(matches!(outcome, Err(PlatformError::NoAnswer(_))), "{outcome:?}");
    assert!(other.get("a/1").await.expect("up").is_none());
}

#[tokio::test]
async fn an_outage_for_all_costs_no_calls_of_others() {
    let (store, own, other) = paths();
    own.set_faults(down());
    other.set_faults(down());
    let mut refused = 0;
    for _ in 0..20 {
        refused += usize::from(matches!(store.get("a/1").await, Err(PlatformError::Busy(_))));
    }
    // The first calls find out, the others are refused without a call.
    assert!(refused >= 17, "{refused} of 20 calls were refused at once");
}

/// A store that swallows calls while it is cut off: they are not answered, and may have taken effect.
#[derive(Debug, Clone)]
struct Swallowing {
    store: MemoryPlatform,
    cut: Arc<AtomicBool>,
}

/// Time after which a caller gives an unanswered call up.
const PATIENCE: Duration = Duration::from_millis(1_500);

impl Swallowing {
    async fn answer<T>(&self, answer: Result<T, PlatformError>) -> Result<T, PlatformError> {
        if !self.cut.load(Ordering::Relaxed) {
            return answer;
        }
        tokio::time::sleep(PATIENCE).await;
        Err(PlatformError::NoAnswer("cut off".to_owned()))
    }
}

impl ObjectStore for Swallowing {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.answer(self.store.get(key).await).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.answer(self.store.create(key, body).await).await
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        self.answer(self.store.update(key, body, expected).await).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.answer(self.store.remove(key, expected).await).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        self.answer(self.store.list(prefix, after, n).await).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.answer(self.store.changed(prefix, from).await).await
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        self.answer(self.store.scan(prefix, after).await).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.answer(self.store.watch(prefix, from, wait).await).await
    }
}

/// A finding of harrow's recorded day: each half second one write was tried on a path that swallows
/// calls, and its job waited for it.
#[tokio::test]
async fn no_write_is_held_up_by_a_path_that_is_known_to_be_bad() {
    let (own, other) = (MemoryPlatform::new(), MemoryPlatform::new());
    let cut = Arc::new(AtomicBool::new(true));
    let path = Swallowing { store: own.clone(), cut: Arc::clone(&cut) };
    let store: FailoverStore<Swallowing, Helper> = FailoverStore::new(path);
    store.set_fallback(Arc::new(Helper(Store::new(other.clone()))));
    for n in 0..2 {
        assert!(store.create(&format!("first/{n}"), body()).await.is_err(), "not known yet");
    }
    for n in 0..12 {
        let began = Instant::now();
        let created = store.create(&format!("a/{n}"), body()).await;
        assert!(matches!(created, Ok(Created::New(_))), "{n}: {created:?}");
        assert!(began.elapsed() < Duration::from_millis(400), "{n}: {:?}", began.elapsed());
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    cut.store(false, Ordering::Relaxed);
    tokio::time::sleep(PATIENCE).await;
    let mut back = false;
    for n in 0..12 {
        store.create(&format!("b/{n}"), body()).await.expect("one of the ways");
        back |= own.get(&format!("b/{n}")).await.expect("up").is_some();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(back, "the own path is used again once it is good");
}
