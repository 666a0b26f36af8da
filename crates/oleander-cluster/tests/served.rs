//! Requests to the platform that a host makes for others, beside other messages on the same link.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_cluster::{
    Cluster, FailoverStore, Handler, HostRecord, PeerRequest, PeerResponse, StoreFallback,
    StoreRequest, StoreResponse,
};
use oleander_core::{HostId, Revision, Time};
use oleander_host::clock;
use oleander_link::{Link, LinkKey, Server};
use oleander_members::MemberRole;
use oleander_platform::{
    Changes, Created, Listing, MemoryPlatform, Object, ObjectStore, Page, PlatformError, Updated,
};
use oleander_ports::free_address;
use oleander_relay::{Pools, StreamId};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Time that the platform takes for an answer.
const STORE_LATENCY: Duration = Duration::from_secs(1);
/// Requests for other hosts at the same time.
const REQUESTS: usize = 200;
/// Maximum wait of another host for its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the host is asked, and between two questions.
const ASKED: Duration = Duration::from_secs(3);
const QUESTION_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which a host answers a question about a stream.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(150);

/// A platform whose answers take long.
#[derive(Clone)]
struct SlowPlatform(MemoryPlatform);

impl SlowPlatform {
    async fn answer<T>(
        &self,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        sleep(STORE_LATENCY).await;
        call.await
    }
}

impl ObjectStore for SlowPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.answer(self.0.get(key)).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.answer(self.0.create(key, body)).await
    }

    async fn update(&self, key: &str, body: Bytes, at: Revision) -> Result<Updated, PlatformError> {
        self.answer(self.0.update(key, body, at)).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.answer(self.0.remove(key, expected)).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        self.answer(self.0.list(prefix, after, n)).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.answer(self.0.changed(prefix, from)).await
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        self.answer(self.0.scan(prefix, after)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.answer(self.0.watch(prefix, from, wait)).await
    }
}

struct NoApplication;

impl Handler<(), ()> for NoApplication {
    async fn handle(self: Arc<Self>, _: HostId, (): ()) {}
}

struct NoOtherHost;

impl StoreFallback for NoOtherHost {
    async fn call(&self, _: StoreRequest) -> StoreResponse {
        StoreResponse::Refused("no other host".to_owned())
    }

    async fn watch_feed(&self, _: &str, _: Revision, _: Duration) -> Option<Changes> {
        None
    }
}

fn key() -> LinkKey {
    LinkKey::from_secret(b"a secret of the tests").expect("long enough")
}

/// Starts a host on the slow platform; returns its address.
fn start() -> (String, Server) {
    let record = HostRecord {
        host: "entry-1".parse().expect("host"),
        zone: "near".parse().expect("data centre"),
        role: MemberRole::Entry,
        link: free_address(),
        callers: None,
        started: Time(7),
    };
    let address = record.link.to_string();
    let (pools, _) = Pools::new(record.host.clone(), record.zone.clone(), 1);
    let cluster = Cluster::new(record, key(), Arc::new(pools));
    let store = FailoverStore::<_, Cluster>::new(SlowPlatform(MemoryPlatform::new()));
    let server = cluster.serve(Arc::new(NoApplication), store).expect("a free address");
    (address, server)
}

fn link(host: &str) -> Link {
    Link::new(host.parse().expect("host"), key(), clock::now)
}

/// Sends one read after the other, as a host does that lost its own path; returns the answered ones.
async fn read_on(link: Link, address: String) -> usize {
    let end = Instant::now() + ASKED;
    let mut answered = 0;
    while Instant::now() < end {
        let request: PeerRequest<()> = PeerRequest::Store(StoreRequest::Get("a/1".to_owned()));
        let response = link.call(&address, &request, REQUEST_TIMEOUT).await;
        let is_read = matches!(response, Ok(PeerResponse::<()>::Store(StoreResponse::Got(None))));
        answered += usize::from(is_read);
        sleep(if is_read { QUESTION_INTERVAL } else { QUESTION_INTERVAL * 5 }).await;
    }
    answered
}

/// Guards against requests to a slow platform for other hosts that hold all workers of a link, so that
/// questions about streams, probes and announcements wait longer than their senders do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn questions_are_answered_while_many_requests_of_others_wait_for_a_slow_platform() {
    let (address, _server) = start();
    let reader = link("entry-2");
    let mut reads: JoinSet<usize> =
        (0..REQUESTS).map(|_| read_on(reader.clone(), address.clone())).collect();
    sleep(QUESTION_INTERVAL * 4).await;
    let asking = link("entry-3");
    let service = "llm".parse().expect("name of a service");
    let question: PeerRequest<()> = PeerRequest::StreamVersion(service, StreamId::NONE);
    let end = Instant::now() + ASKED;
    let (mut asked, mut unanswered) = (0, 0);
    while Instant::now() < end {
        let answer = asking.call(&address, &question, QUESTION_TIMEOUT).await;
        asked += 1;
        unanswered += usize::from(!matches!(answer, Ok(PeerResponse::<()>::StreamVersion(_))));
        sleep(QUESTION_INTERVAL).await;
    }
    let mut answered = 0;
    while let Some(reads) = reads.join_next().await {
        answered += reads.expect("no panic");
    }
    assert_eq!(unanswered, 0, "of {asked} questions");
    assert!(answered > 60, "{answered} reads of others were answered");
}

/// Guards against a host that is taken for one without a path to the platform because it is busy:
/// others would take the platform for out, and extend their leases.
#[tokio::test(start_paused = true)]
async fn a_busy_host_does_not_say_that_it_has_no_path() {
    let store = FailoverStore::<_, NoOtherHost>::new(SlowPlatform(MemoryPlatform::new()));
    let mut reads = JoinSet::new();
    for _ in 0..REQUESTS {
        let store = store.clone();
        reads.spawn(async move { store.serve(StoreRequest::Get("a/1".to_owned())).await });
    }
    let (mut read, mut unknown) = (0, 0);
    while let Some(response) = reads.join_next().await {
        match response.expect("no panic") {
            StoreResponse::Got(None) => read += 1,
            StoreResponse::Unknown(_) => unknown += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(read > 0 && unknown > 0, "{read} read, {unknown} unknown");
    let sound = store.serve(StoreRequest::Get("a/1".to_owned())).await;
    assert!(matches!(sound, StoreResponse::Got(None)), "{sound:?}");
}

/// Guards against a write through a busy host whose outcome is called unknown, though it was not sent.
#[tokio::test(start_paused = true)]
async fn a_busy_host_refuses_the_writes_of_others_at_once() {
    let platform = MemoryPlatform::new();
    let store = FailoverStore::<_, NoOtherHost>::new(SlowPlatform(platform.clone()));
    let mut reads = JoinSet::new();
    for _ in 0..REQUESTS {
        let store = store.clone();
        reads.spawn(async move { store.serve(StoreRequest::Get("a/1".to_owned())).await });
    }
    tokio::task::yield_now().await;
    let create = StoreRequest::Create("a/2".to_owned(), Bytes::from_static(b"{}"));
    let created = timeout(QUESTION_TIMEOUT, store.serve(create)).await.expect("at once");
    assert!(matches!(created, StoreResponse::Refused(_)), "{created:?}");
    while reads.join_next().await.is_some() {}
    assert!(platform.get("a/2").await.expect("up").is_none());
}
