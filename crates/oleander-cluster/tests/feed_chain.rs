//! Age of what a host follows through two feeders, while these lose the platform.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use oleander_cluster::{
    FailoverStore, SHORT_FEED_WAIT, StoreFallback, StoreRequest, StoreResponse,
};
use oleander_core::{Revision, Span};
use oleander_platform::{
    Changes, Created, FollowEvent, Follower, Listing, MemoryPlatform, Object, ObjectStore, Page,
    PlatformError, SHORT_WAIT, Updated,
};
use tokio::time::{Instant, sleep, timeout};

const PREFIX: &str = "targets/";
/// Time from a change at the platform within which hosts act on it.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);
/// Time limit of a request beyond its wait.
const MARGIN: Duration = Duration::from_secs(1);
/// Time until the hosts follow each other.
const START_TIME: Duration = Duration::from_secs(5);
/// Times of the cut within the watches, and the time from one to the next.
const PHASES: u32 = 30;
const PHASE: Duration = Duration::from_millis(50);

/// A path to the platform that may be cut without a sign: requests then have no response.
#[derive(Clone)]
struct SilentPath {
    store: MemoryPlatform,
    silent: Arc<AtomicBool>,
}

impl SilentPath {
    fn to(store: &MemoryPlatform) -> Self {
        Self { store: store.clone(), silent: Arc::default() }
    }

    async fn answer<T>(
        &self,
        limit: Duration,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let answer = async {
            let result = call.await;
            if self.silent.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            result
        };
        let late = |_| PlatformError::NoResponse("silent".to_owned());
        timeout(limit, answer).await.map_err(late)?
    }
}

impl ObjectStore for SilentPath {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.answer(MARGIN, self.store.get(key)).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.answer(MARGIN, self.store.create(key, body)).await
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        self.answer(MARGIN, self.store.update(key, body, expected)).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.answer(MARGIN, self.store.remove(key, expected)).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Listing, PlatformError> {
        self.answer(MARGIN, self.store.list(prefix, after, limit)).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.answer(MARGIN, self.store.changed(prefix, from)).await
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        self.answer(MARGIN, self.store.scan(prefix, after)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.answer(wait + MARGIN, self.store.watch(prefix, from, wait)).await
    }
}

type Host = FailoverStore<SilentPath, FeederPath>;

/// The way to a feeder, which always answers.
struct FeederPath(Host);

impl StoreFallback for FeederPath {
    async fn call(&self, request: StoreRequest) -> StoreResponse {
        self.0.serve(request).await
    }

    async fn watch_feed(&self, prefix: &str, from: Revision, wait: Duration) -> Option<Changes> {
        let request = StoreRequest::Watch(prefix.to_owned(), from, Span::from(wait));
        match self.0.serve(request).await {
            StoreResponse::Changes(changes) => Some(changes),
            _ => None,
        }
    }
}

fn host(path: &SilentPath, feeder: Option<&Host>) -> Host {
    let host = FailoverStore::new(path.clone());
    if let Some(feeder) = feeder {
        host.set_fallback(Arc::new(FeederPath(feeder.clone())));
    }
    host
}

/// Time from a change until a host sees it whose feeders lose the platform at the change; `cut`
/// tells which: the first, which watches the platform, and the second, which watches the first.
async fn time_to_see(cut: [bool; 2], phase: Duration) -> Duration {
    let store = MemoryPlatform::new();
    let paths = [SilentPath::to(&store), SilentPath::to(&store)];
    let first = host(&paths[0], None);
    let second = host(&paths[1], Some(&first));
    let front = host(&SilentPath::to(&store), Some(&second));
    let feeds = [&first, &second]
        .map(|feeder| tokio::spawn(feeder.feeds().follow(feeder.clone(), PREFIX, SHORT_FEED_WAIT)));
    let mut follow = Follower::new(front, PREFIX, SHORT_WAIT);
    let following = timeout(START_TIME + phase, async {
        loop {
            follow.next().await;
        }
    });
    assert!(following.await.is_err(), "follows for as long as it is let");
    for (path, is_cut) in paths.iter().zip(cut) {
        path.silent.store(is_cut, Ordering::Relaxed);
    }
    let start = Instant::now();
    let created = store.create("targets/a", Bytes::from_static(b"{}")).await;
    assert!(matches!(created, Ok(Created::New(_))));
    loop {
        let event = follow.next().await;
        let is_seen = match event {
            FollowEvent::Snapshot(objects) => !objects.is_empty(),
            FollowEvent::Changes(changes) => !changes.is_empty(),
            FollowEvent::Failed(_) => false,
        };
        if is_seen {
            break;
        }
        sleep(Duration::from_millis(1)).await;
    }
    feeds.iter().for_each(tokio::task::JoinHandle::abort);
    start.elapsed()
}

async fn longest(cut: [bool; 2]) -> Duration {
    let mut longest = Duration::ZERO;
    for phase in 0..PHASES {
        longest = longest.max(time_to_see(cut, PHASE * phase).await);
    }
    longest
}

#[tokio::test(start_paused = true)]
async fn a_change_is_seen_in_time_while_one_feeder_is_cut_from_the_platform() {
    for cut in [[true, false], [false, true]] {
        let longest = longest(cut).await;
        assert!(longest < CHANGE_LIMIT, "{cut:?}: seen after {longest:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_seen_in_time_while_both_feeders_are_cut_from_the_platform() {
    let longest = longest([true, true]).await;
    assert!(longest < CHANGE_LIMIT, "seen after {longest:?}");
}
